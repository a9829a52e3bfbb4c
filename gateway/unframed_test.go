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
	"redwinghall/endpointhttp"
	"redwinghall/fleet"
	"redwinghall/gateway"
	"redwinghall/neighbor"
	"redwinghall/platform/platformtest"
	"redwinghall/quarantine"
)

// unframed writes a response with neither length nor chunks, and ends its connection as end says.
func unframed(w http.ResponseWriter, r *http.Request, body string, end func(*net.TCPConn)) {
	_, _ = io.Copy(io.Discard, r.Body) // what is left unread would reset the connection
	conn, buffered, err := w.(http.Hijacker).Hijack()
	if err != nil {
		return
	}
	_, _ = fmt.Fprintf(buffered, "%sConnection: close\r\n\r\n%s", platformtest.ResponseHead(http.StatusOK, platformtest.ReadHeaders(r).ID), body)
	_ = buffered.Flush() // the reader checks what it received
	end(conn.(*net.TCPConn))
}

func closeConn(conn *net.TCPConn) { _ = conn.Close() }

func resetConn(conn *net.TCPConn) {
	_ = conn.SetLinger(0)
	_ = conn.Close()
}

// The connections of a process that ends are closed as after a complete response.
func TestUnframedResponseOfAnEndedEndpointIsNotComplete(t *testing.T) {
	t.Parallel()
	for name, c := range map[string]struct {
		method, path, begun, whole string
		end                        func(*net.TCPConn)
		gone                       bool
	}{
		"a stream between events":              {http.MethodPost, "/stream/", wholeStream(2), wholeStream(4), closeConn, true},
		"a stream inside an event":             {http.MethodPost, "/stream/", wholeStream(2) + "id: 3\n", wholeStream(4), closeConn, false},
		"a stream before its first event":      {http.MethodPost, "/stream/", "", wholeStream(4), closeConn, true},
		"an empty stream of a live endpoint":   {http.MethodPost, "/stream/", "", wholeStream(4), closeConn, false},
		"a stream that is reset":               {http.MethodPost, "/stream/", wholeStream(2), wholeStream(4), resetConn, false},
		"a plain answer":                       {http.MethodGet, "/look/", "part", "whole", closeConn, true},
		"a plain answer that is reset":         {http.MethodGet, "/look/", "part", "whole", resetConn, false},
		"a plain answer that is empty":         {http.MethodGet, "/look/", "", "whole", closeConn, true},
		"a stream of a plain service, between": {http.MethodGet, "/feed/", wholeStream(2), wholeStream(4), closeConn, true},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			s := newFixture(t)
			var calls atomic.Int32
			service := map[bool]string{true: "llm", false: "desk"}[c.path == "/stream/"]
			for _, id := range []string{"e1", "e2"} {
				s.endpoint(id, service, func(w http.ResponseWriter, r *http.Request) {
					if calls.Add(1) == 1 {
						if c.gone {
							s.gone.Store(id, true)
						}
						unframed(w, r, c.begun, c.end)
						return
					}
					rest := c.whole
					if last := platformtest.ReadHeaders(r).LastEvent; last != "" {
						_, rest, _ = strings.Cut(rest, "id: 2\ndata: word 2\n\n")
					}
					unframed(w, r, rest, closeConn)
				})
			}
			got := s.do(s.request(c.method, c.path))
			require.NoError(t, got.err)
			require.Equal(t, http.StatusOK, got.status)
			require.Equal(t, c.whole, got.body)
			require.Equal(t, int32(2), calls.Load())
		})
	}
}

// Nobody can tell whether the endpoint still runs: the response may be a part of one, and says nothing for the parts of its prompt.
func TestUnframedResponseOfAnUnknownEndIsNoProof(t *testing.T) {
	t.Parallel()
	for presence, c := range map[fleet.Presence]struct {
		cut  bool
		want quarantine.Verdict
	}{
		fleet.PresenceUnknown:  {true, quarantine.Trial},
		fleet.PresenceAnswered: {false, quarantine.Send},
		fleet.PresenceAlive:    {false, quarantine.Send},
	} {
		t.Run(string(presence), func(t *testing.T) {
			t.Parallel()
			s := newFixture(t)
			s.presences.Store("e1", presence)
			s.endpoint("e1", "llm", func(w http.ResponseWriter, r *http.Request) { unframed(w, r, wholeStream(1), closeConn) })
			s.quarantine.RecordEnd(quarantine.Suspect{Process: quarantine.Process{Endpoint: "e0"}, Request: "r-0", Service: "llm", Parts: []string{"bad"}, At: time.Now()})
			r := s.request(http.MethodPost, "/stream/")
			platformtest.SetParts(r, "bad", "own")
			got := s.do(r)
			require.Equal(t, wholeStream(1), got.body)
			require.Equal(t, c.cut, got.err != nil, "%v", got.err)
			require.Equal(t, c.want, s.quarantine.Check(time.Now(), "llm", []string{"bad"}).Verdict)
		})
	}
}

// A response that ends with its connection is as good as any other one.
func TestUnframedResponseOfALiveEndpointIsComplete(t *testing.T) {
	t.Parallel()
	for path, whole := range map[string]string{"/stream/": wholeStream(4), "/look/": "whole", "/book/": strings.Repeat("large", 100000), "/feed/": wholeStream(1)} {
		t.Run(path, func(t *testing.T) {
			t.Parallel()
			s := newFixture(t)
			service := map[bool]string{true: "llm", false: "desk"}[path == "/stream/"]
			s.endpoint("e1", service, func(w http.ResponseWriter, r *http.Request) { unframed(w, r, whole, closeConn) })
			got := s.do(s.request(http.MethodPost, path))
			require.NoError(t, got.err)
			require.Equal(t, http.StatusOK, got.status)
			require.Equal(t, whole, got.body)
		})
	}
}

// A stream of which nothing came isn't a response: its caller must learn that it failed.
func TestEmptyStreamIsRefusedWithAStatus(t *testing.T) {
	t.Parallel()
	s := newFixture(t)
	s.endpoint("e1", "llm", func(w http.ResponseWriter, r *http.Request) { unframed(w, r, "", closeConn) })
	got := s.do(s.request(http.MethodPost, "/stream/"))
	require.Equal(t, http.StatusBadGateway, got.status)
}

// A node that carries a request for another one ends its own response like a whole one only if it was whole.
func TestCutOfAnUnframedResponseSurvivesAForwardingNode(t *testing.T) {
	t.Parallel()
	for name, gone := range map[string]bool{"cut": true, "whole": false} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			s := newFixture(t)
			s.endpoint("e1", "llm", func(w http.ResponseWriter, r *http.Request) {
				if gone {
					s.gone.Store("e1", true)
				}
				unframed(w, r, wholeStream(2), closeConn)
			})
			carrier := httptest.NewServer(http.HandlerFunc(gateway.New(gateway.Options{
				Settings: func() fleet.Settings { return s.settings }, Cache: s.cache, Tracker: balance.NewTracker(), Upstream: endpointhttp.NewUpstream(),
				Metrics: gateway.NewMetrics(), ReportStall: func(string) {}, Presence: s.presence,
			}).ServeForwarded))
			t.Cleanup(carrier.Close)
			address := carrier.Listener.Addr().String()
			r, err := platformtest.NewRequest(t.Context(), http.MethodPost, address, "/stream/", nil, platformtest.RequestInfo{ID: "r-1", Key: "key-1", Model: "m0", Timeout: requestTimeout})
			require.NoError(t, err)
			response, outcome, err := neighbor.NewForwardClient().Send(t.Context(), address,
				neighbor.Forward{Kind: neighbor.ForwardRequest, Endpoint: "e1", Node: "n2", Configuration: 1, Timeout: requestTimeout}, r)
			require.NoError(t, err)
			require.Equal(t, neighbor.Delivered, outcome)
			body, err := io.ReadAll(response.Body)
			require.NoError(t, response.Body.Close())
			require.Equal(t, wholeStream(2), string(body))
			if gone {
				require.Error(t, err)
			} else {
				require.NoError(t, err)
			}
		})
	}
}
