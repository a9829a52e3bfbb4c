package gateway_test

import (
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"redwinghall/directory"
	"redwinghall/platform/platformtest"
)

// A request that no group can ever hold would be rejected by one after the other. It is refused at once.
func TestRequestThatNoGroupHoldsIsRefusedAtOnce(t *testing.T) {
	for name, c := range map[string]struct{ tokens, prompt, status, sent int }{
		"larger":           {1000, 1001, http.StatusRequestEntityTooLarge, 0},
		"just as large":    {1000, 1000, http.StatusOK, 1},
		"memory not known": {0, 1001, http.StatusOK, 1},
	} {
		t.Run(name, func(t *testing.T) {
			s := newFixture(t)
			s.config.Services["llm"].Engine.CacheTokens = c.tokens
			s.cache.Apply(time.Now(), directory.Change{Config: s.config})
			var sent atomic.Int64
			s.endpoint("e1", "llm", func(w http.ResponseWriter, r *http.Request) {
				sent.Add(1)
				sign(w, r)
				writeEvents(w, 1, 2)
			})
			r, err := platformtest.NewRequest(t.Context(), http.MethodPost, s.server.Listener.Addr().String(), "/stream/x", nil,
				platformtest.RequestInfo{ID: "large", Key: "key-1", Model: "m0", Timeout: requestTimeout, Prompt: c.prompt, Answer: 50})
			require.NoError(t, err)
			require.Equal(t, c.status, s.do(r).status)
			require.EqualValues(t, c.sent, sent.Load())
		})
	}
}
