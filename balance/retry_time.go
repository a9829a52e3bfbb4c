package balance

import (
	"math/rand/v2"
	"time"
)

// retrySpread is the window over which retries are spread, in residence times of a
// request. It is above 1 because new requests take part of the slots that become free.
const retrySpread = 2

// retryWhenFull returns after what time a caller refused by full groups should
// retry, at least wait.
//
// The occupied slots become free over the residence time of a request. If all callers
// got the same short retry time, they would find the same groups full, be refused
// again and give up. So retries are spread at random over that time.
func (r Request) retryWhenFull(wait time.Duration) time.Duration {
	engine := r.Service.Engine
	if engine == nil {
		return max(wait, retrySoon)
	}
	stays := NewPace(engine, r.Model, 1).residenceTime(engine.Slots)
	window := min(retrySpread*stays, retryLater-retrySoon)
	return min(max(wait, retrySoon+upTo(r.random, window)), retryLater)
}

// upTo returns a random time of at most longest.
func upTo(random *rand.Rand, longest time.Duration) time.Duration {
	return time.Duration(random.Int64N(int64(longest) + 1))
}
