package clienthttp

import (
	"time"

	"redwinghall/kernel"
)

// What a connection has to do to be kept while room is short.
const (
	// headTime is how long a head may take, and bodyTime how long a body may take for bodyProgress bytes.
	headTime     = time.Second
	bodyTime     = time.Second
	bodyProgress = 4 << 10
	// newTime is what each connection gets to send its request.
	newTime = 100 * time.Millisecond
	// writeTime is how long a client may take nothing of an answer for which an endpoint has worked.
	writeTime = 5 * time.Second
)

// rank orders the connections that may be closed to make room: the lowest goes first.
type rank int

const (
	rankStaleHead rank = iota // a head that takes long
	rankIdle
	rankSlowBody
	rankUnread // an answer of which the client takes nothing
	rankNew    // a head or a body that hasn't taken long yet
	rankKept   // isn't closed
)

// rank returns the rank of a connection, and since when it has it. The pool's lock is held.
func (c *conn) rank(now time.Time) (rank, time.Time) {
	age := kernel.RunTime(c.since, now)
	switch {
	case c.evicted:
		return rankKept, c.since
	case c.phase == phaseHead && age >= headTime:
		return rankStaleHead, c.since
	case c.phase == phaseHead:
		return rankNew, c.since
	case c.phase == phaseIdle:
		return rankIdle, c.since
	case c.phase == phaseBody && float64(c.bodyBytes) >= bodyProgress*age.Seconds():
		return rankKept, c.since
	case c.phase == phaseBody && age >= bodyTime:
		return rankSlowBody, c.since
	case c.phase == phaseBody:
		return rankNew, c.since
	}
	writing := time.Duration(c.writingSince.Load())
	if begun := processStart.Add(writing); writing > 0 && (!c.sent || kernel.RunTime(begun, now) >= writeTime) {
		return rankUnread, begun
	}
	return rankKept, c.since
}

// How long a new connection waits for room, how often it is looked for, and how often for heads.
const (
	roomTime = 150 * time.Millisecond // more than newTime
	roomStep = 5 * time.Millisecond
	headStep = 50 * time.Millisecond // a look at all connections takes some of a small VM's processor
)

// forRoom returns the connection of a guard that goes first if one too many is open, nil if all are kept for now. The pool's
// lock is held.
func (g *Guard) forRoom(now time.Time) *conn {
	var first *conn
	best, oldest := rankKept, now
	for c := range g.conns {
		rank, since := c.rank(now)
		if rank > best || (rank == best && !since.Before(oldest)) || (rank == rankIdle && kernel.UnreadBytes(c) > 0) {
			continue
		}
		if rank < rankKept {
			first, best, oldest = c, rank, since
		}
	}
	if first != nil && best == rankNew && kernel.RunTime(oldest, now) < newTime {
		return nil
	}
	return first
}

// forHeads returns the connection whose head takes most of those that make least progress, nil if none may be closed for
// the head of another one. The pool's lock is held.
func (p *Pool) forHeads(now time.Time) *conn {
	var first *conn
	best := rankKept
	for _, g := range p.guards {
		for c := range g.conns {
			rank, _ := c.rank(now)
			if c.cost == 0 || rank >= rankNew || rank > best || (rank == best && first != nil && c.cost <= first.cost) {
				continue
			}
			first, best = c, rank
		}
	}
	return first
}
