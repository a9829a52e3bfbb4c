package peer

import (
	"encoding/json"
	"sort"
	"sync"
)

// memberCache caches the members of each zone, read from the registers.
type memberCache struct {
	mu      sync.Mutex
	version uint64
	zones   map[string][]Member
}

// zone returns the members of a zone that are not leaving, ordered by ID.
func (c *memberCache) zone(store *Store, seeds []Member, zone string) []Member {
	c.mu.Lock()
	defer c.mu.Unlock()
	if version := store.Version(); c.zones == nil || version != c.version {
		c.zones = map[string][]Member{}
		c.version = version
	}
	members, ok := c.zones[zone]
	if !ok {
		members = readMembers(store, seeds, zone)
		c.zones[zone] = members
	}
	return members
}

// readMembers returns the members of a zone: its seeds and those that announced
// themselves. An announcement replaces the seed with the same ID.
func readMembers(store *Store, seeds []Member, zone string) []Member {
	byID := map[string]Member{}
	for _, m := range seeds {
		if m.AvailabilityZone == zone {
			byID[m.ID] = m
		}
	}
	for _, e := range store.List(PrefixMembers(zone)) {
		var m Member
		if json.Unmarshal(e.Value, &m) == nil {
			byID[m.ID] = m
		}
	}
	out := make([]Member, 0, len(byID))
	for _, m := range byID {
		if !m.Leaving {
			out = append(out, m)
		}
	}
	sort.Slice(out, func(i, j int) bool { return out[i].ID < out[j].ID })
	return out
}
