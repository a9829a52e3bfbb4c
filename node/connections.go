package node

import (
	"context"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"k8s.io/klog/v2"

	"redwinghall/gateway"
	"redwinghall/kernel"
	"redwinghall/platform"
)

// connections tracks the callers' connections and closes idle ones.
//
// A request may arrive just as its idle connection is being closed. Forwarding it
// to an endpoint would leave its caller with a closed connection and no response.
// A connection is therefore marked before it is closed, and a request on a marked
// connection is dropped unread, so that the caller knows it can safely retry.
//
// A slow node may not have read yet what lies in a connection's socket. So a
// connection on which something arrives isn't idle, and is not closed.
type connections struct {
	mu  sync.Mutex
	all map[net.Conn]*connection
	// closeAfterResponse makes each connection close after its current response.
	// It is set by a planned stop.
	closeAfterResponse bool
	// leavesUnread reports whether a new connection is to be closed unread; it may be nil.
	leavesUnread func(now time.Time) bool
	// answers is how many requests that this node ended have their answers, the last since answeredAt.
	answers    int
	answeredAt time.Time
}

// requestState is how far a request in progress is.
type requestState int

const (
	requestNotSent requestState = iota // nothing of it was sent to an endpoint
	requestSent                        // it may have run
	requestBegun                       // its answer has begun
)

type connection struct {
	// end ends the requests of the connection with a cause.
	end   context.CancelCauseFunc
	ended atomic.Bool  // this node has ended the request
	state atomic.Int64 // the requestState of the current or last request

	busy      bool
	idleSince time.Time // start of the idle period
	closed    bool      // this node has closed the connection or is about to
	answered  bool      // the handler of the current or last request has returned
	refused   bool      // its first request is refused: this node gets more than it serves

	opened      time.Time
	requests    int    // number of requests received
	requestID   string // ID of the current or last request
	requestedAt time.Time
}

// kind returns, for log lines, whether the last request came on a new or a reused connection.
func (c *connection) kind() string {
	if c.requests > 1 {
		return "kept"
	}
	return "new"
}

type connectionKey struct{}

// connectionOf returns the connection of the request with a context, nil if it isn't tracked.
func connectionOf(request context.Context) *connection {
	state, ok := request.Value(connectionKey{}).(*connection)
	if !ok {
		return nil
	}
	return state
}

func newConnections() *connections { return &connections{all: map[net.Conn]*connection{}} }

// connContext is the http.Server ConnContext hook.
func (c *connections) connContext(ctx context.Context, conn net.Conn) context.Context {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := time.Now()
	ctx, end := context.WithCancelCause(ctx)
	state := &connection{idleSince: now, opened: now, end: end}
	c.all[conn] = state
	return context.WithValue(ctx, connectionKey{}, state)
}

// connState is the http.Server ConnState hook.
func (c *connections) connState(conn net.Conn, change http.ConnState) {
	if change == http.StateNew && c.leavesUnread != nil && c.leavesUnread(time.Now()) {
		c.endNew(conn)
		return
	}
	if c.updateState(conn, change, time.Now()) {
		closeConnection(conn)
	}
}

// lateAccept is how long the request of a new connection may have waited for the connection to be closed unread. Callers
// count on an answer once it has waited for 200 ms.
const lateAccept = 100 * time.Millisecond

// endNew closes a new connection unread, or has its request refused if that has waited in the backlog of a node that was
// slow to accept it.
func (c *connections) endNew(conn net.Conn) {
	if kernel.SinceArrival(conn) >= lateAccept {
		c.refuse(conn)
		return
	}
	closeConnection(conn)
}

// refuse makes the first request on a connection be refused.
func (c *connections) refuse(conn net.Conn) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if state, ok := c.all[conn]; ok {
		state.refused = true
	}
}

// updateState records a connection's new state and reports whether the
// connection must be closed now.
//
// A response whose headers were sent before the stop has no "Connection: close",
// so its caller sends the next request as soon as it has the response. The
// connection is therefore closed immediately after the response, not at the next
// sweep of idle connections.
func (c *connections) updateState(conn net.Conn, change http.ConnState, now time.Time) (ends bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	state, ok := c.all[conn]
	if !ok {
		return false
	}
	switch change {
	case http.StateActive:
		state.busy = true
	case http.StateIdle:
		state.busy, state.idleSince = false, now
		ends = c.closeAfterResponse && kernel.UnreadBytes(conn) == 0 // the next response says that the connection closes
		state.closed = state.closed || ends
		return ends
	case http.StateClosed, http.StateHijacked:
		state.end(nil)
		delete(c.all, conn)
	case http.StateNew:
	}
	return false
}

// closeAfterResponses makes every connection close after its current or next response.
func (c *connections) closeAfterResponses() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.closeAfterResponse = true
}

// wrap returns a handler that aborts requests on connections that this node has
// closed, and refuses those on connections that are too many. During a planned stop,
// responses carry "Connection: close".
func (c *connections) wrap(next http.Handler, plannedStop func() gateway.Stop) http.Handler {
	next = NewCallerHandler(next, plannedStop)
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		state := connectionOf(r.Context())
		switch {
		case state != nil && !c.beginRequest(state, r, plannedStop()):
			panic(http.ErrAbortHandler)
		case state != nil && state.refused:
			refuseExcess(w, r)
		default:
			next.ServeHTTP(w, r)
			c.endRequest(state)
		}
	})
}

// endRequest records that a request has its answer. state is nil for one without a connection of its own.
func (c *connections) endRequest(state *connection) {
	if state == nil {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	state.answered = true
	if state.ended.Load() {
		c.answers, c.answeredAt = c.answers+1, time.Now()
	}
}

// beginRequest records a request on a connection. It reports false if this
// node has closed the connection.
func (c *connections) beginRequest(state *connection, r *http.Request, stop gateway.Stop) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := time.Now()
	state.requests++
	state.answered = false
	state.state.Store(int64(requestNotSent))
	state.requestID, state.requestedAt = platform.DecodeRequestInfo(r.Header).ID, now
	if state.closed {
		klog.InfoS("request_on_closed_connection", "request", state.requestID, "connection", state.kind(),
			"open_for", now.Sub(state.opened), "idle_since", now.Sub(state.idleSince), "node_stopping", stop.Active())
		return false
	}
	if stop.Active() {
		klog.InfoS("request_while_stopping", "request", state.requestID, "connection", state.kind(),
			"stopping_for", now.Sub(stop.Begun), "left", stop.End.Sub(now))
	}
	return true
}

// logInterrupted logs the requests that are still running when the node ends them, and returns how many
// there are.
func (c *connections) logInterrupted(now time.Time, reason string) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	interrupted := 0
	for _, state := range c.all {
		if !state.busy || state.ended.Load() {
			continue
		}
		interrupted++
		if interrupted <= maxInterruptedLines {
			kernel.WarningS(nil, "cut_by_stop", "request", state.requestID, "reason", reason, "connection", state.kind(), "ran_for", now.Sub(state.requestedAt))
		}
	}
	return interrupted
}

// counts returns how many connections are open, and on how many of them a request is in progress.
func (c *connections) counts() (open, requests int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, state := range c.all {
		if state.busy {
			requests++
		}
	}
	return len(c.all), requests
}

// unanswered returns how many requests are in progress whose answers aren't complete.
func (c *connections) unanswered() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.countLocked(func(state *connection) bool { return state.busy && !state.answered })
}

// unbegun returns how many requests are in progress whose answers haven't begun, or were ended. Those that have begun are cut
// last, and no other one has its answer later for it.
func (c *connections) unbegun() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.countLocked(func(state *connection) bool {
		return state.busy && !state.answered && (state.ended.Load() || requestState(state.state.Load()) != requestBegun)
	})
}

// reach records that the current request is as far as a state at least. c is nil for a request without a connection of its own.
func (c *connection) reach(to requestState) {
	if c != nil && requestState(c.state.Load()) < to {
		c.state.Store(int64(to))
	}
}

// isServed reports whether a request was read, and its answer isn't complete.
func (c *connection) isServed() bool { return c.busy && c.requests > 0 && !c.answered }

// awaited returns how many requests that this node ended are still without their answers.
func (c *connections) awaited() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.countLocked(func(state *connection) bool { return state.isServed() && state.ended.Load() })
}

// unended returns how many requests are in progress that this node hasn't ended.
func (c *connections) unended() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.countLocked(func(state *connection) bool { return state.isServed() && !state.ended.Load() })
}

func (c *connections) countLocked(is func(state *connection) bool) (count int) {
	for _, state := range c.all {
		if is(state) {
			count++
		}
	}
	return count
}

// endedAnswers returns how many requests that this node ended have their answers, and since when the last has.
func (c *connections) endedAnswers() (answers int, last time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.answers, c.answeredAt
}

// endRequests ends so many requests in progress at most, of one state after the other, and returns how many it ended.
func (c *connections) endRequests(now time.Time, most int, order []requestState) (ended int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, next := range order {
		for conn, state := range c.all {
			if ended >= most {
				return ended
			}
			if !state.isServed() || state.ended.Load() || requestState(state.state.Load()) != next {
				continue
			}
			state.ended.Store(true)
			state.end(errNodeEnds)
			_ = conn.SetReadDeadline(now) // fails only if the connection is closed
			ended++
		}
	}
	return ended
}

// endReads makes the reads of the requests in progress fail that wait for more of a body.
func (c *connections) endReads(now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for conn, state := range c.all {
		if state.busy && !state.answered {
			_ = conn.SetReadDeadline(now) // fails only if the connection is closed
		}
	}
}

// firstRequestTime is how long a new connection may take to send its first
// request before it counts as idle.
const firstRequestTime = 200 * time.Millisecond

// active reports whether any connection has a running request, or was opened so
// recently that its first request may still arrive.
func (c *connections) active(now time.Time) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.activeLocked(now)
}

func (c *connections) activeLocked(now time.Time) bool {
	for conn, state := range c.all {
		if state.busy || (state.requests == 0 && now.Sub(state.opened) < firstRequestTime) || state.receives(conn, now, firstRequestTime) {
			return true
		}
	}
	return false
}

// receives reports whether a request is arriving on an idle connection: bytes wait in its socket, or some of a
// request were read less than limit ago.
func (c *connection) receives(conn net.Conn, now time.Time, limit time.Duration) bool {
	if c.closed {
		return false
	}
	read := kernel.LastRead(conn)
	return (read.After(c.idleSince) && kernel.RunTime(read, now) < limit) || kernel.UnreadBytes(conn) > 0
}

// closeIfInactive closes all connections if none is active, and reports whether
// it did. Check and closing happen under one lock, so that no request can start
// in between.
func (c *connections) closeIfInactive(now time.Time) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.activeLocked(now) {
		return false
	}
	c.closeIdleLocked(now, 0)
	return true
}

// closeIdle closes the connections that have been idle for longer than limit.
func (c *connections) closeIdle(now time.Time, limit time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.closeIdleLocked(now, limit)
}

func (c *connections) closeIdleLocked(now time.Time, limit time.Duration) {
	for conn, state := range c.all {
		// A request may have arrived while the process was paused.
		if state.busy || state.closed || kernel.RunTime(state.idleSince, now) < limit || state.receives(conn, now, limit) {
			continue
		}
		state.closed = true
		closeConnection(conn)
	}
}

func closeConnection(conn net.Conn) {
	if err := conn.Close(); err != nil {
		klog.V(1).InfoS("idle_connection_not_closed", "err", err)
	}
}
