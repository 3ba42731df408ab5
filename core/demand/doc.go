// Package demand estimates the rate at which work is submitted to a pool,
// quickly enough to lend VMs to the pool at the start of a burst.
//
// It is designed for queues whose bursts alternate: each queue submits about
// five times its mean rate for some seconds and a twentieth of the mean in
// between, and the sizes and numbers of jobs differ between queues by a factor
// of ten.
package demand
