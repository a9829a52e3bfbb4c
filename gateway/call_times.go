package gateway

import (
	"sync"
	"time"
)

// callTimes knows how long the longest calls of each route of a plain service
// take. It is safe for concurrent use.
type callTimes struct {
	mu      sync.Mutex
	byRoute map[string]time.Duration
}

func newCallTimes() *callTimes { return &callTimes{byRoute: map[string]time.Duration{}} }

const (
	// callTimesDecay is the part of a longest call that each shorter one takes
	// away: a route that has become faster is believed after some dozens.
	callTimesDecay = 64
	// maxCallTimeRoutes bounds how many routes are remembered: configurations may
	// bring new names for good.
	maxCallTimeRoutes = 1000
)

// record takes in how long a call took, from its request to its whole answer.
func (c *callTimes) record(route string, took time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	longest, known := c.byRoute[route]
	if !known && len(c.byRoute) >= maxCallTimeRoutes {
		clear(c.byRoute)
	}
	c.byRoute[route] = max(took, longest-longest/callTimesDecay)
}

// longest returns how long the longest calls of a route take, 0 if none was seen.
func (c *callTimes) longest(route string) time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.byRoute[route]
}
