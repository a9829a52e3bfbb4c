package route

import (
	"time"

	"github.com/cespare/xxhash/v2"
)

// Owner returns which of the members owns an item: the one with the highest
// hash (rendezvous hashing), so that a member's loss moves only its own items.
func Owner(item string, members []string) string {
	best, bestScore := "", uint64(0)
	for _, m := range members {
		score := xxhash.Sum64String(item + "\x00" + m)
		if best == "" || score > bestScore || (score == bestScore && m < best) {
			best, bestScore = m, score
		}
	}
	return best
}

func ownerAddress(owner, self string, addresses map[string]string) string {
	if owner == self {
		return ""
	}
	return addresses[owner]
}

// ColdOwner returns the caller address of a router that feeds a cold group of
// the model when this router may not send to any usable group itself; "" when
// it may, or when there is none.
func (b *Selector) ColdOwner(model string, now time.Time, tried map[string]bool) string {
	m, ok := b.View().Models[model]
	if !ok {
		return ""
	}
	found := ""
	for _, s := range m.Backends {
		if !s.Usable(now, b.bound) {
			continue
		}
		if s.Limit() > 0 {
			return ""
		}
		if owner := s.Owner(); owner != "" && !tried[owner] {
			found = owner
		}
	}
	return found
}

// granted returns until when this router may feed a cold group.
func (b *Selector) granted(group string, now time.Time) (time.Time, bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	until, ok := b.grants[group]
	if ok && !now.Before(until) {
		delete(b.grants, group)
		return time.Time{}, false
	}
	return until, ok
}

// RecordGrants takes note that this router may feed cold groups until a time.
func (b *Selector) RecordGrants(groups []string, until time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for _, g := range groups {
		b.grants[g] = until
	}
}

// OwnedColdGroups returns the cold groups that this router owns by hashing, and so
// should ask to feed.
func (b *Selector) OwnedColdGroups(routers []string) []string {
	var out []string
	for _, model := range b.View().Models {
		for _, s := range model.Backends {
			g, h := s.Group(), s.Health()
			if !g.Leaving && h.Generation == g.Generation && int(h.Completed) < g.WarmAfter && Owner(g.ID, routers) == b.self {
				out = append(out, g.ID)
			}
		}
	}
	return out
}
