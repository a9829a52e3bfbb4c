package peer

import (
	"strings"
	"sync"
)

// groupIDs maps the hashes that identify groups on the wire to group IDs. The
// map is rebuilt from the registers when the store has changed.
type groupIDs struct {
	mu      sync.Mutex
	version uint64
	ids     map[uint32]string
}

// id returns the ID of the group of a zone with the given hash.
func (g *groupIDs) id(store *Store, zone string, hash uint32) (string, bool) {
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
