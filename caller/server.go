package caller

import (
	"context"
	"net"
	"net/http"
	"sync/atomic"
	"time"

	"redwinghall"
	"redwinghall/claim"
	"redwinghall/kernel"
	"redwinghall/route"
)

// Config bounds what callers may ask and how long things may take.
type Config struct {
	Router           string
	AvailabilityZone string
	MaxBodyBytes     int64
	MaxRequests      int
	DefaultTimeout   time.Duration // of a request that names none
	MaxTimeout       time.Duration
	// StallTimeout is the longest silence on a stream before another group
	// continues it.
	StallTimeout time.Duration
	// SettleTimeout is how much longer than its caller a service call may
	// take before its outcome is recorded as unknown.
	SettleTimeout time.Duration
	MaxAttempts   int
	// RetryShare is how many retries may follow 100 requests.
	RetryPercent int
}

// WithDefaults returns the configuration with its empty fields filled.
func (c Config) WithDefaults() Config {
	if c.MaxBodyBytes == 0 {
		c.MaxBodyBytes = 1 << 20
	}
	if c.MaxRequests == 0 {
		c.MaxRequests = 2000
	}
	if c.DefaultTimeout == 0 {
		c.DefaultTimeout = time.Minute
	}
	if c.MaxTimeout == 0 {
		c.MaxTimeout = 10 * time.Minute
	}
	if c.StallTimeout == 0 {
		c.StallTimeout = 2 * time.Second
	}
	if c.SettleTimeout == 0 {
		c.SettleTimeout = 30 * time.Second
	}
	if c.MaxAttempts == 0 {
		c.MaxAttempts = 4
	}
	if c.RetryPercent == 0 {
		c.RetryPercent = 10
	}
	return c
}

// Server answers callers.
type Server struct {
	config  Config
	board   *route.Board
	keeper  *claim.Keeper
	metrics *Metrics
	budget  *Budget
	streams *http.Transport
	calls   *kernel.Group // service calls that may outlive their caller

	inProgress atomic.Int64
	sent       atomic.Int64              // attempts at calls that may not be repeated
	drainEnd   atomic.Pointer[time.Time] // nil unless the router drains
}

const (
	dialTimeout        = 500 * time.Millisecond
	maxIdlePerEndpoint = 64
	idleConnTimeout    = 5 * time.Second
)

// NewServer returns a server. Service calls run in calls, because a call that
// was sent is followed to its outcome also when its caller has gone.
func NewServer(config Config, board *route.Board, keeper *claim.Keeper, calls *kernel.Group) *Server {
	config = config.WithDefaults()
	dialer := &net.Dialer{Timeout: dialTimeout}
	return &Server{
		config: config, board: board, keeper: keeper, calls: calls,
		metrics: NewMetrics(),
		budget:  NewBudget(config.RetryPercent),
		streams: &http.Transport{
			DialContext:         dialer.DialContext,
			MaxIdleConnsPerHost: maxIdlePerEndpoint,
			IdleConnTimeout:     idleConnTimeout,
			DisableCompression:  true,
		},
	}
}

// Drain makes readyz fail and answers ask for closed connections, so that the
// balancer sends new work elsewhere while requests in progress finish. From now
// on only requests are taken whose deadline is before end.
func (s *Server) Drain(end time.Time) { s.drainEnd.Store(&end) }

func (s *Server) draining() bool { return s.drainEnd.Load() != nil }

// outlasts reports whether a request may still run when a drain ends.
//
// Guard: a draining router that takes such a request closes its connection
// without an answer, and nobody knows whether a call that may not be repeated
// ran. Refused at once, it has not run, and goes to another router.
func (s *Server) outlasts(deadline time.Time) bool {
	end := s.drainEnd.Load()
	return end != nil && deadline.After(*end)
}

// CallsDone reports whether no call that may not be repeated is in progress,
// with or without its caller.
func (s *Server) CallsDone() bool { return s.sent.Load() == 0 }

// Metrics returns the server's metrics.
func (s *Server) Metrics() *Metrics { return s.metrics }

// Budget returns the server's retry budget.
func (s *Server) Budget() *Budget { return s.budget }

// timeoutOf returns how long the request may take: its Request-Timeout header
// or the default, never more than the maximum.
func (s *Server) timeoutOf(r *http.Request) (time.Duration, error) {
	text := r.Header.Get(HeaderTimeout)
	if text == "" {
		return s.config.DefaultTimeout, nil
	}
	d, err := time.ParseDuration(text)
	if err != nil || d <= 0 {
		return 0, redwinghall.NewOpError("Server.timeoutOf", redwinghall.CodeBadRequest,
			detail("the Request-Timeout header is not a duration such as 1.5s"))
	}
	return min(d, s.config.MaxTimeout), nil
}

// detail is an error whose text is shown to the caller.
type detail string

func (d detail) Error() string { return string(d) }

func callContext(g *kernel.Group, timeout time.Duration) (context.Context, context.CancelFunc) {
	return context.WithTimeout(g.Context(), timeout)
}
