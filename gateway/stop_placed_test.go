package gateway_test

import (
	"context"
	"net/http"
	"strconv"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"redwinghall/gateway"
	"redwinghall/platform/platformtest"
)

// Guards against a stream that a stopping node expects to be too short, or checks too early, because of how its group was chosen.
func TestStoppingGatewayKnowsTheLengthOfEachKindOfStream(t *testing.T) {
	t.Parallel()
	type offers = map[string]string
	for name, c := range map[string]struct {
		placer  fakePlacer
		asks    bool   // other nodes are asked for a group
		last    string // event that the caller has
		groupIn string // zone
	}{
		"own choice":             {groupIn: "a"},
		"resumed by its caller":  {groupIn: "a", last: "1"},
		"placed by a dispatcher": {groupIn: "a", asks: true, placer: fakePlacer{hasDispatcher: true, offers: offers{"a": "g1"}}},
		"dispatcher is silent":   {groupIn: "a", asks: true, placer: fakePlacer{hasDispatcher: true}},
		"placed by another zone": {groupIn: "b", asks: true, placer: fakePlacer{offers: offers{"b": "g1"}}},
		"another zone is silent": {groupIn: "b", asks: true},
		"on loan": {groupIn: "b", asks: true, placer: fakePlacer{
			hasDispatcher: true, offers: offers{"a": "", "b": "g1"}, alternativeZone: "b", onLoan: true,
		}},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			for _, one := range []struct {
				answer int           // tokens
				wait   time.Duration // until each node that is asked replies
				status int
			}{
				{60, 0, http.StatusOK},
				{1000, 0, http.StatusServiceUnavailable},
				{60, 1300 * time.Millisecond, http.StatusServiceUnavailable},
			} {
				if one.wait > 0 && !c.asks {
					continue
				}
				s := newFixture(t)
				s.remoteGroup(c.groupIn, "g1", 0)
				s.placer = c.placer
				s.placer.onPlace = func() { time.Sleep(one.wait) }
				now := time.Now()
				s.stop = gateway.Stop{Begun: now.Add(-4 * time.Second), Noticed: now.Add(-2 * time.Second), End: now.Add(3 * time.Second)}
				r, err := platformtest.NewRequest(context.Background(), http.MethodPost, s.server.Listener.Addr().String(), "/stream/x", nil, platformtest.RequestInfo{
					ID: "r-1", Key: "key-1", Model: "m0", Timeout: 6 * time.Second, Prompt: 100, Answer: one.answer,
				})
				require.NoError(t, err)
				if c.last != "" {
					r.Header.Set("Last-Event-Id", c.last)
				}
				got := s.do(r)
				what := strconv.Itoa(one.answer) + " tokens, replies after " + one.wait.String()
				require.Equal(t, one.status, got.status, what)
				if one.status != http.StatusOK {
					require.Contains(t, got.body, "node_stops", what)
					require.NotEmpty(t, got.header.Get("Retry-After"), what)
				}
			}
		})
	}
}
