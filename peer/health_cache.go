package peer

import (
	"sync"
	"time"

	"redwinghall"
)

// HealthCache holds the newest health of each group of the zone, as observed by
// this process or reported by its peers.
type HealthCache struct {
	mu     sync.Mutex
	groups map[string]redwinghall.GroupHealth
}

// NewHealthCache returns an empty cache.
func NewHealthCache() *HealthCache {
	return &HealthCache{groups: map[string]redwinghall.GroupHealth{}}
}

// Merge merges an observation of a group. It reports whether the observation
// takes the group out of service, which must be pushed to the peers immediately.
//
// Broken is final for its generation; only a higher generation, that is a new
// order, clears it. Otherwise an older observation that arrives after a member
// has restarted would mark the group healthy again, and requests would go to a
// replica that lacks a VM. A refused connection counts until all members have
// been seen again later.
func (c *HealthCache) Merge(h redwinghall.GroupHealth) (newlyFailed bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	held, ok := c.groups[h.Group]
	if !ok || h.Generation > held.Generation {
		c.groups[h.Group] = h
		return h.Broken
	}
	if h.Generation < held.Generation {
		return false
	}
	next := held
	if h.SeenAt.After(held.SeenAt) {
		next = h
	}
	next.Broken = held.Broken || h.Broken
	next.LostAt = later(held.LostAt, h.LostAt)
	c.groups[h.Group] = next
	return (next.Broken && !held.Broken) || (refusedSinceSeen(next) && !refusedSinceSeen(held))
}

// refusedSinceSeen reports whether a member has refused a connection since all
// members were last seen.
func refusedSinceSeen(h redwinghall.GroupHealth) bool {
	return !h.LostAt.IsZero() && !h.SeenAt.After(h.LostAt)
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// Get returns the newest health of a group.
func (c *HealthCache) Get(group string) (redwinghall.GroupHealth, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	h, ok := c.groups[group]
	return h, ok
}

// Recent returns the observations that are not older than bound, and those of
// broken groups.
func (c *HealthCache) Recent(now time.Time, bound time.Duration) []redwinghall.GroupHealth {
	c.mu.Lock()
	defer c.mu.Unlock()
	var out []redwinghall.GroupHealth
	for _, h := range c.groups {
		if h.Broken || now.Sub(h.SeenAt) <= bound || now.Sub(h.LostAt) <= bound {
			out = append(out, h)
		}
	}
	return out
}

// minAdvance is how much newer an observation must be to be sent.
const minAdvance = 100 * time.Millisecond

// Newer returns the observations to send to a peer that holds theirs, which is
// keyed by group ID.
func (c *HealthCache) Newer(now time.Time, bound time.Duration, theirs map[string]redwinghall.GroupHealth) []redwinghall.GroupHealth {
	var out []redwinghall.GroupHealth
	for _, h := range c.Recent(now, bound) {
		t, ok := theirs[h.Group]
		if !ok || worthSending(h, t) {
			out = append(out, h)
		}
	}
	return out
}

// worthSending reports whether h is sufficiently newer than t, which the peer holds.
func worthSending(h, t redwinghall.GroupHealth) bool {
	if h.Generation != t.Generation {
		return h.Generation > t.Generation
	}
	return (h.Broken && !t.Broken) || h.SeenAt.Sub(t.SeenAt) > minAdvance || h.LostAt.Sub(t.LostAt) > minAdvance
}

// Retain deletes the groups for which keep returns false.
func (c *HealthCache) Retain(keep func(group string) bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for id := range c.groups {
		if !keep(id) {
			delete(c.groups, id)
		}
	}
}
