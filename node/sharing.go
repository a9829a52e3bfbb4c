package node

import (
	"context"
	"maps"
	"time"

	"redwinghall/balance"
	"redwinghall/kernel"
	"redwinghall/neighbor"
	"redwinghall/relay"
)

// shareInterval is how often a node says how much it has at each endpoint while
// that changes. Each node of a zone adds sharePerNode to the interval without
// changes, as one node gathers what all say.
const (
	shareInterval = 60 * time.Millisecond
	sharePerNode  = 2500 * time.Microsecond
)

// hearOthers is how often a node hears of the others' loads where a dispatcher
// chooses for it. They are for the moments in which that gives no answer.
const hearOthers = 250 * time.Millisecond

// hearZones is how often a node hears of the other zones' loads while it looks
// for groups there. They only say which zone to ask first; told each time, they
// would be most of what the nodes of many zones tell each other.
const hearZones = 250 * time.Millisecond

// sharer tells the zone's gatherer this node's loads and what endpoints told it of their
// limits, and takes in what the others have.
type sharer struct {
	node *Node
	// When loads were told, and when those of others and of other zones were heard.
	toldAt, heardOthers, heardZones time.Time

	told       map[string]balance.Load
	toldLimits int
	// limitsOf is the node that told all limits.
	limitsOf string
}

// startSharing tells the zone's nodes of each other's load. The dispatcher, or the
// first in rank where there is none, gathers it; the others ask it.
func (n *Node) startSharing(g *kernel.Group) {
	s := &sharer{node: n}
	g.Every("share_loads", shareInterval, s.share)
}

func (s *sharer) share(ctx context.Context, now time.Time) {
	n := s.node
	// Settled first: what is settled by then is in the loads.
	word := neighbor.LoadReport{
		Node: n.settings.Node, Settled: n.tracker.Tickets.Settled(), Loads: n.tracker.Own(now), Limits: n.tracker.HeardLimits(now),
	}
	if !s.due(now, word) {
		return
	}
	s.toldAt, s.told, s.toldLimits = now, word.Loads, len(word.Limits)
	if n.gathers(now) {
		n.board.SetNode(now, word.Node, word.Loads)
		n.takeBoard(now)
		s.learnLimits(ctx, now, word)
		return
	}
	if peer, ok := n.avoided.FirstAvailable(now, n.peers()); ok {
		s.ask(ctx, now, peer, word)
	}
}

// learnLimits asks another node for all limits if this one, which gathers, has just started.
func (s *sharer) learnLimits(ctx context.Context, now time.Time, word neighbor.LoadReport) {
	if s.limitsOf != "" {
		return
	}
	for _, peer := range s.node.peers() {
		if peer.Name != s.node.settings.Node && !s.node.avoided.InBackoff(now, peer.Name) {
			s.ask(ctx, now, peer, word)
			return
		}
	}
}

// due reports whether a word has something new, or the last one is old.
func (s *sharer) due(now time.Time, word neighbor.LoadReport) bool {
	return now.Sub(s.toldAt) >= time.Duration(len(s.node.peers()))*sharePerNode ||
		!maps.Equal(s.told, word.Loads) || s.toldLimits != len(word.Limits)
}

// ask tells the gatherer a word and takes its answer in.
func (s *sharer) ask(ctx context.Context, now time.Time, peer relay.Peer, word neighbor.LoadReport) {
	n := s.node
	_, dispatched := n.dispatcher(now, n.settings.Zone)
	word.WithOthers = !dispatched || now.Sub(s.heardOthers) >= hearOthers
	word.WithZones = n.tracker.LooksFar(now) && now.Sub(s.heardZones) >= hearZones
	word.WithLimits = peer.Name != s.limitsOf
	shared, err := n.neighbors.Share(ctx, peer.Address, word)
	if err != nil {
		n.undispatched(time.Now(), n.settings.Zone, peer, err)
		return
	}
	heard := time.Now()
	s.limitsOf = peer.Name
	n.tracker.LearnLimits(heard, shared.Limits)
	if word.WithOthers {
		s.heardOthers = now
		n.tracker.SetOthers(heard, shared.Others)
	}
	if word.WithZones {
		s.heardZones = now
		n.tracker.SetZones(heard, shared.Zones)
	}
}
