// Package target provides simulated executors. They simulate tasks by waiting,
// and record which tasks started where, for tests and the demo to check.
package target
