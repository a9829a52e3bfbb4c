package main_test

import (
	"context"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"net/http/httptest"
	"net/http/httputil"
	"net/url"
	"os"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"redwinghall/kernel"
	"redwinghall/node"
	"redwinghall/platform/platformtest"
)

const (
	smallVM = 184 // MB of memory
	// slowMemory200 is what 200 slow callers may take more, slowMemory2000 what the process may take with 2,000.
	slowMemory200  = 10 << 20
	slowMemory2000 = smallVM << 20 / 2
	// slowAnswerBytes is the size of an answer that the sockets before a slow caller don't hold.
	slowAnswerBytes = 8 << 20
	slowEndpoints   = 60
	smallSocket     = 4 << 10
)

// Many callers take nothing of their large answers, or little. The process keeps to its part of the VM's memory.
func TestSlowCallersTakeBoundedMemoryOfTheProcess(t *testing.T) {
	for name, load := range map[string]struct {
		callers int
		read    bool
	}{
		"200 stopped":  {200, false},
		"200 slow":     {200, true},
		"2000 stopped": {2000, false},
		"2000 slow":    {2000, true},
	} {
		t.Run(name, func(t *testing.T) {
			p := newSlowProcess(t)
			p.start()
			p.waitReady()
			require.Eventually(t, func() bool { return p.requireAnswer(t.Context(), "first") == nil }, waitTime, 10*time.Millisecond)
			before := p.metric("memory.used")
			g := kernel.NewGroup(t.Context())
			for i := range load.callers {
				conn := p.beginSlow(fmt.Sprint("slow-", i))
				if load.read {
					g.Go("caller", func(ctx context.Context) error { readSlowly(ctx, conn); return nil })
				}
			}
			used, waiting := int64(0), int64(0)
			for range 20 {
				time.Sleep(200 * time.Millisecond)
				used = max(used, p.metric("memory.used"))
				waiting = max(waiting, p.metric("requests.in_progress"))
			}
			t.Logf("%d KiB before, %d at most, peak %d, %d requests in progress, %d for answers",
				before>>10, used>>10, p.metric("memory.peak")>>10, waiting, p.metric("memory.held.answers")>>10)
			if load.callers == 200 {
				require.Less(t, used-before, int64(slowMemory200))
			}
			require.Less(t, used, int64(slowMemory2000))
			require.GreaterOrEqual(t, waiting, int64(load.callers)*9/10, "the callers wait")
			g.Stop()
			require.NoError(t, g.Wait())
		})
	}
}

// newSlowProcess prepares a node on a small VM before endpoints whose answers are large.
func newSlowProcess(t *testing.T) *nodeProcess {
	t.Helper()
	p := newNodeProcess(t)
	store := platformtest.NewStore()
	t.Cleanup(store.Close)
	config := platformtest.Configuration(1, "key-1")
	require.NoError(t, store.PutConfiguration(config))
	p.settings.StoreAddress, p.settings.MemoryMB = store.Address(), smallVM
	require.NoError(t, os.WriteFile(p.path, []byte(p.settings.Text()), 0o600))
	for i := range slowEndpoints {
		e, err := platformtest.NewEndpoint(platformtest.EndpointConfig{
			ID: fmt.Sprint("e", i), Service: "desk", Zone: "a",
			RegisterAs: func(address string) (string, error) { return largeAnswers(t, address), nil },
		}, store, platformtest.NewRunCounter())
		require.NoError(t, err)
		t.Cleanup(e.Close)
	}
	return p
}

// largeAnswers starts a server before an endpoint, which answers requests of slow callers itself, and returns its address.
func largeAnswers(t *testing.T, endpoint string) string {
	t.Helper()
	proxy := httputil.NewSingleHostReverseProxy(&url.URL{Scheme: "http", Host: endpoint})
	text := make([]byte, 32<<10)
	server := httptest.NewUnstartedServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		id := r.Header.Get("Request-Id")
		if !strings.HasPrefix(id, "slow-") {
			proxy.ServeHTTP(w, r)
			return
		}
		platformtest.SetRequestID(w, id)
		platformtest.Sign(w, id, "signed")
		w.Header().Set("Content-Length", strconv.Itoa(slowAnswerBytes))
		for range slowAnswerBytes / len(text) {
			if _, err := w.Write(text); err != nil {
				return
			}
		}
	}))
	server.Config.ConnState = func(conn net.Conn, state http.ConnState) {
		if state == http.StateNew {
			_ = conn.(*net.TCPConn).SetWriteBuffer(smallSocket) // fails only if the connection is closed
		}
	}
	server.Start()
	t.Cleanup(server.CloseClientConnections)
	return server.Listener.Addr().String()
}

// beginSlow sends a request on a connection of its own, and reads nothing.
func (p *nodeProcess) beginSlow(id string) net.Conn {
	p.t.Helper()
	conn, err := net.Dial("tcp", p.settings.CallerAddress)
	require.NoError(p.t, err)
	p.t.Cleanup(func() { _ = conn.Close() }) // nobody needs it any more
	require.NoError(p.t, conn.(*net.TCPConn).SetReadBuffer(smallSocket))
	_, err = fmt.Fprintf(conn, "GET /look/x HTTP/1.1\r\nHost: a.example\r\nRequest-Id: %s\r\nAuthorization: Bearer key-1\r\n\r\n", id)
	require.NoError(p.t, err)
	return conn
}

// readSlowly reads a few bytes now and then.
func readSlowly(ctx context.Context, conn net.Conn) {
	for some := make([]byte, 64); ctx.Err() == nil; kernel.Sleep(ctx, 50*time.Millisecond) {
		_ = conn.SetReadDeadline(time.Now().Add(50 * time.Millisecond)) // fails only if the connection is closed
		_, _ = conn.Read(some)
	}
}

// metric returns a metric as the process reports it.
func (p *nodeProcess) metric(name string) int64 {
	p.t.Helper()
	response, err := http.Get("http://" + net.JoinHostPort(p.settings.IP, strconv.Itoa(node.MetricsPort)) + "/metrics")
	require.NoError(p.t, err)
	defer func() { _ = response.Body.Close() }() // it was read
	var all map[string]struct{ Value int64 }
	require.NoError(p.t, json.NewDecoder(response.Body).Decode(&all))
	require.Contains(p.t, all, name)
	return all[name].Value
}
