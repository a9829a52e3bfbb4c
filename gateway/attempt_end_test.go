package gateway_test

import (
	"io"
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// goneCaller is the response writer of a caller that has left.
type goneCaller struct{ header http.Header }

func (c goneCaller) Header() http.Header       { return c.header }
func (c goneCaller) WriteHeader(int)           {}
func (c goneCaller) Write([]byte) (int, error) { return 0, io.ErrClosedPipe }

// A caller that leaves while it gets an endpoint's error response must not count at the endpoint for ever.
func TestAttemptEndsWhenTheCallerHasLeft(t *testing.T) {
	for _, path := range []string{"/stream/x", "/look/x"} {
		t.Run(path, func(t *testing.T) {
			s := newFixture(t)
			for id, service := range map[string]string{"e1": "llm", "e2": "desk"} {
				s.endpoint(id, service, func(w http.ResponseWriter, r *http.Request) {
					sign(w, r)
					w.WriteHeader(http.StatusNotFound)
				})
			}
			r := s.request(http.MethodGet, path)
			r.RequestURI = path
			require.PanicsWithValue(t, http.ErrAbortHandler, func() { s.server.Config.Handler.ServeHTTP(goneCaller{http.Header{}}, r) })
			require.Empty(t, s.tracker.OwnLoads(time.Now()))
		})
	}
}
