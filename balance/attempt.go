package balance

import "time"

// An Attempt is one request sent to one endpoint. Its methods have to be called by
// one goroutine. It ends with one call of Done or Cancel.
type Attempt struct {
	t       *Tracker
	s       *State
	sentAt  time.Time
	prompt  int
	started bool
	first   time.Time // event of a stream
	last    time.Time // event of a stream, sentAt before the first
	// predicted is the predicted time from sentAt to the first event, queued the part
	// of it spent waiting for a slot.
	predicted, queued time.Duration
}

// startAttempt counts a request that is sent to an endpoint. The lock is held.
func (t *Tracker) startAttempt(now time.Time, s *State, prompt int, predicted, queued time.Duration) *Attempt {
	s.own++
	s.unstarted++
	s.unread += prompt
	s.sent = s.sent.With(now, prompt)
	if s.waitingSince.IsZero() {
		s.waitingSince = now
	}
	return &Attempt{t: t, s: s, sentAt: now, prompt: prompt, last: now, predicted: predicted, queued: queued}
}

// RecordLoad records the load that the endpoint reports.
func (v *Attempt) RecordLoad(now time.Time, running int) {
	v.t.mu.Lock()
	defer v.t.mu.Unlock()
	v.s.reported, v.s.ownAtReport, v.s.reportedAt = running, v.s.own, now
}

// RecordEvent records an event of a stream. predictedPause returns the pause between
// events that Pace predicts.
func (v *Attempt) RecordEvent(now time.Time, predictedPause func(running int) time.Duration) {
	v.t.mu.Lock()
	defer v.t.mu.Unlock()
	s := v.s
	if v.started && predictedPause != nil {
		if want := predictedPause(s.running(now)); want > 0 {
			s.recordPause(float64(now.Sub(v.last)) / float64(want))
		}
	}
	if !v.started && predictedPause != nil && v.queued == 0 {
		v.t.updateBias(now.Sub(v.sentAt) - v.predicted)
	}
	if v.first.IsZero() {
		v.first = now
	}
	v.start()
	v.last = now
	s.lastEvent, s.waitingSince = now, now
	s.backoff, s.backoffUntil = 0, time.Time{}
}

// recordPause updates the slowdown with one pause, given as a multiple of the
// predicted one. A single long pause means that a prompt is being read, so the
// multiple is capped.
func (s *State) recordPause(ratio float64) {
	const maxRatio = 8 // times as slow
	s.slowdown += smoothing / 4 * (min(ratio, maxRatio) - s.slowdown)
}

// Weight and bounds of the bias and of one sample of it. A late first event is
// mostly due to load that the node couldn't know of, so a sample is capped.
const (
	biasWeight    = 0.02
	maxBiasSample = 300 * time.Millisecond
	minBiasSample = -300 * time.Millisecond
	minBias       = 0
	maxBias       = 200 * time.Millisecond
)

// updateBias updates the bias with how much later than predicted a first event came.
func (t *Tracker) updateBias(late time.Duration) {
	late = min(max(late, minBiasSample), maxBiasSample)
	t.bias += time.Duration(biasWeight * float64(late))
	t.bias = min(max(t.bias, minBias), maxBias)
}

func (v *Attempt) start() {
	if v.started {
		return
	}
	v.started = true
	v.s.unstarted--
	v.s.unread -= v.prompt
}

// finish removes the request from the endpoint's counts. The lock is held.
func (v *Attempt) finish() {
	v.start()
	v.s.own--
	if v.s.own == 0 {
		v.s.waitingSince = time.Time{}
	}
}

// Cancel ends an attempt whose request was not sent.
func (v *Attempt) Cancel() {
	v.t.mu.Lock()
	defer v.t.mu.Unlock()
	v.finish()
}

// Done ends the attempt. ok says whether the request succeeded.
func (v *Attempt) Done(now time.Time, ok bool) {
	v.t.mu.Lock()
	defer v.t.mu.Unlock()
	s := v.s
	v.finish()
	failed := 1.0
	if ok {
		failed = 0
		s.latency += time.Duration(smoothing * float64(v.responseTime(now)-s.latency))
	}
	s.failures += smoothing * (failed - s.failures)
}

// responseTime is the time to the first event of a stream, or to the answer if
// there was no event.
func (v *Attempt) responseTime(now time.Time) time.Duration {
	if v.first.IsZero() {
		return now.Sub(v.sentAt)
	}
	return v.first.Sub(v.sentAt)
}

// TimeWithoutEvent returns how long this node has been waiting for an event of any
// of its streams at the endpoint.
func (v *Attempt) TimeWithoutEvent(now time.Time) time.Duration {
	v.t.mu.Lock()
	defer v.t.mu.Unlock()
	if v.s.waitingSince.IsZero() {
		return 0
	}
	return now.Sub(v.s.waitingSince)
}
