package peer

import (
	"sync"
	"time"

	"redwinghall"
)

// HealthCache holds the newest health of each group of the zone, from this
// process's own polls and from its peers.
type HealthCache struct {
	mu     sync.Mutex
	groups map[string]redwinghall.GroupHealth
}

// NewHealthCache returns an empty book.
func NewHealthCache() *HealthCache {
	return &HealthCache{groups: map[string]redwinghall.GroupHealth{}}
}

// Merge takes in an observation of a group. It reports whether this takes the
// group out of service, which peers must hear at once.
//
// Guard: an observation that is on its way while a member restarts arrives
// after the one that says broken, and would make the group whole again; a caller
// would then be sent to a replica that misses a VM. Broken is therefore final for its
// generation, and only a higher generation, a new order, replaces it. A
// refused connection counts until all members were asked again later.
func (b *HealthCache) Merge(h redwinghall.GroupHealth) (newlyOut bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	held, ok := b.groups[h.Group]
	if !ok || h.Generation > held.Generation {
		b.groups[h.Group] = h
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
	b.groups[h.Group] = next
	return (next.Broken && !held.Broken) || (lost(next) && !lost(held))
}

// lost reports whether a member refused a connection since all were seen.
func lost(h redwinghall.GroupHealth) bool {
	return !h.LostAt.IsZero() && !h.SeenAt.After(h.LostAt)
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// Get returns the newest health of a group.
func (b *HealthCache) Get(group string) (redwinghall.GroupHealth, bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	h, ok := b.groups[group]
	return h, ok
}

// Recent returns the observations that are not older than bound, and the broken
// ones.
func (b *HealthCache) Recent(now time.Time, bound time.Duration) []redwinghall.GroupHealth {
	b.mu.Lock()
	defer b.mu.Unlock()
	var out []redwinghall.GroupHealth
	for _, h := range b.groups {
		if h.Broken || now.Sub(h.SeenAt) <= bound || now.Sub(h.LostAt) <= bound {
			out = append(out, h)
		}
	}
	return out
}

// minAdvance is how much newer an observation must be to be worth sending.
const minAdvance = 100 * time.Millisecond

// Newer returns the observations that are worth sending to a peer that has
// theirs, which is keyed by group.
func (b *HealthCache) Newer(now time.Time, bound time.Duration, theirs map[string]redwinghall.GroupHealth) []redwinghall.GroupHealth {
	var out []redwinghall.GroupHealth
	for _, h := range b.Recent(now, bound) {
		t, ok := theirs[h.Group]
		if !ok || tellsMore(h, t) {
			out = append(out, h)
		}
	}
	return out
}

func tellsMore(h, t redwinghall.GroupHealth) bool {
	if h.Generation != t.Generation {
		return h.Generation > t.Generation
	}
	return (h.Broken && !t.Broken) || h.SeenAt.Sub(t.SeenAt) > minAdvance || h.LostAt.Sub(t.LostAt) > minAdvance
}

// Retain drops groups that no longer exist.
func (b *HealthCache) Retain(keep func(group string) bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for id := range b.groups {
		if !keep(id) {
			delete(b.groups, id)
		}
	}
}
