package gateway_test

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"redwinghall/balance"
	"redwinghall/directory"
	"redwinghall/endpointhttp"
	"redwinghall/fleet"
	"redwinghall/gateway"
	"redwinghall/neighbor"
	"redwinghall/platform/platformtest"
)

// uploadBytes is the size of an upload that the sockets before an endpoint don't hold.
const uploadBytes = 4 << 20

// newUploadFixture returns a fixture whose callers may send large bodies.
func newUploadFixture(t *testing.T) *fixture {
	t.Helper()
	s := newUnconfiguredFixture(t)
	s.config.Limits.BodyBytes = uploadBytes
	s.cache.Apply(time.Now(), directory.Change{Config: s.config})
	return s
}

func (s *fixture) upload(path string) *http.Request {
	r := s.request(http.MethodPost, path)
	r.Body, r.ContentLength = io.NopCloser(strings.NewReader(strings.Repeat("x", uploadBytes))), uploadBytes
	return r
}

// answerEarly answers a request whose body it doesn't read.
func answerEarly(w http.ResponseWriter, r *http.Request, framing, body string) *net.TCPConn {
	conn, _, err := w.(http.Hijacker).Hijack()
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	_, _ = fmt.Fprintf(conn, "%s%s\r\n\r\n%s", platformtest.ResponseHead(http.StatusOK, platformtest.ReadHeaders(r).ID), framing, body) // the reader checks what it received
	return conn.(*net.TCPConn)
}

// An endpoint resets its connection in half an answer without a length while the upload is being written. The half passed for
// the whole.
func TestHalfAnswerThatIsResetDuringTheUploadIsNotComplete(t *testing.T) {
	t.Parallel()
	for path, c := range map[string]struct {
		service, half, whole string
		status               int
	}{
		"/look/":   {"desk", "half of it", "the whole answer", http.StatusOK},
		"/book/":   {"desk", "half of it", "the whole answer", http.StatusBadGateway},
		"/stream/": {"llm", wholeStream(2), wholeStream(4), http.StatusOK},
		"/feed/":   {"desk", wholeStream(2), wholeStream(4), http.StatusOK},
	} {
		for _, after := range []time.Duration{20 * time.Millisecond, 50 * time.Millisecond, 150 * time.Millisecond} {
			t.Run(fmt.Sprint(path, after), func(t *testing.T) {
				t.Parallel()
				s := newUploadFixture(t)
				var calls atomic.Int32
				for _, id := range []string{"e1", "e2"} {
					s.endpoint(id, c.service, func(w http.ResponseWriter, r *http.Request) {
						if calls.Add(1) == 1 {
							conn := answerEarly(w, r, "Connection: close", c.half)
							time.Sleep(after)
							resetConn(conn)
							return
						}
						rest := c.whole
						if platformtest.ReadHeaders(r).LastEvent != "" {
							_, rest, _ = strings.Cut(rest, "id: 2\ndata: word 2\n\n")
						}
						unframed(w, r, rest, closeConn)
					})
				}
				got := s.do(s.upload(path))
				require.NoError(t, got.err)
				require.Equal(t, c.status, got.status)
				if c.status == http.StatusOK {
					require.Equal(t, c.whole, got.body)
				}
			})
		}
	}
}

// The same at a node that carries the request for another one.
func TestHalfAnswerThatIsResetDuringAForwardedUploadIsNotComplete(t *testing.T) {
	t.Parallel()
	s := newUploadFixture(t)
	s.endpoint("e1", "desk", func(w http.ResponseWriter, r *http.Request) {
		conn := answerEarly(w, r, "Connection: close", "half of it")
		time.Sleep(50 * time.Millisecond)
		resetConn(conn)
	})
	carrier := httptest.NewServer(http.HandlerFunc(gateway.New(gateway.Options{
		Settings: func() fleet.Settings { return s.settings }, Cache: s.cache, Tracker: balance.NewTracker(), Upstream: endpointhttp.NewUpstream(),
		Metrics: gateway.NewMetrics(), ReportStall: func(string) {}, Presence: s.presence,
	}).ServeForwarded))
	t.Cleanup(carrier.Close)
	address := carrier.Listener.Addr().String()
	r, err := platformtest.NewRequest(t.Context(), http.MethodPost, address, "/book/", strings.NewReader(strings.Repeat("x", uploadBytes)),
		platformtest.RequestInfo{ID: "r-1", Key: "key-1", Timeout: requestTimeout})
	require.NoError(t, err)
	response, outcome, err := neighbor.NewForwardClient().Send(t.Context(), address,
		neighbor.Forward{Kind: neighbor.ForwardRequest, Endpoint: "e1", Node: "n2", Configuration: 1, Timeout: requestTimeout}, r)
	require.NoError(t, err)
	require.Equal(t, neighbor.Delivered, outcome)
	_, err = io.ReadAll(response.Body)
	require.Error(t, err)
	require.NoError(t, response.Body.Close())
}

// An endpoint may answer before it has read a long body. An answer that says where it ends is whole, whatever becomes of the
// upload.
func TestAnswerThatEndsBesideAnUnfinishedUploadIsComplete(t *testing.T) {
	t.Parallel()
	for name, framing := range map[string]string{"a length": "Content-Length: 16", "chunks": "Transfer-Encoding: chunked"} {
		for _, path := range []string{"/look/", "/book/"} {
			t.Run(name+path, func(t *testing.T) {
				t.Parallel()
				s := newUploadFixture(t)
				body := "the whole answer"
				if name == "chunks" {
					body = "10\r\nthe whole answer\r\n0\r\n\r\n"
				}
				s.endpoint("e1", "desk", func(w http.ResponseWriter, r *http.Request) {
					conn := answerEarly(w, r, framing, body)
					time.Sleep(100 * time.Millisecond)
					resetConn(conn)
				})
				got := s.do(s.upload(path))
				require.NoError(t, got.err)
				require.Equal(t, http.StatusOK, got.status)
				require.Equal(t, "the whole answer", got.body)
			})
		}
	}
}
