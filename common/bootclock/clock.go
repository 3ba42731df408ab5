package bootclock

import (
	"time"

	"golang.org/x/sys/unix"
)

// Now returns the time since boot, including the time in which the VM was suspended.
func Now() time.Duration {
	var ts unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &ts); err != nil {
		panic("read CLOCK_BOOTTIME: " + err.Error())
	}
	return time.Duration(ts.Nano())
}
