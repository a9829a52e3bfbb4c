package neighbor_test

import (
	"context"
	"fmt"
	"net"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"redwinghall"
	"redwinghall/balance"
	"redwinghall/fleet"
	"redwinghall/neighbor"
	"redwinghall/relay"
)

// other is another node behind a real connection.
type other struct {
	mirror    *relay.Mirror
	board     *neighbor.LoadTable
	suspected []string
	commits   []fleet.Txn
	commitErr error
	requests  []fleet.PlacementRequest
	settled   map[string]uint64
	ignorant  bool
	limits    *balance.Tracker
}

func serve(t *testing.T) (*other, *neighbor.Client, string) {
	t.Helper()
	o := &other{mirror: relay.NewMirror(nil), board: neighbor.NewLoadTable(), settled: map[string]uint64{}, limits: balance.NewTracker()}
	server := httptest.NewServer(neighbor.NewHandler(neighbor.ServerConfig{
		Mirror: func(string) *relay.Mirror { return o.mirror }, Loads: o.board,
		Suspect: func(_ context.Context, id string) { o.suspected = append(o.suspected, id) },
		OnLoads: func(_ time.Time, node string, settled uint64) { o.settled[node] = settled },
		Reserve: func(_ time.Time, request fleet.PlacementRequest) (fleet.Placement, bool) {
			o.requests = append(o.requests, request)
			return fleet.Placement{Endpoint: "e1", Predicted: 123 * time.Millisecond, AlternativeZone: "b", Permitted: true, LimitedFor: 70 * time.Millisecond}, !o.ignorant
		},
		Limits: o.limits,
		Permit: func(now time.Time, zone string, known balance.LimitWord) balance.Permit {
			return o.limits.Lend(now, known, balance.LenderShare(len(zone)))
		},
		Commit: func(_ context.Context, txn fleet.Txn) (fleet.Position, error) {
			o.commits = append(o.commits, txn)
			return fleet.Position{Era: 2, Version: 9}, o.commitErr
		},
	}))
	t.Cleanup(server.Close)
	return o, neighbor.NewClient(), server.Listener.Addr().String()
}

func TestRows(t *testing.T) {
	o, client, address := serve(t)
	ctx := context.Background()
	_, err := client.List(ctx, address, "t")
	require.Equal(t, fleet.StoreUnavailable, redwinghall.KindOf[fleet.StoreKind](err), "it has read nothing yet")
	rows := []fleet.Row{{Table: "t", Key: "a", Value: []byte{0, 1}, Version: 4}, {Table: "t", Key: "b", Version: 6, Removed: true}}
	o.mirror.ApplyList(time.Now(), fleet.Rows{At: fleet.Position{Version: 5}, Rows: rows[:1]})
	o.mirror.ApplyChanges(time.Now(), fleet.Position{Version: 5}, fleet.Rows{At: fleet.Position{Version: 6}, Rows: rows[1:]})
	list, err := client.List(ctx, address, "t")
	require.NoError(t, err)
	require.Equal(t, rows[:1], list.Rows.Rows)
	changes, err := client.Changes(ctx, address, "t", fleet.Position{Version: 5}, time.Second)
	require.NoError(t, err)
	require.Equal(t, rows[1:], changes.Rows.Rows)
	require.Equal(t, int64(6), changes.Rows.At.Version)
	_, err = client.Changes(ctx, address, "t", fleet.Position{Version: 1}, time.Second)
	require.Equal(t, fleet.StoreHistoryGone, redwinghall.KindOf[fleet.StoreKind](err))
}

// All nodes start at once, and the reader's link is full of whole tables: many rows travel
// compressed, and arrive as they are. A table that changed is compressed anew.
func TestManyRowsTravelCompressed(t *testing.T) {
	o, client, address := serve(t)
	var rows []fleet.Row
	for i := range 880 {
		rows = append(rows, fleet.Row{Table: "t", Key: fmt.Sprint("i-", 1000+i), Value: []byte(strings.Repeat(`{"service":"llm"}`, 25)), Version: int64(i + 1)})
	}
	o.mirror.ApplyList(time.Now(), fleet.Rows{At: fleet.Position{Version: 900}, Rows: rows})
	for range 2 {
		list, err := client.List(context.Background(), address, "t")
		require.NoError(t, err)
		require.Equal(t, rows, list.Rows.Rows)
	}
	change := fleet.Row{Table: "t", Key: "i-1000", Value: []byte("new"), Version: 901}
	o.mirror.ApplyChanges(time.Now(), fleet.Position{Version: 900}, fleet.Rows{At: fleet.Position{Version: 901}, Rows: []fleet.Row{change}})
	list, err := client.List(context.Background(), address, "t")
	require.NoError(t, err)
	require.Equal(t, append(rows[1:], change), list.Rows.Rows)
	require.Equal(t, int64(901), list.Rows.At.Version)
}

func TestCommit(t *testing.T) {
	o, client, address := serve(t)
	txn := fleet.Txn{
		Expects: []fleet.Expect{{Table: "t", Key: "k", Version: 3}},
		Writes:  []fleet.Row{{Table: "t", Key: "k", Value: []byte("v")}},
		Deletes: []fleet.Row{{Table: "t", Key: "d"}},
	}
	version, err := client.Commit(context.Background(), address, txn)
	require.NoError(t, err)
	require.Equal(t, fleet.Position{Era: 2, Version: 9}, version)
	require.Equal(t, []fleet.Txn{txn}, o.commits)
	for _, kind := range []fleet.StoreKind{fleet.StoreConflict, fleet.StoreUnavailable, fleet.StoreOutcomeUnknown} {
		o.commitErr = redwinghall.NewOpError("test", kind, nil)
		_, err = client.Commit(context.Background(), address, txn)
		require.Equal(t, kind, redwinghall.KindOf[fleet.StoreKind](err), "what is known of the outcome must not change on the way")
	}
}

func TestReserve(t *testing.T) {
	o, client, address := serve(t)
	request := fleet.PlacementRequest{Service: "llm", Model: "large", Prompt: 1500, Objective: 400 * time.Millisecond, Tried: []string{"e7"}, Resumed: true,
		InBackoff: []string{"e8"}, Node: "n1", Ticket: 17}
	placement, err := client.Reserve(context.Background(), address, request)
	require.NoError(t, err)
	require.Equal(t, fleet.Placement{Endpoint: "e1", Predicted: 123 * time.Millisecond, AlternativeZone: "b", Permitted: true, LimitedFor: 70 * time.Millisecond}, placement)
	require.Equal(t, []fleet.PlacementRequest{request}, o.requests)
	o.ignorant = true
	_, err = client.Reserve(context.Background(), address, request)
	require.Error(t, err, "a node that knows too little must not pass for a full zone")
}

// The other zone was cut off: the caller must not wait for its word for long.
func TestReserveGivesUpSoon(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	defer func() { require.NoError(t, listener.Close()) }()
	started := time.Now()
	_, err = neighbor.NewClient().Reserve(context.Background(), listener.Addr().String(), fleet.PlacementRequest{})
	require.Error(t, err)
	require.Less(t, time.Since(started), 2*time.Second, "a bound that a busy machine keeps too")
}

// What one node knows of a limit reaches the others with its loads, and a permit's answer
// brings what the one that lends knows.
func TestLimitsTravel(t *testing.T) {
	o, client, address := serve(t)
	ctx := context.Background()
	two := balance.LimitWord{Endpoint: "e1", Limit: fleet.RateLimit{Named: true, PerSecond: 2}, Age: 10 * time.Millisecond}
	shared, err := client.Share(ctx, address, neighbor.LoadReport{Node: "n1", Limits: []balance.LimitWord{two}})
	require.NoError(t, err)
	require.Len(t, shared.Limits, 1)
	require.Equal(t, two.Limit, shared.Limits[0].Limit)
	require.GreaterOrEqual(t, shared.Limits[0].Age, two.Age)
	one := balance.LimitWord{Endpoint: "e2", Limit: fleet.RateLimit{Named: true, PerSecond: 1}}
	require.NoError(t, client.ShareZone(ctx, address, "zone-b", nil, []balance.LimitWord{one}))
	shared, err = client.Share(ctx, address, neighbor.LoadReport{Node: "n2", WithLimits: true})
	require.NoError(t, err)
	require.Len(t, shared.Limits, 2)
	permit, err := client.Permit(ctx, address, "b", balance.LimitWord{Endpoint: "e1", Limit: one.Limit, Age: time.Minute})
	require.NoError(t, err)
	require.False(t, permit.Given, "none is saved up when a limit begins")
	require.Positive(t, permit.Wait)
	require.Equal(t, two.Limit, permit.Limit.Limit, "the newest word counts")
	permit, err = client.Permit(ctx, address, "b", balance.LimitWord{Endpoint: "free"})
	require.NoError(t, err)
	require.True(t, permit.Given)
	require.Len(t, o.limits.Limits(time.Now()), 2)
}

func TestSharesLoadsAndSuspicions(t *testing.T) {
	o, client, address := serve(t)
	ctx := context.Background()
	o.board.SetNode(time.Now(), "n2", map[string]balance.Load{"e1": {Requests: 3, Unstarted: 1, Unread: 500}})
	require.NoError(t, client.ShareZone(ctx, address, "zone-b", map[string]balance.Load{"e1": {Requests: 2}, "e2": {Requests: 1}}, nil))
	word := neighbor.LoadReport{Node: "n1", Loads: map[string]balance.Load{"e1": {Requests: 7}}, Settled: 12, WithOthers: true, WithZones: true}
	shared, err := client.Share(ctx, address, word)
	require.Equal(t, uint64(12), o.settled["n1"])
	require.NoError(t, err)
	require.Equal(t, map[string]balance.Load{"e1": {Requests: 3, Unstarted: 1, Unread: 500}}, shared.Others)
	require.Equal(t, map[string]balance.Load{"e1": {Requests: 2}, "e2": {Requests: 1}}, shared.Zones)
	shared, err = client.Share(ctx, address, neighbor.LoadReport{Node: word.Node, Loads: word.Loads})
	require.NoError(t, err)
	require.Empty(t, shared.Zones, "they are many, and asked for now and then")
	require.Empty(t, shared.Others, "a node that doesn't choose itself seldom asks for them")
	require.Equal(t, 10, o.board.SumOfZone(time.Now())["e1"].Requests, "the zone's own nodes only")
	require.Empty(t, o.board.SumOfOthers(time.Now().Add(time.Minute), ""), "old words don't count")
	require.Empty(t, o.board.SumOfOtherZones(time.Now().Add(time.Minute)))

	require.NoError(t, client.Suspect(ctx, address, "e1"))
	require.Equal(t, []string{"e1"}, o.suspected)
}
