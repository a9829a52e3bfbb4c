package gateway

import (
	"context"
	"errors"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"redwinghall"
	"redwinghall/balance"
	"redwinghall/fleet"
	"redwinghall/kernel"
	"redwinghall/quarantine"
)

const (
	// minStallTimeout is how long a group may make no progress before it gets no new streams
	// and is reported. It is longer than an engine pass that processes prompts at every step.
	minStallTimeout = 700 * time.Millisecond
	// silenceTolerance is how long a sound endpoint may send nothing. Only then streams resume
	// elsewhere, while callers have not disconnected yet.
	silenceTolerance = 1300 * time.Millisecond
	// stallCheckInterval is the minimum time between two checks for a stall.
	stallCheckInterval = 100 * time.Millisecond
	// takeoverPause is how long no takeover starts after one that found no room: each asks for a place, and a dispatcher
	// keeps room for those that it refuses.
	takeoverPause = 300 * time.Millisecond
	// plainStallPauses is the stall timeout of a plain service's stream, in multiples
	// of the route's pause objective.
	plainStallPauses = 6
)

// ErrStalled is the cause of the end of an attempt in which nothing came any more.
var ErrStalled = errors.New("the group makes no progress")

// streamCall is the state of one stream.
type streamCall struct {
	g           *Gateway
	r           *Request
	w           http.ResponseWriter
	flush       *http.ResponseController
	sent        atomic.Int64 // attempts whose request may have reached a group
	failedDials atomic.Int64
	// mayHaveRun is true if a group may have executed the request or may still be
	// executing it.
	mayHaveRun atomic.Bool
	// retrySpent is set while the retry budget is spent for an attempt that wasn't sent.
	retrySpent   atomic.Bool
	headersSent  atomic.Bool // the response headers were sent to the caller
	bytes        int64       // bytes of events sent to the caller
	firstEventAt time.Time   // when the first event arrived
	longestPause time.Duration
	lastEventAt  time.Time
	// ahead is the body of the present attempt's answer, nil before the first.
	ahead atomic.Pointer[aheadBody]
	// unread is set while nothing is read of the answer, so that its silence says nothing of the endpoint.
	unread atomic.Bool
	// blank holds the blank lines and comments before the first event of the present attempt.
	blank []byte

	// mu guards what the attempt whose events are passed on shares with a takeover.
	mu     sync.Mutex
	tried  map[string]bool // endpoints that got an attempt
	lastID int64           // id of the last event sent to the caller, valid if hasID
	hasID  bool
	// unnumbered is set once an event without an id is passed on: nothing tells from where the stream would go on.
	unnumbered bool
	// trials holds the quarantine gates of the attempts in progress that were sent as trials of a suspected part.
	trials   map[*quarantineGate]bool
	takeover *takeover // the takeover in progress or won, nil if there is none
	// takeovers runs all takeovers of the stream, nil before the first.
	takeovers *kernel.Group
	// refusedAt is when a takeover last found no room.
	refusedAt time.Time
}

// serveStream handles a request whose response is a stream of events.
func (g *Gateway) serveStream(ctx context.Context, w http.ResponseWriter, r *Request) {
	g.streams.Add(1)
	defer g.streams.Add(-1)
	call := &streamCall{g: g, r: r, w: w, flush: http.NewResponseController(w), tried: map[string]bool{}}
	if id, err := strconv.ParseInt(r.Info.LastEvent, 10, 64); err == nil {
		call.lastID, call.hasID = id, true
	}
	defer call.endTakeovers()
	for {
		run, why := call.begin(ctx)
		if why != nil {
			call.refuse(*why)
			return
		}
		last := call.attempt(run)
		for next := call.awaitTakeover(last); next != nil; next = call.awaitTakeover(last) {
			last = call.attempt(next)
		}
		if last.done {
			return
		}
		if !call.shouldRetry(ctx, last) {
			call.giveUp(ctx)
			return
		}
		r.takeView(g.Cache)
	}
}

// begin chooses the endpoint of the next attempt, or returns why there is none.
func (c *streamCall) begin(ctx context.Context) (*streamRun, *refusal) {
	for {
		gate := &quarantineGate{g: c.g, r: c.r}
		if why := gate.pass(ctx); why != nil {
			return nil, why
		}
		c.beginTrial(gate)
		choice, refused := c.choose(ctx)
		if refused != nil {
			c.endTrial(gate)
			if c.g.awaitEndpoints(ctx, time.Now(), c.r, refused) {
				c.r.takeView(c.g.Cache)
				continue
			}
			why := c.g.noEndpointRefusal(refused)
			return nil, &why
		}
		if why := c.checkStop(time.Now(), choice); why != nil {
			choice.Attempt.Cancel()
			c.endTrial(gate)
			return nil, why
		}
		return c.newRun(ctx, choice, gate), nil
	}
}

// checkStop refuses a stream whose response hasn't begun if a planned stop of this node leaves no time for it.
func (c *streamCall) checkStop(now time.Time, choice balance.Choice) *refusal {
	if c.headersSent.Load() {
		return nil
	}
	stop := c.g.stop()
	if !stop.Accepts(now, c.r.ending(choice.Expected)) {
		why := stop.refusal(now, choice.Expected)
		return &why
	}
	stop.logAccepted(now, c.r, choice.Expected)
	return nil
}

// choose returns the endpoint for the stream: the head of a group that serves its
// model, or an endpoint of a plain service.
func (c *streamCall) choose(ctx context.Context) (balance.Choice, *balance.Refusal) {
	req := c.g.balanceRequest(c.r, c.triedEndpoints())
	req.Resumed = c.sent.Load() > 0
	if c.r.Service.Engine == nil {
		return c.g.choosePlain(ctx, c.r, req)
	}
	return c.g.withinLimits(ctx, c.r, func(now time.Time) (balance.Choice, *balance.Refusal) {
		return c.chooseGroup(ctx, now, req)
	})
}

// stallTimeout returns how long the endpoint may make no progress before it counts as
// stalled. For plain services it is derived from the route's pause
// objective, as they have no engine parameters from which to predict pauses.
func (c *streamCall) stallTimeout() time.Duration {
	if c.r.Service.Engine != nil {
		return minStallTimeout
	}
	return max(minStallTimeout, plainStallPauses*c.r.Route.PauseObjective)
}

// maxErrorBody is the largest error response of a stream that is passed on.
const maxErrorBody = 16 << 10

var (
	errEndpointFailed = errors.New("the endpoint failed the request")
	errErrorTooLarge  = errors.New("the endpoint's error response is too large")
)

// shouldRetry reports whether the stream may be sent to another group.
func (c *streamCall) shouldRetry(ctx context.Context, last streamAttempt) bool {
	now := time.Now()
	switch {
	case ctx.Err() != nil:
		return false
	case redwinghall.KindOf[Kind](last.err) == NotSent:
		return c.failedDials.Load() < maxDials && c.r.Left(now) > minRemaining
	case last.notRun:
		return c.mayRetry(now)
	case !c.resumable(), c.isQuarantined():
		return false
	}
	return c.mayRetry(now)
}

// mayRetry reports whether one more attempt may be made now. It spends the retry budget, unless that was done for an
// attempt that wasn't sent.
func (c *streamCall) mayRetry(now time.Time) bool {
	sent := int(c.sent.Load())
	if c.retrySpent.Load() {
		return mayAttempt(c.r, sent, now)
	}
	if !c.g.mayRetry(c.r, sent, now) {
		return false
	}
	c.retrySpent.Store(true)
	return true
}

// isQuarantined reports whether requests with a part of this one are refused.
func (c *streamCall) isQuarantined() bool {
	gate := quarantineGate{g: c.g, r: c.r}
	return gate.decide().Verdict == quarantine.Refuse
}

// resumable reports whether another group can continue the stream after the last
// event that the caller has.
func (c *streamCall) resumable() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.resumableLocked()
}

func (c *streamCall) resumableLocked() bool {
	return c.r.Route.Kind == fleet.Streaming && c.r.Route.Resumable && !c.unnumbered
}

// giveUp ends a stream that no endpoint can complete.
func (c *streamCall) giveUp(ctx context.Context) {
	switch {
	case errors.Is(ctx.Err(), context.Canceled):
		if c.headersSent.Load() && c.r.isEnded() {
			_ = c.flush.Flush() // the events before the end, none of them in part
		}
		c.g.callerGone(c.w, c.r, c.mayHaveRun.Load(), c.headersSent.Load(), "last_event", c.lastID, "bytes", c.bytes, "attempts", c.sent.Load())
	case ctx.Err() != nil:
		c.refuse(refusal{status: http.StatusGatewayTimeout, reason: reasonTimeout})
	case !c.mayHaveRun.Load():
		c.refuse(c.g.rejectedRefusal(c.r))
	default:
		c.refuse(refusal{status: http.StatusBadGateway, reason: "stream_lost"})
	}
}

// refuse sends an error response, or aborts the connection if the response has begun:
// a truncated stream must not look complete.
func (c *streamCall) refuse(why refusal) {
	if c.headersSent.Load() {
		c.g.logUnanswered("stream_broken_off", c.r, why.reason, "last_event", c.lastID, "bytes", c.bytes, "attempts", c.sent.Load(),
			"attempts_allowed", c.r.Route.MaxAttempts, "left", c.r.Left(time.Now()))
		c.g.Metrics.Refused(c.r, why)
		panic(http.ErrAbortHandler)
	}
	if c.mayHaveRun.Load() && why.status == http.StatusServiceUnavailable {
		why.status = http.StatusBadGateway // 503 would guarantee that it was not executed
	}
	c.g.refuse(c.w, c.r, why)
}
