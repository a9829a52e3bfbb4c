package gateway_test

import (
	"bytes"
	"io"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"redwinghall/directory"
	"redwinghall/platform/platformtest"
)

// slowlyTakenBytes is the size of a body that the sockets before an endpoint don't hold.
const slowlyTakenBytes = 16 << 20

// An endpoint reads a large body very slowly. A request that may run twice is sent to a second endpoint; one that may not ends with
// a 504 at its deadline. The memory of the body is given back.
func TestBodyThatAnEndpointTakesAtATrickle(t *testing.T) {
	for path, c := range map[string]struct {
		status, sent int
		method       string
	}{
		"/look/x":   {http.StatusOK, 2, http.MethodGet},
		"/stream/x": {http.StatusOK, 2, http.MethodPost},
		"/book/x":   {http.StatusGatewayTimeout, 1, http.MethodPost},
	} {
		t.Run(path, func(t *testing.T) {
			s, _ := newHeldFixture(t, largeVM)
			s.config.Limits.BodyBytes = slowlyTakenBytes
			s.cache.Apply(time.Now(), directory.Change{Config: s.config})
			s.removeEndpoint("e1")
			var sent atomic.Int64
			service := map[bool]string{true: "llm", false: "desk"}[path == "/stream/x"]
			for _, id := range []string{"e2", "e3"} {
				s.endpoint(id, service, func(w http.ResponseWriter, r *http.Request) {
					if sent.Add(1) == 1 {
						readTrickle(r)
						return
					}
					_, _ = io.Copy(io.Discard, r.Body)
					sign(w, r)
					writeEvents(w, 1, 2)
				})
			}
			r, err := platformtest.NewRequest(t.Context(), c.method, s.server.Listener.Addr().String(), path, bytes.NewReader(make([]byte, slowlyTakenBytes)),
				platformtest.RequestInfo{ID: "slow", Key: "key-1", Model: "m0", Timeout: requestTimeout, Prompt: 10, Answer: 50})
			require.NoError(t, err)
			begun := time.Now()
			require.Equal(t, c.status, s.do(r).status)
			require.Less(t, time.Since(begun), requestTimeout+500*time.Millisecond)
			require.EqualValues(t, c.sent, sent.Load())
			require.Eventually(t, func() bool { return s.held()["bodies"] == 0 && s.held()["requests"] == 0 }, time.Second, time.Millisecond)
		})
	}
}

// readTrickle reads a body slowly until its sender leaves.
func readTrickle(r *http.Request) {
	for some := make([]byte, 64); ; time.Sleep(10 * time.Millisecond) {
		if _, err := r.Body.Read(some); err != nil {
			return
		}
	}
}
