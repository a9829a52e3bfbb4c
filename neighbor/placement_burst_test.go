package neighbor_test

import (
	"context"
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"
	"github.com/twitchtv/twirp"

	"redwinghall"
	"redwinghall/balance"
	"redwinghall/fleet"
	"redwinghall/kernel"
	"redwinghall/neighbor"
	"redwinghall/neighbor/rpc"
	"redwinghall/quarantine"
)

const (
	// targetZones are the zones of the target, targetNodes the nodes of one, and targetHeads the groups of one if each
	// endpoint is a group of its own.
	targetZones = 16
	targetNodes = (360 + targetZones - 1) / targetZones
	targetHeads = (1300 + targetZones - 1) / targetZones
	// requestsANode are the requests for which a node asks at once, and burstWishes what a zone asks another for: models, each
	// by urgencies.
	requestsANode = 10
	burstWishes   = 100
)

// dispatcherHeldUp is how long the node that dispatches is held up, half of what the others wait for its answer.
const dispatcherHeldUp = 20 * time.Millisecond

// nodeLock is held while the node that dispatches decides. Unlike with a sync.Mutex, virtual time passes while others wait for it.
type nodeLock chan struct{}

func (l nodeLock) Lock()   { l <- struct{}{} }
func (l nodeLock) Unlock() { <-l }

// handlerTransport calls a handler in place of a server, so that how fast this machine is doesn't count.
type handlerTransport struct{ handler http.Handler }

func (t handlerTransport) RoundTrip(r *http.Request) (*http.Response, error) {
	w := httptest.NewRecorder()
	t.handler.ServeHTTP(w, r)
	return w.Result(), nil
}

// newBurstHandler returns the handler of a node that dispatches while it has a lock.
func newBurstHandler(mu sync.Locker) http.Handler {
	return neighbor.NewHandler(neighbor.ServerConfig{
		Loads: neighbor.NewLoadTable(), Tracker: balance.NewTracker(), Quarantine: quarantine.NewTable(),
		OnStreams: func(time.Time, fleet.PlacementRequest, neighbor.StreamReport) {},
		Reserve: func(time.Time, fleet.PlacementRequest) (fleet.Placement, bool) {
			mu.Lock() // as the node does
			defer mu.Unlock()
			return fleet.Placement{Endpoint: "e1"}, true
		},
		Permit: func(time.Time, string, balance.LimitReport) balance.Permit {
			mu.Lock()
			defer mu.Unlock()
			return balance.Permit{Given: true}
		},
		Lend: func(_ time.Time, _ string, wish redwinghall.RoomWish) redwinghall.RoomLoan {
			mu.Lock()
			defer mu.Unlock()
			return redwinghall.RoomLoan{Service: wish.Service, Model: wish.Model, Urgency: wish.Urgency, Streams: wish.Streams, Lasts: time.Second}
		},
	})
}

// newBurstClient returns a client of a node that dispatches while it has a lock.
func newBurstClient(mu sync.Locker) rpc.Neighbor {
	return rpc.NewNeighborProtobufClient("http://node", &http.Client{Transport: handlerTransport{newBurstHandler(mu)}})
}

// refusedAtOnce makes so many calls at once while the node that dispatches is held up, and returns how many were refused, by the error.
func refusedAtOnce(t *testing.T, held sync.Locker, callers int, call func(ctx context.Context, caller int) error) map[string]int {
	t.Helper()
	var mu sync.Mutex
	refused := map[string]int{}
	start := make(chan struct{})
	g := kernel.NewGroup(t.Context())
	for i := range callers {
		g.Go("call", func(ctx context.Context) error {
			<-start
			if err := call(ctx, i); err != nil {
				mu.Lock()
				defer mu.Unlock()
				refused[err.Error()]++
			}
			return nil
		})
	}
	held.Lock()
	close(start)
	kernel.Sleep(t.Context(), dispatcherHeldUp)
	held.Unlock()
	require.NoError(t, g.Wait())
	return refused
}

func largePlacementRequest(node, ticket int) *rpc.ReserveRequest {
	in := &rpc.ReserveRequest{Service: "engines", Model: "model-0", PromptTokens: 1000, ObjectiveMs: 400, Node: fmt.Sprint("node-", node), Ticket: uint64(ticket), Settled: 1000} //nolint:gosec // small
	for i := range targetHeads {
		id := fmt.Sprintf("engine-%020d", i)
		in.Loads = append(in.Loads, &rpc.Load{Endpoint: id, Requests: 3, Unstarted: 1, UnreadTokens: 4000})
		if i%10 == 0 {
			in.Shunned, in.InRetryAfter, in.Tried = append(in.Shunned, id), append(in.InRetryAfter, id), append(in.Tried, id)
		}
		in.Open = append(in.Open, uint64(1000+i)) //nolint:gosec // small
	}
	return in
}

// All nodes of a zone ask a new dispatcher for groups at once, and tell all their loads.
func TestPlacementRequestsOfAllNodesAtOnceAreTaken(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		mu := make(nodeLock, 1)
		client := newBurstClient(mu)
		for range 3 {
			require.Empty(t, refusedAtOnce(t, mu, targetNodes*requestsANode, func(ctx context.Context, caller int) error {
				_, err := client.Reserve(ctx, largePlacementRequest(caller%targetNodes, caller))
				return err
			}))
		}
	})
}

// All nodes of a zone ask for permits at once.
func TestPermitsOfAllNodesAtOnceAreTaken(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		mu := make(nodeLock, 1)
		client := newBurstClient(mu)
		require.Empty(t, refusedAtOnce(t, mu, targetNodes*requestsANode, func(ctx context.Context, caller int) error {
			_, err := client.Permit(ctx, &rpc.PermitRequest{Zone: "zone-a", Limit: &rpc.Limit{Endpoint: fmt.Sprintf("engine-%020d", caller), Named: true, PerSecond: 5, AgeUs: 1000}})
			return err
		}))
	})
}

// All zones ask one for loans of all models at once, while all nodes of that one report.
func TestLoansOfAllZonesAtOnceAreGranted(t *testing.T) {
	var mu sync.Mutex
	server := httptest.NewServer(newBurstHandler(&mu))
	t.Cleanup(server.Close)
	address := server.Listener.Addr().String()
	var wishes []redwinghall.RoomWish
	for i := range burstWishes {
		wishes = append(wishes, redwinghall.RoomWish{Service: "engines", Model: fmt.Sprintf("model-%020d", i), Urgency: 2, Objective: time.Second, Streams: 20, Gain: time.Second})
	}
	clients := make([]*neighbor.Client, targetZones)
	for i := range clients {
		clients[i] = neighbor.NewClient()
	}
	require.Empty(t, refusedAtOnce(t, &mu, targetZones-1, func(ctx context.Context, caller int) error {
		loans, err := clients[caller].Lend(ctx, address, fmt.Sprint("zone-", caller), wishes)
		if err == nil && len(loans) != burstWishes {
			err = twirp.InternalError(fmt.Sprintf("%d loans", len(loans)))
		}
		return err
	}))
}

// A request for a group waited for memory for longer than its sender for the answer, and a group was chosen for nobody.
func TestNoGroupIsChosenForASenderThatHasGone(t *testing.T) {
	t.Parallel()
	const holders, holderBytes, requestBytes = 21, 31 << 10, 32400 // together more than short requests may take
	held, release := make(chan struct{}, holders), make(chan struct{})
	var chosen atomic.Int64
	server := httptest.NewServer(neighbor.NewHandler(neighbor.ServerConfig{
		SuspectGroup: func(context.Context, string) bool { held <- struct{}{}; <-release; return false },
		Reserve: func(time.Time, fleet.PlacementRequest) (fleet.Placement, bool) {
			chosen.Add(1)
			return fleet.Placement{Endpoint: "e1"}, true
		},
	}))
	t.Cleanup(server.Close)
	address, client := server.Listener.Addr().String(), neighbor.NewClient()
	g := kernel.NewGroup(t.Context())
	for range holders {
		g.Go("hold", func(ctx context.Context) error {
			_, err := client.SuspectGroup(ctx, address, strings.Repeat("x", holderBytes))
			return err
		})
	}
	for range holders {
		<-held
	}
	_, err := client.Reserve(t.Context(), address, fleet.PlacementRequest{Account: strings.Repeat("x", requestBytes)}, neighbor.StreamReport{})
	require.Error(t, err)
	kernel.Sleep(t.Context(), 50*time.Millisecond)
	close(release)
	require.NoError(t, g.Wait())
	kernel.Sleep(t.Context(), 50*time.Millisecond)
	require.Zero(t, chosen.Load())
}
