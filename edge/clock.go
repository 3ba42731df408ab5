package edge

import (
	"time"

	"golang.org/x/sys/unix"

	"jacinthwind/core/cell"
)

// now returns the time of day and the reading of a clock that also advances while
// the VM is suspended, which Go's own monotonic clock does not.
func now() cell.Now {
	return cell.Now{Monotonic: monotonicNow(), UnixMs: time.Now().UnixMilli()}
}

// monotonicNow returns the time since boot, including the time in which the VM was
// suspended.
func monotonicNow() time.Duration {
	var ts unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &ts); err != nil {
		panic("read CLOCK_BOOTTIME: " + err.Error())
	}
	return time.Duration(ts.Nano())
}
