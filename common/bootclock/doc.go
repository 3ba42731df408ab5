// Package bootclock reads a clock that also advances while the VM is suspended, which
// Go's own monotonic clock does not.
package bootclock
