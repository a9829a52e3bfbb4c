package gateway_test

import (
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"redwinghall/gateway"
)

// A sound endpoint is silent in the middle of an answer that a stopping node took shortly before its end, and the stop cuts it.
func TestStoppingGatewayTakesWhatEndsDespiteASilence(t *testing.T) {
	t.Parallel()
	begun := time.Unix(1000, 0)
	stop := gateway.Stop{Begun: begun, Noticed: begun.Add(2 * time.Second), End: begun.Add(7 * time.Second)}
	for _, expected := range []time.Duration{time.Millisecond, 300 * time.Millisecond, time.Second, 3 * time.Second} {
		for _, silence := range []time.Duration{1200 * time.Millisecond, 1500 * time.Millisecond, 1900 * time.Millisecond} {
			for cut, from := range map[gateway.Loss]time.Duration{gateway.LosesTime: 2 * time.Second, gateway.LosesAnswer: 0, gateway.LosesCertainty: 0} {
				for at := from; at < 7*time.Second; at += 10 * time.Millisecond {
					now := begun.Add(at)
					if stop.Accepts(now, gateway.Ending{Deadline: now.Add(time.Minute), Expected: expected, Cut: cut}) {
						require.False(t, now.Add(expected+silence).After(stop.End), "at %s, %s and a silence of %s", at, expected, silence)
					}
				}
			}
		}
	}
}

// The same for a stream at an endpoint that really falls silent: it is refused unrun, or whole before the end.
func TestStoppingGatewayRefusesAStreamThatASilenceWouldCut(t *testing.T) {
	t.Parallel()
	for _, left := range []time.Duration{1500 * time.Millisecond, 2200 * time.Millisecond, 2600 * time.Millisecond} {
		t.Run(left.String(), func(t *testing.T) {
			t.Parallel()
			s := newSilentFixture(t, 1500*time.Millisecond, notExecuted(""))
			now := time.Now()
			s.stop = gateway.Stop{Begun: now.Add(-4 * time.Second), Noticed: now.Add(-2 * time.Second), End: now.Add(left)}
			got := s.do(s.request(http.MethodPost, "/stream/"))
			if got.status == http.StatusServiceUnavailable {
				require.Zero(t, s.runs.Load())
				return
			}
			require.NoError(t, got.err)
			require.Equal(t, wholeStream(silentEvents), got.body)
			require.Less(t, time.Since(now), left)
		})
	}
}
