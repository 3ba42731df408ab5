// Package scheduler decides for one pool which request starts when and on
// which executor. Its kernel is a deterministic state machine: it is given the
// time and an event and returns effects that its host carries out.
package scheduler
