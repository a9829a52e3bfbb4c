package gateway_test

import (
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"

	"github.com/stretchr/testify/require"

	"redwinghall/balance"
	"redwinghall/endpointhttp"
	"redwinghall/fleet"
	"redwinghall/gateway"
	"redwinghall/neighbor"
	"redwinghall/platform/platformtest"
)

// noAnswers are bytes that net/http takes for answers to the request r-1.
func noAnswers() map[string]string {
	ok := platformtest.ResponseHead(http.StatusOK, "r-1")
	_, fields, _ := strings.Cut(ok, "\r\n")
	whole := "Content-Length: 2\r\n\r\nok"
	answers := map[string]string{
		"status 700 unsigned":               "HTTP/1.1 700 Odd\r\n" + whole,
		"a blank in a name":                 ok + "Bad Name: x\r\n" + whole,
		"a blank behind a name":             ok + "X-Name : x\r\n" + whole,
		"a blank behind a length":           ok + "Content-Length : 2\r\n\r\nok and more",
		"a blank behind a coding":           ok + "Transfer-Encoding : chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n",
		"a control byte in a name":          ok + "Bad\x01Name: x\r\n" + whole,
		"a tab behind a length":             ok + "Content-Length\t: 2\r\n\r\nok and more",
		"a control byte in a value":         ok + "X-Name: a\x01b\r\n" + whole,
		"a blank in a name of a 103":        "HTTP/1.1 103 Early Hints\r\nBad Name: x\r\n\r\n" + ok + whole,
		"a blank in a name of a trailer":    ok + "Transfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\nBad Name: x\r\n\r\n",
		"a rejection with a blank":          platformtest.RejectionHead("r-1") + "Bad Name: x\r\n" + whole,
		"a failure with a blank in a name":  "HTTP/1.1 500 Odd\r\nBad Name: x\r\n" + fields + whole,
		"an answer without a body, a blank": "HTTP/1.1 204 OK\r\n" + fields + "Bad Name: x\r\n\r\n",
		"another version":                   "HTTP/2.0 200 OK\r\n" + fields + whole,
	}
	for _, status := range []string{"000", "099", "101", "600", "700", "999"} {
		answers["status "+status] = "HTTP/1.1 " + status + " Odd\r\n" + fields + whole
	}
	return answers
}

// A worker in trouble sent bytes with the status 000, or with a blank in the name of a field: callers got them as answers, or no
// answer at all.
func TestBytesThatAreNoAnswerAreNotPassedOn(t *testing.T) {
	t.Parallel()
	for name, bytes := range noAnswers() {
		for path, want := range map[string]int{"/look/": http.StatusOK, "/book/": http.StatusBadGateway, "/feed/": http.StatusOK} {
			t.Run(name+path, func(t *testing.T) {
				t.Parallel()
				s := newFixture(t)
				var calls atomic.Int32
				for _, id := range []string{"e1", "e2"} {
					s.endpoint(id, "desk", func(w http.ResponseWriter, r *http.Request) {
						if calls.Add(1) > 1 {
							sign(w, r)
							_, _ = io.WriteString(w, wholeStream(1)) // the caller checks what it received
							return
						}
						cutAt(w, r, bytes, closeConn)
					})
				}
				got := s.do(s.request(http.MethodPost, path))
				require.NoError(t, got.err)
				require.Equal(t, want, got.status)
				if want == http.StatusOK {
					require.Equal(t, wholeStream(1), got.body)
				} else {
					require.Equal(t, int32(1), calls.Load())
				}
			})
		}
	}
}

// Nobody knows where bytes that are no answer end: what follows them isn't the next answer.
func TestConnectionIsNotUsedBehindBytesThatAreNoAnswer(t *testing.T) {
	t.Parallel()
	for name, bytes := range noAnswers() {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			s := newFixture(t)
			var connections atomic.Int32
			s.endpoint("e1", "desk", func(w http.ResponseWriter, r *http.Request) {
				_, _ = io.Copy(io.Discard, r.Body) // what is left unread would reset the connection
				conn, buffered, err := w.(http.Hijacker).Hijack()
				if err != nil {
					return
				}
				defer func() { _ = conn.Close() }()
				if connections.Add(1) > 1 {
					_, _ = fmt.Fprintf(conn, "%sContent-Length: 5\r\n\r\nsound", platformtest.ResponseHead(http.StatusOK, "r-1")) // the caller checks it
					return
				}
				_, _ = io.WriteString(conn, bytes) // the caller checks what it received
				if _, err := http.ReadRequest(buffered.Reader); err == nil {
					_, _ = fmt.Fprintf(conn, "%sContent-Length: 5\r\n\r\nwrong", platformtest.ResponseHead(http.StatusOK, "r-1"))
				}
			})
			require.Equal(t, http.StatusBadGateway, s.do(s.request(http.MethodPost, "/book/")).status)
			got := s.do(s.request(http.MethodPost, "/book/"))
			require.Equal(t, http.StatusOK, got.status)
			require.Equal(t, "sound", got.body)
		})
	}
}

// A node that carries a request for another one passes no such bytes on, and the other one takes none of a node.
func TestBytesThatAreNoAnswerAreNotForwarded(t *testing.T) {
	t.Parallel()
	for name, bytes := range noAnswers() {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			s := newFixture(t)
			s.endpoint("e1", "desk", func(w http.ResponseWriter, r *http.Request) { cutAt(w, r, bytes, closeConn) })
			carrier := httptest.NewServer(http.HandlerFunc(gateway.New(gateway.Options{
				Settings: func() fleet.Settings { return s.settings }, Cache: s.cache, Tracker: balance.NewTracker(), Upstream: endpointhttp.NewUpstream(),
				Metrics: gateway.NewMetrics(), ReportStall: func(string) {}, Presence: s.presence,
			}).ServeForwarded))
			t.Cleanup(carrier.Close)
			s.requireNotDelivered(carrier.Listener.Addr().String())
			odd := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				final := strings.LastIndex(bytes, "HTTP/")
				status, rest, _ := strings.Cut(bytes[final:], "\r\n")
				cutAt(w, r, bytes[:final]+status+"\r\nRwh-Outcome: delivered\r\n"+rest, closeConn)
			}))
			t.Cleanup(odd.Close)
			s.requireNotDelivered(odd.Listener.Addr().String())
		})
	}
}

// requireNotDelivered fails if another node delivers a whole answer.
func (s *fixture) requireNotDelivered(address string) {
	s.t.Helper()
	r, err := platformtest.NewRequest(s.t.Context(), http.MethodPost, address, "/book/", nil, platformtest.RequestInfo{ID: "r-1", Key: "key-1", Timeout: requestTimeout})
	require.NoError(s.t, err)
	response, outcome, err := neighbor.NewForwardClient().Send(s.t.Context(), address,
		neighbor.Forward{Kind: neighbor.ForwardRequest, Endpoint: "e1", Node: "n2", Configuration: 1, Timeout: requestTimeout}, r)
	if err != nil || outcome != neighbor.Delivered {
		return
	}
	_, err = io.ReadAll(response.Body)
	require.Error(s.t, err)
	require.NoError(s.t, response.Body.Close())
}
