package daemon

import (
	"context"
	"errors"
	"net"
	"net/http"
	"time"

	"k8s.io/klog/v2"

	"redwinghall/caller"
	"redwinghall/claim"
	"redwinghall/endpoint"
	"redwinghall/kernel"
	"redwinghall/peer"
	"redwinghall/ramp"
	"redwinghall/route"
	"redwinghall/tablehttp"
)

const (
	refreshInterval    = 100 * time.Millisecond
	drainCheckInterval = 20 * time.Millisecond
	grantInterval      = ramp.GrantTTL / 4
	// maxAnswerTime is the most of a drain that is kept to answer requests that outlast it.
	maxAnswerTime = 500 * time.Millisecond
)

// Router is a router process.
type Router struct {
	settings RouterSettings
	Node     *peer.Node
	Selector *route.Selector
	Server   *caller.Server
	Keeper   *claim.Keeper
	Poller   *endpoint.Poller
	follower *tablehttp.Follower
	calls    *kernel.Group
}

// NewRouter returns a router with the given settings. Service calls that must run at
// most once run in a group of their own, so that they can complete while the router
// drains.
func NewRouter(s RouterSettings) (*Router, error) {
	token, err := s.PeerToken.Read()
	if err != nil {
		return nil, err
	}
	picker, err := route.Pickers.Get(s.Picker)
	if err != nil {
		return nil, err
	}
	table := tablehttp.NewClient(s.PlatformAddress)
	node := peer.NewNode(peer.Member{
		ID: s.ID, AvailabilityZone: s.AvailabilityZone, Address: s.PeerAddress,
		Program: peer.Router, CallerAddress: s.CallerAddress,
	}, s.Peers, token)
	node.Interval = s.ExchangeInterval.Std()
	node.HealthBound = s.AliveBound.Std()
	selector := route.NewSelector(route.SelectorConfig{
		AvailabilityZone: s.AvailabilityZone, Router: s.ID, AliveBound: s.AliveBound.Std(),
		Ramp: ramp.SingleOwner{}, Picker: picker,
	})
	keeper := claim.NewKeeper(claim.Config{
		Router: s.ID, WriteInterval: s.ClaimInterval.Std(),
		MaxAttemptTime: s.MaxTimeout.Std() + s.SettleTimeout.Std(),
	}, table, claim.NoTakeover{})
	calls := kernel.NewGroup(context.Background())
	server := caller.NewServer(caller.Config{
		Router: s.ID, AvailabilityZone: s.AvailabilityZone,
		MaxBodyBytes: int64(s.MaxBodyBytes), MaxRequests: s.MaxRequests,
		DefaultTimeout: s.DefaultTimeout.Std(), MaxTimeout: s.MaxTimeout.Std(),
		StallTimeout: s.StallTimeout.Std(), SettleTimeout: s.SettleTimeout.Std(),
		MaxAttempts: s.MaxAttempts, RetryPercent: s.RetryPercent,
	}, selector, keeper, calls)
	r := &Router{
		settings: s, Node: node, Selector: selector, Server: server, Keeper: keeper,
		Poller:   endpoint.NewPoller(endpoint.NewClient(s.PollInterval.Std()*4/5), node),
		follower: tablehttp.NewFollower(table, node, s.HeadInterval.Std()),
		calls:    calls,
	}
	r.addGauges()
	return r, nil
}

// addGauges adds gauges of the router's control traffic, claims and retries.
func (r *Router) addGauges() {
	gauge := r.Server.Metrics().Gauge
	gauge("peer.bytes_sent", func() int64 { return int64(r.Node.Traffic.Sent.Load()) })
	gauge("peer.bytes_received", func() int64 { return int64(r.Node.Traffic.Received.Load()) })
	gauge("endpoint.reports_asked", func() int64 { return int64(r.Poller.Polls()) })
	gauge("claim.transactions", func() int64 { return int64(r.Keeper.Writer().Counts().Transactions) })
	gauge("claim.rows", func() int64 { return int64(r.Keeper.Writer().Counts().Rows) })
	gauge("claim.owed", func() int64 { return int64(r.Keeper.PendingOutcomes()) })
	gauge("retries.sent", r.Server.Budget().Spent)
	gauge("retries.denied", r.Server.Budget().Denied)
	gauge("manifest.generation", func() int64 { return int64(r.Selector.View().Accepted.Generation) })
}

// Run serves requests until ctx is done, and then drains: it completes the requests in
// progress, records the outcomes of calls, and stops.
func (r *Router) Run(ctx context.Context) error {
	g := kernel.NewGroup(context.Background())
	callers := r.Server.HTTPServer(r.settings.CallerAddress)
	requests, endRequests := context.WithCancel(context.Background())
	defer endRequests()
	callers.BaseContext = func(net.Listener) context.Context { return requests }
	peers := peerServer(r.settings.PeerAddress, r.Node.Handler())
	if err := serve(g, "peer.listener", peers, peerMaxConnections); err != nil {
		return err
	}
	r.Node.Run(g, time.Now())
	r.Keeper.Run(g)
	g.Every("platform.head", r.settings.HeadInterval.Std()/4, r.follower.Tick)
	g.Every("endpoint.poll", r.settings.PollInterval.Std(), r.Poller.Tick)
	g.Every("route.refresh", refreshInterval, func(_ context.Context, now time.Time) {
		r.Selector.Refresh(now, r.Node.Health, r.Node.Live(peer.Router))
	})
	g.Keep("route.rebuild", r.rebuildLoop)
	g.Every("route.grants", grantInterval, r.requestGrants)
	if err := serve(g, "caller.listener", callers, r.settings.MaxConnections); err != nil {
		g.Stop()
		_ = peers.Close()
		return errors.Join(err, g.Wait())
	}
	klog.InfoS("router_started", "id", r.settings.ID, "availability_zone", r.settings.AvailabilityZone,
		"caller_address", r.settings.CallerAddress)

	select {
	case <-ctx.Done():
	case <-g.Context().Done():
	}
	r.drain(callers, endRequests)
	g.Stop()
	_ = peers.Close()
	r.calls.Stop()
	return g.Wait()
}

// requestGrants asks the holder of the zone's lease for grants to send to the cold
// groups that this router owns. Grants expire GrantTTL after now, which is before the
// request is sent.
func (r *Router) requestGrants(ctx context.Context, now time.Time) {
	groups := r.Selector.OwnedColdGroups(endpoint.RouterIDs(r.Node))
	if len(groups) == 0 {
		return
	}
	granted, err := r.Node.RequestGrants(ctx, groups)
	if err != nil {
		klog.V(1).InfoS("grant_request_failed", "cause", err.Error())
		return
	}
	r.Selector.RecordGrants(granted, now.Add(ramp.GrantTTL))
	r.Selector.Refresh(time.Now(), r.Node.Health, r.Node.Live(peer.Router))
}

func (r *Router) rebuildLoop(ctx context.Context) error {
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-r.Node.Store.Changed():
			r.Selector.Rebuild(r.Node.Store)
			r.Selector.Refresh(time.Now(), r.Node.Health, r.Node.Live(peer.Router))
		}
	}
}

// drain informs the load balancer and the peers that the router is stopping. It then
// waits, in this order, for requests in progress, for service calls whose callers have
// disconnected, and for the outcomes that are not yet recorded in the table.
//
// If the router closed its listener at once, requests that the load balancer still
// sends to it would fail. If it exited before the outcomes are recorded, callers could
// not retrieve them by a retry. Requests that are still in progress before the end are ended by endRequests, so that each
// gets an answer that says whether it may have been executed.
func (r *Router) drain(callers *http.Server, endRequests func()) {
	klog.InfoS("router_draining", "id", r.settings.ID)
	started := time.Now()
	end := started.Add(r.settings.DrainDelay.Std() + r.settings.DrainTimeout.Std())
	answersFrom := end.Add(-min(maxAnswerTime, end.Sub(started)/4))
	r.Server.Drain(answersFrom)
	r.Node.Leave(started)
	time.Sleep(r.settings.DrainDelay.Std())
	ctx, cancel := context.WithDeadline(context.Background(), end)
	defer cancel()
	if !shutDown(callers, answersFrom) {
		kernel.WarningS(nil, "drain_incomplete")
		endRequests()
	}
	if !shutDown(callers, end) {
		_ = callers.Close()
	}
	waitUntil(ctx, r.Server.CallsDone)
	waitUntil(ctx, func() bool { return r.Keeper.PendingOutcomes() == 0 })
	klog.InfoS("router_drained", "id", r.settings.ID, "outcomes_not_recorded", r.Keeper.PendingOutcomes())
}

// shutDown reports whether all requests have ended by a time.
func shutDown(callers *http.Server, by time.Time) bool {
	ctx, cancel := context.WithDeadline(context.Background(), by)
	defer cancel()
	return callers.Shutdown(ctx) == nil
}

func waitUntil(ctx context.Context, done func() bool) {
	ticker := time.NewTicker(drainCheckInterval)
	defer ticker.Stop()
	for !done() {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}
