package gateway_test

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"redwinghall/balance"
	"redwinghall/directory"
	"redwinghall/endpointhttp"
	"redwinghall/fleet"
	"redwinghall/gateway"
	"redwinghall/kernel"
	"redwinghall/neighbor"
	"redwinghall/platform/platformtest"
	"redwinghall/rwhtest/logtest"
)

// requireLine waits for the only line of an event that contains all given texts.
func requireLine(t *testing.T, log *logtest.Log, event string, texts ...string) string {
	t.Helper()
	var lines []string
	require.Eventually(t, func() bool {
		lines = log.Lines(event, texts...)
		return len(lines) > 0
	}, 3*time.Second, 5*time.Millisecond, "%s with %q; all of the event: %q", event, texts, log.Lines(event))
	require.Len(t, lines, 1)
	return lines[0]
}

// beginRequest sends a request whose caller leaves when the returned function is called.
func (s *fixture) beginRequest(id, method, path string) (leave func()) {
	s.t.Helper()
	ctx, cancel := context.WithCancel(s.t.Context())
	r := s.request(method, path).WithContext(ctx)
	r.Header.Set("Request-Id", id)
	g := kernel.NewGroup(s.t.Context())
	g.Go("caller", func(context.Context) error {
		out, err := http.DefaultTransport.RoundTrip(r)
		if err == nil {
			_, _ = io.Copy(io.Discard, out.Body) // ends with an error by design
			_ = out.Body.Close()
		}
		return nil
	})
	s.t.Cleanup(func() {
		cancel()
		require.NoError(s.t, g.Wait())
	})
	return cancel
}

// holding adds an endpoint that signals each request and holds it until its connection ends.
func (s *fixture) holding(id, service string) (received chan struct{}) {
	received = make(chan struct{}, 10)
	s.endpoint(id, service, func(_ http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body) // the end of the connection is noticed only after the body
		received <- struct{}{}
		<-r.Context().Done()
	})
	return received
}

// Callers see connections that end without a response. From the lines of a node nobody could tell
// whether they left or the node closed their connections as it ended.
func TestCallerThatLeftIsToldFromNodeThatEnded(t *testing.T) {
	for path, service := range map[string]string{"/book/": "desk", "/stream/": "llm"} {
		for reason, ended := range map[string]bool{"caller_left": false, "node_ended": true} {
			t.Run(service+" "+reason, func(t *testing.T) {
				s, log := newFixture(t), logtest.Open(t)
				received := s.holding("e1", service)
				leave := s.beginRequest("r-gone", http.MethodPost, path)
				<-received
				if ended {
					s.ended.Store(true)
					s.server.CloseClientConnections()
				} else {
					leave()
				}
				requireLine(t, log, "caller_gone", `request="r-gone"`, `reason="`+reason+`"`, "attempts=1", `paused=`, "node_stopping=false")
			})
		}
	}
}

// Streams end beside a new version of the configuration. Their lines must tell under which version
// each arrived, and how long ago the newest one came.
func TestBrokenStreamNamesTheVersionsOfTheConfiguration(t *testing.T) {
	s, log := newFixture(t), logtest.Open(t)
	s.config.Routes[0].MaxAttempts = 1
	next := configuration()
	next.Version = 2
	s.endpoint("e1", "llm", func(w http.ResponseWriter, r *http.Request) {
		sign(w, r)
		writeEvents(w, 1, 2)
		s.cache.Apply(time.Now(), directory.Change{Config: next})
		panic(http.ErrAbortHandler)
	})
	require.Error(t, s.do(s.request(http.MethodPost, "/stream/")).err)
	line := requireLine(t, log, "stream_broken_off", `request="r-1"`, `reason="stream_lost"`, "configuration_at_arrival=1", "configuration_now=2",
		"last_event=2", fmt.Sprintf("bytes=%d", len(wholeStream(2))))
	require.Regexp(t, `since_configuration="[0-9.]+(µs|ms)"`, line)
}

// The version of the configuration came into force when it was first read, not when a list of the
// store contained it again.
func TestVersionThatIsReadAgainKeepsItsAge(t *testing.T) {
	s, log := newUnconfiguredFixture(t), logtest.Open(t)
	s.cache.Apply(time.Now().Add(-time.Hour), directory.Change{Config: configuration()})
	s.cache.Apply(time.Now(), directory.Change{Config: configuration()})
	received := s.holding("e1", "desk")
	leave := s.beginRequest("r-again", http.MethodPost, "/book/")
	<-received
	leave()
	requireLine(t, log, "caller_gone", `request="r-again"`, `since_configuration="1h0m0`)
}

// A large response is passed on as it comes, and what ends it early must be in its line.
func TestBrokenLargeResponseNamesWhatEndedIt(t *testing.T) {
	const size = 600 << 10
	for name, c := range map[string]struct {
		reason  string
		timeout time.Duration
		end     func(r *http.Request)
	}{
		"endpoint": {reason: "endpoint_broke_off", timeout: requestTimeout, end: func(*http.Request) {}},
		"timeout":  {reason: "timeout", timeout: 300 * time.Millisecond, end: func(r *http.Request) { <-r.Context().Done() }},
	} {
		t.Run(name, func(t *testing.T) {
			s, log := newFixture(t), logtest.Open(t)
			s.config.Routes[1].Timeout = c.timeout
			s.endpoint("e1", "desk", func(w http.ResponseWriter, r *http.Request) {
				_, _ = io.Copy(io.Discard, r.Body) // the end of the connection is noticed only after the body
				sign(w, r)
				_, _ = w.Write(make([]byte, size)) // the reader checks what it received
				w.(http.Flusher).Flush()
				c.end(r)
				panic(http.ErrAbortHandler)
			})
			require.Error(t, s.do(s.request(http.MethodPost, "/book/")).err)
			requireLine(t, log, "answer_broken_off", `request="r-1"`, `reason="`+c.reason+`"`, "status=200", fmt.Sprintf("bytes=%d", size))
		})
	}
}

// A caller's connection ends while it sends its body. The line must tell how much of it came.
func TestBrokenBodyNamesWhatWasRead(t *testing.T) {
	s, log := newFixture(t), logtest.Open(t)
	conn, err := net.Dial("tcp", s.server.Listener.Addr().String())
	require.NoError(t, err)
	_, err = fmt.Fprintf(conn, "POST /book/ HTTP/1.1\r\nHost: a.example\r\nRequest-Id: r-body\r\nAuthorization: Bearer key-1\r\nContent-Length: 10\r\n\r\nabc")
	require.NoError(t, err)
	require.NoError(t, conn.Close())
	requireLine(t, log, "request_broken_off", `request="r-body"`, `reason="caller_left"`, "body_read=3", "configuration_at_arrival=1")
}

// A refusal that nobody receives looks like an answered request in the log.
func TestRefusalWithoutReaderSaysSo(t *testing.T) {
	s, log := newUnconfiguredFixture(t), logtest.Open(t)
	leave := s.beginRequest("r-early", http.MethodGet, "/look/")
	require.Never(t, func() bool { return len(log.Lines("refused", `request="r-early"`)) > 0 }, 100*time.Millisecond, 10*time.Millisecond,
		"a node that just started waits for its configuration")
	leave()
	requireLine(t, log, "refused", `request="r-early"`, "caller_left=true")
}

// A response breaks off at a node that forwards it for another one. The lines of both bear the
// request's id, this one also the reason.
func TestBrokenForwardNamesRequestAndReason(t *testing.T) {
	s, log := newFixture(t), logtest.Open(t)
	s.endpoint("e1", "desk", func(w http.ResponseWriter, r *http.Request) {
		sign(w, r)
		_, _ = w.Write([]byte("half")) // the reader checks what it received
		w.(http.Flusher).Flush()
		panic(http.ErrAbortHandler)
	})
	server := httptest.NewServer(http.HandlerFunc(gateway.New(gateway.Options{
		Settings: func() fleet.Settings { return s.settings }, Cache: s.cache, Tracker: balance.NewTracker(), Upstream: endpointhttp.NewUpstream(),
		Metrics: gateway.NewMetrics(), ReportStall: func(string) {},
	}).ServeForwarded))
	t.Cleanup(server.Close)
	send := func(endpoint string) neighbor.ForwardOutcome {
		r, err := platformtest.NewRequest(t.Context(), http.MethodPost, server.Listener.Addr().String(), "/book/", nil, platformtest.RequestInfo{ID: "r-for", Key: "key-1"})
		require.NoError(t, err)
		response, outcome, err := neighbor.NewForwardClient().Send(t.Context(), server.Listener.Addr().String(),
			neighbor.Forward{Kind: neighbor.ForwardRequest, Endpoint: endpoint, Node: "n2", Configuration: 1, Timeout: time.Second}, r)
		require.NoError(t, err)
		_, _ = io.Copy(io.Discard, response.Body) // ends with an error by design
		require.NoError(t, response.Body.Close())
		return outcome
	}
	require.Equal(t, neighbor.Delivered, send("e1"))
	requireLine(t, log, "forward_failed", `request="r-for"`, `reason="endpoint_broke_off"`, `from="n2"`, "bytes=4")
	require.Equal(t, neighbor.Unusable, send("e9"))
	requireLine(t, log, "not_forwarded", `request="r-for"`, `why="endpoint_unknown"`)
}
