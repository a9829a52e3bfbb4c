package caller

import (
	"net/http"
	"strconv"
	"time"
)

// Headers of requests from and responses to callers.
const (
	HeaderTimeout     = "Request-Timeout"
	HeaderRequestID   = "X-Request-Id"
	HeaderIdempotency = "Idempotency-Key"
	HeaderLastEvent   = "Last-Event-Id"
	HeaderReplayed    = "Idempotency-Replayed"
	// HeaderHops is the number of times that routers have forwarded the request.
	HeaderHops = "X-Redwinghall-Hops"
	// HeaderGeneration is the generation of the manifest in force at the router, in
	// responses of /readyz.
	HeaderGeneration = "X-Redwinghall-Generation"
)

// Handler returns the handler for all paths of the callers' listener.
func (s *Server) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /v1/chat/completions", s.handle(s.chat))
	mux.HandleFunc("/v1/services/{service}/{path...}", s.handle(s.service))
	mux.HandleFunc("GET /healthz", s.healthz)
	mux.HandleFunc("GET /readyz", s.readyz)
	mux.Handle("GET /metrics", s.metrics)
	mux.HandleFunc("/", s.handle(s.unknownPath))
	return mux
}

// Limits of the callers' listener.
const (
	readHeaderTimeout = 5 * time.Second
	readTimeout       = 30 * time.Second
	idleTimeout       = 60 * time.Second
	maxHeaderBytes    = 32 << 10
)

// HTTPServer returns the HTTP server for callers. It has no write timeout because a
// stream may take minutes; each request has its own deadline instead.
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

// readyz tells the load balancer whether to send requests to this router. It fails
// while the router is stopping, until it has a manifest, and while the zone is out of
// service.
func (s *Server) readyz(w http.ResponseWriter, _ *http.Request) {
	view := s.selector.View()
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
