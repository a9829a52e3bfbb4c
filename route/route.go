// Package route chooses the group that a request goes to. It takes no locks:
// groups are slots with atomic counters, reached through an immutable view.
package route

import (
	"math"
	"math/rand/v2"
	"sync/atomic"
	"time"

	"redwinghall"
	"redwinghall/kernel"
)

// Slot is one group as this router uses it. The slot outlives snapshots, so
// that requests in progress stay counted.
type Slot struct {
	group    atomic.Pointer[redwinghall.Group]
	health   atomic.Pointer[redwinghall.GroupHealth]
	limit    atomic.Int32
	inFlight atomic.Int32
	// avoidUntil, in nanoseconds since 1970, keeps a group that just failed a
	// request out of the first choice.
	avoidUntil atomic.Int64
	// owner is the caller address of the router that feeds the group while it
	// is cold; empty when this router may send itself.
	owner atomic.Pointer[string]
	// validUntil, in nanoseconds since 1970, ends the limit: that of a cold
	// group ends with its grant, whatever this router does in between.
	validUntil atomic.Int64
}

// NewSlot returns a slot of the group that takes no work until it has health
// and a limit.
func NewSlot(g redwinghall.Group) *Slot {
	s := &Slot{}
	s.group.Store(&g)
	return s
}

// Group returns the group as last set.
func (s *Slot) Group() redwinghall.Group { return *s.group.Load() }

// SetGroup replaces the group's record.
func (s *Slot) SetGroup(g redwinghall.Group) { s.group.Store(&g) }

// SetHealth replaces what is known of the group's members.
func (s *Slot) SetHealth(h redwinghall.GroupHealth) { s.health.Store(&h) }

// Health returns what is known of the group's members.
func (s *Slot) Health() redwinghall.GroupHealth {
	if h := s.health.Load(); h != nil {
		return *h
	}
	return redwinghall.GroupHealth{}
}

// SetLimit sets how many requests this router may have in the group until a
// time; the zero time sets no end.
func (s *Slot) SetLimit(n int, until time.Time) {
	end := int64(math.MaxInt64)
	if !until.IsZero() {
		end = until.UnixNano()
	}
	s.validUntil.Store(end)
	s.limit.Store(int32(n))
}

// Limit returns how many requests this router may have in the group.
func (s *Slot) Limit() int { return int(s.limit.Load()) }

// SetOwner names the router that feeds the group while it is cold; empty when
// this router may send itself.
func (s *Slot) SetOwner(callerAddress string) { s.owner.Store(&callerAddress) }

// Owner returns the router that feeds the group while it is cold, or "".
func (s *Slot) Owner() string {
	if p := s.owner.Load(); p != nil {
		return *p
	}
	return ""
}

// InFlight returns how many requests this router has in the group.
func (s *Slot) InFlight() int { return int(s.inFlight.Load()) }

// Avoid keeps the slot out of the first choice until the given time.
func (s *Slot) Avoid(until time.Time) { s.avoidUntil.Store(until.UnixNano()) }

// Usable reports whether the group may take a new request at now.
func (s *Slot) Usable(now time.Time, bound time.Duration) bool {
	g := s.group.Load()
	if g.Leaving {
		return false
	}
	h := s.health.Load()
	return h != nil && h.Healthy(*g, now, bound)
}

// TryAcquire counts one more request unless the limit is reached.
func (s *Slot) TryAcquire() bool {
	for {
		n := s.inFlight.Load()
		if n >= s.limit.Load() {
			return false
		}
		if s.inFlight.CompareAndSwap(n, n+1) {
			return true
		}
	}
}

// Release counts one request less.
func (s *Slot) Release() { s.inFlight.Add(-1) }

// enter counts a request that may go to the slot, and reports whether it may.
func (s *Slot) enter(q Query) bool {
	return s != q.Exclude && q.Now.UnixNano() < s.validUntil.Load() && s.Usable(q.Now, q.Bound) && s.TryAcquire()
}

func (s *Slot) avoided(now time.Time) bool { return s.avoidUntil.Load() > now.UnixNano() }

// load compares slots by the part of their limit that is used.
func (s *Slot) load() float64 {
	limit := s.limit.Load()
	if limit <= 0 {
		return 1
	}
	return float64(s.inFlight.Load()) / float64(limit)
}

// Query is what a picker may use to choose.
type Query struct {
	Now   time.Time
	Bound time.Duration // how long ago every member must have been seen
	// Prefix is a hash of the prompt's beginning; zero: no preference.
	Prefix uint64
	// Exclude is a slot that already failed this request.
	Exclude *Slot
}

// Picker chooses a slot and counts the request in it; nil when none can take
// one more.
type Picker interface {
	Pick(q Query, slots []*Slot) *Slot
}

// Pickers holds the known pickers by name.
var Pickers = kernel.NewRegistry[Picker]("picker")

// DefaultPicker is the picker that settings name when they name none.
const DefaultPicker = "two_choices"

func init() { Pickers.Register(DefaultPicker, TwoChoices{}) }

// TwoChoices compares two slots and takes the less loaded, so that the cost
// of a choice does not grow with the number of groups. The first of the two
// is where the prompt's beginning was likely served before: a hint that a
// cache holds it, which gives way as soon as that slot is clearly busier.
type TwoChoices struct{}

// hintBias is how much more loaded the hinted slot may be and still be taken.
const hintBias = 0.25

// Pick implements Picker.
func (t TwoChoices) Pick(q Query, slots []*Slot) *Slot {
	if len(slots) == 0 {
		return nil
	}
	first, bias := slots[rand.IntN(len(slots))], 0.0
	if q.Prefix != 0 {
		first, bias = slots[q.Prefix%uint64(len(slots))], hintBias
	}
	second := slots[rand.IntN(len(slots))]
	if second.load()+bias < first.load() {
		first, second = second, first
	}
	for _, s := range []*Slot{first, second} {
		if t.take(q, s) {
			return s
		}
	}
	return t.scan(q, slots)
}

func (TwoChoices) take(q Query, s *Slot) bool {
	return !s.avoided(q.Now) && s.enter(q)
}

// scan is the way out when both choices were unusable or full: every slot is
// tried from a random start, those to be avoided last.
func (t TwoChoices) scan(q Query, slots []*Slot) *Slot {
	start := rand.IntN(len(slots))
	for i := range slots {
		s := slots[(start+i)%len(slots)]
		if t.take(q, s) {
			return s
		}
	}
	for i := range slots {
		s := slots[(start+i)%len(slots)]
		if s.enter(q) {
			return s
		}
	}
	return nil
}
