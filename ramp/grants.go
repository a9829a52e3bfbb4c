package ramp

import (
	"sync"
	"time"
)

// GrantTTL is how long a router may feed a cold group after it asked.
const GrantTTL = 2 * time.Second

// Grants says which router the zone's holder lets feed which cold group. Each
// grant ends by itself.
//
// Guard: routers choose a cold group's owner by hashing over the routers that
// they see alive. When a router joins, dies or is cut off, two of them may
// both think that they own a group, and together send twice what it bears;
// the group falls over while it starts. The holder grants a group to one
// router at a time, and to another only after the first grant has ended by
// the holder's own clock. A router counts its grant from the moment at which
// it asked, so it stops earlier, and clocks need not agree.
type Grants struct {
	mu         sync.Mutex
	quietUntil time.Time
	held       map[string]grant
}

type grant struct {
	router string
	until  time.Time
}

// NewGrants returns the grants of a holder that took over at now. It grants
// nothing until those of the holder before it have ended.
func NewGrants(now time.Time) *Grants {
	return &Grants{quietUntil: now.Add(GrantTTL), held: map[string]grant{}}
}

// Acquire returns which of the groups the router may feed for GrantTTL.
func (g *Grants) Acquire(now time.Time, router string, groups []string) []string {
	g.mu.Lock()
	defer g.mu.Unlock()
	if now.Before(g.quietUntil) {
		return nil
	}
	var out []string
	for _, group := range groups {
		present, ok := g.held[group]
		if ok && present.router != router && now.Before(present.until) {
			continue
		}
		g.held[group] = grant{router: router, until: now.Add(GrantTTL)}
		out = append(out, group)
	}
	return out
}

// Forget drops grants that ended.
func (g *Grants) Forget(now time.Time) {
	g.mu.Lock()
	defer g.mu.Unlock()
	for group, one := range g.held {
		if !now.Before(one.until) {
			delete(g.held, group)
		}
	}
}
