// Package gateway is the reverse proxy for client requests. It resolves the route,
// the account and an endpoint of each request, forwards it, and relays the response
// or returns an error response of its own.
package gateway

import (
	"context"
	"net/http"
	"sync/atomic"
	"time"

	"redwinghall/balance"
	"redwinghall/directory"
	"redwinghall/endpointhttp"
	"redwinghall/fleet"
	"redwinghall/heldmemory"
	"redwinghall/platform"
	"redwinghall/quarantine"
	"redwinghall/reach"
)

// Shares holds the node counts by which limits that apply to all nodes together are
// divided.
type Shares struct {
	Nodes int // nodes that accept requests, including this one; 0 until the list of nodes has been read
	Zone  int // how many of them are in this node's zone
	// IsDispatcher is true if this node chooses groups for all nodes of its zone.
	IsDispatcher bool
}

// Options are the dependencies of a gateway.
type Options struct {
	// Settings returns the current settings.
	Settings func() fleet.Settings
	Cache    *directory.Cache
	Tracker  *balance.Tracker
	Upstream *endpointhttp.Upstream
	// Shares returns the current node counts; nil if this node is the only one.
	Shares func() Shares
	// ReportStall is called with the endpoint of a group that appears to be stalled
	// or unreachable.
	ReportStall func(endpointID string)
	// Placer asks other zones before streams are sent to them; it may be nil.
	Placer Placer
	// Promiser keeps room for refused callers; nil if this node is the only one.
	Promiser Promiser
	// PermitIssuer issues permits for endpoints that announced a rate limit; nil if
	// this node is the only one.
	PermitIssuer PermitIssuer
	// Paths holds which endpoints this node reaches itself.
	Paths *reach.Table
	// Forwarder sends requests through other nodes; nil if this node is the only one.
	Forwarder Forwarder
	// Control makes an order, a report or a health check for another node, over this node's
	// own connection. The kind of an error is one of platform.Kind.
	Control func(ctx context.Context, e *fleet.Endpoint, method, path string, body []byte, timeout time.Duration) (platform.ControlResponse, error)
	// Presence finds out within timeout whether an endpoint's process still runs, over this node's own connection; nil
	// if nobody can tell. PresenceElsewhere does so by way of another node; nil if there is none.
	Presence, PresenceElsewhere func(ctx context.Context, e *fleet.Endpoint, timeout time.Duration) fleet.Presence
	// Background runs fn beside the requests, until the node stops; nil if nothing can.
	Background func(name string, fn func(ctx context.Context))
	// Quarantine holds the parts of prompts under which endpoints ended.
	Quarantine *quarantine.Table
	// Trials grants requests with suspected parts; nil if this node is the only one.
	Trials TrialGranter
	// QuarantineKnown is closed once this node has heard from another one which parts are suspected;
	// nil if there is nobody to hear it from.
	QuarantineKnown <-chan struct{}
	Metrics         *Metrics
	// Stopping returns the planned stop of this node. It may be nil for a node that
	// never stops.
	Stopping func() Stop
	// Ended reports whether this node ends the request with a context, as it ends itself. It may be nil for
	// a node that never ends.
	Ended func(request context.Context) bool
	// Sending is called before the request with a context is sent to an endpoint. It may be nil.
	Sending func(request context.Context)
}

// Placer asks a zone to choose one of its groups for a stream.
type Placer interface {
	// HasDispatcher reports whether another node chooses groups for the nodes of this
	// zone.
	HasDispatcher(now time.Time) bool
	// Place asks a zone. ok is false if the zone did not respond.
	Place(ctx context.Context, zone string, request fleet.PlacementRequest) (placement fleet.Placement, ok bool)
}

// Promiser promises room to callers that this node refuses for lack of it, while it
// dispatches for its zone.
type Promiser interface {
	// WithKept returns a request with the places that are kept from it or for it.
	WithKept(now time.Time, request balance.Request) balance.Request
	// Placed records that a request got a place.
	Placed(now time.Time, request balance.Request)
	// Promise returns after what time the caller of a refused request has to come back to
	// a place that is kept for it, 0 if none is. left is the time until its deadline.
	Promise(now time.Time, heads []*fleet.Endpoint, request balance.Request, left time.Duration) time.Duration
}

// Gateway is the HTTP handler for client requests.
type Gateway struct {
	Options
	budget    *balance.RetryBudget
	callTimes *callTimes
	served    atomic.Int64
	started   time.Time
	streams   atomic.Int64 // streams of callers in progress
	forwards  atomic.Int64 // requests of other nodes in progress
	controls  atomic.Int64 // control calls of other nodes in progress
	held      atomic.Int64 // requests that wait for the outcome of a trial
	// askedElsewhere is how many questions after processes are in progress by way of other nodes.
	askedElsewhere atomic.Int64
	// othersAskedAt is when endpoints were last asked whether they answer, in Unix nanoseconds.
	othersAskedAt atomic.Int64
	unproven      unprovenAttempts
	stallWatches  stallWatches
	// eventBytes and answerBytes bound what is held of unfinished events and answers.
	eventBytes, answerBytes heldmemory.Budget
	// memory counts what all requests hold.
	memory heldmemory.Total
	// callers holds the answers that are being passed on.
	callers callers
	// unreadable holds the unreadable headers that were logged.
	unreadable unreadableHeaders
}

// New returns a gateway.
func New(options Options) *Gateway {
	bounds := options.Settings().Bounds
	if options.Paths == nil {
		options.Paths = reach.NewTable()
	}
	if options.Shares == nil {
		options.Shares = func() Shares { return Shares{Nodes: 1, Zone: 1} }
	}
	if options.Quarantine == nil {
		options.Quarantine = quarantine.NewTable()
	}
	if options.Trials == nil {
		options.Trials = localTrials{options.Quarantine}
	}
	return &Gateway{Options: options, budget: balance.NewRetryBudget(bounds.RetryRatio, bounds.RetryWindow), callTimes: newCallTimes(), started: time.Now(),
		eventBytes: heldmemory.Budget{Limit: maxEventBytes}, answerBytes: heldmemory.Budget{Limit: maxAnswerBytes},
	}
}

// Served returns how many requests matched a route. Other components use it to detect
// that traffic has begun.
func (g *Gateway) Served() int64 { return g.served.Load() }

// Streams returns how many streams of callers are in progress.
func (g *Gateway) Streams() int { return int(g.streams.Load()) }

// defaultRetryAfter is the Retry-After of a 503 for which no better estimate exists,
// for example before the configuration is known.
const defaultRetryAfter = 500 * time.Millisecond

// ServeHTTP implements http.Handler.
func (g *Gateway) ServeHTTP(w http.ResponseWriter, in *http.Request) {
	now := time.Now()
	g.awaitStartup(in.Context(), now, g.Cache.Configured())
	request, refusal := g.resolve(in, now)
	if refusal != nil {
		g.refuse(w, request, *refusal)
		heldmemory.ReadRest(w, in)
		return
	}
	g.served.Add(1)
	defer request.memory.Release()
	if !g.beginMemory(request) {
		g.refuseMemory(w, request, heldmemory.Requests, 0)
		heldmemory.ReadRest(w, in)
		return
	}
	body, err := g.readBody(w, in, request.view().Config().Limits.BodyBytes, request)
	if err != nil {
		g.refuseBody(w, request, len(body), err)
		request.memory.Release()
		heldmemory.ReadRest(w, in)
		return
	}
	request.Body = body
	request.takeView(g.Cache) // the view may have changed while a slow caller sent its body
	g.budget.RecordRequest(now, request.Service.Name)
	ctx, cancel := context.WithDeadline(in.Context(), request.Deadline)
	defer cancel()
	if request.Route.Kind == fleet.Streaming {
		g.serveStream(ctx, w, request)
		return
	}
	g.servePlain(ctx, w, request)
}

// resolve finds the route, the account and the service of a request. On a refusal the
// returned request holds what was resolved so far.
func (g *Gateway) resolve(in *http.Request, now time.Time) (*Request, *refusal) {
	r := &Request{
		Info: platform.DecodeRequestInfo(in.Header), Method: in.Method, Host: in.Host, Target: in.RequestURI,
		Header: in.Header, Arrived: now, left: in.Context().Done(),
		ended: g.endedBy(in.Context()),
	}
	r.takeView(g.Cache)
	r.arrivedUnder = r.configVersion()
	if in.URL.IsAbs() {
		r.Target = in.URL.RequestURI()
	}
	if r.view().Config() == nil {
		return r, &refusal{status: http.StatusServiceUnavailable, reason: "configuration_unknown", retryAfter: defaultRetryAfter}
	}
	route, ok := r.view().Route(in.Host, r.path())
	if !ok {
		return r, &refusal{status: http.StatusNotFound, reason: "no_route"}
	}
	r.Route = route
	if !route.Public && r.view().RequiresKey() {
		account, ok := r.view().Account(r.Info.Key)
		if !ok {
			return r, &refusal{status: http.StatusUnauthorized, reason: "unknown_key"}
		}
		r.Account = account
	}
	service, ok := r.view().Service(pickService(route.Split, r.Info.ID))
	if !ok {
		return r, &refusal{status: http.StatusServiceUnavailable, reason: "service_unknown", retryAfter: defaultRetryAfter}
	}
	r.Service = service
	if service.Engine != nil && !service.Engine.Holds(r.Info.Prompt, min(r.Info.LengthHint, r.Info.MaxAnswer)) {
		return r, &refusal{status: http.StatusRequestEntityTooLarge, reason: "exceeds_model_memory"}
	}
	r.setDeadline()
	return r, nil
}

// pickService chooses a service of a traffic split by weight. The choice depends only
// on the request id, so every node makes the same one.
func pickService(split []fleet.Share, id string) string {
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

// balanceRequest returns the inputs of endpoint selection for a request.
//
// Until the list of nodes has been read, the budget for cold endpoints is 0: after a
// restart of all nodes, each would otherwise spend the budget of all of them.
func (g *Gateway) balanceRequest(r *Request, tried map[string]bool) balance.Request {
	shares := g.Shares()
	nodes := max(1, shares.Nodes)
	settings := g.Settings()
	bounds := settings.Bounds
	zone := max(1, shares.Zone)
	// The requests per second that a cold endpoint can handle, with a margin for nodes
	// that are not in each other's lists yet.
	cold := coldBudgetShare * (r.Service.ColdPerSecond*bounds.ColdOvershoot + bounds.ColdSlack)
	if shares.Nodes == 0 {
		cold = 0
	}
	req := balance.Request{
		Service: r.Service, Zone: settings.Zone, Prompt: r.Info.Prompt, Answer: r.Info.MaxAnswer, Objective: r.Route.Objective, Tried: tried,
		Node: settings.Node, Nodes: nodes, ZoneNodes: zone, IsDispatcher: shares.IsDispatcher,
		ColdRateOwnZone: coldZoneShare * cold / float64(zone), ColdRateOtherZones: (1 - coldZoneShare) * cold / float64(max(1, nodes-zone)),
		Connections: usableConnections(r.Service.MaxConnections), Urgency: r.Priority(), Account: r.account(), ExpectedAnswer: r.Info.LengthHint,
	}
	if r.Service.Engine != nil {
		req.Model, _ = r.Service.Engine.Model(r.Info.Model)
	}
	return req
}

// How the request budget of a cold endpoint is divided. The nodes of its own zone get
// most of it, since they send it most requests.
const (
	coldBudgetShare = 0.75
	coldZoneShare   = 0.75
)

// usableConnections returns how many of the connections that an endpoint accepts are for requests of all nodes.
// A tenth is reserved for health checks and orders.
func usableConnections(limit int) int { return limit * 9 / 10 }

// keptConnections returns how many idle connections to an endpoint of a service this node keeps, 0 for any number.
func (g *Gateway) keptConnections(service fleet.Service) int {
	if service.MaxConnections <= 0 {
		return 0
	}
	return balance.EqualConnections(usableConnections(service.MaxConnections), g.Shares().Nodes)
}

// mayRetry reports whether a request may be sent to another endpoint. It spends the
// retry budget if so.
func (g *Gateway) mayRetry(r *Request, sent int, now time.Time) bool {
	if !mayAttempt(r, sent, now) {
		return false
	}
	slack := 0.0
	if nodes := g.Shares().Nodes; nodes > 0 {
		slack = g.Settings().Bounds.RetrySlack / float64(nodes)
	}
	return g.budget.Spend(now, r.Service.Name, slack)
}

// mayAttempt reports whether the route's attempts and the time left allow one more attempt.
func mayAttempt(r *Request, sent int, now time.Time) bool {
	return sent < r.Route.MaxAttempts && r.Left(now) >= minRemaining
}

// minRemaining is the remaining time below which no endpoint can respond before the
// deadline.
const minRemaining = 15 * time.Millisecond
