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
	"redwinghall/platform"
)

const (
	// silenceLimit is how long nothing may move in a group before its streams
	// go on elsewhere: longer than a pass that reads prompts at every step, and
	// short enough that callers have not left yet.
	silenceLimit = 700 * time.Millisecond
	// silenceCheck is how often that is looked at.
	silenceCheck = 100 * time.Millisecond
	// plainPauses is how many of the longest good pauses a plain service's
	// stream may be silent.
	plainPauses = 6
)

var errStalled = errors.New("nothing moves in the group")

// streamCall is the progress of one stream.
type streamCall struct {
	g     *Gateway
	r     *Request
	w     http.ResponseWriter
	flush *http.ResponseController
	tried map[string]bool
	sent  atomic.Int64 // groups that may have seen the request
	dials int
	// mayHaveRun says that a group may have run the request, or be running it.
	mayHaveRun bool
	begun      bool  // the caller has the headers
	lastID     int64 // of the last event that the caller has
	hasID      bool
	started    time.Time // of the first event
	slowest    time.Duration
	last       time.Time
}

// serveStream answers a request by a series of events.
func (g *Gateway) serveStream(ctx context.Context, w http.ResponseWriter, r *Request) {
	call := &streamCall{g: g, r: r, w: w, flush: http.NewResponseController(w), tried: map[string]bool{}}
	if id, err := strconv.ParseInt(r.Ask.LastEvent, 10, 64); err == nil {
		call.lastID, call.hasID = id, true
	}
	for {
		choice, none := call.choose(ctx)
		if none != nil && g.awaitEndpoints(ctx, time.Now(), none) {
			r.view = g.Book.View()
			continue
		}
		if none != nil {
			call.refuse(g.refusalOfNone(none))
			return
		}
		if now, stop := time.Now(), g.stop(); !call.begun && !stop.Takes(now, choice.Expected, r.Deadline) {
			choice.Attempt.Cancel()
			call.refuse(stop.refusal(now, choice.Expected))
			return
		}
		last := call.once(ctx, choice)
		if last.done {
			return
		}
		if !call.again(ctx, last) {
			call.giveUp(ctx)
			return
		}
		r.view = g.Book.View()
	}
}

// choose returns the endpoint for the stream: the head of a group that serves
// its model, or an endpoint of a plain service.
func (c *streamCall) choose(ctx context.Context) (balance.Choice, *balance.Refusal) {
	ask := c.g.ask(c.r, c.tried)
	ask.Resumed = c.sent.Load() > 0
	if c.r.Service.Engine == nil {
		return c.g.choosePlain(ctx, c.r, ask)
	}
	return c.g.withinLimits(ctx, c.r, func(now time.Time) (balance.Choice, *balance.Refusal) {
		return c.chooseGroup(ctx, now, ask)
	})
}

// silenceOf returns how long nothing may move before the stream goes on
// elsewhere. Of plain services only the pause is known that operators want.
func (c *streamCall) silenceOf() time.Duration {
	if c.r.Service.Engine != nil {
		return silenceLimit
	}
	return max(silenceLimit, plainPauses*c.r.Route.PauseObjective)
}

// streamTry is how one attempt of a stream ended.
type streamTry struct {
	done   bool // the caller has its whole answer
	notRun bool
	// paid says that the retry budget was already asked for the next attempt.
	paid   bool
	err    error
	answer *Answer
}

// once sends the stream to one group and passes on what comes back.
func (c *streamCall) once(ctx context.Context, choice balance.Choice) streamTry {
	c.tried[choice.Endpoint.ID] = true
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	var stalled atomic.Bool
	stop := c.watch(choice, func() { stalled.Store(true); cancel(errStalled) })
	last := c.exchange(ctx, choice)
	stop()
	last.paid = stalled.Load()
	c.mayHaveRun = c.mayHaveRun || redwinghall.KindOf[Kind](last.err) == Unknown
	ok := last.err == nil && !last.notRun
	now := time.Now()
	choice.Attempt.Done(now, ok || (ctx.Err() != nil && !stalled.Load()))
	switch {
	case redwinghall.KindOf[Kind](last.err) == NotSent && ctx.Err() == nil:
		c.g.Tracker.MarkUnreachable(now, choice.Endpoint.ID)
		c.g.Stalled(choice.Endpoint.ID)
	case last.notRun && c.r.Service.Engine != nil:
		// Guard: while the store is away, a head whose group has closed looks open here,
		// and emptier than all others. Streams would go there first, one after the
		// other, and have no second try left.
		c.g.Tracker.MarkUnreachable(now, choice.Endpoint.ID)
	}
	if !ok {
		klog.InfoS("attempt_failed", "request", c.r.Ask.ID, "endpoint", choice.Endpoint.ID, "address", choice.Endpoint.Address,
			"group", choice.Endpoint.Member.Group, "kind", redwinghall.KindOf[Kind](last.err), "not_run", last.notRun,
			"stalled", stalled.Load(), "last_event", c.lastID, "running", choice.Running, "predicted", choice.Predicted, "err", last.err)
	}
	return last
}

// exchange sends the request and relays the answer's events.
func (c *streamCall) exchange(ctx context.Context, choice balance.Choice) streamTry {
	lastEvent := ""
	if c.hasID {
		lastEvent = strconv.FormatInt(c.lastID, 10)
	}
	c.sent.Add(1)
	answer, err := c.g.Upstream.Send(ctx, choice.Endpoint, c.r, c.g.forward(c.r, choice.Endpoint, lastEvent))
	if err != nil {
		if redwinghall.KindOf[Kind](err) == NotSent {
			c.dials++
			c.sent.Add(-1)
		}
		return streamTry{err: err}
	}
	defer func() { _ = answer.Body.Close() }()
	c.g.noteLimit(c.r, choice, answer)
	if answer.Verdict.Load.Known {
		choice.Attempt.RecordLoad(time.Now(), answer.Verdict.Load.Running+answer.Verdict.Load.Waiting)
	}
	switch {
	case answer.Verdict.NotRun:
		return streamTry{notRun: true, answer: answer}
	case answer.Status != http.StatusOK:
		return c.passFailure(answer)
	case !answer.Verdict.Signed || answer.Verdict.RequestID != c.r.Ask.ID || answer.Verdict.Encoded:
		return streamTry{err: redwinghall.NewOpError("streamCall.exchange", Unknown, errWrongAnswer)}
	}
	c.begin(answer)
	err = c.relay(choice, answer)
	if err != nil {
		return streamTry{err: redwinghall.NewOpError("streamCall.exchange", Unknown, err)}
	}
	first, took := c.started.Sub(c.r.Arrived), time.Since(c.r.Arrived)
	klog.InfoS("streamed", "request", c.r.Ask.ID, "route", c.r.Route.Name, "endpoint", choice.Endpoint.ID, "zone", choice.Endpoint.Zone,
		"running", choice.Running, "load_age", choice.Age, "predicted", choice.Predicted, "first", first, "expected", choice.Expected, "pause", c.slowest,
		"took", took, "attempts", c.sent.Load(), "configuration", c.r.version())
	c.g.Metrics.Streamed(c.r, first, c.slowest, took)
	return streamTry{done: true}
}

// passFailure hands an endpoint's own failure to the caller, unless a second
// try may do better.
func (c *streamCall) passFailure(answer *Answer) streamTry {
	body, err := io.ReadAll(io.LimitReader(answer.Body, wholeAnswer))
	if err != nil || c.begun || promises(answer.Status) || answer.Status < http.StatusMultipleChoices {
		return streamTry{err: redwinghall.NewOpError("streamCall.passFailure", Unknown, errors.Join(errUnusable, err))}
	}
	if answer.Status >= http.StatusInternalServerError && c.r.Idempotent() && c.sent.Load() < int64(c.r.Route.MaxAttempts) {
		return streamTry{err: redwinghall.NewOpError("streamCall.passFailure", Unknown, errUnusable)}
	}
	c.g.pass(c.w, c.r, try{answer: answer, body: body})
	return streamTry{done: true}
}

var errUnusable = errors.New("the endpoint failed the request")

// begin sends the first endpoint's headers; a later one's are left out.
func (c *streamCall) begin(answer *Answer) {
	if c.begun {
		return
	}
	c.begun = true
	platform.CopyResponseHeaders(c.w.Header(), answer.Header)
	c.w.WriteHeader(answer.Status)
}

// relay passes events on until the answer ends. The error is nil only if it
// ended whole.
func (c *streamCall) relay(choice balance.Choice, answer *Answer) error {
	events := newEventSplitter(answer.Body)
	pace := c.usualPause()
	for {
		event, err := events.next()
		if errors.Is(err, io.EOF) {
			return c.flushed()
		}
		if err != nil {
			return err
		}
		now := time.Now()
		choice.Attempt.RecordEvent(now, pace)
		if c.seen(event) {
			continue
		}
		c.noteTimes(now)
		if _, err := c.w.Write(event); err != nil {
			return err
		}
		if !events.buffered() {
			if err := c.flushed(); err != nil {
				return err
			}
		}
	}
}

func (c *streamCall) flushed() error { return c.flush.Flush() }

// seen reports whether the caller already has an event, and notes it otherwise.
func (c *streamCall) seen(event []byte) bool {
	id, ok := eventID(event)
	if !ok {
		return false
	}
	if c.hasID && id <= c.lastID {
		return true
	}
	c.lastID, c.hasID = id, true
	return false
}

func (c *streamCall) noteTimes(now time.Time) {
	if c.started.IsZero() {
		c.started = now
	} else {
		c.slowest = max(c.slowest, now.Sub(c.last))
	}
	c.last = now
}

// usualPause returns the pause between events that the engine's figures
// predict for a number of running requests.
func (c *streamCall) usualPause() func(int) time.Duration {
	if c.r.Service.Engine == nil {
		return nil
	}
	model, ok := c.r.Service.Engine.Model(c.r.Ask.Model)
	if !ok {
		return nil
	}
	pace := balance.NewPace(c.r.Service.Engine, model, 1)
	return func(running int) time.Duration { return pace.Pass(running, 0) }
}

// again reports whether another group may get the stream.
func (c *streamCall) again(ctx context.Context, last streamTry) bool {
	now := time.Now()
	switch {
	case ctx.Err() != nil:
		return false
	case redwinghall.KindOf[Kind](last.err) == NotSent:
		return c.dials < maxDials && c.r.Left(now) > leastLeft
	case last.notRun:
		return c.g.mayRetry(c.r, int(c.sent.Load()), now)
	case !c.resumable():
		return false
	}
	return last.paid || c.g.mayRetry(c.r, int(c.sent.Load()), now)
}

// resumable reports whether the stream may go on at another group from where
// the caller is.
func (c *streamCall) resumable() bool {
	return c.r.Route.Kind == fleet.Streaming && c.r.Route.Resumable && (!c.begun || c.hasID || c.started.IsZero())
}

// giveUp ends a stream that no endpoint will finish.
func (c *streamCall) giveUp(ctx context.Context) {
	switch {
	case errors.Is(ctx.Err(), context.Canceled):
		c.g.callerGone(c.r)
	case ctx.Err() != nil:
		c.refuse(refusal{status: http.StatusGatewayTimeout, reason: "timeout"})
	case !c.mayHaveRun:
		c.refuse(refusal{status: http.StatusServiceUnavailable, reason: "endpoint_busy", retryAfter: retryUnknown})
	default:
		c.refuse(refusal{status: http.StatusBadGateway, reason: "stream_lost"})
	}
}

// refuse answers the caller, or breaks its stream off if it has begun: an
// answer that ends early must not look complete.
func (c *streamCall) refuse(why refusal) {
	if c.begun {
		now := time.Now()
		klog.InfoS("stream_broken_off", "request", c.r.Ask.ID, "reason", why.reason, "last_event", c.lastID, "attempts", c.sent.Load(),
			"attempts_allowed", c.r.Route.MaxAttempts, "left", c.r.Left(now), "held", now.Sub(c.r.Arrived))
		c.g.Metrics.Refused(c.r, why)
		panic(http.ErrAbortHandler)
	}
	if c.mayHaveRun && why.status == http.StatusServiceUnavailable {
		why.status = http.StatusBadGateway // 503 would say that it has not run
	}
	c.g.refuse(c.w, c.r, why)
}
