package node

import (
	"context"
	"net"
	"net/http"
	"sync"
	"time"

	"k8s.io/klog/v2"

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
}

type connection struct {
	busy   bool
	since  time.Time // of being idle
	closed bool

	opened  time.Time
	taken   int    // requests so far
	request string // that runs or ran last
	takenAt time.Time
}

// kind says for logs whether a request came on a new or a kept connection.
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
	c.mu.Lock()
	defer c.mu.Unlock()
	state, ok := c.all[conn]
	if !ok {
		return
	}
	switch change {
	case http.StateActive:
		state.busy = true
	case http.StateIdle:
		state.busy, state.since = false, time.Now()
	case http.StateClosed, http.StateHijacked:
		delete(c.all, conn)
	case http.StateNew:
	}
}

// guard serves requests on connections that this node has not closed, and
// ends connections after an answer once closing returns true. stop returns the
// planned stop that is under way, nil if there is none.
func (c *connections) guard(next http.Handler, closing func() bool, stop func() *plannedStop) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if state, ok := r.Context().Value(connectionKey{}).(*connection); ok && !c.take(state, r, stop()) {
			panic(http.ErrAbortHandler)
		}
		if closing() {
			w.Header().Set("Connection", "close")
		}
		next.ServeHTTP(w, r)
	})
}

// take notes that a request came on a connection. It reports false if this
// node has closed the connection.
func (c *connections) take(state *connection, r *http.Request, stop *plannedStop) bool {
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
	if stop != nil {
		klog.InfoS("taken_while_stopping", "request", state.request, "connection", state.kind(),
			"stopping_for", now.Sub(stop.begun), "left", stop.end.Sub(now))
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

// closeIdle closes the connections that have been idle for longer than limit,
// and returns how many are left.
func (c *connections) closeIdle(now time.Time, limit time.Duration) int {
	idle, left := c.markIdle(now, limit)
	for _, conn := range idle {
		if err := conn.Close(); err != nil {
			klog.V(1).InfoS("idle_connection_not_closed", "err", err)
		}
	}
	return left
}

func (c *connections) markIdle(now time.Time, limit time.Duration) (idle []net.Conn, left int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for conn, state := range c.all {
		if state.busy || state.closed || now.Sub(state.since) < limit {
			left++
			continue
		}
		state.closed = true
		idle = append(idle, conn)
	}
	return idle, left
}
