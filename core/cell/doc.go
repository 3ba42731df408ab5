// Package cell implements the kernel that schedules the pools of one owner: it
// accepts jobs, starts their tasks on executors, and tracks them until they end.
//
// The kernel is a deterministic state machine: it receives the time and an event,
// and returns effects. It uses no goroutine, clock, socket or random source.
package cell
