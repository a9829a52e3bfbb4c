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
	// callTimesForget is the part of a longest call that each shorter one takes
	// away: a route that has become faster is believed after some dozens.
	callTimesForget = 64
	// callTimesRoutes bounds how many routes are remembered: configurations may
	// bring new names for good.
	callTimesRoutes = 1000
)

// note takes in how long a call took, from its request to its whole answer.
func (c *callTimes) note(route string, took time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	longest, known := c.byRoute[route]
	if !known && len(c.byRoute) >= callTimesRoutes {
		clear(c.byRoute)
	}
	c.byRoute[route] = max(took, longest-longest/callTimesForget)
}

// longest returns how long the longest calls of a route take, 0 if none was seen.
func (c *callTimes) longest(route string) time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.byRoute[route]
}
