package gateway

import (
	"context"
	"errors"
	"net/http"
	"time"

	"k8s.io/klog/v2"

	"redwinghall"
	"redwinghall/balance"
	"redwinghall/endpointhttp"
	"redwinghall/fleet"
	"redwinghall/neighbor"
	"redwinghall/platform"
)

// Forwarder makes calls to endpoints by way of other nodes.
type Forwarder interface {
	// Forward sends a caller's request to an endpoint by way of another node, and returns that
	// node's name. newRequest is called for each node that is asked. The kind of an error is
	// NotSent or Unknown; outcome is the last one that a node named.
	Forward(ctx context.Context, e *fleet.Endpoint, newRequest func() (neighbor.Forward, *http.Request)) (response *http.Response, peer string, outcome neighbor.ForwardOutcome, err error)
	// Verify finds out in the background whether other nodes reach an endpoint that this node
	// doesn't reach, or that has fallen silent here.
	Verify(e *fleet.Endpoint, silent bool)
}

// Kind classifies a failed request to an endpoint, sent by this node or by way of another one.
type Kind = endpointhttp.Kind

// The kinds of error.
const (
	// NotSent means that no byte of the request was sent to the endpoint.
	NotSent = endpointhttp.NotSent
	// Unknown means that the endpoint may have executed the request.
	Unknown = endpointhttp.Unknown
)

// Error is a failed request to an endpoint.
type Error = endpointhttp.Error

// sendMode says how the request of one attempt is sent.
type sendMode struct {
	fresh bool // over a new connection
	// insist reports whether the request goes to this endpoint through other nodes if this
	// node doesn't reach it. Otherwise another endpoint is tried first.
	insist func() bool
	// mayRunAgain reports whether the request may be sent to another endpoint if this attempt fails.
	mayRunAgain func() bool
}

// send sends the request of one attempt to an endpoint, over this node's own connection or
// through another node. The kind of an error is NotSent or Unknown.
func (g *Gateway) send(ctx context.Context, r *Request, to *fleet.Endpoint, lastEvent string, mode sendMode) (*Response, error) {
	if g.Sending != nil {
		g.Sending(ctx)
	}
	asked := false // other nodes were asked, and could not send it
	if g.Forwarder != nil && !g.Paths.Direct(time.Now(), to.Service, to.ID) {
		response, err := g.forward(ctx, r, to, lastEvent)
		if redwinghall.KindOf[Kind](err) != NotSent {
			return response, err
		}
		asked = !errors.Is(err, ErrNoPeer)
		if asked && !g.Paths.Reaches(time.Now(), to.Service, to.ID) {
			g.recordUnreached(time.Now(), to)
			return nil, err
		}
	}
	response, err := g.sendDirect(ctx, r, to, lastEvent, sendMode{fresh: mode.fresh || asked, mayRunAgain: mode.mayRunAgain})
	if redwinghall.KindOf[Kind](err) != NotSent || ctx.Err() != nil {
		return response, err
	}
	if g.Forwarder != nil && !asked && mode.insist() {
		response, forwardErr := g.forward(ctx, r, to, lastEvent)
		if redwinghall.KindOf[Kind](forwardErr) != NotSent {
			return response, forwardErr
		}
		if !errors.Is(forwardErr, ErrNoPeer) {
			err = forwardErr
		}
	}
	g.recordUnreached(time.Now(), to)
	return nil, err
}

// sendDirect sends the request over this node's own connection.
func (g *Gateway) sendDirect(ctx context.Context, r *Request, to *fleet.Endpoint, lastEvent string, mode sendMode) (*Response, error) {
	now := time.Now()
	doubtful := g.Paths.SeemsParted(now) || (!r.Idempotent() && g.Paths.Doubtful(now, to.Service, to.ID))
	options := endpointhttp.SendOptions{
		Fresh:       mode.fresh || doubtful,
		Keep:        g.keptConnections(r.Service),
		OnConnected: func() { g.recordConnected(time.Now(), to) },
	}
	answer, err := g.Upstream.Send(ctx, to, r.outgoing(), g.forwardHeaders(r, to, lastEvent), options)
	if isUnread(err) && ctx.Err() == nil { // says nothing of the path
		options.Fresh = true
		answer, err = g.Upstream.Send(ctx, to, r.outgoing(), g.forwardHeaders(r, to, lastEvent), options)
	}
	if redwinghall.KindOf[Kind](err) == NotSent && ctx.Err() == nil {
		g.Paths.Failed(time.Now(), to.Service, to.ID)
	}
	if err != nil {
		return nil, err
	}
	response := &Response{Response: answer}
	g.checkUnframed(ctx, r, to, response, lastEvent, mode.mayRunAgain)
	return response, nil
}

// isUnread reports whether nothing of a request was written, as its reused connection wasn't fit for it. The rest of a request
// isn't written either once its connection has ended.
func isUnread(err error) bool {
	return redwinghall.KindOf[Kind](err) == NotSent && errors.Is(err, endpointhttp.ErrUnread)
}

// ErrNoPeer is the cause of an error if no other node could be asked to forward a request.
var ErrNoPeer = errors.New("no other node can forward the request")

// forward sends the request through another node.
func (g *Gateway) forward(ctx context.Context, r *Request, to *fleet.Endpoint, lastEvent string) (*Response, error) {
	response, peer, _, err := g.Forwarder.Forward(ctx, to, func() (neighbor.Forward, *http.Request) {
		return g.forwardedRequest(r, to, lastEvent)
	})
	if err != nil {
		return nil, err
	}
	g.RecordPath(time.Now(), to, true, false)
	g.Metrics.Forwarded()
	answer, err := endpointhttp.NewResponse(response, r.outgoing())
	if err != nil {
		return nil, err
	}
	return &Response{Response: answer, Peer: peer}, nil
}

// forwardedRequest returns the request as another node gets it: the caller's own, which that
// node resolves again.
func (g *Gateway) forwardedRequest(r *Request, to *fleet.Endpoint, lastEvent string) (neighbor.Forward, *http.Request) {
	f := neighbor.Forward{
		Kind: neighbor.ForwardRequest, Endpoint: to.ID, Node: g.Settings().Node, Configuration: r.configVersion(),
		Timeout: r.Left(time.Now()), LastEvent: lastEvent,
	}
	return f, r.outgoing().To("", platform.ForwardableHeaders(r.Header))
}

// recordUnreached records that this node could not connect to an endpoint. Whether others can
// is found out in the background.
func (g *Gateway) recordUnreached(now time.Time, e *fleet.Endpoint) {
	if g.Forwarder == nil {
		g.Tracker.MarkUnreachable(now, e.ID)
		g.reportUnreachable(e)
		return
	}
	g.Tracker.MarkUnreached(now, e.ID)
	if !g.Paths.Parted() {
		g.reportUnreachable(e)
	}
	g.Forwarder.Verify(e, false)
}

// reportUnreachable reports the head of a group to the holder of its zone's lease.
func (g *Gateway) reportUnreachable(e *fleet.Endpoint) {
	if e.Member.Group != "" {
		g.ReportStall(e.ID)
	}
}

// recordStalled records that an endpoint has sent nothing for the stall timeout. The endpoint
// may have stopped, or this node's connections to it may be dead.
func (g *Gateway) recordStalled(now time.Time, e *fleet.Endpoint, silent time.Duration) {
	klog.InfoS("endpoint_stalled", "endpoint", e.ID, "group", e.Member.Group, "silent", silent)
	g.Paths.Broke(now, e.Service, e.ID)
	if g.Forwarder == nil {
		g.Tracker.MarkUnreachable(now, e.ID)
	} else {
		g.Tracker.MarkUnreached(now, e.ID)
		g.Forwarder.Verify(e, true)
	}
	g.ReportStall(e.ID)
}

// recordConnected records that this node opened a connection to an endpoint. It reports whether
// requests to it go over this node's own connections again.
//
// A backoff that began as this node could not connect ends, whatever the connection was opened for.
// Rechecks leave such an endpoint alone from now on, as it is known to be reached.
func (g *Gateway) recordConnected(now time.Time, e *fleet.Endpoint) (returned bool) {
	if g.Paths.Unconnected(e.ID) {
		g.Tracker.EndBackoff(e.ID)
	}
	return g.Paths.Connected(now, e.Service, e.ID)
}

// recordBroken records that a connection broke before the end of a response.
func (g *Gateway) recordBroken(now time.Time, e *fleet.Endpoint, response *Response) {
	if response.via() == "" {
		g.Paths.Broke(now, e.Service, e.ID)
	}
}

// recordResponded records that an endpoint sent something.
func (g *Gateway) recordResponded(now time.Time, e *fleet.Endpoint, response *Response) {
	if response.Peer == "" {
		g.Paths.Responded(now, e.Service, e.ID)
	}
}

// Unserved returns endpoints of services whose endpoints are all in backoff, so that this node sends
// them nothing: those to which its last attempt to connect failed.
func (g *Gateway) Unserved(now time.Time) []*fleet.Endpoint {
	view := g.Cache.View()
	var unserved []*fleet.Endpoint
	for name, all := range view.ByService {
		service, _ := view.Service(name)
		var usable []*fleet.Endpoint
		for _, e := range all {
			if balance.Usable(&service, e, view.ZonesOut) {
				usable = append(usable, e)
			}
		}
		if !g.Tracker.AllInBackoff(now, usable) {
			continue
		}
		for _, e := range usable {
			if g.Paths.Unconnected(e.ID) {
				unserved = append(unserved, e)
			}
		}
	}
	return unserved
}

// Recheck ends the backoff of an endpoint if this node connects to it, or if another one reaches it.
func (g *Gateway) Recheck(ctx context.Context, e *fleet.Endpoint) {
	if g.Connect(ctx, e) {
		g.Tracker.EndBackoff(e.ID)
		return
	}
	g.Forwarder.Verify(e, false)
}

// RecordPath records whether another node reaches an endpoint that this node doesn't reach, or
// that has fallen silent here.
func (g *Gateway) RecordPath(now time.Time, e *fleet.Endpoint, reached, silent bool) {
	if !reached {
		g.Tracker.MarkUnreachable(now, e.ID)
		return
	}
	g.Tracker.EndBackoff(e.ID)
	if silent {
		g.Paths.RecordServesOthers(now, e.Service, e.ID)
	}
	if !silent && g.Paths.ReachedByPeer(now, e.Service, e.ID) {
		klog.InfoS("path_lost", "endpoint", e.ID, "service", e.Service, "zone", e.Zone, "indirect", g.Paths.Indirect(), "parted", g.Paths.Parted())
		g.Metrics.PathChanged(false)
	}
}
