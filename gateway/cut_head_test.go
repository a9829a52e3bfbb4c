package gateway_test

import (
	"encoding/json"
	"fmt"
	"io"
	"net"
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

// informational precedes some heads.
const informational = "HTTP/1.1 103 Early Hints\r\nLink: </x>\r\n\r\n"

// cutHeads are the heads of responses, by the framing of their bodies.
func cutHeads() map[string]string {
	begin := platformtest.ResponseHead(http.StatusOK, "r-1")
	status, rest, _ := strings.Cut(begin, "\r\n")
	return map[string]string{
		"a length":                begin + "Content-Length: 200\r\n\r\n",
		"chunks":                  begin + "Transfer-Encoding: chunked\r\n\r\n",
		"neither":                 begin + "Connection: close\r\n\r\n",
		"a length, early hints":   informational + begin + "Content-Length: 200\r\n\r\n",
		"a length of 0 in front":  status + "\r\nContent-Length: 0\r\n" + rest + "\r\n",
		"a failure with a length": platformtest.ResponseHead(http.StatusInternalServerError, "r-1") + "Content-Length: 0\r\n\r\n",
	}
}

// cutAt writes the first bytes of a head and ends the connection.
func cutAt(w http.ResponseWriter, r *http.Request, head string, end func(*net.TCPConn)) {
	_, _ = io.Copy(io.Discard, r.Body) // what is left unread would reset the connection
	conn, _, err := w.(http.Hijacker).Hijack()
	if err != nil {
		return
	}
	_, _ = io.WriteString(conn, head) // the reader checks what it received
	end(conn.(*net.TCPConn))
}

// An endpoint stops in the middle of its response's head and closes the connection: its caller gets no success and no
// short response that looks whole.
func TestCutHeadIsNoResponse(t *testing.T) {
	t.Parallel()
	for framing, head := range cutHeads() {
		for _, c := range []struct {
			method, path string
			reused       bool
			end          func(*net.TCPConn)
		}{
			{http.MethodGet, "/look/", false, closeConn}, {http.MethodPost, "/book/", false, closeConn}, {http.MethodPost, "/stream/", false, closeConn},
			{http.MethodGet, "/look/", true, closeConn}, {http.MethodPost, "/book/", true, resetConn}, {http.MethodPost, "/stream/", true, closeConn},
		} {
			t.Run(fmt.Sprintf("%s/%s, reused %t", framing, c.path, c.reused), func(t *testing.T) {
				t.Parallel()
				for n := range len(head) {
					requireCut(t, head[:n], c.method, c.path, c.reused, c.end)
				}
			})
		}
	}
}

func requireCut(t *testing.T, head, method, path string, reused bool, end func(*net.TCPConn)) {
	t.Helper()
	s := newFixture(t)
	s.cache.NoteRead(fleet.Position{Version: 1}) // else a caller waits for further endpoints
	defer s.server.Close()
	var calls atomic.Int32
	service := map[bool]string{true: "llm", false: "desk"}[path == "/stream/"]
	endpoint := s.endpoint("e1", service, func(w http.ResponseWriter, r *http.Request) {
		if calls.Add(1) == 1 && reused {
			sign(w, r)
			_, _ = io.WriteString(w, wholeStream(1)) // checked below
			return
		}
		cutAt(w, r, head, end)
	})
	defer endpoint.Close()
	if reused {
		require.Equal(t, http.StatusOK, s.do(s.request(method, path)).status)
		calls.Store(1)
	}
	before := calls.Load()
	got := s.do(s.request(method, path))
	require.NoError(t, got.err, "%q", head)
	require.Greater(t, calls.Load(), before, "%q: it reached the endpoint", head)
	require.GreaterOrEqual(t, got.status, http.StatusInternalServerError, "%q", head)
	require.True(t, json.Valid([]byte(got.body)), "%q: %q", head, got.body)
	if got.status == http.StatusServiceUnavailable {
		require.LessOrEqual(t, calls.Load(), int32(1), "%q: 503 says that it did not run", head)
	}
	if path == "/book/" {
		require.LessOrEqual(t, calls.Load(), map[bool]int32{true: 2, false: 1}[reused], "%q: it may run once", head)
	}
}

// The same by way of another node.
func TestCutHeadIsNoResponseOfAForwardingNode(t *testing.T) {
	t.Parallel()
	for framing, head := range cutHeads() {
		t.Run(framing, func(t *testing.T) {
			t.Parallel()
			s := newFixture(t)
			n := 0
			s.endpoint("e1", "desk", func(w http.ResponseWriter, r *http.Request) { cutAt(w, r, head[:n], closeConn) })
			carrier := httptest.NewServer(http.HandlerFunc(gateway.New(gateway.Options{
				Settings: func() fleet.Settings { return s.settings }, Cache: s.cache, Tracker: balance.NewTracker(), Upstream: endpointhttp.NewUpstream(),
				Metrics: gateway.NewMetrics(), ReportStall: func(string) {}, Presence: s.presence,
			}).ServeForwarded))
			t.Cleanup(carrier.Close)
			address := carrier.Listener.Addr().String()
			for n = range len(head) {
				r, err := platformtest.NewRequest(t.Context(), http.MethodPost, address, "/book/", nil, platformtest.RequestInfo{ID: "r-1", Key: "key-1", Timeout: requestTimeout})
				require.NoError(t, err)
				response, outcome, err := neighbor.NewForwardClient().Send(t.Context(), address,
					neighbor.Forward{Kind: neighbor.ForwardRequest, Endpoint: "e1", Node: "n2", Configuration: 1, Timeout: requestTimeout}, r)
				if err != nil {
					continue
				}
				require.NotEqual(t, neighbor.Delivered, outcome, "%q", head[:n])
				require.NoError(t, response.Body.Close())
			}
		})
	}
}
