package edge

import (
	"time"

	"golang.org/x/sys/unix"

	"jacinthwind/core/cell"
)

// now reads a clock that also counts while the VM is suspended, and the time of
// day; Go's own monotonic clock stands still in a suspended VM.
func now() cell.Now {
	return cell.Now{Mono: mono(), UnixMs: time.Now().UnixMilli()}
}

func mono() time.Duration {
	var ts unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &ts); err != nil {
		panic("the clock cannot be read: " + err.Error())
	}
	return time.Duration(ts.Nano())
}
