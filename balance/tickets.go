package balance

import "sync"

// Tickets number what this node asks another one to choose. The zero value is
// ready for use.
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

// Close ends a ticket: its stream counts among this node's own, or was not sent.
func (t *Tickets) Close(ticket uint64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	delete(t.open, ticket)
}

// LowestOpen returns the lowest ticket that isn't closed. All streams of lower ones
// are in loads that are read after this call.
func (t *Tickets) LowestOpen() uint64 {
	t.mu.Lock()
	defer t.mu.Unlock()
	lowest := t.last + 1
	for ticket := range t.open {
		lowest = min(lowest, ticket)
	}
	return lowest
}
