package gateway_test

import (
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"redwinghall/directory"
	"redwinghall/kernel"
)

// forwardingNodes is how many nodes hold what comes without end if it comes through another node.
const forwardingNodes = 2

// The same bytes reach a node through another one, which limits them too.
func TestForwardedBytesWithoutEndTakeLittleMemory(t *testing.T) {
	forms := endlessForms()
	for _, name := range []string{"headers", "early hints", "one event", "one event behind another", "a body", "a body in chunks", "a trailer", "an error", "an error of a stream"} {
		c := forms[name]
		t.Run(name, func(t *testing.T) {
			service := map[bool]string{true: "llm", false: "desk"}[c.path == "/stream/"]
			idle := idleHeap(t, func(silent http.HandlerFunc) *fixture {
				return newPartedFixture(t, newEndlessFixture(t, "desk", silent)).fixture
			})
			var ended atomic.Int64
			sent := newTogether()
			s := newPartedFixture(t, newEndlessFixture(t, service, func(w http.ResponseWriter, r *http.Request) {
				sent.add()
				defer ended.Add(1)
				sendWithoutEnd(w, r, c.begin, c.repeat)
			}))
			begun := time.Now()
			replies, most := s.requestAll(t, c.path)
			require.Positive(t, sent.Load())
			require.Less(t, kernel.RunTime(begun, time.Now()), endlessTime+2*time.Second)
			t.Logf("%d responses took %d KiB", sent.Load(), (int64(most)-int64(idle))>>10)
			require.LessOrEqual(t, most, idle+forwardingNodes*endlessMemory)
			for i, one := range replies {
				require.False(t, one.whole, "request %d got a response that looks complete", i)
			}
			require.Eventually(t, func() bool { return ended.Load() == sent.Load() }, 2*time.Second, 10*time.Millisecond, "connections to endpoints are closed")
		})
	}
}

// A node that passes requests on sends bytes without end itself.
func TestForwardingNodeWithoutEndTakesLittleMemory(t *testing.T) {
	for name, c := range endlessForms() {
		t.Run(name, func(t *testing.T) {
			idle := idleHeap(t, func(silent http.HandlerFunc) *fixture { return newFixtureBehind(t, "/book/", silent).fixture })
			var ended atomic.Int64
			sent := newTogether()
			begin := strings.Replace(c.begin, "\r\n", "\r\nRwh-Outcome: delivered\r\n", 1)
			s := newFixtureBehind(t, c.path, func(w http.ResponseWriter, r *http.Request) {
				sent.add()
				defer ended.Add(1)
				sendWithoutEnd(w, r, begin, c.repeat)
			})
			begun := time.Now()
			replies, most := s.requestAll(t, c.path)
			require.GreaterOrEqual(t, sent.Load(), int64(endlessRequests*3/4))
			require.Less(t, kernel.RunTime(begun, time.Now()), endlessTime+2*time.Second)
			t.Logf("%d responses took %d KiB", sent.Load(), (int64(most)-int64(idle))>>10)
			require.LessOrEqual(t, most, idle+endlessMemory)
			for i, one := range replies {
				require.False(t, one.whole, "request %d got a response that looks complete", i)
			}
			require.Eventually(t, func() bool { return ended.Load() == sent.Load() }, 2*time.Second, 10*time.Millisecond, "connections to the node are closed")
		})
	}
}

// newFixtureBehind returns a node that reaches all endpoints only by way of another one, whose answers the handler gives.
func newFixtureBehind(t *testing.T, path string, handler http.HandlerFunc) *partedFixture {
	t.Helper()
	service := map[bool]string{true: "llm", false: "desk"}[path == "/stream/"]
	s := newPartedFixture(t, newEndlessFixture(t, service, func(http.ResponseWriter, *http.Request) {}))
	one := s.config.Services[service]
	one.MaxConnections = 0
	s.config.Services[service] = one
	s.cache.Apply(time.Now(), directory.Change{Config: s.config})
	node := httptest.NewServer(handler)
	t.Cleanup(func() {
		node.CloseClientConnections()
		node.Close()
	})
	s.peer.address = node.Listener.Addr().String()
	return s
}

// What a node accepts of an endpoint must pass through another node too, in whatever form it is written anew.
func TestLargestHeadsAreForwarded(t *testing.T) {
	for name, headers := range map[string]string{
		"empty headers": strings.Repeat("a:\n", 5100), "one header": "X-Long: " + strings.Repeat("x", 15300) + "\n", "short headers": strings.Repeat("a:b\n", 3800),
	} {
		t.Run(name, func(t *testing.T) {
			far := newEndlessFixture(t, "desk", func(w http.ResponseWriter, r *http.Request) {
				sendWithoutEnd(w, r, endlessHead+headers+"Content-Length: 2\r\n\r\nok", " ")
			})
			require.Equal(t, reply{http.StatusOK, true, 2}, newPartedFixture(t, far).readAll(t.Context(), "/look/", "r1"))
		})
	}
}
