// Package route chooses the group that serves a request. A choice takes no
// locks: each group is a TrackedGroup with atomic counters, reached through an
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

// TrackedGroup is one group with its health, its limit and the number of requests
// in flight from this router. It outlives views, so that requests in progress stay
// counted.
type TrackedGroup struct {
	record   atomic.Pointer[redwinghall.Group]
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

// NewTrackedGroup tracks a new group. It accepts no requests until its
// health and a limit are set.
func NewTrackedGroup(g redwinghall.Group) *TrackedGroup {
	t := &TrackedGroup{}
	t.record.Store(&g)
	return t
}

// Group returns the record of the group.
func (t *TrackedGroup) Group() redwinghall.Group { return *t.record.Load() }

// SetGroup replaces the group's record.
func (t *TrackedGroup) SetGroup(g redwinghall.Group) { t.record.Store(&g) }

// SetHealth replaces the observed health of the group's members.
func (t *TrackedGroup) SetHealth(h redwinghall.GroupHealth) { t.health.Store(&h) }

// Health returns the observed health of the group's members.
func (t *TrackedGroup) Health() redwinghall.GroupHealth {
	if h := t.health.Load(); h != nil {
		return *h
	}
	return redwinghall.GroupHealth{}
}

// SetLimit limits the number of requests in flight from this router to the
// group. The limit expires at until; with a zero until it does not expire.
func (t *TrackedGroup) SetLimit(n int, until time.Time) {
	end := int64(math.MaxInt64)
	if !until.IsZero() {
		end = until.UnixNano()
	}
	t.validUntil.Store(end)
	t.limit.Store(int32(n))
}

// Limit returns how many requests from this router may be in flight.
func (t *TrackedGroup) Limit() int { return int(t.limit.Load()) }

// SetOwner sets the caller address of the router that sends to the group while
// it is cold; empty when this router may send to it.
func (t *TrackedGroup) SetOwner(callerAddress string) { t.owner.Store(&callerAddress) }

// Owner returns the caller address of the router that sends to the group while
// it is cold, or "".
func (t *TrackedGroup) Owner() string {
	if p := t.owner.Load(); p != nil {
		return *p
	}
	return ""
}

// InFlight returns the number of requests in flight from this router.
func (t *TrackedGroup) InFlight() int { return int(t.inFlight.Load()) }

// Avoid makes pickers choose the group only as a last resort until the given
// time.
func (t *TrackedGroup) Avoid(until time.Time) { t.avoidUntil.Store(until.UnixNano()) }

// Usable reports whether the group can take a new request at now. Every member
// must have been seen within bound.
func (t *TrackedGroup) Usable(now time.Time, bound time.Duration) bool {
	g := t.record.Load()
	if g.Leaving {
		return false
	}
	h := t.health.Load()
	return h != nil && h.Healthy(*g, now, bound)
}

// TryAcquire acquires a slot unless the limit is reached.
func (t *TrackedGroup) TryAcquire() bool {
	for {
		n := t.inFlight.Load()
		if n >= t.limit.Load() {
			return false
		}
		if t.inFlight.CompareAndSwap(n, n+1) {
			return true
		}
	}
}

// Release releases a slot.
func (t *TrackedGroup) Release() { t.inFlight.Add(-1) }

// tryAcquireFor acquires a slot for the query if the group may serve it, and
// reports whether it did.
func (t *TrackedGroup) tryAcquireFor(q Query) bool {
	return t != q.Exclude && q.Now.UnixNano() < t.validUntil.Load() && t.Usable(q.Now, q.Bound) && t.TryAcquire()
}

func (t *TrackedGroup) avoided(now time.Time) bool { return t.avoidUntil.Load() > now.UnixNano() }

// load returns the used fraction of the limit.
func (t *TrackedGroup) load() float64 {
	limit := t.limit.Load()
	if limit <= 0 {
		return 1
	}
	return float64(t.inFlight.Load()) / float64(limit)
}

// Query holds the criteria for a choice.
type Query struct {
	Now   time.Time
	Bound time.Duration // every member must have been seen within this time
	// Prefix is a hash of the prompt prefix; zero means no preference.
	Prefix uint64
	// Exclude is a group that has already failed this request.
	Exclude *TrackedGroup
}

// Picker chooses a group and acquires a slot on it. It returns nil when no group
// has a free slot.
type Picker interface {
	Pick(q Query, groups []*TrackedGroup) *TrackedGroup
}

// Pickers holds the available pickers by name.
var Pickers = kernel.NewRegistry[Picker]("picker")

// DefaultPicker is the picker that is used when the settings name none.
const DefaultPicker = "two_choices"

func init() { Pickers.Register(DefaultPicker, TwoChoices{}) }

// TwoChoices compares two groups and takes the less loaded (power of two
// choices), so that the cost of a choice does not grow with the number of
// groups. Given a prompt prefix, the first candidate is the one that probably
// served it before and has it cached; it loses this preference once it is clearly
// more loaded than the other.
type TwoChoices struct{}

// prefixLoadTolerance is how much higher the load of the group preferred for
// a prompt prefix may be for it still to be chosen.
const prefixLoadTolerance = 0.25

// Pick implements Picker.
func (t TwoChoices) Pick(q Query, groups []*TrackedGroup) *TrackedGroup {
	if len(groups) == 0 {
		return nil
	}
	first, bias := groups[rand.IntN(len(groups))], 0.0
	if q.Prefix != 0 {
		first, bias = groups[q.Prefix%uint64(len(groups))], prefixLoadTolerance
	}
	second := groups[rand.IntN(len(groups))]
	if second.load()+bias < first.load() {
		first, second = second, first
	}
	for _, g := range []*TrackedGroup{first, second} {
		if t.tryPreferred(q, g) {
			return g
		}
	}
	return t.scan(q, groups)
}

func (TwoChoices) tryPreferred(q Query, g *TrackedGroup) bool {
	return !g.avoided(q.Now) && g.tryAcquireFor(q)
}

// scan is the fallback when both candidates are unusable or full. It tries
// every group from a random start, those to avoid last.
func (t TwoChoices) scan(q Query, groups []*TrackedGroup) *TrackedGroup {
	start := rand.IntN(len(groups))
	for i := range groups {
		g := groups[(start+i)%len(groups)]
		if t.tryPreferred(q, g) {
			return g
		}
	}
	for i := range groups {
		g := groups[(start+i)%len(groups)]
		if g.tryAcquireFor(q) {
			return g
		}
	}
	return nil
}
