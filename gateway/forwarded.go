package gateway

import (
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"time"

	"k8s.io/klog/v2"

	"redwinghall"
	"redwinghall/balance"
	"redwinghall/fleet"
	"redwinghall/heldmemory"
	"redwinghall/neighbor"
	"redwinghall/platform"
)

const (
	// maxForwards bounds how many requests of other nodes a node sends at a time. Each takes
	// two connections, and its own callers go first.
	maxForwards = 128
	// maxControls bounds how many control calls of other nodes a node makes at a time. Whoever
	// reaches its internal address could otherwise use up its connections, and the endpoints'.
	maxControls = 128
	// recentAnswer is how recently an endpoint must have sent something for this node to say
	// that it reaches it without trying.
	recentAnswer      = 500 * time.Millisecond
	forwardBufferSize = 16 << 10
	maxControlBytes   = 1 << 20
)

// ServeForwarded handles a call to an endpoint that another node doesn't reach. It is never
// passed on again: a call goes through one other node at most.
//
// The other node has chosen the endpoint and counts the attempt. This node resolves the caller's
// route, account and service itself, so that its internal address lets nobody past the checks
// of its public one, and keeps what the endpoint has told it.
func (g *Gateway) ServeForwarded(w http.ResponseWriter, in *http.Request) {
	now := time.Now()
	f := neighbor.DecodeForward(in.Header)
	e, known := g.Cache.View().Endpoints[f.Endpoint]
	switch {
	case !known:
		refuseForwarded(w, in, f, neighbor.Unusable, "endpoint_unknown")
	case f.Kind == neighbor.ForwardCheck:
		g.serveCheck(in.Context(), w, e)
	case !g.Paths.Reaches(now, e.Service, e.ID):
		refuseForwarded(w, in, f, neighbor.Indirect, "indirect")
	case f.Kind == neighbor.ForwardControl && g.controls.Add(1) > maxControls:
		g.controls.Add(-1)
		refuseForwarded(w, in, f, neighbor.Busy, "busy")
	case f.Kind == neighbor.ForwardControl:
		defer g.controls.Add(-1)
		g.serveControl(w, in, f, e)
	case g.forwards.Add(1) > maxForwards || g.stop().Active():
		g.forwards.Add(-1)
		refuseForwarded(w, in, f, neighbor.Busy, "busy")
	default:
		defer g.forwards.Add(-1)
		g.serveForwardedRequest(w, in, f, e, now)
	}
}

// Forwards returns how many requests of other nodes are in progress.
func (g *Gateway) Forwards() int { return int(g.forwards.Load()) }

// notForwarded responds to the other node without a response of the endpoint.
func notForwarded(w http.ResponseWriter, request http.Header, f neighbor.Forward, outcome neighbor.ForwardOutcome, why string) {
	klog.InfoS("not_forwarded", "request", platform.DecodeRequestInfo(request).ID, "endpoint", f.Endpoint, "from", f.Node, "outcome", outcome, "why", why)
	neighbor.SetForwardOutcome(w.Header(), outcome)
	w.Header().Set("Content-Length", "0")
	w.WriteHeader(http.StatusServiceUnavailable)
}

// refuseForwarded is notForwarded for a call whose body may not have been read.
func refuseForwarded(w http.ResponseWriter, in *http.Request, f neighbor.Forward, outcome neighbor.ForwardOutcome, why string) {
	notForwarded(w, in.Header, f, outcome, why)
	heldmemory.ReadRest(w, in)
}

// serveCheck says whether this node reaches an endpoint over its own connections.
func (g *Gateway) serveCheck(ctx context.Context, w http.ResponseWriter, e *fleet.Endpoint) {
	outcome := neighbor.Unreached
	now := time.Now()
	age, known := g.Paths.SinceHeard(now, e.ID)
	if known {
		neighbor.SetForwardAnswered(w.Header(), age)
	}
	switch {
	case known && age <= recentAnswer && !g.Paths.BrokeSinceHeard(e.ID), !g.Paths.FailedRecently(now, e.ID) && g.Connect(ctx, e):
		outcome = neighbor.Reached
	case !g.Paths.Direct(now, e.Service, e.ID):
		outcome = neighbor.Indirect
	}
	neighbor.SetForwardOutcome(w.Header(), outcome)
	w.WriteHeader(http.StatusOK)
}

// Connect opens a connection to an endpoint and closes it, to find out whether this node
// reaches it.
func (g *Gateway) Connect(ctx context.Context, e *fleet.Endpoint) bool {
	conn, err := g.Upstream.Open(ctx, e.Address)
	if err != nil && ctx.Err() == nil { // else whoever asked has given up, which says nothing of the path
		g.Paths.Failed(time.Now(), e.Service, e.ID)
	}
	if err != nil {
		return false
	}
	closeProbe(conn)
	if g.recordConnected(time.Now(), e) {
		klog.InfoS("path_returned", "endpoint", e.ID, "service", e.Service, "zone", e.Zone, "indirect", g.Paths.Indirect())
		g.Metrics.PathChanged(true)
	}
	return true
}

func closeProbe(conn net.Conn) {
	if err := conn.Close(); err != nil {
		klog.V(1).InfoS("probe_not_closed", "err", err)
	}
}

// serveControl makes an order, a report or a health check for another node.
func (g *Gateway) serveControl(w http.ResponseWriter, in *http.Request, f neighbor.Forward, e *fleet.Endpoint) {
	service, _ := g.Cache.View().Service(e.Service)
	if !platform.IsControlPath(in.URL.Path) && in.URL.Path != service.HealthPath {
		refuseForwarded(w, in, f, neighbor.Unusable, "path")
		return
	}
	call := &Request{Deadline: time.Now().Add(max(f.Timeout, heldmemory.BodyIdleTime))}
	defer call.memory.Release()
	if !g.beginControlMemory(call) {
		refuseForwarded(w, in, f, neighbor.Busy, "memory")
		return
	}
	body, err := g.readBody(w, in, maxControlBytes, call)
	if errors.Is(err, heldmemory.ErrNoMemory) {
		call.memory.Release()
		refuseForwarded(w, in, f, neighbor.Busy, "memory")
		return
	}
	if err != nil {
		call.memory.Release()
		refuseForwarded(w, in, f, neighbor.Unusable, "body")
		return
	}
	response, err := g.Control(in.Context(), e, in.Method, in.URL.Path, body, f.Timeout)
	if redwinghall.KindOf[platform.Kind](err) == platform.NotReached && in.Context().Err() != nil { // says nothing of the path
		refuseForwarded(w, in, f, neighbor.Unusable, "given_up")
		return
	}
	switch redwinghall.KindOf[platform.Kind](err) {
	case "":
		platform.CopyResponseHeaders(w.Header(), response.Header)
		neighbor.SetForwardOutcome(w.Header(), neighbor.Delivered)
		w.WriteHeader(response.Status)
		if _, err := w.Write(response.Body); err != nil {
			klog.V(1).InfoS("control_not_returned", "endpoint", e.ID, "from", f.Node, "err", err)
		}
	case platform.Absent:
		refuseForwarded(w, in, f, neighbor.Refused, "refused")
	case platform.NotReached:
		g.Paths.Failed(time.Now(), e.Service, e.ID)
		g.recordUnreached(time.Now(), e)
		refuseForwarded(w, in, f, neighbor.Unreached, "not_connected")
	default:
		refuseForwarded(w, in, f, neighbor.Lost, "no_response") // it may have been carried out
	}
}

func (g *Gateway) serveForwardedRequest(w http.ResponseWriter, in *http.Request, f neighbor.Forward, e *fleet.Endpoint, now time.Time) {
	r, refusal := g.resolve(in, now)
	switch {
	case refusal != nil:
		refuseForwarded(w, in, f, neighbor.Unusable, refusal.reason)
		return
	case r.configVersion() < f.Configuration || r.Service.Name != e.Service:
		refuseForwarded(w, in, f, neighbor.Unusable, "configuration")
		return
	case !balance.Usable(&r.Service, e, r.view().ZonesOut) || g.Tracker.IsLeaving(e) || g.Tracker.RetryAfterLeft(now, e) > 0:
		refuseForwarded(w, in, f, neighbor.Unusable, "endpoint")
		return
	}
	// The route here may be of a newer configuration than the one by which the request was accepted.
	r.Deadline = now.Add(f.Timeout)
	defer r.memory.Release()
	if !g.beginMemory(r) {
		g.logMemoryRefused(r, heldmemory.Requests, 0)
		refuseForwarded(w, in, f, neighbor.Busy, "memory")
		return
	}
	body, err := g.readBody(w, in, r.view().Config().Limits.BodyBytes, r)
	if errors.Is(err, heldmemory.ErrNoMemory) {
		g.logMemoryRefused(r, heldmemory.Bodies, len(body))
		r.memory.Release()
		refuseForwarded(w, in, f, neighbor.Busy, "memory")
		return
	}
	if err != nil {
		r.memory.Release()
		refuseForwarded(w, in, f, neighbor.Unusable, "body")
		return
	}
	if g.stop().Active() { // the stop may have begun while the body came
		refuseForwarded(w, in, f, neighbor.Busy, "stopping")
		return
	}
	r.Body = body
	ctx, cancel := context.WithDeadline(in.Context(), r.Deadline)
	defer cancel()
	g.exchangeForwarded(ctx, w, r, f, e)
}

// exchangeForwarded sends the request once and passes the endpoint's response on unchanged.
func (g *Gateway) exchangeForwarded(ctx context.Context, w http.ResponseWriter, r *Request, f neighbor.Forward, e *fleet.Endpoint) {
	attempt := g.Tracker.ForwardedAttempt(time.Now(), e)
	defer attempt.EndForwarded()
	response, err := g.sendDirect(ctx, r, e, f.LastEvent, sendMode{
		fresh:       f.LastEvent != "",
		mayRunAgain: func() bool { return r.Idempotent() && r.Route.MaxAttempts > 1 }, // the other node counts the attempts
	})
	if redwinghall.KindOf[Kind](err) == NotSent && r.isEnded() {
		notForwarded(w, r.Header, f, neighbor.Busy, reasonNodeEnded)
		return
	}
	if redwinghall.KindOf[Kind](err) == NotSent && ctx.Err() != nil { // says nothing of the path
		notForwarded(w, r.Header, f, neighbor.Unusable, "given_up")
		return
	}
	if redwinghall.KindOf[Kind](err) == NotSent {
		g.recordUnreached(time.Now(), e)
		notForwarded(w, r.Header, f, neighbor.Unreached, "not_connected")
		return
	}
	if err != nil {
		g.logUnanswered("forward_failed", r, brokenReason(r, time.Now(), err), "endpoint", e.ID, "from", f.Node, "err", err)
		notForwarded(w, r.Header, f, neighbor.Lost, "no_response")
		return
	}
	defer func() { _ = response.Body.Close() }()
	g.recordResponseInfo(r, balance.Choice{Endpoint: e, Attempt: attempt}, response)
	platform.CopyResponseHeaders(w.Header(), response.Header)
	neighbor.SetForwardOutcome(w.Header(), neighbor.Delivered)
	w.WriteHeader(response.Status)
	if sent, err := g.copyForwarded(w, r, e, response); err != nil {
		g.logUnanswered("forward_failed", r, brokenReason(r, time.Now(), err), "endpoint", e.ID, "from", f.Node, "status", response.Status,
			"bytes", sent, "err", err)
		panic(http.ErrAbortHandler) // a truncated response must not look complete
	}
	klog.InfoS("forwarded", "request", r.Info.ID, "endpoint", e.ID, "from", f.Node, "status", response.Status, "took", time.Since(r.Arrived))
}

// copyForwarded passes the body on as it comes, and returns how many bytes it wrote.
func (g *Gateway) copyForwarded(w http.ResponseWriter, r *Request, e *fleet.Endpoint, response *Response) (sent int64, err error) {
	flush := http.NewResponseController(w)
	buffer := make([]byte, forwardBufferSize)
	ahead := g.newAheadBody(w, r, response.Body, aheadEvents{onBytes: func(now time.Time) { g.recordResponded(now, e, response) }})
	defer ahead.close()
	for {
		n, err := ahead.Read(buffer)
		if n > 0 {
			now := time.Now()
			g.recordResponded(now, e, response)
			ahead.beginWrite(now)
			written, writeErr := w.Write(buffer[:n])
			if writeErr == nil {
				writeErr = flush.Flush()
			}
			ahead.endWrite()
			sent += int64(written)
			if writeErr != nil {
				return sent, writeErr
			}
		}
		if errors.Is(err, io.EOF) {
			return sent, nil
		}
		if err != nil {
			return sent, err
		}
	}
}
