package node

import (
	"sync/atomic"

	"redwinghall/members"
	"redwinghall/relay"
)

// roster holds the nodes by zone, ordered by their rank as dispatcher. It is computed
// once for each list of nodes, as every request reads it.
type roster struct {
	nodes []members.Node // the list that zones was built from
	zones map[string][]relay.Peer
}

// rosterOf returns the roster of a list of nodes. It returns last if that was built from
// the same list.
func rosterOf(last *roster, nodes []members.Node) *roster {
	if last != nil && len(last.nodes) == len(nodes) && &last.nodes[0] == &nodes[0] {
		return last
	}
	next := &roster{nodes: nodes, zones: map[string][]relay.Peer{}}
	for _, one := range nodes {
		next.zones[one.Zone] = append(next.zones[one.Zone], one.Peer())
	}
	for zone, peers := range next.zones {
		next.zones[zone] = relay.RankPeers(peers, relay.Dispatcher)
	}
	return next
}

// rosterCache caches the latest roster.
type rosterCache struct{ last atomic.Pointer[roster] }

func (c *rosterCache) of(nodes []members.Node) *roster {
	next := rosterOf(c.last.Load(), nodes)
	c.last.Store(next)
	return next
}
