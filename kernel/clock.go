package kernel

import (
	"time"

	"golang.org/x/sys/unix"
)

// BootTime returns the time since the machine started, as a time.
//
// Guard: Go's steady clock stands still while a machine is suspended. A lease
// that is counted by it would still seem held after a suspension, although
// another process has taken it over. This clock counts suspended time.
func BootTime() time.Time {
	var now unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &now); err != nil {
		return time.Now()
	}
	return time.Unix(now.Unix())
}
