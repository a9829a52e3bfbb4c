package relay

import (
	"sync"
	"time"
)

// PeerBackoff remembers which nodes failed, and for how long each is left alone.
type PeerBackoff struct {
	first, longest time.Duration

	mu    sync.Mutex
	nodes map[string]avoidedNode
}

type avoidedNode struct {
	until time.Time
	pause time.Duration
}

// NewPeerBackoff returns a memory in which nothing failed. A node is left alone for
// first; each further failure doubles that up to longest.
func NewPeerBackoff(first, longest time.Duration) *PeerBackoff {
	return &PeerBackoff{first: first, longest: longest, nodes: map[string]avoidedNode{}}
}

// RecordFailure notes that a node failed.
func (a *PeerBackoff) RecordFailure(now time.Time, name string) {
	a.mu.Lock()
	defer a.mu.Unlock()
	one := a.nodes[name]
	if now.Before(one.until) {
		return // calls that were on their way together fail together
	}
	one.pause = min(max(2*one.pause, a.first), a.longest)
	one.until = now.Add(one.pause)
	a.nodes[name] = one
}

// RecordSuccess forgets that a node failed before.
func (a *PeerBackoff) RecordSuccess(name string) {
	a.mu.Lock()
	defer a.mu.Unlock()
	delete(a.nodes, name)
}

// InBackoff reports whether a node is left alone now.
func (a *PeerBackoff) InBackoff(now time.Time, name string) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return !now.After(a.nodes[name].until)
}

// FirstAvailable returns the first of some nodes that isn't left alone.
func (a *PeerBackoff) FirstAvailable(now time.Time, nodes []Peer) (Peer, bool) {
	for _, one := range nodes {
		if !a.InBackoff(now, one.Name) {
			return one, true
		}
	}
	return Peer{}, false
}
