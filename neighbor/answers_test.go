package neighbor_test

import (
	"context"
	"net"
	"net/http"
	"net/http/httptest"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"redwinghall/fleet"
	"redwinghall/neighbor"
	"redwinghall/neighbor/rpc"
)

// countingPeer is a node that answers each call after a time, by the model of the call, and
// that counts its connections.
type countingPeer struct {
	rpc.Neighbor
	delay          func(model string) time.Duration
	opened, closed atomic.Int64
}

// Reserve implements rpc.Neighbor.
func (p *countingPeer) Reserve(ctx context.Context, in *rpc.ReserveRequest) (*rpc.ReserveResponse, error) {
	select {
	case <-time.After(p.delay(in.GetModel())):
	case <-ctx.Done():
	}
	return &rpc.ReserveResponse{Endpoint: "e"}, nil
}

func serveCounting(t *testing.T, delay func(model string) time.Duration) (*countingPeer, string) {
	t.Helper()
	p := &countingPeer{delay: delay}
	server := httptest.NewUnstartedServer(rpc.NewNeighborServer(p))
	server.Config.ConnState = func(_ net.Conn, state http.ConnState) {
		switch state {
		case http.StateNew:
			p.opened.Add(1)
		case http.StateClosed:
			p.closed.Add(1)
		case http.StateActive, http.StateIdle, http.StateHijacked:
		}
	}
	server.Start()
	t.Cleanup(server.Close)
	return p, server.Listener.Addr().String()
}

// reserve makes one call for a model, and reports whether it was answered in time.
func reserve(client *neighbor.Client, address, model string) bool {
	_, err := client.Reserve(context.Background(), address, fleet.PlacementRequest{Model: model}, neighbor.StreamReport{})
	return err == nil
}

// A dispatcher that answers some calls late loses no sound connections: if all nodes
// connected to it anew, that would keep it busy.
func TestSlowPeerKeepsItsConnections(t *testing.T) {
	p, address := serveCounting(t, func(model string) time.Duration {
		if model == "late" {
			return 300 * time.Millisecond
		}
		return 0
	})
	client := neighbor.NewClient()
	const rounds = 20
	failed := int64(rounds) // on a busy machine also quick calls are late
	for range rounds {
		late := make(chan bool)
		var group sync.WaitGroup
		group.Go(func() { late <- reserve(client, address, "late") })
		for answered := false; !answered; {
			select {
			case answered = <-late:
				require.False(t, answered)
				answered = true
			default:
				if !reserve(client, address, "quick") {
					failed++
				}
			}
		}
		group.Wait()
	}
	require.LessOrEqual(t, p.opened.Load(), failed+2, "each late answer costs its own connection only")
}

// Connections that went silent for good are not used again: after one call without an
// answer, the next ones open new connections.
func TestSilentPeerLosesItsConnections(t *testing.T) {
	var silent atomic.Bool
	p, address := serveCounting(t, func(string) time.Duration {
		if silent.Load() {
			return time.Second
		}
		return 5 * time.Millisecond
	})
	client := neighbor.NewClient()
	var group sync.WaitGroup
	for range 4 {
		group.Go(func() { reserve(client, address, "") })
	}
	group.Wait()
	silent.Store(true)
	require.False(t, reserve(client, address, ""))
	require.Eventually(t, func() bool { return p.closed.Load() == p.opened.Load() }, 2*time.Second, 10*time.Millisecond)
}
