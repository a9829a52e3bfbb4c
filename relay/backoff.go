package relay

import (
	"sync"
	"time"
)

// PeerBackoff tracks nodes that failed and how long each is not to be called.
type PeerBackoff struct {
	initial, maximum time.Duration

	mu    sync.Mutex
	nodes map[string]nodeBackoff
}

type nodeBackoff struct {
	until time.Time
	delay time.Duration
}

// NewPeerBackoff returns a PeerBackoff with no failed nodes. The first failure
// of a node puts it in backoff for initial; each further failure doubles the
// delay up to maximum.
func NewPeerBackoff(initial, maximum time.Duration) *PeerBackoff {
	return &PeerBackoff{initial: initial, maximum: maximum, nodes: map[string]nodeBackoff{}}
}

// RecordFailure puts a node in backoff. Failures during a backoff are ignored.
func (b *PeerBackoff) RecordFailure(now time.Time, name string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	node := b.nodes[name]
	if now.Before(node.until) {
		return // concurrent calls that fail together count as one failure
	}
	node.delay = min(max(2*node.delay, b.initial), b.maximum)
	node.until = now.Add(node.delay)
	b.nodes[name] = node
}

// RecordSuccess resets the backoff of a node.
func (b *PeerBackoff) RecordSuccess(name string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	delete(b.nodes, name)
}

// InBackoff reports whether a node is in backoff.
func (b *PeerBackoff) InBackoff(now time.Time, name string) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return !now.After(b.nodes[name].until)
}

// FirstAvailable returns the first of the given nodes that is not in backoff.
func (b *PeerBackoff) FirstAvailable(now time.Time, nodes []Peer) (Peer, bool) {
	for _, node := range nodes {
		if !b.InBackoff(now, node.Name) {
			return node, true
		}
	}
	return Peer{}, false
}
