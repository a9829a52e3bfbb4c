package daemon

import (
	"context"
	"encoding/json"
	"errors"
	"sort"
	"time"

	"k8s.io/klog/v2"

	"redwinghall"
	"redwinghall/endpoint"
	"redwinghall/kernel"
	"redwinghall/lease"
	"redwinghall/operator"
	"redwinghall/peer"
	"redwinghall/place"
	"redwinghall/tablehttp"
)

const shutdownTimeout = 10 * time.Second

// Controller is a controller process.
type Controller struct {
	settings ControllerSettings
	Node     *peer.Node
	Manager  *endpoint.Manager
	server   *operator.Server
	follower *tablehttp.Follower
}

// NewController returns a controller with the given settings.
func NewController(s ControllerSettings) (*Controller, error) {
	peerToken, err := s.PeerToken.Read()
	if err != nil {
		return nil, err
	}
	operatorToken, err := s.OperatorToken.Read()
	if err != nil {
		return nil, err
	}
	table := tablehttp.NewClient(s.PlatformAddress)
	node := peer.NewNode(peer.Member{
		ID: s.ID, AvailabilityZone: s.AvailabilityZone, Address: s.PeerAddress, Program: peer.Controller,
	}, s.Peers, peerToken)
	node.Interval = s.ExchangeInterval.Std()
	node.HealthBound = s.AliveBound.Std()
	manager := endpoint.NewManager(endpoint.ManagerConfig{
		AvailabilityZone: s.AvailabilityZone, Controller: s.ID,
		Lease:     lease.Config{Self: s.ID, Duration: s.LeaseDuration.Std(), Margin: s.LeaseMargin.Std()},
		LostAfter: s.LostAfter.Std(), SettleTime: s.SettleTime.Std(), DrainTimeout: s.DrainTimeout.Std(),
		MaxLoading: s.MaxLoading, OrderTimeout: s.OrderTimeout.Std(),
	}, table, endpoint.NewClient(s.OrderTimeout.Std()), table, place.BestFit{}, node)
	c := &Controller{
		settings: s, Node: node, Manager: manager,
		follower: tablehttp.NewFollower(table, node, s.HeadInterval.Std()),
	}
	c.server = operator.NewServer(operator.NewAcceptor(table), c, operatorToken)
	return c, nil
}

// Run runs the controller until ctx is done. It then completes the operators' requests
// in progress, releases the zone's lease so that another controller can take over, and
// stops.
func (c *Controller) Run(ctx context.Context) error {
	g := kernel.NewGroup(context.Background())
	peers := peerServer(c.settings.PeerAddress, c.Node.Handler())
	operators := c.server.HTTPServer(c.settings.OperatorAddress)
	if err := serve(g, "peer.listener", peers, peerMaxConnections); err != nil {
		return err
	}
	if err := serve(g, "operator.listener", operators, peerMaxConnections); err != nil {
		g.Stop()
		_ = peers.Close()
		return errors.Join(err, g.Wait())
	}
	c.Node.Run(g, time.Now())
	g.Every("platform.head", c.settings.HeadInterval.Std()/4, c.follower.Tick)
	g.Every("endpoint.manage", c.settings.StepInterval.Std(), c.Manager.Tick)
	klog.InfoS("controller_started", "id", c.settings.ID, "availability_zone", c.settings.AvailabilityZone,
		"operator_address", c.settings.OperatorAddress)

	select {
	case <-ctx.Done():
	case <-g.Context().Done():
	}
	c.Node.Leave(time.Now())
	stopCtx, cancel := context.WithTimeout(context.Background(), shutdownTimeout)
	defer cancel()
	if err := operators.Shutdown(stopCtx); err != nil {
		_ = operators.Close()
	}
	g.Stop()
	_ = peers.Close()
	err := g.Wait()
	c.Manager.Release(stopCtx)
	klog.InfoS("controller_stopped", "id", c.settings.ID)
	return err
}

// Manifest implements operator.Backend.
func (c *Controller) Manifest() (redwinghall.Accepted, bool) {
	e, ok := c.Node.Store.Get(peer.KeyManifest)
	if !ok {
		return redwinghall.Accepted{}, false
	}
	var accepted redwinghall.Accepted
	if err := json.Unmarshal(e.Value, &accepted); err != nil {
		return redwinghall.Accepted{}, false
	}
	return accepted, true
}

// Refresh implements operator.Backend. It reads the change that was just recorded from
// the table and publishes it to the peers at once.
func (c *Controller) Refresh() {
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	if err := c.follower.Read(ctx); err != nil {
		klog.V(1).InfoS("refresh_failed", "cause", err.Error())
	}
}

// Status implements operator.Backend.
func (c *Controller) Status(now time.Time) operator.Status {
	held := c.Manager.Lease()
	if !held.Holding {
		ctx, cancel := context.WithTimeout(context.Background(), time.Second)
		defer cancel()
		c.Node.FetchHealth(ctx, now)
	}
	accepted, _ := c.Manifest()
	out := operator.Status{
		Controller: c.settings.ID, AvailabilityZone: c.settings.AvailabilityZone,
		LeaseHolder: held.Holder, Fencing: held.Fencing,
		Generation: accepted.Generation, Hash: accepted.Hash,
		Zones:  c.zones(),
		Groups: c.groups(now),
	}
	if since := c.follower.UnreachableSince(); !since.IsZero() {
		out.PlatformUnreachableSince = &since
	}
	return out
}

func (c *Controller) zones() []redwinghall.AvailabilityZone {
	out := []redwinghall.AvailabilityZone{}
	for _, e := range c.Node.Store.List(peer.KeyZoneState("")) {
		var z redwinghall.AvailabilityZone
		if json.Unmarshal(e.Value, &z) == nil {
			out = append(out, z)
		}
	}
	return out
}

func (c *Controller) groups(now time.Time) []operator.GroupStatus {
	out := []operator.GroupStatus{}
	for _, e := range c.Node.Store.List(peer.PrefixGroups(c.settings.AvailabilityZone)) {
		var g redwinghall.Group
		if json.Unmarshal(e.Value, &g) != nil || g.Dissolved {
			continue
		}
		h, _ := c.Node.Health.Get(g.ID)
		out = append(out, operator.GroupStatus{Group: g, Whole: h.Healthy(g, now, c.settings.AliveBound.Std())})
	}
	sort.Slice(out, func(i, j int) bool { return out[i].ID < out[j].ID })
	return out
}
