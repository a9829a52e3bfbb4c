package clienthttp

import (
	"context"
	"net"
	"net/http"
	"runtime"
	"time"

	"k8s.io/klog/v2"
)

// logInterval bounds the lines about connections that were closed to make room.
const logInterval = time.Second

// Guard bounds the connections of one server.
type Guard struct {
	pool *Pool
	name string
	most int

	conns  map[*conn]struct{}
	wanted bool // a connection waits for room
	counts Counts
	logged time.Time
}

// Counts is what a guard has seen.
type Counts struct {
	Open    int
	Evicted int64 // connections that were closed to make room
	Refused int64 // connections that were closed unread, as no other one could be
}

// Guard returns the guard of a server that may have so many connections. All guards of a pool are made before the first
// server runs.
func (p *Pool) Guard(name string, most int) *Guard {
	g := &Guard{pool: p, name: name, most: most, conns: map[*conn]struct{}{}}
	p.guards = append(p.guards, g)
	return g
}

// Counts returns what the guard has seen.
func (g *Guard) Counts() Counts {
	g.pool.mu.Lock()
	defer g.pool.mu.Unlock()
	counts := g.counts
	counts.Open = len(g.conns)
	return counts
}

// Name returns the name of the server for logs and metrics.
func (g *Guard) Name() string { return g.name }

type connKey struct{}

// Sent tells the guard that the request with a context is sent to an endpoint, which works for its answer.
func Sent(request context.Context) {
	if c, ok := request.Value(connKey{}).(*conn); ok {
		c.guard.pool.recordSent(c)
	}
}

// Protect makes a server tell the guard what its connections are used for. The server has to serve a listener of Listen.
func (g *Guard) Protect(server *http.Server) {
	handler, state, connContext := server.Handler, server.ConnState, server.ConnContext
	server.ConnState = func(from net.Conn, to http.ConnState) {
		if c, ok := find(from); ok {
			g.pool.recordState(time.Now(), c, to)
		}
		if state != nil {
			state(from, to)
		}
	}
	server.ConnContext = func(ctx context.Context, from net.Conn) context.Context {
		if c, ok := find(from); ok {
			ctx = context.WithValue(ctx, connKey{}, c)
		}
		if connContext != nil {
			ctx = connContext(ctx, from)
		}
		return ctx
	}
	server.Handler = http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if c, ok := r.Context().Value(connKey{}).(*conn); ok {
			if g.pool.isEvicted(c) {
				panic(http.ErrAbortHandler) // its client can't get an answer
			}
			if g.pool.isPipelined(c) {
				runtime.Gosched() // requests in a row would keep the processor from other connections
			}
			watchBody(r, c)
		}
		handler.ServeHTTP(w, r)
	})
}

// Listen returns a listener whose connections are bounded.
func (g *Guard) Listen(l net.Listener) net.Listener { return listener{Listener: l, guard: g} }

type listener struct {
	net.Listener
	guard *Guard
}

// Accept implements net.Listener. A connection for which there is no room is closed unread: its client finds another node
// sooner than it would get an answer.
func (l listener) Accept() (net.Conn, error) {
	for {
		from, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		if c := l.guard.await(from); c != nil {
			return c, nil
		}
		_ = from.Close() // nothing was read
	}
}

// await adds a connection as soon as there is room, or returns nil if there is none for roomTime.
func (g *Guard) await(from net.Conn) *conn {
	for begun := time.Now(); ; time.Sleep(roomStep) {
		now := time.Now()
		if c := g.admit(now, from); c != nil {
			return c
		}
		if now.Sub(begun) >= roomTime {
			g.refuse(now)
			return nil
		}
	}
}

// admit adds a connection, and closes another one if it is one too many. It returns nil if none may be closed now.
func (g *Guard) admit(now time.Time, from net.Conn) *conn {
	g.pool.mu.Lock()
	var victim *conn
	if len(g.conns) >= g.most {
		if victim = g.forRoom(now); victim == nil {
			g.wanted = true
			g.pool.mu.Unlock()
			return nil
		}
		g.evictLocked(now, victim)
	}
	c := &conn{Conn: from, guard: g, since: now}
	g.conns[c] = struct{}{}
	g.wanted = false
	g.pool.mu.Unlock()
	closeEvicted(victim)
	return c
}

// refuse records that a connection finds no room.
func (g *Guard) refuse(now time.Time) {
	g.pool.mu.Lock()
	defer g.pool.mu.Unlock()
	g.wanted = false
	g.counts.Refused++
	g.logLocked(now)
}

// evictLocked removes a connection that is closed to make room. A head that is being read takes its memory until net/http
// gives it up, for which it needs the processor.
func (g *Guard) evictLocked(now time.Time, c *conn) {
	if c.phase == phaseHead {
		delete(g.conns, c)
		g.pool.leaving += c.cost
	} else {
		g.removeLocked(c)
	}
	c.evicted = true
	g.counts.Evicted++
	g.pool.wakeLocked()
	g.logLocked(now)
}

// closeEvicted closes a connection, nil for none. It returns once the descriptor is free.
func closeEvicted(c *conn) {
	if c != nil {
		_ = c.Conn.Close() // it may be closed already
	}
}

func (g *Guard) remove(c *conn) {
	g.pool.mu.Lock()
	defer g.pool.mu.Unlock()
	c.closed = true
	g.removeLocked(c)
}

func (g *Guard) removeLocked(c *conn) {
	delete(g.conns, c)
	g.pool.held -= c.cost
	if c.evicted {
		g.pool.leaving -= c.cost
	}
	c.cost = 0
	g.pool.wakeLocked()
}

func (g *Guard) logLocked(now time.Time) {
	if now.Sub(g.logged) < logInterval {
		return
	}
	g.logged = now
	klog.InfoS("connections_limited", "listener", g.name, "open", len(g.conns), "most", g.most, "evicted", g.counts.Evicted, "refused", g.counts.Refused,
		"heads", g.pool.held, "heads_limit", g.pool.headBytes)
}
