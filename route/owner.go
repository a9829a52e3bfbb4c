package route

import (
	"time"

	"github.com/cespare/xxhash/v2"
)

// Owner returns the member that owns an item: the one with the highest hash
// (rendezvous hashing). The loss of a member therefore moves only the items
// that it owned.
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

// ColdOwner returns the caller address of a router that sends to a cold group
// of the model. It returns "" when this router may send to a usable group
// itself or when there is no such router. tried holds addresses to leave out.
func (s *Selector) ColdOwner(model string, now time.Time, tried map[string]bool) string {
	m, ok := s.View().Models[model]
	if !ok {
		return ""
	}
	found := ""
	for _, group := range m.Groups {
		if !group.Usable(now, s.aliveBound) {
			continue
		}
		if group.Limit() > 0 {
			return ""
		}
		if owner := group.Owner(); owner != "" && !tried[owner] {
			found = owner
		}
	}
	return found
}

// activeGrant returns the end of this router's grant to send to a cold group, and
// false if it has none or the grant has expired.
func (s *Selector) activeGrant(group string, now time.Time) (time.Time, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	until, ok := s.grants[group]
	if ok && !now.Before(until) {
		delete(s.grants, group)
		return time.Time{}, false
	}
	return until, ok
}

// RecordGrants records that this router may send to the cold groups until the
// given time.
func (s *Selector) RecordGrants(groups []string, until time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, g := range groups {
		s.grants[g] = until
	}
}

// OwnedColdGroups returns the cold groups that this router owns by hashing.
// The router should request grants for them.
func (s *Selector) OwnedColdGroups(routers []string) []string {
	var out []string
	for _, model := range s.View().Models {
		for _, group := range model.Groups {
			g, h := group.Group(), group.Health()
			if !g.Leaving && h.Generation == g.Generation && int(h.Completed) < g.WarmAfter && Owner(g.ID, routers) == s.self {
				out = append(out, g.ID)
			}
		}
	}
	return out
}
