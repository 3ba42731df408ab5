// Package executor speaks to the executors that run tasks.
package executor
