// Package demo runs the whole system in one process with simulated executors
// and a simulated store, injects failures, and checks which promises of the
// system held.
package demo
