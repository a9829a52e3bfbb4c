package balance

import (
	"time"

	"redwinghall/fleet"
)

// An Attempt is one request sent to one endpoint. Its methods have to be called by
// one goroutine. It ends with one call of Done or Cancel.
type Attempt struct {
	t       *Tracker
	s       *State
	sentAt  time.Time
	prompt  int
	started bool
	ended   bool // counted as finished
	// startedMillis is when the endpoint's process started.
	startedMillis int64
	first         time.Time // when the first event of a stream came
	last          time.Time // when the last event of a stream came; sentAt before the first
	// predicted is the predicted time from sentAt to the first event, queued the part
	// of it spent waiting for a slot.
	predicted, queued time.Duration
	// retest is nil unless the request is sent to learn whether the endpoint is fast again.
	retest *retest
	kind   requestKind
	// stride is the number of tokens of an event, 0 if unknown; events counts the events.
	stride, events int
}

// ForwardedAttempt returns an attempt for a request that this node sends for another one, which
// counts it. It only records what the endpoint states, and ends with EndForwarded.
func (t *Tracker) ForwardedAttempt(now time.Time, e *fleet.Endpoint) *Attempt {
	t.mu.Lock()
	defer t.mu.Unlock()
	a := &Attempt{t: t, s: t.state(e.ID, now), sentAt: now, started: true, startedMillis: e.StartedMillis, last: now}
	a.s.retryAfter.start(now, a)
	return a
}

// EndForwarded ends the attempt of a request that was sent for another node.
func (a *Attempt) EndForwarded() {
	a.t.mu.Lock()
	defer a.t.mu.Unlock()
	a.s.retryAfter.finish(a)
}

// startAttempt counts a request that is sent to an endpoint. The lock is held.
func (t *Tracker) startAttempt(now time.Time, c *candidate, request Request) *Attempt {
	s := c.state
	s.own++
	t.totals.own++
	s.unstarted++
	s.unread += request.Prompt
	s.sent = s.sent.With(now, request.Prompt)
	if s.waitingSince.IsZero() {
		s.waitingSince = now
	}
	a := &Attempt{
		t: t, s: s, sentAt: now, prompt: request.Prompt, startedMillis: c.endpoint.StartedMillis, last: now, predicted: c.predicted, queued: c.queued,
		retest: c.retest, kind: request.kind(),
	}
	if engine := request.Service.Engine; engine != nil && !request.Resumed {
		a.stride = engine.Stride
	}
	s.retryAfter.start(now, a)
	return a
}

// RecordLoad records the load that the endpoint reports.
func (a *Attempt) RecordLoad(now time.Time, running int) {
	a.t.mu.Lock()
	defer a.t.mu.Unlock()
	a.s.reported, a.s.ownAtReport, a.s.reportedAt = running, a.s.own, now
}

// RecordEvent records an event of a stream. predictedPause returns the pause between
// events that Pace predicts.
func (a *Attempt) RecordEvent(now time.Time, predictedPause func(running int) time.Duration) {
	a.t.mu.Lock()
	defer a.t.mu.Unlock()
	s := a.s
	if a.started && predictedPause != nil {
		if expectedPause := predictedPause(s.running(now)); expectedPause > 0 {
			s.recordPause(float64(a.t.runTime(a.last, now)) / float64(expectedPause))
		}
	}
	if a.first.IsZero() {
		a.first = now
		a.confirm(a.responseTime(now))
	}
	if !a.started && predictedPause != nil && a.queued == 0 {
		a.t.updateBias(now, a.t.runTime(a.sentAt, now)-a.predicted)
	}
	a.start()
	a.events++
	a.last, s.learnedAt = now, now
	a.t.answeredAt = now
	s.lastEvent, s.waitingSince, s.stillUntil = now, now, time.Time{}
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
// mostly due to load that other nodes haven't shared yet, so a sample is capped.
const (
	biasWeight    = 0.02
	maxBiasSample = 300 * time.Millisecond
	minBiasSample = -300 * time.Millisecond
	minBias       = 0
	maxBias       = 200 * time.Millisecond
)

// updateBias updates the bias with how much later than predicted a first event came.
func (t *Tracker) updateBias(now time.Time, late time.Duration) {
	late = min(max(late, minBiasSample), maxBiasSample)
	t.bias += time.Duration(biasWeight * float64(late))
	t.bias, t.biasAt = min(max(t.bias, minBias), maxBias), now
}

func (a *Attempt) start() {
	if a.started {
		return
	}
	a.started = true
	a.s.unstarted--
	a.s.unread -= a.prompt
}

// finish removes the request from the endpoint's counts. The lock is held.
func (a *Attempt) finish() {
	a.ended = true
	a.start()
	a.s.retryAfter.finish(a)
	a.s.own--
	a.t.totals.own--
	if a.s.own == 0 {
		a.s.waitingSince = time.Time{}
	}
}

// Cancel ends an attempt whose request was not sent, or whose result is recorded later.
func (a *Attempt) Cancel() {
	a.t.mu.Lock()
	defer a.t.mu.Unlock()
	if !a.ended {
		a.finish()
	}
}

// Done ends the attempt, unless it was canceled, and records its result. ok reports whether the request succeeded. The length
// of the answer is learned only if its events were recorded one by one, which those of a canceled attempt may not be.
func (a *Attempt) Done(now time.Time, ok bool) {
	a.t.mu.Lock()
	defer a.t.mu.Unlock()
	s := a.s
	canceled := a.ended
	if !canceled {
		a.finish()
	}
	failed := 1.0
	s.learnedAt = now
	if ok {
		failed = 0
		a.confirm(a.responseTime(now))
		if a.events > 0 && a.stride > 0 && !canceled {
			a.t.learnAnswer(a.kind, float64(a.events*a.stride))
		}
		s.latency += time.Duration(smoothing * float64(a.responseTime(now)-s.latency))
	}
	s.failures += smoothing * (failed - s.failures)
}

// responseTime is the time to the first event of a stream, or to the answer if
// there was no event.
func (a *Attempt) responseTime(now time.Time) time.Duration {
	if a.first.IsZero() {
		return a.t.runTime(a.sentAt, now)
	}
	return a.t.runTime(a.sentAt, a.first)
}

// SinceFirstEvent returns how long ago the first event of the stream came, negative if none has.
func (a *Attempt) SinceFirstEvent(now time.Time) time.Duration {
	a.t.mu.Lock()
	defer a.t.mu.Unlock()
	if a.first.IsZero() {
		return -1
	}
	return now.Sub(a.first)
}

// TimeWithoutEvent returns how long this node has been waiting for an event of any
// of its streams at the endpoint, without pauses of this process.
func (a *Attempt) TimeWithoutEvent(now time.Time) time.Duration {
	a.t.mu.Lock()
	defer a.t.mu.Unlock()
	if a.s.waitingSince.IsZero() {
		return 0
	}
	return a.t.runTime(a.s.waitingSince, now)
}
