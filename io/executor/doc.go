// Package executor implements the client of the executors that run tasks.
package executor
