package node

import (
	"context"
	"errors"
	"net"
	"net/http"
	"strconv"
	"time"

	metrics "github.com/rcrowley/go-metrics"

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
func (n *Node) listen(g *kernel.Group) error {
	callers := &http.Server{
		Addr: n.settings.CallerAddress, Handler: n.conns.guard(n.gateway, n.plannedStop),
		ReadHeaderTimeout: callerHeaderTimeout, MaxHeaderBytes: maxHeaderBytes,
		ConnState: n.conns.note, ConnContext: n.conns.context,
	}
	readiness := &http.Server{Addr: n.settings.ReadinessAddress, Handler: n.smallRoutes(), ReadHeaderTimeout: smallHeaderTimeout}
	figures := &http.Server{
		Addr:    net.JoinHostPort(n.settings.IP, strconv.Itoa(MetricsPort)),
		Handler: n.smallRoutes(), ReadHeaderTimeout: smallHeaderTimeout,
	}
	listener, err := serve(g, callers)
	if err != nil {
		return err
	}
	n.callers = listener
	for _, server := range []*http.Server{readiness, figures, n.neighborServer()} {
		if _, err := serve(g, server); err != nil {
			return err
		}
	}
	g.Every("idle_connections", idleSweep, func(_ context.Context, now time.Time) {
		if config := n.book.View().Config(); config != nil && config.Limits.IdleTimeout > 0 {
			n.conns.closeIdle(now, config.Limits.IdleTimeout+idleSlack)
		}
	})
	return nil
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

// serve runs a server until the group stops. Closing its listener only ends
// the taking of new connections.
func serve(g *kernel.Group, server *http.Server) (net.Listener, error) {
	listener, err := net.Listen("tcp", server.Addr)
	if err != nil {
		return nil, err
	}
	g.Go("serve "+server.Addr, func(context.Context) error {
		err := server.Serve(listener)
		if errors.Is(err, http.ErrServerClosed) || errors.Is(err, net.ErrClosed) {
			return nil
		}
		return err
	})
	g.Go("close "+server.Addr, func(ctx context.Context) error {
		<-ctx.Done()
		return server.Close()
	})
	return listener, nil
}
