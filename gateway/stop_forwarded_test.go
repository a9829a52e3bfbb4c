package gateway_test

import (
	"io"
	"net/http"
	"net/http/httptest"
	"strconv"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"redwinghall/gateway"
	"redwinghall/neighbor"
)

// readBody tells when a body is read.
type readBody struct {
	io.ReadCloser
	onRead func()
}

func (b *readBody) Read(p []byte) (int, error) {
	b.onRead()
	return b.ReadCloser.Read(p)
}

// Guards against a call of another node that a node sends on though its own stop began while the body came.
func TestStoppingGatewaySendsNoCallWhoseBodyCameAfterTheSignal(t *testing.T) {
	t.Parallel()
	for _, path := range []string{"/book/x", "/look/x"} {
		for _, stops := range []bool{false, true} {
			t.Run(path+" "+strconv.FormatBool(stops), func(t *testing.T) {
				t.Parallel()
				s := newFixture(t)
				var runs atomic.Int32
				s.endpoint("desk-1", "desk", func(w http.ResponseWriter, r *http.Request) {
					runs.Add(1)
					sign(w, r)
				})
				var stopping atomic.Bool
				end := time.Now().Add(time.Minute)
				s.gateway.Stopping = func() gateway.Stop {
					if !stopping.Load() {
						return gateway.Stop{}
					}
					return gateway.Stop{Begun: time.Now(), Noticed: time.Now(), End: end}
				}
				server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
					r.Body = &readBody{ReadCloser: r.Body, onRead: func() { stopping.Store(stops) }}
					s.gateway.ServeForwarded(w, r)
				}))
				t.Cleanup(server.Close)
				_, outcome := s.forward(server, "desk-1", http.MethodPost, path, []byte("ab"))
				if !stops {
					require.Equal(t, neighbor.Delivered, outcome)
					require.EqualValues(t, 1, runs.Load())
					return
				}
				require.Equal(t, neighbor.Busy, outcome)
				require.Zero(t, runs.Load())
			})
		}
	}
}
