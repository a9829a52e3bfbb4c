package caller_test

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"net/http/httputil"
	"net/url"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"redwinghall"
	"redwinghall/caller"
	"redwinghall/kernel"
	"redwinghall/rwhtest"
)

const (
	silentChunks = 6
	silentStall  = 300 * time.Millisecond
)

// silentGroups is a deployment with two groups. The one that gets the request first sends two chunks, is silent for
// longer than the stall timeout, and goes on. Further requests get what again and other say, by the group.
type silentGroups struct {
	*rwhtest.Deployment
	silence      time.Duration
	again, other http.HandlerFunc
	first        atomic.Pointer[string] // address of the group that got the request first
	requests     atomic.Int32
}

func startSilentGroups(t *testing.T, silence time.Duration, again, other http.HandlerFunc) *silentGroups {
	t.Helper()
	s := &silentGroups{silence: silence, again: again, other: other}
	s.Deployment = rwhtest.Start(t, rwhtest.Options{VMsPerGroup: 1, Replicas: 2, StallTimeout: silentStall})
	vms := s.VMs()
	for i := range vms {
		if vms[i].Service == "" {
			vms[i].Address = s.intercept(t, vms[i].Address)
		}
	}
	s.Table.SetVMs(vms)
	s.Submit("v1")
	return s
}

// intercept returns an address at which streams are answered by the test, and everything else by the VM.
func (s *silentGroups) intercept(t *testing.T, address string) string {
	vm := httputil.NewSingleHostReverseProxy(&url.URL{Scheme: "http", Host: address})
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path != "/v1/chat/completions" {
			vm.ServeHTTP(w, r)
			return
		}
		_, _ = io.Copy(io.Discard, r.Body) // only then the server notices that the router leaves
		s.requests.Add(1)
		switch {
		case s.first.CompareAndSwap(nil, &address):
			writeChunks(w, r, 0, 2)
			select {
			case <-time.After(s.silence):
				writeChunks(w, r, 2, silentChunks)
			case <-r.Context().Done():
			}
		case *s.first.Load() == address:
			s.again(w, r)
		default:
			s.other(w, r)
		}
	}))
	t.Cleanup(func() {
		server.CloseClientConnections()
		server.Close()
	})
	return server.Listener.Addr().String()
}

// writeChunks sends the chunks of a stream from a position up to another one, and the end mark after the last.
func writeChunks(w http.ResponseWriter, r *http.Request, from, to int) {
	id := r.Header.Get(caller.HeaderRequestID)
	for i := from; i < to; i++ {
		_, _ = fmt.Fprintf(w, "id: %s/%d\ndata: {\"word\":%d}\n\n", id, i, i) // the reader checks what it received
	}
	if to == silentChunks {
		_, _ = fmt.Fprintf(w, "id: %s/%d\ndata: [DONE]\n\n", id, to)
	}
	w.(http.Flusher).Flush()
}

func resumeStream(w http.ResponseWriter, r *http.Request) { writeChunks(w, r, 2, silentChunks) }

func rejectStream(w http.ResponseWriter, _ *http.Request) {
	http.Error(w, "overloaded", http.StatusServiceUnavailable)
}

// ask sends the request, and returns the answer and what it is if whole.
func (s *silentGroups) ask(t *testing.T) (got, whole string) {
	t.Helper()
	body := `{"model":"` + rwhtest.Model + `","stream":true,"max_tokens":6,"messages":[{"role":"user","content":"x"}]}`
	ctx, cancel := context.WithTimeout(t.Context(), 10*time.Second)
	defer cancel()
	r, err := s.Call(ctx, http.MethodPost, s.CallerAddress(0), "/v1/chat/completions", body, nil)
	require.NoError(t, err)
	id := r.Header.Get(caller.HeaderRequestID)
	var b strings.Builder
	for i := range silentChunks {
		fmt.Fprintf(&b, "id: %s/%d\ndata: {\"word\":%d}\n\n", id, i, i)
	}
	fmt.Fprintf(&b, "id: %s/%d\ndata: [DONE]\n\n", id, silentChunks)
	return r.Body, b.String()
}

// failingGroups are the ways in which a group may not take a stream over.
func failingGroups() map[string]http.HandlerFunc {
	return map[string]http.HandlerFunc{
		"rejects": rejectStream,
		"resets":  func(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) },
		"answers 500": func(w http.ResponseWriter, _ *http.Request) {
			http.Error(w, "failed", http.StatusInternalServerError)
		},
		"sends another's chunks": func(w http.ResponseWriter, _ *http.Request) { _, _ = w.Write([]byte("id: r/2\ndata: x\n\n")) },
		"is silent too":          func(_ http.ResponseWriter, r *http.Request) { <-r.Context().Done() },
	}
}

// A sound group is silent for a moment, and the other one doesn't take its stream over: the caller gets the whole answer
// from the first, which takes the request again.
func TestStreamReturnsToAGroupThatWasSilent(t *testing.T) {
	for name, other := range failingGroups() {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			s := startSilentGroups(t, silentStall+200*time.Millisecond, resumeStream, other)
			got, whole := s.ask(t)
			require.Equal(t, whole, got)
		})
	}
}

// The same, and the first group would go on but takes no second request.
func TestStreamOutlivesTheSilenceOfItsGroup(t *testing.T) {
	for name, other := range failingGroups() {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			s := startSilentGroups(t, silentStall+200*time.Millisecond, rejectStream, other)
			got, whole := s.ask(t)
			require.Equal(t, whole, got)
		})
	}
}

// A group is silent for good: the stream goes on at another one after the stall timeout.
func TestStreamLeavesAGroupThatStaysSilent(t *testing.T) {
	s := startSilentGroups(t, time.Minute, rejectStream, resumeStream)
	begun := time.Now()
	got, whole := s.ask(t)
	require.Equal(t, whole, got)
	require.Less(t, time.Since(begun), 3*silentStall)
	require.EqualValues(t, 2, s.requests.Load())
}

// Guards against a caller that waits in vain: its group is silent for good, no other takes the stream, and an error comes after a second stall timeout.
func TestStreamThatNoGroupTakesEnds(t *testing.T) {
	s := startSilentGroups(t, time.Minute, rejectStream, rejectStream)
	begun := time.Now()
	got, _ := s.ask(t)
	require.Contains(t, got, string(redwinghall.CodeAnswerIncomplete))
	require.Less(t, time.Since(begun), 3*silentStall)
}

// The same without any retries left: a silence must not end the stream at once, nor pass for the end of a whole one.
func TestStreamOutlivesTheSilenceOfItsGroupWithoutRetries(t *testing.T) {
	s := startSilentGroups(t, silentStall+200*time.Millisecond, rejectStream, rejectStream)
	g := kernel.NewGroup(t.Context())
	g.Task("spend", func(ctx context.Context) {
		for s.Routers[0].Server.Budget().Spend() || kernel.Sleep(ctx, time.Millisecond) { // each request adds some
			continue
		}
	})
	defer g.Stop()
	got, whole := s.ask(t)
	require.Equal(t, whole, got)
	require.EqualValues(t, 1, s.requests.Load())
}
