package kernel

import (
	"time"

	"golang.org/x/sys/unix"
)

// BootTime returns the time since the machine was booted, as a time.Time. It
// includes time during which the machine was suspended.
//
// Go's monotonic clock stops while the machine is suspended. By that clock, a lease
// would still appear to be held after a suspension, although another process may have
// taken it over.
func BootTime() time.Time {
	var now unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &now); err != nil {
		return time.Now()
	}
	return time.Unix(now.Unix())
}
