package node

import (
	"context"
	"net"
	"net/http"
	"sync"
	"time"

	"k8s.io/klog/v2"

	"redwinghall/gateway"
	"redwinghall/platform"
)

// connections knows the callers' connections, and closes idle ones.
//
// Guard: a request may arrive in the very moment in which its idle connection
// is closed. It would be read and passed on to an endpoint, and its caller
// would see a connection that ends without an answer. Closing marks the
// connection first, and a request on a marked one is dropped unread, so that
// the caller knows that it can send it again.
type connections struct {
	mu  sync.Mutex
	all map[net.Conn]*connection
	// ending says that each connection is closed behind the answer that runs on
	// it; a planned stop sets it.
	ending bool
}

type connection struct {
	busy   bool
	since  time.Time // of being idle
	closed bool      // marked by this node, which closes it or has done so

	opened  time.Time
	taken   int    // requests so far
	request string // that runs or ran last
	takenAt time.Time
}

// kind says for logs whether its last request came on a new or a kept connection.
func (c *connection) kind() string {
	if c.taken > 1 {
		return "kept"
	}
	return "new"
}

type connectionKey struct{}

func newConnections() *connections { return &connections{all: map[net.Conn]*connection{}} }

// context is a server's ConnContext hook.
func (c *connections) context(ctx context.Context, conn net.Conn) context.Context {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := time.Now()
	state := &connection{since: now, opened: now}
	c.all[conn] = state
	return context.WithValue(ctx, connectionKey{}, state)
}

// note is a server's ConnState hook.
func (c *connections) note(conn net.Conn, change http.ConnState) {
	if c.endsWith(conn, change, time.Now()) {
		closeConnection(conn)
	}
}

// endsWith notes a change of a connection's state, and reports whether the
// connection must be closed now.
//
// Guard: the headers of an answer that began before the stop don't say that
// its connection ends, and its caller sends the next request on it as soon as
// it has the answer. So the connection is closed right behind the answer, and
// not at some later look at idle connections.
func (c *connections) endsWith(conn net.Conn, change http.ConnState, now time.Time) (ends bool) {
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
		state.busy, state.since = false, now
		state.closed = state.closed || c.ending
		return c.ending
	case http.StateClosed, http.StateHijacked:
		delete(c.all, conn)
	case http.StateNew:
	}
	return false
}

// endAfterAnswers makes each answer from now on the last one on its connection.
func (c *connections) endAfterAnswers() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.ending = true
}

// guard serves requests on connections that this node has not closed. While a
// planned stop is under way, answers say that their connection ends.
func (c *connections) guard(next http.Handler, plannedStop func() gateway.Stop) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if state, ok := r.Context().Value(connectionKey{}).(*connection); ok && !c.take(state, r, plannedStop()) {
			panic(http.ErrAbortHandler)
		}
		next.ServeHTTP(lastAnswer{ResponseWriter: w, plannedStop: plannedStop}, r)
	})
}

// take notes that a request came on a connection. It reports false if this
// node has closed the connection.
func (c *connections) take(state *connection, r *http.Request, stop gateway.Stop) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := time.Now()
	state.taken++
	state.request, state.takenAt = platform.DecodeAsk(r.Header).ID, now
	if state.closed {
		klog.InfoS("request_on_closed_connection", "request", state.request, "connection", state.kind(),
			"open_for", now.Sub(state.opened), "idle_since", now.Sub(state.since))
		return false
	}
	if stop.Active() {
		klog.InfoS("request_while_stopping", "request", state.request, "connection", state.kind(),
			"stopping_for", now.Sub(stop.Begun), "left", stop.End.Sub(now))
	}
	return true
}

// logCut names the requests that end with the process.
func (c *connections) logCut(now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, state := range c.all {
		if state.busy {
			klog.InfoS("cut_by_stop", "request", state.request, "connection", state.kind(), "ran_for", now.Sub(state.takenAt))
		}
	}
}

// firstRequestTime is what a new connection has to bring its request, before it
// counts as idle.
const firstRequestTime = 200 * time.Millisecond

// working reports whether a connection has a request that runs, or has just
// been opened for one.
func (c *connections) working(now time.Time) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.workingLocked(now)
}

func (c *connections) workingLocked(now time.Time) bool {
	for _, state := range c.all {
		if state.busy || (state.taken == 0 && now.Sub(state.opened) < firstRequestTime) {
			return true
		}
	}
	return false
}

// closeUnlessWorking closes all connections if none is working, and reports
// whether it did. Both are one step, so that no request comes between them.
func (c *connections) closeUnlessWorking(now time.Time) bool {
	c.mu.Lock()
	if c.workingLocked(now) {
		c.mu.Unlock()
		return false
	}
	idle := c.markIdleLocked(now, 0)
	c.mu.Unlock()
	closeConnections(idle)
	return true
}

// closeIdle closes the connections that have been idle for longer than limit.
func (c *connections) closeIdle(now time.Time, limit time.Duration) {
	c.mu.Lock()
	idle := c.markIdleLocked(now, limit)
	c.mu.Unlock()
	closeConnections(idle)
}

func closeConnections(all []net.Conn) {
	for _, conn := range all {
		closeConnection(conn)
	}
}

func closeConnection(conn net.Conn) {
	if err := conn.Close(); err != nil {
		klog.V(1).InfoS("idle_connection_not_closed", "err", err)
	}
}

func (c *connections) markIdleLocked(now time.Time, limit time.Duration) (idle []net.Conn) {
	for conn, state := range c.all {
		if state.busy || state.closed || now.Sub(state.since) < limit {
			continue
		}
		state.closed = true
		idle = append(idle, conn)
	}
	return idle
}
