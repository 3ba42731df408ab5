// Package lookahead finds where and when a task will fit that fits nowhere now, from the runs in
// progress and when they are expected to end, and what smaller work may run there until then.
//
// It holds no clock.
package lookahead
