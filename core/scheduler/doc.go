// Package scheduler implements the scheduler of one pool: it decides which
// request starts when and on which executor. Its Kernel is a deterministic
// state machine. Each call of Step takes the current time and one Event, and
// returns the Effects that the host carries out.
package scheduler
