// Package node joins the kernels and the adapters into one process: actors
// host the kernels, and run groups start and stop everything together.
package node
