package edge

import (
	"time"

	"jacinthwind/common/bootclock"
	"jacinthwind/core/cell"
)

// now returns the time of day and the time since boot.
func now() cell.Now {
	return cell.Now{Monotonic: monotonicNow(), UnixMs: time.Now().UnixMilli()}
}

// monotonicNow returns the time since boot, including the time in which the VM was
// suspended.
func monotonicNow() time.Duration { return bootclock.Now() }
