package node

import (
	"context"
	"sync"
	"time"

	"k8s.io/klog/v2"

	"redwinghall/balance"
	"redwinghall/fleet"
	"redwinghall/kernel"
	"redwinghall/neighbor"
	"redwinghall/silence"
)

// stillHeads are the heads of this zone from which no node gets events, as the node that collects the zone's reports
// found. The zero value is empty. It is safe for concurrent use.
type stillHeads struct {
	mu    sync.Mutex
	heads map[string]*stillHead
}

// stillHead is the state of one such head.
type stillHead struct {
	foundAt time.Time
	at      time.Time // when it was last found to be still
	lost    bool
	asking  bool // the holder of the lease is being asked
}

// stillHeadTTL is how long a head is reported as still after it was last found so.
const stillHeadTTL = 150 * time.Millisecond

// found records that heads are still, and returns those of which the holder of the lease isn't being asked.
func (s *stillHeads) found(now time.Time, heads []silence.Head) []silence.Head {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.heads == nil {
		s.heads = map[string]*stillHead{}
	}
	for id, one := range s.heads {
		if now.Sub(one.at) > stillHeadTTL {
			delete(s.heads, id)
		}
	}
	var toAsk []silence.Head
	for _, head := range heads {
		one, known := s.heads[head.Endpoint]
		if !known {
			one = &stillHead{foundAt: now}
			s.heads[head.Endpoint] = one
			klog.InfoS("group_still", "endpoint", head.Endpoint, "still", head.Still, "nodes", head.Nodes)
		}
		one.at = now
		if !one.asking {
			one.asking = true
			toAsk = append(toAsk, head)
		}
	}
	return toAsk
}

// asked records the lease holder's answer about a head.
func (s *stillHeads) asked(now time.Time, id string, lost bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	one, ok := s.heads[id]
	if !ok {
		return
	}
	one.asking = false
	if lost && !one.lost {
		klog.InfoS("group_lost", "endpoint", id, "since_found", now.Sub(one.foundAt))
	}
	one.lost = lost
}

// list returns the heads that are still.
func (s *stillHeads) list(now time.Time) []neighbor.StillHead {
	s.mu.Lock()
	defer s.mu.Unlock()
	var heads []neighbor.StillHead
	for id, one := range s.heads {
		if now.Sub(one.at) <= stillHeadTTL {
			heads = append(heads, neighbor.StillHead{Endpoint: id, Lost: one.lost})
		}
	}
	return heads
}

// startSilence finds the groups of this zone that fell silent, if this node collects the zone's loads.
func (n *Node) startSilence(g *kernel.Group) {
	g.Every("silent_groups", shareInterval, func(_ context.Context, now time.Time) {
		if !n.collectsLoads(now) {
			return
		}
		for _, head := range n.stillHeads.found(now, n.silences.Silent(now)) {
			n.askOfGroup(head.Endpoint)
		}
		n.applyStill(now, n.stillHeads.list(now))
	})
}

// askOfGroup asks the holder of the zone's lease whether a still group lost a member.
func (n *Node) askOfGroup(headID string) {
	n.metrics.GroupStill()
	n.group.Task("suspect_group", func(ctx context.Context) {
		holder, known := n.table.Holder(n.settings.Zone)
		lost := false
		var err error
		switch {
		case known && holder.Name == n.settings.Node:
			lost = n.manager.ReportSilentGroup(context.Background(), headID)
		case known:
			lost, err = n.neighbors.SuspectGroup(ctx, holder.Address, headID)
		}
		if err != nil {
			klog.InfoS("suspicion_not_told", "endpoint", headID, "holder", holder.Name, "err", err)
		}
		n.stillHeads.asked(time.Now(), headID, lost)
	})
}

// applyStill keeps new streams from heads that are still, and moves those at groups that lost a member.
func (n *Node) applyStill(now time.Time, heads []neighbor.StillHead) {
	for _, head := range heads {
		n.tracker.MarkStill(now, head.Endpoint)
		if head.Lost {
			n.gateway.GroupLost(now, head.Endpoint)
		}
	}
}

// onProgress processes what another node of the zone sees of heads.
func (n *Node) onProgress(now time.Time, node string, report silence.Report) {
	view := n.cache.View()
	n.silences.Set(now, node, report.Of(func(id string) bool {
		e, ok := view.Endpoints[id]
		if !ok || e.Zone != n.settings.Zone {
			return false
		}
		_, isHead := paceOf(view.Service, e, 1)
		return isHead
	}))
}

// progress returns what this node sees of the heads of its zone.
func (n *Node) progress(now time.Time) silence.Report {
	view := n.cache.View()
	return n.tracker.Progress(now, func(id string, slowdown float64) (balance.Pace, bool) {
		e, ok := view.Endpoints[id]
		if !ok || e.Zone != n.settings.Zone {
			return balance.Pace{}, false
		}
		return paceOf(view.Service, e, slowdown)
	})
}

// paceOf returns the pace of the group that an endpoint heads; ok is false if it heads none.
func paceOf(serviceOf func(name string) (fleet.Service, bool), e *fleet.Endpoint, slowdown float64) (pace balance.Pace, ok bool) {
	service, ok := serviceOf(e.Service)
	if !ok || service.Engine == nil {
		return balance.Pace{}, false
	}
	model, ok := service.Engine.Model(e.Model())
	if !ok {
		return balance.Pace{}, false
	}
	return balance.NewPace(service.Engine, model, slowdown), true
}
