package clienthttp

import (
	"net/http"
	"sync"
	"time"

	"redwinghall/kernel"
)

// Pool bounds what the heads of all connections of a process take.
type Pool struct {
	headBytes int64 // 0 for any number
	guards    []*Guard

	mu      sync.Mutex // guards the connections of all guards too
	held    int64
	leaving int64 // the part of held of closed connections whose heads net/http hasn't given up yet
	changed sync.Cond
	// makesRoom is nil while no head waits for room.
	makesRoom *kernel.Timer
}

// NewPool returns a pool whose large heads may take so many bytes together, 0 for any number.
func NewPool(headBytes int64) *Pool {
	p := &Pool{headBytes: headBytes}
	p.changed.L = &p.mu
	return p
}

// Held returns how many bytes large heads take.
func (p *Pool) Held() int64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.held
}

// wakeLocked wakes the connections that wait for room.
func (p *Pool) wakeLocked() {
	if p.makesRoom != nil {
		p.changed.Broadcast()
	}
}

// recordRead records bytes that came on a connection, and reports whether it goes on. It waits until there is room for what
// they add to a large head, before net/http gets them.
func (p *Pool) recordRead(now time.Time, c *conn, got []byte) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	switch c.phase {
	case phaseServed:
		return !c.evicted
	case phaseBody:
		c.bodyBytes += int64(len(got))
		c.head.behind += len(got)
		return !c.evicted
	case phaseIdle:
		c.phase, c.since = phaseHead, now
	case phaseHead:
	}
	next := c.head.with(got)
	for more := next.cost() - c.cost; more > 0 && p.headBytes > 0 && p.held+more > p.headBytes && !c.ended(); {
		p.awaitRoomLocked(c)
	}
	if c.ended() {
		return false
	}
	c.head = next
	p.chargeLocked(c)
	return true
}

// awaitRoomLocked waits for what may make room for a connection's head.
func (p *Pool) awaitRoomLocked(c *conn) {
	if p.makesRoom == nil {
		p.makesRoom = kernel.AfterFunc(headStep, p.makeRoom)
	}
	c.waits = true
	p.changed.Wait()
	c.waits = false
}

// makeRoom closes the connections whose heads take long, and other ones with large heads that make no progress, while heads
// wait for room.
func (p *Pool) makeRoom() {
	now := time.Now()
	p.mu.Lock()
	victims, waiting := p.evictForHeadsLocked(now)
	if waiting {
		p.makesRoom.Reset(headStep)
	} else {
		p.makesRoom = nil
	}
	p.changed.Broadcast()
	p.mu.Unlock()
	for _, victim := range victims {
		closeEvicted(victim)
	}
}

// evictForHeadsLocked returns the connections that are closed to make room for one more read of a head, and whether heads
// wait. Those that have waited long are closed too.
func (p *Pool) evictForHeadsLocked(now time.Time) (victims []*conn, waiting bool) {
	evict := func(c *conn) {
		c.guard.evictLocked(now, c)
		victims = append(victims, c)
	}
	for _, g := range p.guards {
		for c := range g.conns {
			rank, _ := c.rank(now)
			switch {
			case c.waits && rank == rankStaleHead:
				evict(c)
			case c.waits:
				waiting = true
			}
		}
	}
	for p.held-p.leaving > p.headBytes-largestRead && waiting {
		victim := p.forHeads(now)
		if victim == nil {
			break
		}
		evict(victim)
	}
	return victims, waiting
}

// chargeLocked counts what a connection's head takes now.
func (p *Pool) chargeLocked(c *conn) {
	if c.evicted {
		return
	}
	cost := c.head.cost()
	p.held += cost - c.cost
	c.cost = cost
}

// recordState records a connection's new state. If another connection waits for room, one whose request has just been answered
// is closed for it.
func (p *Pool) recordState(now time.Time, c *conn, state http.ConnState) {
	p.mu.Lock()
	p.recordStateLocked(now, c, state)
	evict := state == http.StateIdle && c.guard.wanted && !c.evicted && (c.pipelined || kernel.UnreadBytes(c) == 0)
	if evict {
		c.guard.wanted = false
		c.guard.evictLocked(now, c)
	}
	p.mu.Unlock()
	if evict {
		closeEvicted(c)
	}
}

func (p *Pool) recordStateLocked(now time.Time, c *conn, state http.ConnState) {
	switch state {
	case http.StateActive:
		c.phase, c.since, c.sent = phaseServed, now, false
	case http.StateIdle:
		c.phase, c.since = phaseIdle, now
		c.head, c.body, c.bodyBytes = c.head.next(c.body), 0, 0
		c.pipelined = c.head.bytes > 0
		p.chargeLocked(c)
	case http.StateClosed, http.StateHijacked:
		c.guard.removeLocked(c)
	case http.StateNew:
	}
}

// beginBody records that a handler gets a request with a body.
func (p *Pool) beginBody(now time.Time, c *conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	c.phase, c.since = phaseBody, now
}

// recordBody records that a handler has read n bytes of a body, or all of it, and reports whether the connection goes on.
func (p *Pool) recordBody(now time.Time, c *conn, n int, ended bool) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	c.body += int64(n)
	if ended && c.phase == phaseBody {
		c.phase, c.since = phaseServed, now
	}
	return !c.evicted
}

func (p *Pool) recordSent(c *conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	c.sent = true
}

// isPipelined reports whether the request on a connection had come before the one before it was answered.
func (p *Pool) isPipelined(c *conn) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return c.pipelined
}

func (p *Pool) isEvicted(c *conn) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return c.evicted
}
