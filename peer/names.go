package peer

import (
	"strings"
	"sync"
)

// groupNames maps the hashes that stand for groups on the wire to their ids,
// from the registers held.
type groupNames struct {
	mu      sync.Mutex
	version uint64
	ids     map[uint32]string
}

// id returns the id of the group that a hash stands for in a zone.
func (g *groupNames) id(store *Store, zone string, hash uint32) (string, bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if version := store.Version(); g.ids == nil || version != g.version {
		prefix := PrefixGroups(zone)
		g.ids = map[uint32]string{}
		for _, e := range store.List(prefix) {
			id := strings.TrimPrefix(e.Key, prefix)
			g.ids[groupHash(id)] = id
		}
		g.version = version
	}
	id, ok := g.ids[hash]
	return id, ok
}
