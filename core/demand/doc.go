// Package demand measures how much work is asked of a pool, quickly enough to
// lend VMs at the begin of a turn.
//
// The load pattern that it answers: queues take turns; each asks about five
// times its mean for some seconds and a twentieth in between, in jobs whose
// sizes and numbers differ by a factor of ten from queue to queue.
package demand
