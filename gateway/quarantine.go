package gateway

import (
	"context"
	"errors"
	"net/http"
	"sync"
	"time"

	"k8s.io/klog/v2"

	"redwinghall/fleet"
	"redwinghall/kernel"
	"redwinghall/quarantine"
)

const (
	// provenAfter is how long an endpoint must go on after its first event until its answer speaks for the
	// parts of the prompt: a process may send an event, and end under the same request.
	provenAfter = 200 * time.Millisecond
	// maxTrialWait is how long a request with a suspected part waits for the outcome of another one's trial.
	maxTrialWait = 500 * time.Millisecond
	// trialWaitShare is the most that it waits, as a share of the time that it has left.
	trialWaitShare = 3
	// trialInterval is how often it asks meanwhile whether it may be the next trial.
	trialInterval = 100 * time.Millisecond
	// maxHeld bounds how many requests wait for the outcome of trials.
	maxHeld = 64
	// suspectedRetryAfter is when a caller may come back whose request could not wait any longer. A trial
	// is over by then.
	suspectedRetryAfter = time.Second
)

// Reasons of refusals for a part of the request.
const (
	reasonQuarantined = "prompt_quarantined"
	reasonSuspected   = "prompt_suspected"
)

// ErrQuarantined is the cause of the end of an attempt whose request has a part that was quarantined meanwhile.
var ErrQuarantined = errors.New("a part of the request is quarantined")

// TrialGranter grants the trials of requests with suspected parts, for all nodes.
type TrialGranter interface {
	// RequestTrial asks for the permission to send a request. The evidence that decided is in the
	// quarantine's table afterwards.
	RequestTrial(ctx context.Context, request, service string, parts []string) quarantine.TrialAnswer
	// EndTrial returns the permission of a request that told nothing of its parts.
	EndTrial(request string)
}

// localTrials grants the trials of a node that is alone.
type localTrials struct{ table *quarantine.Table }

func (t localTrials) RequestTrial(_ context.Context, request, service string, parts []string) quarantine.TrialAnswer {
	return t.table.RequestTrial(time.Now(), request, service, parts)
}

func (t localTrials) EndTrial(request string) { t.table.EndTrial(request) }

// quarantineGate passes the attempts of one request through the quarantine, and tells it what became of them.
type quarantineGate struct {
	g *Gateway
	r *Request
	// trial is set if the present attempt finds out whether a part of the request ends endpoints.
	trial bool
	// proven is set once the present attempt has shown that the parts of the request end no endpoint.
	proven bool
	// ended is set once the endpoint's process has ended under the present attempt.
	ended bool
}

// pass decides whether the next attempt may be sent, as far as the parts of the request are concerned.
// It returns a refusal if not.
func (q *quarantineGate) pass(ctx context.Context) *refusal {
	q.trial, q.proven, q.ended = false, false, false
	q.g.awaitQuarantine(ctx)
	decision := q.decide()
	if decision.Verdict == quarantine.Send {
		return nil
	}
	if q.g.held.Add(1) > maxHeld && decision.Verdict == quarantine.Trial {
		q.g.held.Add(-1)
		return q.suspectedRefusal(decision)
	}
	defer q.g.held.Add(-1)
	return q.awaitTrial(ctx)
}

func (q *quarantineGate) decide() quarantine.Decision {
	if !q.g.Quarantine.IsSuspecting() {
		return quarantine.Decision{Verdict: quarantine.Send}
	}
	return q.g.Quarantine.Check(time.Now(), q.r.Service.Name, q.r.parts())
}

// awaitTrial waits until nothing speaks against the request any more, it is granted the next trial, or its
// waiting time is over.
func (q *quarantineGate) awaitTrial(ctx context.Context) *refusal {
	begun := time.Now()
	limit := min(maxTrialWait, q.r.Left(begun)/trialWaitShare)
	for {
		changed := q.g.Quarantine.Changed()
		decision := q.decide()
		switch decision.Verdict {
		case quarantine.Send:
			return nil
		case quarantine.Refuse:
			return q.quarantinedRefusal(decision)
		}
		switch q.g.Trials.RequestTrial(ctx, q.r.Info.ID, q.r.Service.Name, q.r.parts()) {
		case quarantine.TrialGranted:
			q.trial = true
			klog.InfoS("trial", "request", q.r.Info.ID, "part", decision.Part.ID, "waited", time.Since(begun))
			q.g.Metrics.Trial()
			return nil
		case quarantine.TrialNeedless:
			return nil
		case quarantine.TrialRefused:
			return q.quarantinedRefusal(q.decide())
		}
		if time.Since(begun) >= limit || ctx.Err() != nil {
			return q.suspectedRefusal(decision)
		}
		waitForChange(ctx, changed, trialInterval)
	}
}

// endTrial ends the trial of an attempt that told nothing of the parts of its request. What it told ends it at
// the node that granted it, together with the news.
func (q *quarantineGate) endTrial() {
	if q.trial && !q.proven && !q.ended {
		q.g.Trials.EndTrial(q.r.Info.ID)
	}
}

func waitForChange(ctx context.Context, changed <-chan struct{}, limit time.Duration) {
	timer := time.NewTimer(limit)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-changed:
	case <-timer.C:
	}
}

func (q *quarantineGate) quarantinedRefusal(decision quarantine.Decision) *refusal {
	klog.InfoS("part_refused", "request", q.r.Info.ID, "part", decision.Part.ID, "retry_after", decision.Wait)
	return &refusal{status: http.StatusServiceUnavailable, reason: reasonQuarantined, retryAfter: max(decision.Wait, suspectedRetryAfter)}
}

func (q *quarantineGate) suspectedRefusal(decision quarantine.Decision) *refusal {
	klog.InfoS("part_refused", "request", q.r.Info.ID, "part", decision.Part.ID, "suspected", true)
	return &refusal{status: http.StatusServiceUnavailable, reason: reasonSuspected, retryAfter: suspectedRetryAfter}
}

// awaitQuarantine waits until this node has heard from another one which parts are suspected, for a moment
// after its start at most.
//
// Each node that starts would otherwise send such requests to endpoints again.
func (g *Gateway) awaitQuarantine(ctx context.Context) {
	if g.QuarantineKnown != nil && !isClosed(g.QuarantineKnown) {
		g.awaitStartup(ctx, time.Now(), g.QuarantineKnown)
	}
}

// recordPresence records what was found of an endpoint's process after an attempt without a proven answer broke off.
func (q *quarantineGate) recordPresence(now time.Time, e *fleet.Endpoint, found fleet.Presence) {
	suspect := quarantine.Suspect{
		Process: quarantine.Process{Endpoint: e.ID, StartedMillis: e.StartedMillis},
		Request: q.r.Info.ID, Service: q.r.Service.Name, Parts: q.r.parts(), Trial: q.trial, At: now,
	}
	switch {
	case found == fleet.PresenceGone:
		q.ended = q.g.recordEnd(e, suspect)
	case found == fleet.PresenceUnknown && q.g.Background != nil:
		q.g.Background("presence", func(ctx context.Context) { q.g.recheckPresence(ctx, e, suspect) })
	}
}

const (
	// presenceInterval is the time until an endpoint is asked again if nobody could tell whether its process ended: a
	// node that is slow itself gets no answer in time.
	presenceInterval = 150 * time.Millisecond
	// recheckTime is for how long it is asked then: a process that has just started is slow for some seconds.
	recheckTime = 4 * time.Second
)

// recheckPresence finds out later whether an endpoint's process ended.
func (g *Gateway) recheckPresence(ctx context.Context, e *fleet.Endpoint, suspect quarantine.Suspect) {
	if !kernel.Sleep(ctx, presenceInterval) {
		return
	}
	found := g.awaitPresence(ctx, e, recheckTime, time.Time{}, nil)
	g.Metrics.BrokenOff(found)
	if found == fleet.PresenceGone {
		g.recordEnd(e, suspect)
	}
}

// recordEnd records that an endpoint's process ended while it had a request, unless the process had to end
// anyway: it was leaving, or its entry is gone. It reports whether it did.
func (g *Gateway) recordEnd(e *fleet.Endpoint, suspect quarantine.Suspect) bool {
	known, listed := g.Cache.View().Endpoints[e.ID]
	if !listed || known.StartedMillis != e.StartedMillis || known.State != fleet.EndpointReady || g.Tracker.IsLeaving(e) {
		return false
	}
	klog.InfoS("endpoint_ended_under", "request", suspect.Request, "endpoint", e.ID, "parts", suspect.Parts, "trial", suspect.Trial)
	g.Metrics.EndedUnder()
	g.Quarantine.RecordEnd(suspect)
	return true
}

// recordProven records that the endpoint has answered the request and lives on.
//
// While nothing is suspected, only what other requests have too is remembered: the parts of a prompt that requests
// share, and calls without a prompt, of which many are equal.
func (q *quarantineGate) recordProven(now time.Time) {
	q.proven = true
	q.g.unproven.remove(q)
	parts := q.r.Info.PromptParts
	if q.r.Service.Engine == nil || q.g.Quarantine.IsSuspecting() {
		parts = q.r.parts()
	}
	q.g.Quarantine.RecordProven(now, q.r.Service.Name, parts)
}

// unprovenAttempts are the attempts in progress that don't speak for the parts of their requests yet. The zero
// value is empty.
type unprovenAttempts struct {
	mu      sync.Mutex
	cancels map[*quarantineGate]context.CancelCauseFunc
}

func (u *unprovenAttempts) add(q *quarantineGate, cancel context.CancelCauseFunc) {
	u.mu.Lock()
	defer u.mu.Unlock()
	if u.cancels == nil {
		u.cancels = map[*quarantineGate]context.CancelCauseFunc{}
	}
	u.cancels[q] = cancel
}

func (u *unprovenAttempts) remove(q *quarantineGate) {
	u.mu.Lock()
	defer u.mu.Unlock()
	delete(u.cancels, q)
}

// CancelQuarantined cancels the attempts whose requests have a part that is quarantined by now, before the
// endpoints begin to answer them.
func (g *Gateway) CancelQuarantined() {
	if !g.Quarantine.IsSuspecting() {
		return
	}
	g.unproven.mu.Lock()
	defer g.unproven.mu.Unlock()
	for q, cancel := range g.unproven.cancels {
		if q.decide().Verdict == quarantine.Refuse {
			klog.InfoS("attempt_quarantined", "request", q.r.Info.ID)
			cancel(ErrQuarantined)
		}
	}
}
