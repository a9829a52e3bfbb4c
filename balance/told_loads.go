package balance

import (
	"sync"
	"time"

	"redwinghall/fleet"
)

// ToldLoads is what this node told the dispatcher of its zone about its loads. The zero
// value is ready for use.
type ToldLoads struct {
	mu   sync.Mutex
	node string // that was told
	// confirmed holds the loads of the last report that the dispatcher confirmed.
	confirmed map[string]Load
	// mentioned and mentionedBefore hold the endpoints whose loads went out with requests
	// since then, and in the interval before: either may have overtaken the report.
	mentioned, mentionedBefore map[string]bool
}

// Confirm records that a node received a report of all loads.
func (l *ToldLoads) Confirm(node string, loads map[string]Load) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.forgetOthers(node)
	l.confirmed = loads
	l.mentioned, l.mentionedBefore = map[string]bool{}, l.mentioned
}

// Changes returns the loads at some heads that a node may not know.
func (l *ToldLoads) Changes(now time.Time, t *Tracker, node string, heads []*fleet.Endpoint) map[string]Load {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.forgetOthers(node)
	changes := map[string]Load{}
	t.eachLoad(now, heads, func(id string, load Load) {
		if load != l.confirmed[id] || l.mentioned[id] || l.mentionedBefore[id] {
			changes[id] = load
		}
	})
	for id := range changes {
		l.mentioned[id] = true
	}
	return changes
}

// forgetOthers forgets what was told to another node.
func (l *ToldLoads) forgetOthers(node string) {
	if l.node == node && l.mentioned != nil {
		return
	}
	l.node, l.confirmed = node, nil
	l.mentioned, l.mentionedBefore = map[string]bool{}, map[string]bool{}
}

// eachLoad calls do with the load of this node at each of some heads.
func (t *Tracker) eachLoad(now time.Time, heads []*fleet.Endpoint, do func(id string, load Load)) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, e := range heads {
		load := Load{}
		if s, ok := t.states[e.ID]; ok {
			load = s.ownLoad(now)
		}
		do(e.ID, load)
	}
}
