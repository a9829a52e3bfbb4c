package balance

import (
	"time"

	"redwinghall/fleet"
)

const (
	// permitBurst is how many permits of an endpoint may be saved up.
	permitBurst = 1
	// leastPermitRate is the rate, per second, at which an endpoint is tried that takes
	// less: only an answer can tell that its limit has ended.
	leastPermitRate = 0.1
	// firstLenderShare is the part of a limit that the first in rank lends, and of the
	// rest the second, and so on.
	firstLenderShare = 0.8
	// limitNews is how long a word of a limit is told to others: some intervals in
	// which nodes and zones tell each other their loads.
	limitNews = 2 * time.Second
	// sameLimitWord is the difference of time below which two equal words are one: each
	// node that passes a word on adds the time of its way.
	sameLimitWord = 100 * time.Millisecond
	// permitRetryLeast and permitRetryMost bound how long a node leaves an endpoint alone
	// for which it got no permit.
	permitRetryLeast = 20 * time.Millisecond
	permitRetryMost  = 2 * time.Second
)

// LimitReport is what an endpoint said of its limit, as nodes tell it each other.
type LimitReport struct {
	Endpoint string
	Limit    fleet.RateLimit
	Age      time.Duration
}

// limitState is what is known of an endpoint's limit. The tracker's lock guards it.
type limitState struct {
	limit     fleet.RateLimit
	saidAt    time.Time // by the endpoint; zero if it never named a limit
	heardAt   time.Time // by this node itself
	changedAt time.Time
	// permits are what this node may lend.
	permits bucket
	// refusedUntil is until when this node leaves the endpoint alone, as it got no permit.
	refusedUntil time.Time
}

// PermitShare returns the part of an endpoint's limit that a node lends, by its place
// among those that may: 0 is the first.
//
// Guard: nodes that don't see each other may each take themselves, or another one, for
// the one that lends. The shares of all places add up to one, so the endpoint gets no
// more than its limit whomever they ask.
func PermitShare(place int) float64 {
	share := firstLenderShare
	for range place {
		share *= 1 - firstLenderShare
	}
	return share
}

// set takes in a word. It reports whether it says something else than the one before.
func (l *limitState) set(now, saidAt time.Time, limit fleet.RateLimit) bool {
	changed := l.limit != limit
	if limit.Named && !l.limit.Named {
		// Requests that came before the limit are still there.
		l.permits = bucket{at: now}
		l.refusedUntil = time.Time{}
	}
	l.limit, l.saidAt = limit, saidAt
	if changed {
		l.changedAt = now
	}
	return changed
}

// lend takes a permit out, or says how long there will be none.
func (l *limitState) lend(now time.Time, share float64) (ok bool, wait time.Duration) {
	if !l.limit.Named {
		return true, 0
	}
	rate := l.lentRate(share)
	if l.permits.take(now, rate, permitBurst) {
		return true, 0
	}
	return false, l.untilPermit(now, rate)
}

func (l *limitState) lentRate(share float64) float64 {
	return share * max(l.limit.PerSecond, leastPermitRate)
}

// untilPermit returns how long it takes until a permit can be lent.
func (l *limitState) untilPermit(now time.Time, rate float64) time.Duration {
	if l.permits.has(now, rate, permitBurst) {
		return 0
	}
	if rate <= 0 {
		return permitRetryMost
	}
	return time.Duration((1 - l.permits.tokens) / rate * float64(time.Second))
}

// RecordLimit takes in what an answer says of the endpoint's limit. ran says that it is the
// answer of a request that ran. It returns what was known before, and whether that has
// changed.
//
// Guard: answers overtake each other. One to a request from before the limit was named
// doesn't end it, and neither does a rejection.
func (v *Attempt) RecordLimit(now time.Time, limit fleet.RateLimit, ran bool) (before fleet.RateLimit, changed bool) {
	v.t.mu.Lock()
	defer v.t.mu.Unlock()
	l := &v.s.limit
	before = l.limit
	if !limit.Named && (!before.Named || !ran || v.sentAt.Before(l.saidAt)) {
		return before, false
	}
	v.t.anyLimit = true
	l.heardAt = now
	return before, l.set(now, now, limit)
}

// MergeLimits takes in what other nodes know of limits. The newest word counts.
func (t *Tracker) MergeLimits(now time.Time, words []LimitReport) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, word := range words {
		t.learnLimit(now, word)
	}
}

// learnLimit is the same for one. The lock is held.
func (t *Tracker) learnLimit(now time.Time, word LimitReport) {
	l := &t.state(word.Endpoint, now).limit
	saidAt := now.Add(-word.Age)
	newer := saidAt.Sub(l.saidAt)
	if newer <= 0 || (word.Limit == l.limit && newer < sameLimitWord) {
		return
	}
	t.anyLimit = true
	l.set(now, saidAt, word.Limit)
}

// OwnLimitReports returns what endpoints lately said of their limits to this node itself.
func (t *Tracker) OwnLimitReports(now time.Time) []LimitReport {
	return t.limitWords(now, func(l *limitState) bool { return now.Sub(l.heardAt) < limitNews })
}

// ChangedLimits returns the limits that lately changed, as far as this node knows.
func (t *Tracker) ChangedLimits(now time.Time) []LimitReport {
	return t.limitWords(now, func(l *limitState) bool { return now.Sub(l.changedAt) < limitNews })
}

// Limits returns all limits that hold.
func (t *Tracker) Limits(now time.Time) []LimitReport {
	return t.limitWords(now, func(l *limitState) bool { return l.limit.Named })
}

func (t *Tracker) limitWords(now time.Time, wanted func(*limitState) bool) []LimitReport {
	t.mu.Lock()
	defer t.mu.Unlock()
	if !t.anyLimit {
		return nil
	}
	var words []LimitReport
	for id, s := range t.states {
		if !s.limit.saidAt.IsZero() && wanted(&s.limit) {
			words = append(words, s.limit.word(now, id))
		}
	}
	return words
}

func (l *limitState) word(now time.Time, id string) LimitReport {
	return LimitReport{Endpoint: id, Limit: l.limit, Age: now.Sub(l.saidAt)}
}

// Limit returns what is known of an endpoint's limit.
func (t *Tracker) Limit(now time.Time, id string) LimitReport {
	t.mu.Lock()
	defer t.mu.Unlock()
	if s, ok := t.states[id]; ok {
		return s.limit.word(now, id)
	}
	return LimitReport{Endpoint: id}
}

// Permit is the answer to a node that wants to send a request to an endpoint with a limit.
type Permit struct {
	Given bool
	// Wait is how long there will be none, if it isn't given.
	Wait time.Duration
	// Limit is what the one that lends knows of it.
	Limit LimitReport
}

// GrantPermit gives a permit for one request to an endpoint, of which the asking node knows a
// limit, out of this node's share.
func (t *Tracker) GrantPermit(now time.Time, known LimitReport, share float64) Permit {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.learnLimit(now, known)
	l := &t.state(known.Endpoint, now).limit
	given, wait := l.lend(now, share)
	return Permit{Given: given, Wait: wait, Limit: l.word(now, known.Endpoint)}
}

// RecordPermitDenied notes that this node got no permit for an endpoint, so that it is left
// alone until there may be one.
func (t *Tracker) RecordPermitDenied(now time.Time, id string, wait time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.state(id, now).limit.refusedUntil = now.Add(min(max(wait, permitRetryLeast), permitRetryMost))
}

// limitedFor returns how long an endpoint's limit keeps it from one more request, 0 if it
// doesn't as far as this node knows.
func (a Request) limitedFor(now time.Time, s *State) time.Duration {
	l := &s.limit
	switch {
	case !l.limit.Named:
		return 0
	case a.PermitShare > 0:
		return l.untilPermit(now, l.lentRate(a.PermitShare))
	}
	return max(0, l.refusedUntil.Sub(now))
}
