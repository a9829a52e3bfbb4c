package gateway_test

import (
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// A large response that is being passed on ends with the request's time, not with that of an attempt.
func TestLargeResponseOutlastsTheTimeOfAnAttempt(t *testing.T) {
	const part, parts = 100 << 10, 10
	s := newFixture(t)
	s.endpoint("e1", "desk", func(w http.ResponseWriter, r *http.Request) {
		sign(w, r)
		for range parts {
			_, _ = w.Write(make([]byte, part)) // the reader checks what it received
			w.(http.Flusher).Flush()
			time.Sleep(200 * time.Millisecond) // 2 s in all, of 3 s
		}
	})
	got := s.do(s.request(http.MethodGet, "/look/"))
	require.NoError(t, got.err)
	require.Len(t, got.body, parts*part)
}
