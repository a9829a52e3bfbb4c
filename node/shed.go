package node

import (
	"sync"
	"time"
)

const (
	// connectionsPerCore is how many new connections a second a node serves with one core, one request on each,
	// and still has time for what else it does.
	connectionsPerCore = 500
	// shedBurst is for how long a node may get any number of new connections before it leaves some unread.
	shedBurst = 200 * time.Millisecond
)

// connectionRate tells which new connections are more than this node's processor can serve.
//
// A load balancer may hand most new connections of a zone to one node. All requests that it reads then would be late,
// while the other nodes are idle. A connection that is closed unread costs its caller a round trip: the next try
// meets another node.
type connectionRate struct {
	perSecond float64

	mu       sync.Mutex
	left     float64 // connections that may be served at once
	filledAt time.Time
}

func newConnectionRate(processor float64) *connectionRate {
	return &connectionRate{perSecond: processor * connectionsPerCore}
}

// exceeded counts a new connection, and reports whether it is one too many.
func (c *connectionRate) exceeded(now time.Time) bool {
	if c.perSecond <= 0 {
		return false
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	burst := max(1, c.perSecond*shedBurst.Seconds())
	if c.filledAt.IsZero() {
		c.left = burst
	} else {
		c.left = min(burst, c.left+c.perSecond*now.Sub(c.filledAt).Seconds())
	}
	c.filledAt = now
	if c.left < 1 {
		return true
	}
	c.left--
	return false
}

// leavesUnread reports whether a new connection is left to other nodes, unread if it is accepted in time: this node gets
// more than it can serve, and far more than the other nodes of its zone. If all get too much, none of them would read it
// sooner.
func (n *Node) leavesUnread(now time.Time) bool {
	if !n.newConnections.exceeded(now) || !n.tracker.CarriesMost(now, len(n.peers())) {
		return false
	}
	n.metrics.ConnectionUnread()
	return true
}
