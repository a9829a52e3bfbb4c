package balance

import (
	"maps"
	"slices"
	"sync"
)

// Tickets numbers the requests in which this node asks another one to choose an
// endpoint, and tracks which are open. The zero value is ready for use.
type Tickets struct {
	mu   sync.Mutex
	last uint64
	open map[uint64]bool
}

// Open returns the next ticket.
func (t *Tickets) Open() uint64 {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.open == nil {
		t.open = map[uint64]bool{}
	}
	t.last++
	t.open[t.last] = true
	return t.last
}

// Close closes a ticket. Its stream is included in this node's loads or was not
// sent.
func (t *Tickets) Close(ticket uint64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	delete(t.open, ticket)
}

// Settled returns which tickets are settled.
func (t *Tickets) Settled() Settled {
	t.mu.Lock()
	defer t.mu.Unlock()
	return Settled{Below: t.last + 1, Open: slices.Sorted(maps.Keys(t.open))}
}

// Settled tells of a node's tickets which are settled: all below a ticket, except the
// open ones. A node's loads that are read later include the streams of these tickets, as
// far as they haven't ended.
type Settled struct {
	Below uint64
	Open  []uint64
}

// Includes reports whether a ticket is settled.
func (s Settled) Includes(ticket uint64) bool {
	if ticket >= s.Below {
		return false
	}
	_, open := slices.BinarySearch(s.Open, ticket)
	return !open
}

// LowestOpen returns the lowest open ticket, or the next one if none is open. Loads
// that are read after this call include all streams of lower tickets.
func (t *Tickets) LowestOpen() uint64 {
	t.mu.Lock()
	defer t.mu.Unlock()
	lowest := t.last + 1
	for ticket := range t.open {
		lowest = min(lowest, ticket)
	}
	return lowest
}
