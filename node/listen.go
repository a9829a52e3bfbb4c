package node

import (
	"context"
	"errors"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"

	metrics "github.com/rcrowley/go-metrics"
	"k8s.io/klog/v2"

	"redwinghall/kernel"
	"redwinghall/platform"
)

// Limits of the listeners.
const (
	// callerHeaderTimeout is above what the configuration grants callers; it
	// only ends connections on which nothing useful will come.
	callerHeaderTimeout = 20 * time.Second
	maxHeaderBytes      = 64 << 10
	smallHeaderTimeout  = 5 * time.Second
	// idleSweep is how often idle connections are looked at, idleSlack what
	// they get beyond the configuration's limit, so that a caller that uses
	// one in time never finds it closed.
	idleSweep = time.Second
	idleSlack = 5 * time.Second
	// MetricsPort and MetricsPath are where a node serves its metrics.
	MetricsPort = 9464
	MetricsPath = "/metrics"
)

// listen opens the listeners, so that a taken port is an error at the start.
func (n *Node) listen(g *kernel.Group) ([]*http.Server, error) {
	callers := &http.Server{
		Addr: n.settings.Callers, Handler: n.gateway,
		ReadHeaderTimeout: callerHeaderTimeout, MaxHeaderBytes: maxHeaderBytes, ConnState: n.conns.note,
	}
	readiness := &http.Server{Addr: n.settings.Readiness, Handler: n.smallRoutes(), ReadHeaderTimeout: smallHeaderTimeout}
	figures := &http.Server{
		Addr:    net.JoinHostPort(n.settings.IP, strconv.Itoa(MetricsPort)),
		Handler: n.smallRoutes(), ReadHeaderTimeout: smallHeaderTimeout,
	}
	servers := []*http.Server{callers, readiness, figures}
	for _, server := range servers {
		if err := serve(g, server); err != nil {
			return nil, err
		}
	}
	g.Every("idle_connections", idleSweep, func(_ context.Context, now time.Time) {
		if config := n.book.View().Config(); config != nil && config.Limits.IdleTimeout > 0 {
			n.conns.closeIdle(now, config.Limits.IdleTimeout+idleSlack)
		}
	})
	return servers, nil
}

func (n *Node) smallRoutes() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET "+platform.PathReadiness, n.serveReadiness)
	mux.HandleFunc("GET "+MetricsPath, n.serveMetrics)
	return mux
}

func (n *Node) serveMetrics(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Content-Type", "application/json")
	metrics.WriteJSONOnce(n.metrics.Registry(), w)
}

func serve(g *kernel.Group, server *http.Server) error {
	listener, err := net.Listen("tcp", server.Addr)
	if err != nil {
		return err
	}
	g.Go("serve "+server.Addr, func(context.Context) error {
		if err := server.Serve(listener); !errors.Is(err, http.ErrServerClosed) {
			return err
		}
		return nil
	})
	g.Go("close "+server.Addr, func(ctx context.Context) error {
		<-ctx.Done()
		return server.Close()
	})
	return nil
}

// connections knows since when callers' connections are idle.
type connections struct {
	mu   sync.Mutex
	idle map[net.Conn]time.Time
	busy int
}

func newConnections() *connections { return &connections{idle: map[net.Conn]time.Time{}} }

// note is a server's ConnState hook.
func (c *connections) note(conn net.Conn, state http.ConnState) {
	c.mu.Lock()
	defer c.mu.Unlock()
	switch state {
	case http.StateIdle:
		c.idle[conn] = time.Now()
		c.busy--
	case http.StateActive:
		c.busy++
		delete(c.idle, conn)
	case http.StateClosed, http.StateHijacked:
		if _, idle := c.idle[conn]; !idle {
			c.busy--
		}
		delete(c.idle, conn)
	case http.StateNew:
	}
}

// closeIdle closes the connections that have been idle for longer than limit.
func (c *connections) closeIdle(now time.Time, limit time.Duration) {
	for _, conn := range c.idleFor(now, limit) {
		if err := conn.Close(); err != nil {
			klog.V(1).InfoS("idle_connection_not_closed", "err", err)
		}
	}
}

func (c *connections) idleFor(now time.Time, limit time.Duration) []net.Conn {
	c.mu.Lock()
	defer c.mu.Unlock()
	var old []net.Conn
	for conn, since := range c.idle {
		if now.Sub(since) > limit {
			old = append(old, conn)
		}
	}
	return old
}
