package kernel

import (
	"math/rand/v2"
	"time"
)

// The pause before a part that failed is run again doubles from minBackoff to maxBackoff. Its second
// half is random, as the same part may fail at all VMs at the same moment.
const (
	minBackoff = 50 * time.Millisecond
	maxBackoff = 5 * time.Second
	// maxDoublings keeps the pause from overflowing.
	maxDoublings = 10
)

// backoff returns the pause after a number of failures in a row, which is 1 or more.
func backoff(failures int) time.Duration {
	pause := min(maxBackoff, minBackoff<<min(failures-1, maxDoublings))
	return pause/2 + rand.N(pause/2+1)
}
