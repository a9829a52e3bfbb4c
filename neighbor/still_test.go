package neighbor_test

import (
	"context"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"redwinghall/balance"
	"redwinghall/neighbor"
	"redwinghall/quarantine"
	"redwinghall/silence"
)

// A node reports heads that are still to the node that collects the loads, receives those that are still for all, and asks the
// holder of the lease for a lost member.
func TestStillHeadsAreTold(t *testing.T) {
	var seen silence.Report
	tracker := balance.NewTracker()
	server := httptest.NewServer(neighbor.NewHandler(neighbor.ServerConfig{
		Loads: neighbor.NewLoadTable(), Tracker: tracker, Quarantine: quarantine.NewTable(),
		OnLoads: func(time.Time, string, map[string]balance.Load, uint64) {}, OnLeaving: func(time.Time, string, []balance.LeavingReport) {},
		OnProgress: func(_ time.Time, node string, report silence.Report) { seen = report; require.Equal(t, "n1", node) },
		StillHeads: func(time.Time) []neighbor.StillHead {
			return []neighbor.StillHead{{Endpoint: "a", Lost: true}, {Endpoint: "b"}}
		},
		SuspectGroup: func(_ context.Context, headID string) bool { return headID == "a" },
	}))
	defer server.Close()
	client, address, ctx := neighbor.NewClient(), server.Listener.Addr().String(), context.Background()
	shared, err := client.Share(ctx, address, neighbor.LoadReport{
		Node: "n1", Still: map[string]time.Duration{"a": 300 * time.Millisecond},
		Loads: map[string]balance.Load{"a": {Requests: 2}, "c": {Requests: 3, Unstarted: 1}, "d": {Requests: 1, Unstarted: 1}},
	})
	require.NoError(t, err)
	require.Equal(t, []neighbor.StillHead{{Endpoint: "a", Lost: true}, {Endpoint: "b"}}, shared.Still)
	require.Equal(t, silence.Report{Still: map[string]time.Duration{"a": 300 * time.Millisecond}, Moving: []string{"c"}}, seen)
	for _, id := range []string{"a", "b"} {
		lost, err := client.SuspectGroup(ctx, address, id)
		require.NoError(t, err)
		require.Equal(t, id == "a", lost)
	}
}

// An older node knows none of it: it tells of no head, and is not taken for a holder that found a lost member or that was
// told of a stalled endpoint.
func TestOlderNodesTellOfNoStillHead(t *testing.T) {
	o, client, address := serve(t)
	shared, err := client.Share(context.Background(), address, neighbor.LoadReport{Node: "n1", Still: map[string]time.Duration{"a": time.Second}})
	require.NoError(t, err)
	require.Empty(t, shared.Still)
	lost, err := client.SuspectGroup(context.Background(), address, "a")
	require.Error(t, err)
	require.False(t, lost)
	require.Empty(t, o.suspected)
}
