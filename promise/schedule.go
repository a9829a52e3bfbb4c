// Package promise keeps room of a zone for callers that were refused and told when to
// come back. It does no I/O and doesn't read the clock.
package promise

import (
	"slices"
	"sync"
	"time"
)

const (
	// soonest is the shortest Retry-After of a refused caller.
	soonest = 300 * time.Millisecond
	// Latest is the longest such time.
	Latest = 2 * time.Second
	// window is for how long room is kept after the promised time; callers come back a
	// round trip and their own delay after it.
	window = 150 * time.Millisecond
	// lead is for how long room is kept before the promised time at least, and leadPlaces
	// the number of places that come free meanwhile: without it, callers that come just
	// before take them.
	lead       = 50 * time.Millisecond
	leadPlaces = 4
	// share is the part of the places coming free that is promised. The rest is for
	// callers that come for the first time, who can still be served in time.
	share = 0.1
)

// Model names what the promised room is for.
type Model struct{ Service, Name string }

// Caller identifies a refused caller. Each attempt of a caller has an id of its own; its
// account and the size of its request tell it from other callers.
type Caller struct {
	Account string
	// Urgency orders callers; 0 is the most urgent.
	Urgency int
	// Prompt and Answer are the lengths of the prompt and of the expected answer in tokens.
	Prompt, Answer int
}

// promised is room kept for one caller around a time.
type promised struct {
	caller Caller
	at     time.Time
}

// Schedule holds the room promised at the groups of one zone. It may be used by several
// goroutines. The zero value is ready for use.
type Schedule struct {
	mu     sync.Mutex
	models map[Model]*queue
	counts Counts
}

// queue is what was promised at the groups of one model, in the order of its times.
type queue struct {
	open []promised
	last time.Time // latest time that was promised
	lead time.Duration
}

// Counts are the numbers of promises since the schedule exists.
type Counts struct {
	Given     int64
	Kept      int64 // of these, taken by a caller that came back
	Unclaimed int64 // of these, ended as nobody came
}

// Give promises a place to a refused caller, and returns after what time it has to come
// back; false if no place can be promised within longest. Places come free every
// interval. A caller that was promised one before, and came too early, loses that.
func (s *Schedule) Give(now time.Time, model Model, caller Caller, interval, longest time.Duration) (time.Duration, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	q := s.queue(now, model)
	at := now.Add(soonest)
	if next := q.last.Add(time.Duration(float64(interval) / share)); next.After(at) {
		at = next
	}
	wait := at.Sub(now)
	q.drop(caller)
	if interval <= 0 || wait > min(longest, Latest) {
		return 0, false
	}
	q.open = append(q.open, promised{caller: caller, at: at})
	q.last, q.lead = at, max(lead, leadPlaces*interval)
	s.counts.Given++
	return wait, true
}

// Kept returns how many places are kept now from a caller: those of callers that are no
// less urgent. None is kept from a caller whose own time has come; own is true then.
func (s *Schedule) Kept(now time.Time, model Model, caller Caller) (places int, own bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	q := s.queue(now, model)
	if q.find(now, caller) >= 0 {
		return 0, true
	}
	for _, one := range q.due(now.Add(q.lead)) {
		if one.caller.Urgency <= caller.Urgency {
			places++
		}
	}
	return places, false
}

// Take ends the promise of a caller that got its place, if it had one.
func (s *Schedule) Take(now time.Time, model Model, caller Caller) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	q := s.queue(now, model)
	i := q.find(now, caller)
	if i < 0 {
		return false
	}
	q.open = append(q.open[:i], q.open[i+1:]...)
	s.counts.Kept++
	return true
}

// Counts returns the numbers of promises.
func (s *Schedule) Counts() Counts {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.counts
}

// queue returns the queue of a model without what has ended. The lock is held.
func (s *Schedule) queue(now time.Time, model Model) *queue {
	q, ok := s.models[model]
	if !ok {
		if s.models == nil {
			s.models = map[Model]*queue{}
		}
		q = &queue{}
		s.models[model] = q
	}
	ended := 0
	for ended < len(q.open) && now.Sub(q.open[ended].at) > window {
		ended++
	}
	s.counts.Unclaimed += int64(ended)
	q.open = q.open[ended:]
	return q
}

// drop ends the promises of a caller.
func (q *queue) drop(caller Caller) {
	q.open = slices.DeleteFunc(q.open, func(one promised) bool { return one.caller == caller })
}

// due returns the promises whose time has come.
func (q *queue) due(now time.Time) []promised {
	n := 0
	for n < len(q.open) && !q.open[n].at.After(now) {
		n++
	}
	return q.open[:n]
}

// find returns the index of the first promise of a caller whose time has come, -1 if
// there is none.
func (q *queue) find(now time.Time, caller Caller) int {
	for i, one := range q.due(now) {
		if one.caller == caller {
			return i
		}
	}
	return -1
}
