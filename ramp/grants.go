package ramp

import (
	"sync"
	"time"
)

// GrantTTL is how long a router may send to a cold group after it requested a grant
// for it.
const GrantTTL = 2 * time.Second

// Grants records which router may send to which cold group of a zone. The holder
// of the zone's lease keeps it. Each grant expires after GrantTTL.
//
// Routers choose a cold group's owner by hashing over the routers that they see
// alive. When a router joins, dies or is partitioned, two of them may both act as
// the owner and together send twice what the group can handle, so that it fails
// while it starts. So the holder grants a group to one router at a time, and to
// another only after the first grant has expired by the holder's own clock. A
// router counts its grant from the time of its request, so it stops before the
// grant expires at the holder, and their clocks need not agree.
type Grants struct {
	mu           sync.Mutex
	blockedUntil time.Time
	held         map[string]grant
}

type grant struct {
	router string
	until  time.Time
}

// NewGrants returns the grants of a holder that took over at now. It grants
// nothing for GrantTTL, until the grants of the previous holder have expired.
func NewGrants(now time.Time) *Grants {
	return &Grants{blockedUntil: now.Add(GrantTTL), held: map[string]grant{}}
}

// Acquire grants the router those of the groups that no other router holds, for
// GrantTTL, and returns them.
func (g *Grants) Acquire(now time.Time, router string, groups []string) []string {
	g.mu.Lock()
	defer g.mu.Unlock()
	if now.Before(g.blockedUntil) {
		return nil
	}
	var out []string
	for _, group := range groups {
		current, ok := g.held[group]
		if ok && current.router != router && now.Before(current.until) {
			continue
		}
		g.held[group] = grant{router: router, until: now.Add(GrantTTL)}
		out = append(out, group)
	}
	return out
}

// Forget drops expired grants.
func (g *Grants) Forget(now time.Time) {
	g.mu.Lock()
	defer g.mu.Unlock()
	for group, one := range g.held {
		if !now.Before(one.until) {
			delete(g.held, group)
		}
	}
}
