package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"time"

	"redwinghall/kernel"
	"redwinghall/platform/platformtest"
)

// Workload of the sessions. Streams last about as long as the grace period of a stop, and
// some nearly as long as the timeout of their route.
const (
	sessionCount            = 48
	newConnectionEvery      = 4 // every n-th session opens a new connection for each request
	maxAttempts             = 2
	stopsEventInterval      = 100 * time.Millisecond
	stopsEventTokens        = 15
	deskServiceTime         = 200 * time.Millisecond
	minStreamDuration       = 500 * time.Millisecond
	meanExtraStreamDuration = 2500 * time.Millisecond // added to minStreamDuration
	maxStreamDuration       = 5500 * time.Millisecond
	// maxRetryDelay bounds how long callers follow a Retry-After header.
	maxRetryDelay = platformtest.RouteTimeout / 3
	// failureDelay keeps a session that is refused immediately from sending far more
	// requests than one that is served.
	failureDelay = time.Second
)

// sessionChecker checks the attempts of sessions.
type sessionChecker interface {
	// begin is called before the first attempt of each request.
	begin(x *exchange)
	add(x exchange)
	// recordRequest records whether a request was served, by its first attempt or its retry.
	recordRequest(served bool)
}

// session is a caller that reaches nodes through the load balancer. Most sessions keep
// their connection and reuse it immediately after each response, until it is closed.
type session struct {
	deployment *deployment
	balancer   *balancer
	checker    sessionChecker
	random     *rand.Rand
	name       string
	zone       string
	keepAlive  bool
	attempts   int
	conn       *connection
}

func newSession(d *deployment, b *balancer, c sessionChecker, i int) *session {
	return &session{
		deployment: d, balancer: b, checker: c, random: rand.New(rand.NewPCG(d.config.Seed, uint64(i))), //nolint:gosec // few sessions
		name: fmt.Sprintf("s%d-%d", d.config.Seed, i), zone: zones[i%len(zones)], keepAlive: i%newConnectionEvery != 0,
	}
}

func (s *session) run(ctx context.Context) error {
	kinds := []string{"stream", "stream", "book", "look"}
	for ctx.Err() == nil {
		s.request(ctx, kinds[s.random.IntN(len(kinds))], s.streamEvents())
	}
	s.closeConnection()
	return nil
}

// streamEvents returns a random number of events for a stream.
func (s *session) streamEvents() int {
	duration := minStreamDuration + time.Duration(s.random.ExpFloat64()*float64(meanExtraStreamDuration))
	return int(min(duration, maxStreamDuration) / stopsEventInterval)
}

// request sends a request and, if it fails, retries it once, at another node if there is
// one.
func (s *session) request(ctx context.Context, kind string, events int) {
	served := false
	var failed *nodeProcess
	for try := 0; try < maxAttempts && !served; try++ {
		x := s.exchange(ctx, kind, events, failed, try == 0)
		if ctx.Err() != nil {
			return // the end of the run cancelled the attempt
		}
		s.checker.add(x)
		served, failed = x.served(), x.node
		if !served {
			s.closeConnection()
			kernel.Sleep(ctx, min(x.retryAfter, maxRetryDelay))
		}
	}
	s.checker.recordRequest(served)
	if !served {
		kernel.Sleep(ctx, failureDelay)
	}
}

// exchange makes one attempt, on the session's open connection or on a new one.
func (s *session) exchange(ctx context.Context, kind string, events int, failed *nodeProcess, first bool) exchange {
	s.attempts++
	x := exchange{attempt: attempt{id: fmt.Sprintf("%s-%d", s.name, s.attempts), kind: kind, events: events}}
	if first {
		s.checker.begin(&x)
	}
	if s.conn == nil {
		x.node = s.balancer.pickNode(s.zone, s.random, failed)
		conn, err := connect(ctx, x.node)
		if err != nil {
			return x
		}
		s.conn = conn
	}
	s.conn.send(s.newRequest(ctx, x.attempt), &x)
	x.stoppedAt = s.deployment.lastSIGTERM(x.node)
	if x.connectionClose || !s.keepAlive {
		s.closeConnection()
	}
	return x
}

func (s *session) newRequest(ctx context.Context, a attempt) *http.Request {
	method := http.MethodPost
	if a.kind == "look" {
		method = http.MethodGet
	}
	r, err := platformtest.NewRequest(ctx, method, s.conn.node.settings.CallerAddress, "/"+a.kind+"/x", nil, platformtest.RequestInfo{
		ID: a.id, Key: stableKey, Model: "m0", Timeout: platformtest.RouteTimeout, Prompt: 100, Answer: a.events * stopsEventTokens,
	})
	if err != nil {
		panic(err) // all parts of the request are constant
	}
	return r
}

func (s *session) closeConnection() {
	if s.conn != nil {
		s.conn.close()
		s.conn = nil
	}
}
