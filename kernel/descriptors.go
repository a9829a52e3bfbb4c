package kernel

import (
	"math"

	"golang.org/x/sys/unix"
)

// MaxDescriptors returns how many descriptors this process may have open, a large number if there is no limit.
func MaxDescriptors() int {
	var limit unix.Rlimit
	if err := unix.Getrlimit(unix.RLIMIT_NOFILE, &limit); err != nil || limit.Cur > math.MaxInt32 {
		return math.MaxInt32
	}
	return int(limit.Cur)
}
