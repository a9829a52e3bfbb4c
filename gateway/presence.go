package gateway

import (
	"context"
	"errors"
	"time"

	"redwinghall/endpointhttp"
	"redwinghall/fleet"
	"redwinghall/kernel"
)

const (
	// firstQuestion is how long an endpoint has for the first question after its process: a few round trips between
	// zones. A process that has just started is slow, and a question on a path that breaks gets no answer, so each
	// further one may take twice as long, up to maxQuestion.
	firstQuestion = 150 * time.Millisecond
	maxQuestion   = 2 * time.Second
	// questionPauseShare is the pause behind a question, as a share of the time that it had: many requests may have broken
	// off together, and a path that is cut fails each of their questions early.
	questionPauseShare = 0.25
	// maxAskedElsewhere bounds how many questions this node asks by way of other nodes at a time: those bound them too,
	// and pass over a node that asks for more.
	maxAskedElsewhere = 16
)

// latestEntry returns the entry of the process that runs at an endpoint by now. The endpoint may have started again
// since it was chosen, or before: a request that was sent to it reached the next process then.
func (g *Gateway) latestEntry(e *fleet.Endpoint) *fleet.Endpoint {
	latest, listed := g.Cache.View().Endpoints[e.ID]
	if listed && latest.StartedMillis > e.StartedMillis && latest.Address == e.Address {
		return latest
	}
	return e
}

// presenceAfter finds out whether the process that had a request still runs after its response broke off with err. It returns
// that process's entry too, which may be later than the one by which the request was sent.
//
// The entry of a process that started before the request came may be read while its predecessor is asked for. It is then
// asked for itself: else the end of neither would count. A caller that has waited in vain for the proof of an end doesn't
// wait once more.
func (g *Gateway) presenceAfter(ctx context.Context, e *fleet.Endpoint, err error) (*fleet.Endpoint, fleet.Presence) {
	latest := g.latestEntry(e)
	if errors.Is(err, errUnprovenEnd) {
		return latest, fleet.PresenceUnknown
	}
	found := g.askOnce(ctx, latest, firstQuestion)
	if next := g.latestEntry(latest); next != latest && (found == fleet.PresenceGone || found == fleet.PresenceUnknown) {
		latest, found = next, g.askOnce(ctx, next, firstQuestion)
	}
	g.Metrics.BrokenOff(found)
	return latest, found
}

func (g *Gateway) askOnce(ctx context.Context, e *fleet.Endpoint, timeout time.Duration) fleet.Presence {
	if g.Presence == nil {
		return fleet.PresenceUnknown
	}
	return g.Presence(ctx, e, timeout)
}

// awaitPresence asks until it is known whether an endpoint's process still runs, for limit at most.
//
// The first question goes over this node's own connection alone, as most processes answer it. This node may be cut off
// from the endpoint, so the next ones go by way of other nodes too. The servers of plain services name no start in what they
// answer: it counts on an open witness, or else if it comes at once, as a process that has just started is slow, unless a connection
// shows more that was open as the request was sent, at sent. A zero time is that of no request. witness may be nil.
func (g *Gateway) awaitPresence(ctx context.Context, e *fleet.Endpoint, limit time.Duration, sent time.Time, witness *endpointhttp.Witness) fleet.Presence {
	begun := time.Now()
	if g.Presence == nil || limit <= 0 {
		return fleet.PresenceUnknown
	}
	if g.hasSuccessor(e) {
		return fleet.PresenceGone
	}
	if witness != nil && witness.IsOpen(ctx) {
		return g.askBesideWitness(ctx, e, limit, sent, witness)
	}
	found := g.askOnce(ctx, e, min(firstQuestion, limit))
	left := limit - kernel.RunTime(begun, time.Now())
	switch {
	case found == fleet.PresenceAnswered && !sent.IsZero():
		found = g.Upstream.Weigh(ctx, e, sent, min(maxQuestion, left))
	case found == fleet.PresenceUnknown && left > 0:
		found = g.askAllWays(ctx, e, left, sent)
	}
	return found
}

// askBesideWitness is awaitPresence with an open witness. If nobody answers there, another answer that names no start proves nothing.
func (g *Gateway) askBesideWitness(ctx context.Context, e *fleet.Endpoint, limit time.Duration, sent time.Time, witness *endpointhttp.Witness) fleet.Presence {
	begun := time.Now()
	there := witness.Ask(ctx, min(firstQuestion, limit))
	if there.IsKnown() {
		return there
	}
	found := g.awaitPresence(ctx, e, limit-kernel.RunTime(begun, time.Now()), sent, nil)
	if there == fleet.PresenceUnknown && found == fleet.PresenceAnswered {
		return fleet.PresenceUnknown
	}
	return found
}

// askAllWays asks over this node's own connections, new and earlier ones, and by way of other nodes at the same time.
func (g *Gateway) askAllWays(ctx context.Context, e *fleet.Endpoint, limit time.Duration, sent time.Time) fleet.Presence {
	ctx, cancel := kernel.WithTimeout(ctx, limit)
	defer cancel()
	group := kernel.NewGroup(ctx) // nobody waits for it: other nodes may answer after the end of ctx
	answers := make(chan fleet.Presence, 3)
	group.Task("ask_process", func(ctx context.Context) { g.askOn(ctx, e, g.Presence, answers) })
	if g.PresenceElsewhere != nil {
		group.Task("ask_process_elsewhere", func(ctx context.Context) { g.askOn(ctx, e, g.askElsewhere, answers) })
	}
	if !sent.IsZero() {
		askEarlier := func(ctx context.Context, e *fleet.Endpoint, timeout time.Duration) fleet.Presence {
			return g.Upstream.AskEarlier(ctx, e, sent, timeout)
		}
		group.Task("ask_process_earlier", func(ctx context.Context) { g.askOn(ctx, e, askEarlier, answers) })
	}
	select {
	case found := <-answers:
		return found
	case <-ctx.Done():
		return fleet.PresenceUnknown
	}
}

// askOn asks in one way until it is known whether the process runs or ctx has ended.
func (g *Gateway) askOn(ctx context.Context, e *fleet.Endpoint, ask func(context.Context, *fleet.Endpoint, time.Duration) fleet.Presence, answers chan<- fleet.Presence) {
	for timeout := 2 * firstQuestion; ctx.Err() == nil; timeout = min(2*timeout, maxQuestion) {
		found := ask(ctx, e, timeout)
		if !found.IsKnown() && g.hasSuccessor(e) {
			found = fleet.PresenceGone
		}
		if found.IsKnown() {
			answers <- found
			return
		}
		kernel.Sleep(ctx, time.Duration(questionPauseShare*float64(timeout)))
	}
}

func (g *Gateway) askElsewhere(ctx context.Context, e *fleet.Endpoint, timeout time.Duration) fleet.Presence {
	defer g.askedElsewhere.Add(-1)
	if g.askedElsewhere.Add(1) > maxAskedElsewhere {
		return fleet.PresenceUnknown
	}
	return g.PresenceElsewhere(ctx, e, timeout)
}

// hasSuccessor reports whether another process has registered under the endpoint's id, so that the one of the entry
// has ended.
func (g *Gateway) hasSuccessor(e *fleet.Endpoint) bool {
	latest, listed := g.Cache.View().Endpoints[e.ID]
	return listed && e.StartedMillis != 0 && latest.StartedMillis > e.StartedMillis
}
