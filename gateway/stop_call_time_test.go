package gateway_test

import (
	"context"
	"fmt"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"redwinghall/gateway"
	"redwinghall/platform/platformtest"
)

// Guards against a booking that a stopping node expects to be as short as the rejections, failures and aborted calls before it.
func TestExpectedCallTimeIgnoresCallsThatWereNotServed(t *testing.T) {
	t.Parallel()
	const unserved = 150 // calls
	rejected := func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set("Request-Id", platformtest.ReadHeaders(r).ID)
		platformtest.SetNotExecuted(w)
		w.WriteHeader(http.StatusServiceUnavailable)
	}
	failed := func(w http.ResponseWriter, r *http.Request) {
		sign(w, r)
		w.WriteHeader(http.StatusInternalServerError)
	}
	left := func(http.ResponseWriter, *http.Request) { time.Sleep(60 * time.Millisecond) }
	for name, c := range map[string]struct {
		end     http.HandlerFunc // of the calls that aren't served
		unknown bool             // no call was served before them
	}{
		"rejected":           {end: rejected},
		"failed":             {end: failed},
		"caller left":        {end: left},
		"none served so far": {end: rejected, unknown: true},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			s := newFixture(t)
			var late atomic.Int32
			s.endpoint("desk-1", "desk", func(w http.ResponseWriter, r *http.Request) {
				switch platformtest.ReadHeaders(r).ID {
				case "early":
				case "late":
					late.Add(1)
				default:
					c.end(w, r)
					return
				}
				time.Sleep(time.Second)
				sign(w, r)
			})
			send := func(ctx context.Context, id string) (int, error) {
				r := s.request(http.MethodPost, "/book/x").WithContext(ctx)
				r.Header.Set("Request-Id", id)
				out, err := http.DefaultTransport.RoundTrip(r)
				if err != nil {
					return 0, err
				}
				return out.StatusCode, out.Body.Close()
			}
			if !c.unknown {
				status, err := send(context.Background(), "early")
				require.NoError(t, err)
				require.Equal(t, http.StatusOK, status)
			}
			for i := range unserved {
				ctx, cancel := context.WithTimeout(context.Background(), 20*time.Millisecond)
				_, _ = send(ctx, fmt.Sprint("unserved-", i)) // it fails, as the endpoint wants it to
				cancel()
			}
			now := time.Now()
			s.stop = gateway.Stop{Begun: now, Noticed: now.Add(2 * time.Second), End: now.Add(2500 * time.Millisecond)}
			status, err := send(context.Background(), "late")
			require.NoError(t, err)
			require.Zero(t, late.Load(), "a booking takes 1 s, which with a silence is more than the 2.5 s that the node had")
			require.Equal(t, http.StatusServiceUnavailable, status)
		})
	}
}
