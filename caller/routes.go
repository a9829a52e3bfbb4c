package caller

import (
	"net/http"
	"strconv"
	"time"
)

// Headers that callers may send or receive.
const (
	HeaderTimeout     = "Request-Timeout"
	HeaderRequestID   = "X-Request-Id"
	HeaderIdempotency = "Idempotency-Key"
	HeaderLastEvent   = "Last-Event-Id"
	HeaderReplayed    = "Idempotency-Replayed"
	// HeaderHops counts how often routers have forwarded the request.
	HeaderHops = "X-Redwinghall-Hops"
	// HeaderGeneration tells, on readyz, which manifest the router has in force.
	HeaderGeneration = "X-Redwinghall-Generation"
)

// Handler returns the callers' routes.
func (s *Server) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /v1/chat/completions", s.guarded(s.chat))
	mux.HandleFunc("/v1/services/{service}/{path...}", s.guarded(s.service))
	mux.HandleFunc("GET /healthz", s.healthz)
	mux.HandleFunc("GET /readyz", s.readyz)
	mux.Handle("GET /metrics", s.metrics)
	mux.HandleFunc("/", s.guarded(s.unknownPath))
	return mux
}

// Limits of the callers' listener.
const (
	readHeaderTimeout = 5 * time.Second
	readTimeout       = 30 * time.Second
	idleTimeout       = 60 * time.Second
	maxHeaderBytes    = 32 << 10
)

// HTTPServer returns the callers' listener. It has no write timeout, because
// a stream may last minutes; each request has its own deadline instead.
func (s *Server) HTTPServer(address string) *http.Server {
	return &http.Server{
		Addr: address, Handler: s.Handler(),
		ReadHeaderTimeout: readHeaderTimeout, ReadTimeout: readTimeout,
		IdleTimeout: idleTimeout, MaxHeaderBytes: maxHeaderBytes,
	}
}

func (s *Server) healthz(w http.ResponseWriter, _ *http.Request) {
	_, _ = w.Write([]byte("ok\n"))
}

// readyz tells the balancer whether to send work here: not while stopping,
// not before a manifest is known, and not while the zone is out of service.
func (s *Server) readyz(w http.ResponseWriter, _ *http.Request) {
	view := s.board.View()
	w.Header().Set(HeaderGeneration, strconv.FormatUint(view.Accepted.Generation, 10))
	switch {
	case s.draining():
		http.Error(w, "stopping", http.StatusServiceUnavailable)
	case view.Accepted.Generation == 0:
		http.Error(w, "no manifest yet", http.StatusServiceUnavailable)
	case view.ZoneOut(s.config.AvailabilityZone):
		http.Error(w, "availability zone is out of service", http.StatusServiceUnavailable)
	default:
		_, _ = w.Write([]byte("ready\n"))
	}
}
