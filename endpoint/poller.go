package endpoint

import (
	"context"
	"encoding/json"
	"slices"
	"sync/atomic"
	"time"

	"redwinghall"
	"redwinghall/health"
	"redwinghall/kernel"
	"redwinghall/peer"
	"redwinghall/route"
)

// pollersPerGroup is how many routers of a zone poll the members of each group.
// With two, the loss of one router leaves no gap. The other routers receive the
// group's health from their peers, so that no router polls every endpoint.
const pollersPerGroup = 2

// Poller polls the members of the groups that are assigned to this router.
type Poller struct {
	engine   redwinghall.Engine
	node     *peer.Node
	trackers map[string]*health.Tracker
	polls    atomic.Uint64
}

// NewPoller returns a poller that passes the health it observes to node.
func NewPoller(engine redwinghall.Engine, node *peer.Node) *Poller {
	return &Poller{engine: engine, node: node, trackers: map[string]*health.Tracker{}}
}

// Polls returns how many reports were requested.
func (p *Poller) Polls() uint64 { return p.polls.Load() }

// Tick polls the members of every group that is assigned to this router once.
// Calls must not overlap.
func (p *Poller) Tick(ctx context.Context, now time.Time) {
	routers := RouterIDs(p.node)
	round := kernel.NewGroup(ctx)
	known := map[string]bool{}
	for _, e := range p.node.Store.List(peer.PrefixGroups(p.node.Self.AvailabilityZone)) {
		var g redwinghall.Group
		if json.Unmarshal(e.Value, &g) != nil || g.Dissolved || len(g.Members) == 0 {
			continue
		}
		known[g.ID] = true
		if !slices.Contains(pollersOf(g.ID, routers), p.node.Self.ID) {
			delete(p.trackers, g.ID)
			continue
		}
		tracker := p.tracker(g)
		p.polls.Add(uint64(len(g.Members)))
		round.Task("endpoint.poll_group", func(ctx context.Context) { p.pollGroup(ctx, tracker, now) })
	}
	_ = round.Wait() // the goroutines return no errors
	for id := range p.trackers {
		if !known[id] {
			delete(p.trackers, id)
		}
	}
	p.node.Health.Retain(func(id string) bool { return known[id] })
}

func (p *Poller) tracker(g redwinghall.Group) *health.Tracker {
	t, ok := p.trackers[g.ID]
	if !ok || t.Group().Generation != g.Generation {
		t = health.NewTracker(g)
		p.trackers[g.ID] = t
	}
	return t
}

func (p *Poller) pollGroup(ctx context.Context, t *health.Tracker, now time.Time) {
	members := t.Group().Members
	reports := make([]redwinghall.Report, len(members))
	errs := make([]error, len(members))
	round := kernel.NewGroup(ctx)
	for i, m := range members {
		round.Task("endpoint.poll", func(ctx context.Context) {
			errs[i] = kernel.Protect("endpoint.report", func() (err error) {
				reports[i], err = p.engine.Report(ctx, m.Address)
				return err
			})
		})
	}
	_ = round.Wait() // the goroutines return no errors
	for i, err := range errs {
		switch {
		case err == nil:
			t.Observe(i, reports[i], now)
		case redwinghall.KindOf[Kind](err) == Refused:
			t.ObserveRefusal(now)
		}
	}
	p.node.Observe(t.Health())
}

// RouterIDs returns the ids of the zone's live routers.
func RouterIDs(node *peer.Node) []string {
	members := node.Live(peer.Router)
	ids := make([]string, len(members))
	for i, m := range members {
		ids[i] = m.ID
	}
	slices.Sort(ids)
	return ids
}

// pollersOf returns the routers that poll a group's members.
func pollersOf(group string, routers []string) []string {
	left := slices.Clone(routers)
	var out []string
	for len(out) < pollersPerGroup && len(left) > 0 {
		owner := route.Owner(group, left)
		out = append(out, owner)
		left = slices.DeleteFunc(left, func(id string) bool { return id == owner })
	}
	return out
}
