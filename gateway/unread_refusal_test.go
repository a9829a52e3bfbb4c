package gateway_test

import (
	"bytes"
	"io"
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"redwinghall/directory"
	"redwinghall/platform/platformtest"
)

// A connection that was closed with an unread body behind it was reset, and took the refusal with it: its caller couldn't know that
// the request hadn't run.
func TestRefusalOfARequestWithAnUnreadBodyArrives(t *testing.T) {
	t.Parallel()
	const bodyBytes, times = 600 << 10, 50
	for name, c := range map[string]struct {
		path, key string
		close     bool
		status    int
	}{
		"no route":                                {"/nowhere/x", "key-1", false, http.StatusNotFound},
		"no route, closes":                        {"/nowhere/x", "key-1", true, http.StatusNotFound},
		"no account, closes":                      {"/book/x", "key-9", true, http.StatusUnauthorized},
		"a body that is too large":                {"/book/x", "key-1", false, http.StatusRequestEntityTooLarge},
		"a body that is too large, and it closes": {"/book/x", "key-1", true, http.StatusRequestEntityTooLarge},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			s := newFixture(t)
			s.config.Limits.BodyBytes = bodyBytes / 2
			s.cache.Apply(time.Now(), directory.Change{Config: s.config})
			client := http.Client{Transport: &http.Transport{DisableKeepAlives: c.close}}
			t.Cleanup(client.CloseIdleConnections)
			for range times {
				r, err := platformtest.NewRequest(t.Context(), http.MethodPost, s.server.Listener.Addr().String(), c.path,
					bytes.NewReader(make([]byte, bodyBytes)), platformtest.RequestInfo{ID: "r-1", Key: c.key, Timeout: requestTimeout})
				require.NoError(t, err)
				response, err := client.Do(r)
				require.NoError(t, err)
				require.Equal(t, c.status, response.StatusCode)
				_, err = io.Copy(io.Discard, response.Body)
				require.NoError(t, err)
				require.NoError(t, response.Body.Close())
			}
		})
	}
}
