package gateway

import (
	"sync"
	"time"
)

// callTimes tracks a decaying maximum of the call duration of each route of a plain
// service. It is safe for concurrent use.
//
// It is known and decays by served calls only. Endpoints reject and fail calls at once, and after
// these a served call would be expected to be as short.
type callTimes struct {
	mu      sync.Mutex
	byRoute map[string]time.Duration
}

func newCallTimes() *callTimes { return &callTimes{byRoute: map[string]time.Duration{}} }

const (
	// callTimesDecay sets how fast the maximum decays: each shorter call takes away
	// 1/callTimesDecay of it, so a route that has become faster is reflected after
	// some dozens of calls.
	callTimesDecay = 64
	// maxCallTimeRoutes bounds the map, since new configurations may keep adding
	// route names.
	maxCallTimeRoutes = 1000
)

// record adds the duration of a call, from the arrival of its request to the end of
// its response. served reports whether an endpoint has served the call; one that wasn't may only be longer than expected.
func (c *callTimes) record(route string, took time.Duration, served bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	longest, known := c.byRoute[route]
	if !served && (!known || took <= longest) {
		return
	}
	if !known && len(c.byRoute) >= maxCallTimeRoutes {
		clear(c.byRoute)
	}
	c.byRoute[route] = max(took, longest-longest/callTimesDecay)
}

// longest returns the decaying maximum of a route, 0 if it has had no call.
func (c *callTimes) longest(route string) time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.byRoute[route]
}
