package gateway_test

import (
	"context"
	"errors"
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
	"pgregory.net/rapid"

	"redwinghall/balance"
	"redwinghall/directory"
	"redwinghall/endpointhttp"
	"redwinghall/fleet"
	"redwinghall/gateway"
	"redwinghall/platform"
	"redwinghall/platform/platformtest"
	"redwinghall/platform/platformtest/badinput"
	_ "redwinghall/rwhtest/fixedseed"
)

const (
	// badInputTimeout is how long the callers of these tests wait.
	badInputTimeout = 30 * time.Millisecond
	// longestCall is far above the time in which the gateway answers them.
	longestCall = 5 * time.Second
)

// gatewayOf returns a gateway with a cache, without other nodes.
func gatewayOf(cache *directory.Cache) *gateway.Gateway {
	settings := fleet.Settings{Zone: "a", Bounds: fleet.Bounds{RetryRatio: 0.2, RetryWindow: 10 * time.Second, RetrySlack: 100}}
	return gateway.New(gateway.Options{
		Settings: func() fleet.Settings { return settings }, Cache: cache, Tracker: balance.NewTracker(), Upstream: endpointhttp.NewUpstream(),
		Metrics: gateway.NewMetrics(), Shares: func() gateway.Shares { return gateway.Shares{Nodes: 1, Zone: 1} }, ReportStall: func(string) {},
		Stopping: func() gateway.Stop { return gateway.Stop{} },
	})
}

// call sends one request to a gateway and returns the status, and what the handler panicked with.
func call(t *rapid.T, g *gateway.Gateway, path string) (status int, panicked any) {
	r, err := platformtest.NewRequest(context.Background(), http.MethodPost, "a.example", path, strings.NewReader("x"), platformtest.RequestInfo{
		ID: "r-1", Key: "key-1", Model: "m0", Timeout: badInputTimeout, Prompt: 100, Answer: 50,
	})
	if err != nil {
		t.Fatal(err)
	}
	r.RequestURI = path
	recorder := httptest.NewRecorder()
	defer func() { status, panicked = recorder.Code, recover() }()
	g.ServeHTTP(recorder, r)
	return recorder.Code, nil
}

// All nodes read the same configuration and entries: whatever they hold, each request ends with a
// response, and within its time.
func TestRequestsEndWithAnyConfigurationAndEntries(t *testing.T) {
	endpoint := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body) // a request that is cut off ends here
		sign(w, r)
		writeEvents(w, 1, 3)
	}))
	t.Cleanup(endpoint.Close)
	statuses := map[int]int{}
	rapid.Check(t, func(t *rapid.T) {
		cache := directory.NewCache()
		for i, value := range []string{badinput.Configuration().Draw(t, "first"), badinput.Configuration().Draw(t, "second")} {
			config, err := platform.DecodeConfiguration([]byte(value))
			if err == nil {
				config.Version += int64(i)
				cache.Apply(time.Now(), directory.Change{Config: config})
			}
		}
		if cache.View().Config() == nil {
			return // the gateway would wait for one
		}
		for i, service := range []string{"llm", "desk"} {
			row := fleet.Row{Key: fmt.Sprint("e", i), Value: []byte(badinput.Entry(endpoint.Listener.Addr().String(), service, "replica|m0|1", 0).Draw(t, "entry"))}
			if e, err := platform.DecodeEndpoint(row, time.Now()); err == nil {
				cache.Apply(time.Now(), directory.Change{Endpoint: e})
			}
		}
		cache.NoteRead(fleet.Position{Version: 1})
		g, began := gatewayOf(cache), time.Now()
		for _, path := range []string{"/stream/x", "/look/x", "/", "/other"} {
			status, panicked := call(t, g, path)
			if err, _ := panicked.(error); panicked != nil && !errors.Is(err, http.ErrAbortHandler) {
				t.Fatalf("%s: panic: %v", path, panicked)
			}
			statuses[status]++
		}
		if took := time.Since(began); took > longestCall {
			t.Fatalf("took %v", took)
		}
	})
	require.Positive(t, statuses[http.StatusOK], statuses)
	require.Positive(t, statuses[http.StatusServiceUnavailable], statuses)
}

// A caller that announces a body of any length and sends little must not make the node allocate
// all of it: the process would end, and all its requests with it.
func TestAnnouncedLengthOfABodyIsNotAllocated(t *testing.T) {
	s := newFixture(t)
	s.config.Version++
	s.config.Limits.BodyBytes = 1 << 50
	s.cache.Apply(time.Now(), directory.Change{Config: s.config})
	caller, err := net.Dial("tcp", s.server.Listener.Addr().String())
	require.NoError(t, err)
	_, err = fmt.Fprintf(caller, "POST /book/x HTTP/1.1\r\nHost: a.example\r\nAuthorization: Bearer key-1\r\nContent-Length: %d\r\n\r\nabc", int64(1)<<42)
	require.NoError(t, err)
	time.Sleep(100 * time.Millisecond)
	require.NoError(t, caller.Close())
	var sent atomic.Int32
	s.endpoint("e1", "desk", func(w http.ResponseWriter, r *http.Request) {
		sent.Add(1)
		sign(w, r)
	})
	require.Equal(t, http.StatusOK, s.do(s.request(http.MethodPost, "/book/x")).status)
	require.Equal(t, int32(1), sent.Load(), "the body that ended early is not sent")
}

// Bodies above the size that is allocated ahead arrive whole.
func TestLargeBodiesArriveWhole(t *testing.T) {
	s := newFixture(t)
	s.config.Version++
	s.config.Limits.BodyBytes = 8 << 20
	s.cache.Apply(time.Now(), directory.Change{Config: s.config})
	var got atomic.Int64
	s.endpoint("e1", "desk", func(w http.ResponseWriter, r *http.Request) {
		n, _ := io.Copy(io.Discard, r.Body) // a short body fails the comparison below
		got.Store(n)
		sign(w, r)
	})
	r := s.request(http.MethodPost, "/book/x")
	r.Body, r.ContentLength = io.NopCloser(strings.NewReader(strings.Repeat("x", 3<<20))), 3<<20
	require.Equal(t, http.StatusOK, s.do(r).status)
	require.Equal(t, int64(3<<20), got.Load())
}
