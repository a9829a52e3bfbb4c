package admission

import (
	"math"
	"time"
)

// rateWindow is the time over which work is counted, with exponential decay.
const rateWindow = time.Second

// use is what was asked and given, in work of each second, as of at.
type use struct {
	asked, given float64 // of the time of one group
	at           time.Time
}

// decayed returns the use as of now.
func (u use) decayed(now time.Time) use {
	if u.at.IsZero() || !now.After(u.at) {
		u.at = now
		return u
	}
	left := math.Exp(-now.Sub(u.at).Seconds() / rateWindow.Seconds())
	return use{asked: u.asked * left, given: u.given * left, at: now}
}

// times returns a multiple of the use.
func (u use) times(factor float64) use {
	return use{asked: u.asked * factor, given: u.given * factor, at: u.at}
}

// With returns the use after one more request.
func (u use) With(now time.Time, work time.Duration, accepted bool) use {
	next := u.decayed(now)
	rate := work.Seconds() / rateWindow.Seconds()
	next.asked += rate
	if accepted {
		next.given += rate
	}
	return next
}

// sum returns the sum of two uses of the same time.
func (u use) sum(more use) use {
	return use{asked: u.asked + more.asked, given: u.given + more.given, at: u.at}
}

// refusedShare returns the share of the work asked for that was not given.
func (u use) refusedShare() float64 {
	if u.asked <= 0 {
		return 0
	}
	return max(0, 1-u.given/u.asked)
}
