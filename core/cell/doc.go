// Package cell is the kernel of a set of pools that one owner serves: it takes
// jobs, starts their tasks on executors, and follows them to their ends.
//
// The kernel is a state machine: it is given the time and an event and returns
// effects. It has no goroutine, clock, socket or random source.
package cell
