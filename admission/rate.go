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

// localUse is what uses the room that this node gives out.
type localUse struct {
	own   use // counted by this node
	known use // counted by this node, or reported by others that give out the same room
}

func (u localUse) sum(more localUse) localUse {
	return localUse{own: u.own.sum(more.own), known: u.known.sum(more.known)}
}

func (u localUse) times(factor float64) localUse {
	return localUse{own: u.own.times(factor), known: u.known.times(factor)}
}

// asked returns the work that is asked for if all nodes that give out the room decide on
// some times as many requests as this one. Without reports, the others are taken to be
// asked the same as this node.
func (u localUse) asked(deciders float64) float64 {
	if u.known.asked > u.own.asked {
		return u.known.asked
	}
	return u.own.asked * max(1, deciders)
}
