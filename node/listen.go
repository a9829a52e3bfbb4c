package node

import (
	"context"
	"net"
	"net/http"
	"strconv"
	"time"

	metrics "github.com/rcrowley/go-metrics"

	"redwinghall/clienthttp"
	"redwinghall/kernel"
	"redwinghall/platform"
)

// Limits of the listeners.
const (
	// callerHeaderTimeout is longer than the header timeout that the configuration
	// grants callers; it only closes connections on which no valid request will arrive.
	callerHeaderTimeout   = 20 * time.Second
	maxHeaderBytes        = 64 << 10
	internalHeaderTimeout = 5 * time.Second
	maxStatusHeaderBytes  = 16 << 10
	// idleSweep is how often idle connections are checked. idleSlack is added to the
	// configured idle timeout, so that a caller that reuses a connection within the
	// timeout never finds it closed.
	idleSweep = time.Second
	idleSlack = 5 * time.Second
	// MetricsPort and MetricsPath are where a node serves its metrics.
	MetricsPort = 9464
	MetricsPath = "/metrics"
)

// listen opens all listeners, so that a port in use is reported at startup.
func (n *Node) listen(g *kernel.Group) error {
	callers := &http.Server{
		Addr: n.settings.CallerAddress, Handler: n.conns.wrap(n.gateway, n.plannedStop),
		ReadHeaderTimeout: callerHeaderTimeout, MaxHeaderBytes: maxHeaderBytes,
		DisableGeneralOptionsHandler: true, // it answers "OPTIONS *" with a success of no endpoint
		ConnState:                    n.conns.connState, ConnContext: n.conns.connContext,
	}
	readiness := &http.Server{
		Addr: n.settings.ReadinessAddress, Handler: newInternalHandler(n.statusRoutes()), ReadHeaderTimeout: internalHeaderTimeout,
		MaxHeaderBytes: maxStatusHeaderBytes,
	}
	metricsServer := &http.Server{
		Addr:    net.JoinHostPort(n.settings.IP, strconv.Itoa(MetricsPort)),
		Handler: newInternalHandler(n.operatorRoutes()), ReadHeaderTimeout: internalHeaderTimeout,
		MaxHeaderBytes: maxStatusHeaderBytes,
	}
	listener, err := n.last.serve(n.last.requests, g, callers, n.guards.callers)
	if err != nil {
		return err
	}
	n.callers = listener
	if _, err := n.last.serve(n.last.forwarded, g, n.neighborServer(), n.guards.neighbors); err != nil {
		return err
	}
	if err := serve(g, readiness, n.guards.readiness); err != nil {
		return err
	}
	if err := serve(g, metricsServer, n.guards.metrics); err != nil {
		return err
	}
	g.Every("idle_connections", idleSweep, func(_ context.Context, now time.Time) {
		if config := n.cache.View().Config(); config != nil && config.Limits.IdleTimeout > 0 {
			n.conns.closeIdle(now, config.Limits.IdleTimeout+idleSlack)
		}
	})
	return nil
}

func (n *Node) statusRoutes() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET "+platform.PathReadiness, n.serveReadiness)
	mux.HandleFunc("GET "+MetricsPath, n.serveMetrics)
	return mux
}

// operatorRoutes returns the routes of the port that only operators reach.
func (n *Node) operatorRoutes() http.Handler {
	mux := http.NewServeMux()
	mux.Handle("/", n.statusRoutes())
	mux.HandleFunc("GET "+QuarantinePath, n.serveQuarantine)
	mux.HandleFunc("DELETE "+QuarantinePath+"/{service}/{part}", n.releasePart)
	return mux
}

func (n *Node) serveMetrics(w http.ResponseWriter, _ *http.Request) {
	n.updateGauges()
	w.Header().Set("Content-Type", "application/json")
	metrics.WriteJSONOnce(n.metrics.Registry(), w)
}

// serve runs a server until the group stops.
func serve(g *kernel.Group, server *http.Server, guard *clienthttp.Guard) error {
	listener, err := kernel.Listen(func() (net.Listener, error) { return net.Listen("tcp", server.Addr) })
	if err != nil {
		return err
	}
	guard.Protect(server)
	g.Serve("serve "+server.Addr, server, guard.Listen(listener))
	return nil
}
