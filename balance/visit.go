package balance

import "time"

// A Attempt is one request at one endpoint. Its methods are called by one
// goroutine; Done is called once.
type Attempt struct {
	t       *Tracker
	s       *State
	sentAt  time.Time
	prompt  int
	started bool
	first   time.Time // event of a stream
	last    time.Time
	// predicted is when the first event should come, after sentAt, and queued the
	// part of it that is a wait for a place.
	predicted, queued time.Duration
}

// visit notes that a request goes to an endpoint. The lock is held.
func (t *Tracker) visit(now time.Time, s *State, prompt int, predicted, queued time.Duration) *Attempt {
	s.own++
	s.unstarted++
	s.unread += prompt
	s.sent = s.sent.With(now, prompt)
	if s.waitingSince.IsZero() {
		s.waitingSince = now
	}
	return &Attempt{t: t, s: s, sentAt: now, prompt: prompt, last: now, predicted: predicted, queued: queued}
}

// RecordLoad takes in the endpoint's own report of its load.
func (v *Attempt) RecordLoad(now time.Time, running int) {
	v.t.mu.Lock()
	defer v.t.mu.Unlock()
	v.s.reported, v.s.ownAtReport, v.s.reportedAt = running, v.s.own, now
}

// RecordEvent notes an event of a stream. usual returns the pause that the pace predicts.
func (v *Attempt) RecordEvent(now time.Time, usual func(running int) time.Duration) {
	v.t.mu.Lock()
	defer v.t.mu.Unlock()
	s := v.s
	if v.started && usual != nil {
		if want := usual(s.running(now)); want > 0 {
			s.observe(float64(now.Sub(v.last)) / float64(want))
		}
	}
	if !v.started && usual != nil && v.queued == 0 {
		v.t.learn(now.Sub(v.sentAt) - v.predicted)
	}
	if v.first.IsZero() {
		v.first = now
	}
	v.start()
	v.last = now
	s.lastEvent, s.waitingSince = now, now
	s.backoff, s.backoffUntil = 0, time.Time{}
}

// observe takes one pause in, as a multiple of the predicted one. One long
// pause is a prompt being read, so it counts with a bound.
func (s *State) observe(ratio float64) {
	const longest = 8 // times as slow
	s.slowdown += smoothing / 4 * (min(ratio, longest) - s.slowdown)
}

// Bounds of what is learned from one first event. A late one is mostly due to
// what the node couldn't know of, so it counts with a bound.
const (
	biasWeight  = 0.02
	biasOneUp   = 300 * time.Millisecond
	biasOneDown = -300 * time.Millisecond
	biasLeast   = 0
	biasMost    = 200 * time.Millisecond
)

// learn takes in how much later than predicted a first event came.
func (t *Tracker) learn(late time.Duration) {
	late = min(max(late, biasOneDown), biasOneUp)
	t.bias += time.Duration(biasWeight * float64(late))
	t.bias = min(max(t.bias, biasLeast), biasMost)
}

func (v *Attempt) start() {
	if v.started {
		return
	}
	v.started = true
	v.s.unstarted--
	v.s.unread -= v.prompt
}

// leave takes the request off the endpoint's counts. The lock is held.
func (v *Attempt) leave() {
	v.start()
	v.s.own--
	if v.s.own == 0 {
		v.s.waitingSince = time.Time{}
	}
}

// Cancel ends a visit that was not made.
func (v *Attempt) Cancel() {
	v.t.mu.Lock()
	defer v.t.mu.Unlock()
	v.leave()
}

// Done ends the visit. ok says whether the endpoint did what was asked.
func (v *Attempt) Done(now time.Time, ok bool) {
	v.t.mu.Lock()
	defer v.t.mu.Unlock()
	s := v.s
	v.leave()
	failed := 1.0
	if ok {
		failed = 0
		s.latency += time.Duration(smoothing * float64(v.answeredAfter(now)-s.latency))
	}
	s.failures += smoothing * (failed - s.failures)
}

// answeredAfter is how long the caller waited: until the first event of a
// stream, or until the answer.
func (v *Attempt) answeredAfter(now time.Time) time.Duration {
	if v.first.IsZero() {
		return now.Sub(v.sentAt)
	}
	return v.first.Sub(v.sentAt)
}

// TimeWithoutEvent returns how long this node has waited for any event of an endpoint.
func (v *Attempt) TimeWithoutEvent(now time.Time) time.Duration {
	v.t.mu.Lock()
	defer v.t.mu.Unlock()
	if v.s.waitingSince.IsZero() {
		return 0
	}
	return now.Sub(v.s.waitingSince)
}
