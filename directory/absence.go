package directory

import (
	"sync"
	"time"
)

// answeredWithin is the time within which a store that is reached answers a call without a wait, or opens a connection,
// packets that are sent again included.
const answeredWithin = 500 * time.Millisecond

// resentAfter is the shortest time after which a packet that nobody answered is sent again. A call that waits for nothing
// and took longer was not answered as it began.
const resentAfter = 200 * time.Millisecond

// toldWithin is the time between two reads of a node that others read from while the store doesn't answer it. Its
// answers are that much behind the store at most.
const toldWithin = 800 * time.Millisecond

// absence records the calls of both feeds that the store didn't answer. It can't tell a store that is away from one
// from which this node is cut off.
type absence struct {
	mu    sync.Mutex
	begun time.Time // when the last of these calls began
	until time.Time // when the store was last known not to answer
}

// note records a read that failed at now. It may have waited for changes or have called the store twice, so only its
// last part shows that nobody answered. If called isn't set, other nodes said that the store didn't answer them.
func (a *absence) note(begun, now time.Time, called bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if begun.After(a.begun) {
		a.begun = begun
	}
	until := laterTime(begun, now.Add(-answeredWithin))
	if !called {
		until = now.Add(-toldWithin)
	}
	a.until = laterTime(a.until, until)
}

// since reports whether a call that began at a time or after it wasn't answered, and when the store was last known not to
// answer.
func (a *absence) since(answered time.Time) (until time.Time, away bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.until, !a.begun.IsZero() && !a.begun.Before(answered)
}

func laterTime(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

func earlierTime(a, b time.Time) time.Time {
	if a.Before(b) {
		return a
	}
	return b
}
