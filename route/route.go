// Package route chooses the group that serves a request. A choice takes no
// locks: each group is a Backend with atomic counters, reached through an
// immutable View.
package route

import (
	"math"
	"math/rand/v2"
	"sync/atomic"
	"time"

	"redwinghall"
	"redwinghall/kernel"
)

// Backend is one group and what this router knows and counts of it. It outlives
// views, so that requests in progress stay counted.
type Backend struct {
	group    atomic.Pointer[redwinghall.Group]
	health   atomic.Pointer[redwinghall.GroupHealth]
	limit    atomic.Int32
	inFlight atomic.Int32
	// avoidUntil is a Unix time in nanoseconds. Until then, a group that has
	// failed a request is chosen only when no other can take the request.
	avoidUntil atomic.Int64
	// owner is the caller address of the router that sends to the group while
	// it is cold; empty when this router may send to it.
	owner atomic.Pointer[string]
	// validUntil is the Unix time in nanoseconds at which the limit expires.
	// The limit of a cold group expires with its grant, even if this router
	// sets no new limit in between.
	validUntil atomic.Int64
}

// NewBackend returns a backend for the group. It accepts no requests until its
// health and a limit are set.
func NewBackend(g redwinghall.Group) *Backend {
	b := &Backend{}
	b.group.Store(&g)
	return b
}

// Group returns the record of the group.
func (b *Backend) Group() redwinghall.Group { return *b.group.Load() }

// SetGroup replaces the group's record.
func (b *Backend) SetGroup(g redwinghall.Group) { b.group.Store(&g) }

// SetHealth replaces the observed health of the group's members.
func (b *Backend) SetHealth(h redwinghall.GroupHealth) { b.health.Store(&h) }

// Health returns the observed health of the group's members.
func (b *Backend) Health() redwinghall.GroupHealth {
	if h := b.health.Load(); h != nil {
		return *h
	}
	return redwinghall.GroupHealth{}
}

// SetLimit limits the number of requests in flight from this router to the
// group. The limit expires at until; with a zero until it does not expire.
func (b *Backend) SetLimit(n int, until time.Time) {
	end := int64(math.MaxInt64)
	if !until.IsZero() {
		end = until.UnixNano()
	}
	b.validUntil.Store(end)
	b.limit.Store(int32(n))
}

// Limit returns how many requests from this router may be in flight.
func (b *Backend) Limit() int { return int(b.limit.Load()) }

// SetOwner sets the caller address of the router that sends to the group while
// it is cold; empty when this router may send to it.
func (b *Backend) SetOwner(callerAddress string) { b.owner.Store(&callerAddress) }

// Owner returns the caller address of the router that sends to the group while
// it is cold, or "".
func (b *Backend) Owner() string {
	if p := b.owner.Load(); p != nil {
		return *p
	}
	return ""
}

// InFlight returns the number of requests in flight from this router.
func (b *Backend) InFlight() int { return int(b.inFlight.Load()) }

// Avoid makes pickers choose the backend only as a last resort until the given
// time.
func (b *Backend) Avoid(until time.Time) { b.avoidUntil.Store(until.UnixNano()) }

// Usable reports whether the group can take a new request at now. Every member
// must have been seen within bound.
func (b *Backend) Usable(now time.Time, bound time.Duration) bool {
	g := b.group.Load()
	if g.Leaving {
		return false
	}
	h := b.health.Load()
	return h != nil && h.Healthy(*g, now, bound)
}

// TryAcquire acquires a slot unless the limit is reached.
func (b *Backend) TryAcquire() bool {
	for {
		n := b.inFlight.Load()
		if n >= b.limit.Load() {
			return false
		}
		if b.inFlight.CompareAndSwap(n, n+1) {
			return true
		}
	}
}

// Release releases a slot.
func (b *Backend) Release() { b.inFlight.Add(-1) }

// tryAcquireFor acquires a slot for the query if the backend may serve it, and
// reports whether it did.
func (b *Backend) tryAcquireFor(q Query) bool {
	return b != q.Exclude && q.Now.UnixNano() < b.validUntil.Load() && b.Usable(q.Now, q.Bound) && b.TryAcquire()
}

func (b *Backend) avoided(now time.Time) bool { return b.avoidUntil.Load() > now.UnixNano() }

// load returns the used fraction of the limit.
func (b *Backend) load() float64 {
	limit := b.limit.Load()
	if limit <= 0 {
		return 1
	}
	return float64(b.inFlight.Load()) / float64(limit)
}

// Query holds the criteria for a choice.
type Query struct {
	Now   time.Time
	Bound time.Duration // every member must have been seen within this time
	// Prefix is a hash of the prompt prefix; zero means no preference.
	Prefix uint64
	// Exclude is a backend that has already failed this request.
	Exclude *Backend
}

// Picker chooses a backend and acquires a slot on it. It returns nil when no
// backend has a free slot.
type Picker interface {
	Pick(q Query, backends []*Backend) *Backend
}

// Pickers holds the available pickers by name.
var Pickers = kernel.NewRegistry[Picker]("picker")

// DefaultPicker is the picker that is used when the settings name none.
const DefaultPicker = "two_choices"

func init() { Pickers.Register(DefaultPicker, TwoChoices{}) }

// TwoChoices compares two backends and takes the less loaded (power of two
// choices), so that the cost of a choice does not grow with the number of
// groups. Given a prompt prefix, the first candidate is the one that probably
// served it before and has it cached; it loses this preference once it is clearly
// more loaded than the other.
type TwoChoices struct{}

// prefixLoadTolerance is how much higher the load of the backend preferred for
// a prompt prefix may be for it still to be chosen.
const prefixLoadTolerance = 0.25

// Pick implements Picker.
func (t TwoChoices) Pick(q Query, backends []*Backend) *Backend {
	if len(backends) == 0 {
		return nil
	}
	first, bias := backends[rand.IntN(len(backends))], 0.0
	if q.Prefix != 0 {
		first, bias = backends[q.Prefix%uint64(len(backends))], prefixLoadTolerance
	}
	second := backends[rand.IntN(len(backends))]
	if second.load()+bias < first.load() {
		first, second = second, first
	}
	for _, b := range []*Backend{first, second} {
		if t.tryPreferred(q, b) {
			return b
		}
	}
	return t.scan(q, backends)
}

func (TwoChoices) tryPreferred(q Query, b *Backend) bool {
	return !b.avoided(q.Now) && b.tryAcquireFor(q)
}

// scan is the fallback when both candidates are unusable or full. It tries
// every backend from a random start, those to avoid last.
func (t TwoChoices) scan(q Query, backends []*Backend) *Backend {
	start := rand.IntN(len(backends))
	for i := range backends {
		b := backends[(start+i)%len(backends)]
		if t.tryPreferred(q, b) {
			return b
		}
	}
	for i := range backends {
		b := backends[(start+i)%len(backends)]
		if b.tryAcquireFor(q) {
			return b
		}
	}
	return nil
}
