package balance

import (
	"math/rand/v2"
	"time"
)

// retrySpread is over how many times a request's stay callers of full groups are
// spread, as newcomers take a part of the places that come free.
const retrySpread = 2

// retryWhenFull returns when a caller may come back whom full groups turned away,
// at least after a wait.
//
// Guard: the places that are taken now come free over the time that a request
// stays. Told all the same short time, callers meet the same full groups, are
// turned away again and give up. So they are spread over that time.
func (a Request) retryWhenFull(wait time.Duration) time.Duration {
	engine := a.Service.Engine
	if engine == nil {
		return max(wait, retrySoon)
	}
	stays := NewPace(engine, a.Model, 1).residenceTime(engine.Slots)
	window := min(retrySpread*stays, retryLater-retrySoon)
	return min(max(wait, retrySoon+rand.N(window+1)), retryLater)
}
