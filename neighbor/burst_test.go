package neighbor_test

import (
	"context"
	"fmt"
	"net/http/httptest"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"redwinghall/balance"
	"redwinghall/kernel"
	"redwinghall/neighbor"
	"redwinghall/quarantine"
)

const (
	// burstNodes are the nodes of the largest zone, and burstEndpoints the endpoints of a zone that all may have streams at.
	burstNodes     = 100
	burstEndpoints = 3000 / 16
	// heldUp is how long the node that collects is held up, a fifth of what the others wait for its answer.
	heldUp = 100 * time.Millisecond
)

// All nodes of a large zone report at once, as after a pause of the node that collects: it refused reports, and was taken for silent.
func TestReportsOfAllNodesAtOnceAreTaken(t *testing.T) {
	var mu sync.Mutex
	table := neighbor.NewLoadTable()
	server := httptest.NewServer(neighbor.NewHandler(neighbor.ServerConfig{
		Loads: table, Tracker: balance.NewTracker(), Quarantine: quarantine.NewTable(),
		OnLeaving: func(time.Time, string, []balance.LeavingReport) {},
		OnLoads: func(now time.Time, node string, loads map[string]balance.Load, _ uint64) {
			mu.Lock() // as the node does
			defer mu.Unlock()
			table.SetNode(now, node, loads)
		},
	}))
	t.Cleanup(server.Close)
	address := server.Listener.Addr().String()
	loads := map[string]balance.Load{}
	for i := range burstEndpoints {
		loads[fmt.Sprintf("engine-%020d", i)] = balance.Load{Requests: 3, Unstarted: 1}
	}
	var refusedMu sync.Mutex
	refused := map[string]int{}
	start := make(chan struct{})
	g := kernel.NewGroup(t.Context())
	for i := range burstNodes {
		client := neighbor.NewClient()
		g.Go("report", func(ctx context.Context) error {
			<-start
			for range 3 {
				if _, err := client.Share(ctx, address, neighbor.LoadReport{Node: fmt.Sprint("node-", i), Loads: loads}); err != nil {
					refusedMu.Lock()
					refused[err.Error()]++
					refusedMu.Unlock()
				}
				kernel.Sleep(ctx, 60*time.Millisecond)
			}
			return nil
		})
	}
	mu.Lock()
	close(start)
	kernel.Sleep(t.Context(), heldUp)
	mu.Unlock()
	require.NoError(t, g.Wait())
	require.Empty(t, refused)
}
