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

// What sessions ask for. Streams last about as long as the grace of a stop,
// and some nearly as long as their route allows.
const (
	sessions         = 48
	newConnectionsOf = 4 // each so many'th session opens a new connection for each request
	attemptsAtMost   = 2
	longEventPause   = 100 * time.Millisecond
	longEventTokens  = 15
	deskWork         = 200 * time.Millisecond
	shortestStream   = 500 * time.Millisecond
	streamSpread     = 2500 * time.Millisecond // mean of what is added to the shortest
	longestStream    = 5500 * time.Millisecond
	// waitLimit is the longest that callers wait before a retry if told so.
	waitLimit = platformtest.RouteTimeout / 3
	// failurePause keeps a session that is refused at once from asking far more
	// often than one that is served.
	failurePause = time.Second
)

// session is a caller that reaches nodes through the balancer. Most keep their
// connection and use it again at once after each answer, until it ends.
type session struct {
	world    *world
	balancer *balancer
	promise  *promise
	random   *rand.Rand
	name     string
	zone     string
	keeps    bool
	made     int
	conn     *connection
}

func newSession(w *world, b *balancer, p *promise, i int) *session {
	return &session{
		world: w, balancer: b, promise: p, random: rand.New(rand.NewPCG(w.config.Seed, uint64(i))), //nolint:gosec // few sessions
		name: fmt.Sprintf("s%d-%d", w.config.Seed, i), zone: zones[i%len(zones)], keeps: i%newConnectionsOf != 0,
	}
}

func (s *session) run(ctx context.Context) error {
	kinds := []string{"stream", "stream", "book", "look"}
	for ctx.Err() == nil {
		s.request(ctx, kinds[s.random.IntN(len(kinds))], s.streamEvents())
	}
	s.hangUp()
	return nil
}

// streamEvents draws the length of a stream.
func (s *session) streamEvents() int {
	lasts := shortestStream + time.Duration(s.random.ExpFloat64()*float64(streamSpread))
	return int(min(lasts, longestStream) / longEventPause)
}

// request asks once, and once more elsewhere if that fails.
func (s *session) request(ctx context.Context, kind string, events int) {
	served := false
	var failed *nodeProcess
	for try := 0; try < attemptsAtMost && !served; try++ {
		x := s.exchange(ctx, kind, events, failed)
		if ctx.Err() != nil {
			return // the end of the run broke it off
		}
		s.promise.add(x)
		served, failed = x.served(), x.node
		if !served {
			s.hangUp()
			kernel.Sleep(ctx, min(x.retryIn, waitLimit))
		}
	}
	s.promise.end(served)
	if !served {
		kernel.Sleep(ctx, failurePause)
	}
}

// exchange makes one attempt, on the session's connection if it has one.
func (s *session) exchange(ctx context.Context, kind string, events int, failed *nodeProcess) exchange {
	s.made++
	x := exchange{attempt: attempt{id: fmt.Sprintf("%s-%d", s.name, s.made), kind: kind, events: events}}
	if s.conn == nil {
		x.node = s.balancer.pick(s.zone, s.random, failed)
		conn, err := connect(ctx, x.node)
		if err != nil {
			return x
		}
		s.conn = conn
	}
	s.conn.send(s.newRequest(ctx, x.attempt), &x)
	x.stopped = s.world.stoppedAt(x.node)
	if x.last || !s.keeps {
		s.hangUp()
	}
	return x
}

func (s *session) newRequest(ctx context.Context, a attempt) *http.Request {
	method := http.MethodPost
	if a.kind == "look" {
		method = http.MethodGet
	}
	r, err := platformtest.NewRequest(ctx, method, s.conn.node.settings.CallerAddress, "/"+a.kind+"/x", nil, platformtest.RequestInfo{
		ID: a.id, Key: stableKey, Model: "m0", Timeout: platformtest.RouteTimeout, Prompt: 100, Answer: a.events * longEventTokens,
	})
	if err != nil {
		panic(err) // all its parts are constant
	}
	return r
}

func (s *session) hangUp() {
	if s.conn != nil {
		s.conn.close()
		s.conn = nil
	}
}
