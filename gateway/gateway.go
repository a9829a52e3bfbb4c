// Package gateway speaks to callers: it takes their requests, finds the route,
// the account and an endpoint, and answers for what became of each.
package gateway

import (
	"context"
	"errors"
	"net/http"
	"sync/atomic"
	"time"

	"k8s.io/klog/v2"

	"redwinghall/balance"
	"redwinghall/directory"
	"redwinghall/fleet"
	"redwinghall/platform"
)

// Shares is what this node may use of what all nodes share.
type Shares struct {
	Nodes int // that take requests, this one included; 0 while this node doesn't know the others
	Zone  int // of these, in this node's zone
	// Dispatches says that this node chooses groups for all nodes of its zone.
	Dispatches bool
}

// Options are the parts that a gateway works with.
type Options struct {
	// Settings returns the settings in force.
	Settings func() fleet.Settings
	Book     *directory.Cache
	Tracker  *balance.Tracker
	Upstream *Upstream
	// Shares returns this node's part at the moment.
	Shares func() Shares
	// Stalled is told of a group in which nothing moves.
	Stalled func(endpointID string)
	// Placer asks other zones before streams go there; it may be nil.
	Placer Placer
	// Lender gives permits for endpoints that named a limit; nil where this node is the
	// only one.
	Lender  Lender
	Metrics *Metrics
	// Stopping returns the planned stop of this node; nil stands for a node that
	// never stops.
	Stopping func() Stop
}

// Placer asks zones to choose one of their groups for a stream.
type Placer interface {
	// Dispatched reports whether another node chooses for the nodes of this zone.
	Dispatched(now time.Time) bool
	// Place asks a zone. ok is false if it gave no answer.
	Place(ctx context.Context, zone string, request fleet.PlacementRequest) (placement fleet.Placement, ok bool)
}

// Gateway serves callers.
type Gateway struct {
	Options
	budget    *balance.RetryBudget
	callTimes *callTimes
	served    atomic.Int64
	started   time.Time
}

// New returns a gateway.
func New(options Options) *Gateway {
	bounds := options.Settings().Bounds
	return &Gateway{Options: options, budget: balance.NewRetryBudget(bounds.RetryRatio, bounds.RetryWindow), callTimes: newCallTimes(), started: time.Now()}
}

// Served returns how many requests reached a route, so that others can tell
// whether traffic has begun.
func (g *Gateway) Served() int64 { return g.served.Load() }

// retryUnknown is when a caller may try again while this node knows nothing yet.
const retryUnknown = 500 * time.Millisecond

// ServeHTTP implements http.Handler.
func (g *Gateway) ServeHTTP(w http.ResponseWriter, in *http.Request) {
	now := time.Now()
	g.await(in.Context(), now, g.Book.Configured())
	request, refusal := g.admit(in, now)
	if refusal != nil {
		g.refuse(w, request, *refusal)
		return
	}
	g.served.Add(1)
	body, err := readBody(in, request.view.Config().Limits.BodyBytes)
	if err != nil {
		g.refuseBody(w, request, err)
		return
	}
	request.Body = body
	request.view = g.Book.View() // a slow caller may have taken its time
	g.budget.RecordRequest(now, request.Service.Name)
	ctx, cancel := context.WithDeadline(in.Context(), request.Deadline)
	defer cancel()
	if request.Route.Kind == fleet.Streaming {
		g.serveStream(ctx, w, request)
		return
	}
	g.servePlain(ctx, w, request)
}

// admit finds the route, the account and the service of a request. On a
// refusal the request is as far as it was read.
func (g *Gateway) admit(in *http.Request, now time.Time) (*Request, *refusal) {
	r := &Request{
		Ask: platform.DecodeRequestInfo(in.Header), Method: in.Method, Host: in.Host, Target: in.RequestURI,
		Header: in.Header, Arrived: now, view: g.Book.View(),
	}
	if in.URL.IsAbs() {
		r.Target = in.URL.RequestURI()
	}
	if r.view.Config() == nil {
		return r, &refusal{status: http.StatusServiceUnavailable, reason: "configuration_unknown", retryAfter: retryUnknown}
	}
	route, ok := r.view.Route(in.Host, in.URL.Path)
	if !ok {
		return r, &refusal{status: http.StatusNotFound, reason: "no_route"}
	}
	r.Route = route
	if !route.Public && r.view.RequiresKey() {
		account, ok := r.view.Account(r.Ask.Key)
		if !ok {
			return r, &refusal{status: http.StatusUnauthorized, reason: "unknown_key"}
		}
		r.Account = account
	}
	service, ok := r.view.Service(pick(route.Split, r.Ask.ID))
	if !ok {
		return r, &refusal{status: http.StatusServiceUnavailable, reason: "service_unknown", retryAfter: retryUnknown}
	}
	r.Service = service
	r.withDeadline()
	return r, nil
}

// pick chooses a service of a split by weight. The same request id gets the
// same service on each node.
func pick(split []fleet.Share, id string) string {
	total := 0
	for _, s := range split {
		total += max(0, s.Weight)
	}
	if total == 0 || len(split) == 1 {
		return split[0].Service
	}
	at := int(hash(id) % uint64(total))
	for _, s := range split {
		at -= max(0, s.Weight)
		if at < 0 {
			return s.Service
		}
	}
	return split[len(split)-1].Service
}

func (g *Gateway) refuseBody(w http.ResponseWriter, r *Request, err error) {
	var tooLarge *http.MaxBytesError
	if errors.Is(err, errBodyTooLarge) || errors.As(err, &tooLarge) {
		g.refuse(w, r, refusal{status: http.StatusRequestEntityTooLarge, reason: "body_too_large"})
		return
	}
	klog.InfoS("request_broken_off", "request", r.Ask.ID, "err", err)
	panic(http.ErrAbortHandler) // the caller went away while it sent its body
}

// ask returns what choosing needs to know of a request.
//
// Guard: after a start of all nodes, each that doesn't know the others yet would take what
// all of them share for its own.
func (g *Gateway) ask(r *Request, tried map[string]bool) balance.Request {
	shares := g.Shares()
	nodes := max(1, shares.Nodes)
	settings := g.Settings()
	bounds := settings.Bounds
	zone := max(1, shares.Zone)
	// What a cold endpoint bears in any second, with a margin for nodes that
	// don't know of each other.
	cold := coldMargin * (r.Service.ColdPerSecond*bounds.ColdOvershoot + bounds.ColdSlack)
	if shares.Nodes == 0 {
		cold = 0
	}
	ask := balance.Request{
		Service: r.Service, Zone: settings.Zone, Prompt: r.Ask.Prompt, Answer: r.Ask.MaxAnswer, Objective: r.Route.Objective, Tried: tried,
		Node: settings.Node, Nodes: nodes, ZoneNodes: zone, IsDispatcher: shares.Dispatches,
		ColdRateOwnZone: coldNear * cold / float64(zone), ColdRateOtherZones: (1 - coldNear) * cold / float64(max(1, nodes-zone)),
		Connections: connectionShare(r.Service.MaxConnections, nodes),
	}
	if r.Service.Engine != nil {
		ask.Model, _ = r.Service.Engine.Model(r.Ask.Model)
	}
	return ask
}

// How what a cold endpoint bears is shared: most of it by the nodes of its own
// zone, which send it most requests.
const (
	coldMargin = 0.75
	coldNear   = 0.75
)

// connectionShare is this node's part of the connections that an endpoint
// takes. A tenth stays free for health checks and orders.
func connectionShare(limit, nodes int) int {
	if limit <= 0 {
		return 0
	}
	return max(1, limit*9/10/nodes)
}

// mayRetry reports whether a request may go to one more endpoint.
func (g *Gateway) mayRetry(r *Request, sent int, now time.Time) bool {
	if sent >= r.Route.MaxAttempts || r.Left(now) < leastLeft {
		return false
	}
	slack := 0.0
	if nodes := g.Shares().Nodes; nodes > 0 {
		slack = g.Settings().Bounds.RetrySlack / float64(nodes)
	}
	return g.budget.Spend(now, r.Service.Name, slack)
}

// leastLeft is the time below which no endpoint can answer any more.
const leastLeft = 15 * time.Millisecond
