package gateway

import (
	"context"
	"errors"
	"io"
	"net/http"
	"strconv"
	"sync/atomic"
	"time"

	"k8s.io/klog/v2"

	"redwinghall"
	"redwinghall/balance"
	"redwinghall/fleet"
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
	tried       map[string]bool
	sent        atomic.Int64 // attempts whose request may have reached a group
	failedDials int
	// mayHaveRun is true if a group may have executed the request or may still be
	// executing it.
	mayHaveRun   bool
	headersSent  bool  // the response headers were sent to the caller
	bytes        int64 // bytes of events sent to the caller
	lastID       int64 // id of the last event sent to the caller, valid if hasID
	hasID        bool
	firstEventAt time.Time // when the first event arrived
	longestPause time.Duration
	lastEventAt  time.Time
	// ahead is the body of the present attempt's answer.
	ahead *aheadBody
	// unread is set while nothing is read of the answer, so that its silence says nothing of the endpoint.
	unread atomic.Bool
	// blank holds the blank lines and comments before the first event of the present attempt.
	blank []byte
	gate  quarantineGate
}

// serveStream handles a request whose response is a stream of events.
func (g *Gateway) serveStream(ctx context.Context, w http.ResponseWriter, r *Request) {
	g.streams.Add(1)
	defer g.streams.Add(-1)
	call := &streamCall{g: g, r: r, w: w, flush: http.NewResponseController(w), tried: map[string]bool{}, gate: quarantineGate{g: g, r: r}}
	if id, err := strconv.ParseInt(r.Info.LastEvent, 10, 64); err == nil {
		call.lastID, call.hasID = id, true
	}
	for {
		if why := call.gate.pass(ctx); why != nil {
			call.refuse(*why)
			return
		}
		choice, refused := call.choose(ctx)
		if refused != nil {
			call.gate.endTrial()
		}
		if refused != nil && g.awaitEndpoints(ctx, time.Now(), r, refused) {
			r.takeView(g.Cache)
			continue
		}
		if refused != nil {
			call.refuse(g.noEndpointRefusal(refused))
			return
		}
		if now, stop := time.Now(), g.stop(); !call.headersSent && !stop.Accepts(now, choice.Expected, r.Deadline) {
			choice.Attempt.Cancel()
			call.gate.endTrial()
			call.refuse(stop.refusal(now, choice.Expected))
			return
		} else if !call.headersSent {
			stop.logAccepted(now, r, choice.Expected)
		}
		last := call.attempt(ctx, choice)
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

// choose returns the endpoint for the stream: the head of a group that serves its
// model, or an endpoint of a plain service.
func (c *streamCall) choose(ctx context.Context) (balance.Choice, *balance.Refusal) {
	req := c.g.balanceRequest(c.r, c.tried)
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

// streamAttempt is the result of one attempt of a stream.
type streamAttempt struct {
	done   bool // the caller has the complete response
	notRun bool
	// retryCharged is true if the retry budget was already charged for the next
	// attempt.
	retryCharged bool
	err          error
	response     *Response
}

// status returns the status of the endpoint's response, 0 if there was none.
func (a streamAttempt) status() int {
	if a.response == nil {
		return 0
	}
	return a.response.Status
}

// attempt sends the request to one group and relays its response.
func (c *streamCall) attempt(ctx context.Context, choice balance.Choice) streamAttempt {
	c.tried[choice.Endpoint.ID] = true
	defer choice.Attempt.Cancel() // if the exchange panics, as it does when the caller has left
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	c.g.unproven.add(&c.gate, cancel)
	defer c.g.unproven.remove(&c.gate)
	defer c.gate.endTrial()
	var stalled atomic.Bool
	stop := c.watchStall(choice, func() { stalled.Store(true); cancel(ErrStalled) })
	defer stop()
	last := c.exchange(ctx, choice)
	stop()
	last.retryCharged = stalled.Load()
	c.mayHaveRun = c.mayHaveRun || redwinghall.KindOf[Kind](last.err) == Unknown
	ok := last.err == nil && !last.notRun
	now := time.Now()
	if last.response.rejectedWithRetryAfter() {
		choice.Attempt.Cancel()
	} else {
		choice.Attempt.Done(now, ok || (ctx.Err() != nil && !stalled.Load()))
	}
	presence := fleet.PresenceUnknown
	switch {
	case redwinghall.KindOf[Kind](last.err) == Unknown && ctx.Err() == nil:
		c.g.recordBroken(now, choice.Endpoint, last.response)
		latest := c.g.latestEntry(choice.Endpoint)
		presence = c.g.presence(ctx, latest)
		if !c.gate.proven {
			c.gate.recordPresence(now, latest, presence)
		}
	case last.notRun && c.r.Service.Engine != nil && !last.response.rejectedWithRetryAfter():
		// While the store is unreachable, the head of a closed group still looks open
		// here, and less loaded than all others. Streams would be sent to it one
		// after the other and use up their only retry.
		c.g.Tracker.MarkUnreachable(now, choice.Endpoint.ID)
	}
	if !ok {
		c.g.Metrics.AttemptFailed(redwinghall.KindOf[Kind](last.err))
		klog.InfoS("attempt_failed", "request", c.r.Info.ID, "endpoint", choice.Endpoint.ID, "address", choice.Endpoint.Address,
			"group", choice.Endpoint.Member.Group, "kind", redwinghall.KindOf[Kind](last.err), "not_run", last.notRun,
			"status", last.status(), "stalled", stalled.Load(), "last_event", c.lastID, "since_first_event", choice.Attempt.SinceFirstEvent(now),
			"parts", c.r.Info.PromptParts, "identity", c.r.identity(), "endpoint_now", presence, "running", choice.Running, "predicted", choice.Predicted, "via", last.response.via(), "err", last.err)
	}
	return last
}

// exchange sends the request and relays the events of the response.
func (c *streamCall) exchange(ctx context.Context, choice balance.Choice) streamAttempt {
	lastEvent := ""
	if c.hasID {
		lastEvent = strconv.FormatInt(c.lastID, 10)
	}
	c.sent.Add(1)
	response, err := c.g.send(ctx, c.r, choice.Endpoint, lastEvent, c.sendMode())
	if err != nil {
		if redwinghall.KindOf[Kind](err) == NotSent {
			c.failedDials++
			c.sent.Add(-1)
		}
		return streamAttempt{err: err}
	}
	defer func() { _ = response.Body.Close() }()
	c.g.recordResponseInfo(c.r, choice, response)
	if response.Info.Load.Known {
		choice.Attempt.RecordLoad(time.Now(), response.Info.Load.Running+response.Info.Load.Waiting)
	}
	switch {
	case response.Info.NotRun:
		return streamAttempt{notRun: true, response: response}
	case response.Status != http.StatusOK:
		return c.forwardFailure(response)
	case !response.Info.Signed || response.Info.RequestID != c.r.Info.ID || response.Info.Encoded:
		return streamAttempt{err: redwinghall.NewOpError("streamCall.exchange", Unknown, errWrongResponse)}
	}
	err = c.relay(choice, response)
	if err != nil {
		return streamAttempt{response: response, err: redwinghall.NewOpError("streamCall.exchange", Unknown, err)}
	}
	first, took := c.firstEventAt.Sub(c.r.Arrived), time.Since(c.r.Arrived)
	klog.InfoS("streamed", "request", c.r.Info.ID, "route", c.r.Route.Name, "endpoint", choice.Endpoint.ID, "zone", choice.Endpoint.Zone,
		"running", choice.Running, "load_age", choice.Age, "predicted", choice.Predicted, "first", first, "expected", choice.Expected, "pause", c.longestPause,
		"took", took, "attempts", c.sent.Load(), "via", response.Peer, "configuration", c.r.configVersion())
	c.g.Metrics.Streamed(c.r, first, c.longestPause, took)
	return streamAttempt{done: true}
}

// sendMode returns how the next attempt is sent. A stream that was just broken off goes on over
// a new connection: the open ones may have broken with it, and it has no attempt to lose.
func (c *streamCall) sendMode() sendMode {
	return sendMode{fresh: c.mayHaveRun, insist: func() bool { return c.failedDials > 0 || !c.hasAlternative(time.Now()) }}
}

// forwardFailure forwards an endpoint's error response to the caller, unless a retry
// may succeed.
func (c *streamCall) forwardFailure(response *Response) streamAttempt {
	body, err := io.ReadAll(io.LimitReader(response.Body, maxErrorBody+1))
	if len(body) > maxErrorBody {
		err = errErrorTooLarge
	}
	if err != nil || c.headersSent || statusMeansNotRun(response.Status) || response.Status < http.StatusMultipleChoices {
		return streamAttempt{err: redwinghall.NewOpError("streamCall.forwardFailure", Unknown, errors.Join(errEndpointFailed, err))}
	}
	if response.Status >= http.StatusInternalServerError && c.r.Idempotent() && c.sent.Load() < int64(c.r.Route.MaxAttempts) {
		return streamAttempt{err: redwinghall.NewOpError("streamCall.forwardFailure", Unknown, errEndpointFailed)}
	}
	c.g.forwardResponse(c.w, c.r, plainAttempt{response: response, body: body})
	return streamAttempt{done: true}
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
		return c.failedDials < maxDials && c.r.Left(now) > minRemaining
	case last.notRun:
		return c.g.mayRetry(c.r, int(c.sent.Load()), now)
	case !c.resumable(), c.gate.decide().Verdict == quarantine.Refuse:
		return false
	}
	return last.retryCharged || c.g.mayRetry(c.r, int(c.sent.Load()), now)
}

// resumable reports whether another group can continue the stream after the last
// event that the caller has.
func (c *streamCall) resumable() bool {
	return c.r.Route.Kind == fleet.Streaming && c.r.Route.Resumable && (!c.headersSent || c.hasID || c.firstEventAt.IsZero())
}

// giveUp ends a stream that no endpoint can complete.
func (c *streamCall) giveUp(ctx context.Context) {
	switch {
	case errors.Is(ctx.Err(), context.Canceled):
		c.g.callerGone(c.r, "last_event", c.lastID, "bytes", c.bytes, "attempts", c.sent.Load())
	case ctx.Err() != nil:
		c.refuse(refusal{status: http.StatusGatewayTimeout, reason: reasonTimeout})
	case !c.mayHaveRun:
		c.refuse(c.g.rejectedRefusal(c.r))
	default:
		c.refuse(refusal{status: http.StatusBadGateway, reason: "stream_lost"})
	}
}

// refuse sends an error response, or aborts the connection if the response has begun:
// a truncated stream must not look complete.
func (c *streamCall) refuse(why refusal) {
	if c.headersSent {
		c.g.logUnanswered("stream_broken_off", c.r, why.reason, "last_event", c.lastID, "bytes", c.bytes, "attempts", c.sent.Load(),
			"attempts_allowed", c.r.Route.MaxAttempts, "left", c.r.Left(time.Now()))
		c.g.Metrics.Refused(c.r, why)
		panic(http.ErrAbortHandler)
	}
	if c.mayHaveRun && why.status == http.StatusServiceUnavailable {
		why.status = http.StatusBadGateway // 503 would guarantee that it was not executed
	}
	c.g.refuse(c.w, c.r, why)
}
