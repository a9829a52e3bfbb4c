package node

import (
	"sync/atomic"

	"redwinghall/members"
	"redwinghall/relay"
)

// roster is the nodes by zone, in the order in which they are to dispatch. It is
// worked out once for each list of nodes, as each request looks at it.
type roster struct {
	nodes []members.Node // that it was made from
	zones map[string][]relay.Peer
}

// rosterOf returns the roster of a list of nodes, the last one if that was made from it.
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

// rosterCache keeps the newest roster.
type rosterCache struct{ last atomic.Pointer[roster] }

func (c *rosterCache) of(nodes []members.Node) *roster {
	next := rosterOf(c.last.Load(), nodes)
	c.last.Store(next)
	return next
}
