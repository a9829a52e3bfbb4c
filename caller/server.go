package caller

import (
	"context"
	"net"
	"net/http"
	"sync/atomic"
	"time"

	"redwinghall"
	"redwinghall/claim"
	"redwinghall/dial"
	"redwinghall/httpanswer"
	"redwinghall/kernel"
	"redwinghall/route"
)

// Config holds the limits and timeouts of a server.
type Config struct {
	Router           string
	AvailabilityZone string
	MaxBodyBytes     int64
	MaxRequests      int
	DefaultTimeout   time.Duration // of requests without a Request-Timeout header
	MaxTimeout       time.Duration
	// StallTimeout is the longest time without a chunk before a stream is
	// continued by another group.
	StallTimeout time.Duration
	// SettleTimeout is how long a service call may continue after the service's
	// timeout before its outcome is recorded as unknown.
	SettleTimeout time.Duration
	MaxAttempts   int
	// RetryPercent is the number of retries allowed for each 100 requests.
	RetryPercent int
}

// WithDefaults returns the configuration with empty fields set to their defaults.
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

// Server handles callers' requests.
type Server struct {
	config   Config
	selector *route.Selector
	keeper   *claim.Keeper
	metrics  *Metrics
	budget   *Budget
	streams  *httpanswer.Transport
	calls    *kernel.Group // service calls, which may continue after the caller disconnects

	inProgress atomic.Int64
	onceCalls  atomic.Int64              // calls in progress that must run at most once
	drainEnd   atomic.Pointer[time.Time] // nil unless the router is draining
}

const (
	dialTimeout        = 500 * time.Millisecond
	maxIdlePerEndpoint = 64
	idleConnTimeout    = 5 * time.Second
)

// NewServer returns a server. Calls that must run at most once run in the group calls,
// so that a call that was sent continues until its outcome is known even if the caller
// disconnects.
func NewServer(config Config, selector *route.Selector, keeper *claim.Keeper, calls *kernel.Group) *Server {
	config = config.WithDefaults()
	return &Server{
		config: config, selector: selector, keeper: keeper, calls: calls,
		metrics: NewMetrics(),
		budget:  NewBudget(config.RetryPercent),
		streams: httpanswer.New(&http.Transport{
			DialContext:         dial.WithTimeout(new(net.Dialer).DialContext, dialTimeout),
			MaxIdleConnsPerHost: maxIdlePerEndpoint,
			IdleConnTimeout:     idleConnTimeout,
			DisableCompression:  true,

			MaxResponseHeaderBytes: maxHeadBytes,
		}),
	}
}

// Drain makes readyz fail and adds "Connection: close" to responses, so that the load
// balancer sends new requests to other routers while requests in progress finish. From
// now on the server accepts only requests whose deadline is not after end.
func (s *Server) Drain(end time.Time) { s.drainEnd.Store(&end) }

func (s *Server) draining() bool { return s.drainEnd.Load() != nil }

// exceedsDrain reports whether a request with this deadline may still be running when
// the drain ends.
//
// If a draining router accepted such a request, it would close the connection without
// a response, and the caller could not tell whether its call was executed. A request
// that is refused at once was not executed and can be sent to another router.
func (s *Server) exceedsDrain(deadline time.Time) bool {
	end := s.drainEnd.Load()
	return end != nil && deadline.After(*end)
}

// CallsDone reports whether no calls that must run at most once are in progress,
// including those whose callers have disconnected.
func (s *Server) CallsDone() bool { return s.onceCalls.Load() == 0 }

// Metrics returns the server's metrics.
func (s *Server) Metrics() *Metrics { return s.metrics }

// Budget returns the server's retry budget.
func (s *Server) Budget() *Budget { return s.budget }

// timeoutOf returns the timeout of a request: the value of its Request-Timeout header,
// limited to MaxTimeout, or the default.
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

// detail is an error whose message is sent to the caller.
type detail string

func (d detail) Error() string { return string(d) }

func callContext(g *kernel.Group, timeout time.Duration) (context.Context, context.CancelFunc) {
	return context.WithTimeout(g.Context(), timeout)
}
