package neighbor_test

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"redwinghall"
	"redwinghall/balance"
	"redwinghall/fleet"
	"redwinghall/neighbor"
	"redwinghall/quarantine"
	"redwinghall/relay"
)

// remoteNode is a fake node that is called over a real connection.
type remoteNode struct {
	mirror     *relay.Mirror
	loads      *neighbor.LoadTable
	suspected  []string
	commits    []fleet.Txn
	commitErr  error
	requests   []fleet.PlacementRequest
	streams    []neighbor.StreamReport
	tickets    map[string]uint64 // lowest open ticket by node
	uninformed bool
	tracker    *balance.Tracker
	quarantine *quarantine.Table
	uses       map[string][]redwinghall.AccountUse // as told, by node or zone
}

func serve(t *testing.T) (*remoteNode, *neighbor.Client, string) {
	t.Helper()
	o := &remoteNode{mirror: relay.NewMirror(nil), loads: neighbor.NewLoadTable(), tickets: map[string]uint64{}, tracker: balance.NewTracker(), quarantine: quarantine.NewTable(),
		uses: map[string][]redwinghall.AccountUse{}}
	server := httptest.NewServer(neighbor.NewHandler(neighbor.ServerConfig{
		Mirror: func(string) *relay.Mirror { return o.mirror }, Loads: o.loads,
		Suspect: func(_ context.Context, id string) { o.suspected = append(o.suspected, id) },
		OnLoads: func(now time.Time, node string, loads map[string]balance.Load, lowestOpenTicket uint64) {
			o.loads.SetNode(now, node, loads)
			o.tickets[node] = lowestOpenTicket
		},
		Reserve: func(_ time.Time, request fleet.PlacementRequest) (fleet.Placement, bool) {
			o.requests = append(o.requests, request)
			return fleet.Placement{Endpoint: "e1", Predicted: 123 * time.Millisecond, AlternativeZone: "b", Permitted: true, LimitedFor: 70 * time.Millisecond}, !o.uninformed
		},
		OnStreams: func(_ time.Time, _ fleet.PlacementRequest, streams neighbor.StreamReport) {
			o.streams = append(o.streams, streams)
		},
		Tracker: o.tracker, Quarantine: o.quarantine,
		OnUses:  func(_ time.Time, from string, _ bool, uses []redwinghall.AccountUse) { o.uses[from] = uses },
		UsesFor: func(_ time.Time, node string) []redwinghall.AccountUse { return o.uses["not "+node] },
		OnLeaving: func(now time.Time, _ string, reports []balance.LeavingReport) {
			o.tracker.MergeLeaving(now, reports...)
		},
		Permit: func(now time.Time, zone string, known balance.LimitReport) balance.Permit {
			return o.tracker.IssuePermit(now, known, balance.PermitShare(len(zone)))
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
	require.Equal(t, fleet.StoreUnavailable, redwinghall.KindOf[fleet.StoreKind](err), "the table was never read")
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

// When all nodes start at once, sending full tables saturates the reader's network link.
// Large responses are compressed, arrive unchanged, and are compressed again after a change.
func TestLargeListsAreCompressed(t *testing.T) {
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

// Guards against a list from before the store was restored, with the position of the restored store: a version that both
// eras have is another list in each.
func TestCompressedListIsOfItsEra(t *testing.T) {
	o, client, address := serve(t)
	rowsOf := func(value string) []fleet.Row {
		var rows []fleet.Row
		for i := range 60 {
			rows = append(rows, fleet.Row{Table: "t", Key: fmt.Sprint("i-", 1000+i), Value: []byte(value), Version: int64(i + 1)})
		}
		return rows
	}
	for era, value := range []string{"before", "after"} {
		rows := rowsOf(value)
		o.mirror.ApplyList(time.Now(), fleet.Rows{At: fleet.Position{Era: int64(era + 1), Version: 60}, Rows: rows})
		list, err := client.List(context.Background(), address, "t")
		require.NoError(t, err)
		require.Equal(t, rows, list.Rows.Rows, value)
		require.Equal(t, int64(era+1), list.Rows.At.Era)
	}
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
		require.Equal(t, kind, redwinghall.KindOf[fleet.StoreKind](err), "the kind of error must survive the call")
	}
}

func TestReserve(t *testing.T) {
	o, client, address := serve(t)
	request := fleet.PlacementRequest{Service: "llm", Model: "large", Prompt: 1500, Objective: 400 * time.Millisecond, Tried: []string{"e7"}, Resumed: true,
		InBackoff: []string{"e8"}, InRetryAfter: []string{"e9"}, Node: "n1", Ticket: 17, Left: 1500 * time.Millisecond}
	streams := neighbor.StreamReport{Loads: map[string]balance.Load{"e1": {Requests: 2, Unread: 700}, "e2": {}}, Settled: balance.Settled{Below: 18, Open: []uint64{15, 17}}}
	placement, err := client.Reserve(context.Background(), address, request, streams)
	require.NoError(t, err)
	require.Equal(t, fleet.Placement{Endpoint: "e1", Predicted: 123 * time.Millisecond, AlternativeZone: "b", Permitted: true, LimitedFor: 70 * time.Millisecond}, placement)
	require.Equal(t, []fleet.PlacementRequest{request}, o.requests)
	require.Equal(t, []neighbor.StreamReport{streams}, o.streams)
	o.uninformed = true
	_, err = client.Reserve(context.Background(), address, request, neighbor.StreamReport{})
	require.Error(t, err, "a node that lacks the information must not be taken for a zone without room")
}

// A node that was installed earlier says nothing about its streams with a request. What
// it reported must stand.
func TestReserveOfANodeThatTellsNoStreams(t *testing.T) {
	o, client, address := serve(t)
	_, err := client.Reserve(context.Background(), address, fleet.PlacementRequest{Node: "n1", Ticket: 3}, neighbor.StreamReport{})
	require.NoError(t, err)
	require.Empty(t, o.streams)
}

// A node's loads that come with its requests replace those of its report, and a request
// that was overtaken must not bring back streams that have ended.
func TestLoadsOfRequestsReplaceThoseOfReports(t *testing.T) {
	table, now := neighbor.NewLoadTable(), time.Unix(100, 0)
	two, one := balance.Load{Requests: 2, Unstarted: 1, Unread: 300}, balance.Load{Requests: 1}
	table.SetNode(now, "n1", map[string]balance.Load{"e1": two, "e2": one})
	table.SetNode(now, "n2", map[string]balance.Load{"e1": one})
	require.Equal(t, map[string]balance.Load{"e1": {Requests: -1, Unstarted: -1, Unread: -300}, "e2": {Requests: -1}},
		table.MergeNode(now, "n1", 7, map[string]balance.Load{"e1": one, "e2": {}}))
	require.Equal(t, balance.Load{Requests: 2}, table.SumOfZone(now)["e1"])
	require.Empty(t, table.MergeNode(now, "n1", 6, map[string]balance.Load{"e1": two}), "overtaken")
	require.Empty(t, table.MergeNode(now, "n1", 8, map[string]balance.Load{"e1": one}), "unchanged")
	require.Equal(t, balance.Load{Requests: 2}, table.SumOfZone(now)["e1"])
	table.SetNode(now, "n1", map[string]balance.Load{"e1": one})
	require.Empty(t, table.MergeNode(now, "n1", 1, map[string]balance.Load{"e1": one}))
	require.Equal(t, map[string]balance.Load{"e1": {Requests: -1}}, table.MergeNode(now, "n1", 2, map[string]balance.Load{"e1": {}}), "the node restarted and reported")
	later := now.Add(2 * time.Second)
	require.Empty(t, table.MergeNode(later, "n1", 1, map[string]balance.Load{"e1": one}), "its loads had expired")
	require.Equal(t, map[string]balance.Load{"e1": one}, table.SumOfZone(later))
}

// A node becomes the dispatcher and has the sum of the others' loads from the last one. Their
// requests tell the same loads; counted twice, groups would look full.
func TestNewDispatcherCountsNoLoadTwice(t *testing.T) {
	table, now := neighbor.NewLoadTable(), time.Unix(100, 0)
	two := map[string]balance.Load{"e1": {Requests: 2}}
	require.Empty(t, table.MergeNode(now, "n1", 7, two))
	require.Equal(t, two, table.SumOfZone(now))
	require.Equal(t, map[string]balance.Load{"e1": {Requests: 1}}, table.MergeNode(now, "n1", 8, map[string]balance.Load{"e1": {Requests: 3}}))
}

// A node of another zone doesn't respond because the network is partitioned: the caller must
// not wait for it longer than reserveTimeout.
func TestReserveTimesOut(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	defer func() { require.NoError(t, listener.Close()) }()
	started := time.Now()
	_, err = neighbor.NewClient().Reserve(context.Background(), listener.Addr().String(), fleet.PlacementRequest{}, neighbor.StreamReport{})
	require.Error(t, err)
	require.Less(t, time.Since(started), 2*time.Second, "the bound allows for a busy machine")
}

// A node sends its limits together with its loads, and the response to a permit request
// carries the limit that applies at the other node.
func TestLimitsArePassedOn(t *testing.T) {
	o, client, address := serve(t)
	ctx := context.Background()
	two := balance.LimitReport{Endpoint: "e1", Limit: fleet.RateLimit{Named: true, PerSecond: 2}, Age: 10 * time.Millisecond}
	shared, err := client.Share(ctx, address, neighbor.LoadReport{Node: "n1", Limits: []balance.LimitReport{two}})
	require.NoError(t, err)
	require.Len(t, shared.Limits, 1)
	require.Equal(t, two.Limit, shared.Limits[0].Limit)
	require.GreaterOrEqual(t, shared.Limits[0].Age, two.Age)
	one := balance.LimitReport{Endpoint: "e2", Limit: fleet.RateLimit{Named: true, PerSecond: 1}}
	_, err = client.ShareZone(ctx, address, neighbor.ZoneReport{Zone: "zone-b", Limits: []balance.LimitReport{one}})
	require.NoError(t, err)
	shared, err = client.Share(ctx, address, neighbor.LoadReport{Node: "n2", WithLimits: true})
	require.NoError(t, err)
	require.Len(t, shared.Limits, 2)
	permit, err := client.Permit(ctx, address, "b", balance.LimitReport{Endpoint: "e1", Limit: one.Limit, Age: time.Minute})
	require.NoError(t, err)
	require.False(t, permit.Given, "no permits are saved up when a limit takes effect")
	require.Positive(t, permit.Wait)
	require.Equal(t, two.Limit, permit.Limit.Limit, "the most recent limit applies")
	permit, err = client.Permit(ctx, address, "b", balance.LimitReport{Endpoint: "free"})
	require.NoError(t, err)
	require.True(t, permit.Given)
	require.Len(t, o.tracker.Limits(time.Now()), 2)
}

// Reports of rejecting endpoints reach the nodes of this zone and the other zones, and
// end with their cause: what other zones report is not passed on to zones.
func TestRejectingEndpointsAreReported(t *testing.T) {
	o, client, address := serve(t)
	ctx := context.Background()
	_, err := client.Share(ctx, address, neighbor.LoadReport{Node: "n1", Rejecting: []string{"e1"}})
	require.NoError(t, err)
	_, err = client.ShareZone(ctx, address, neighbor.ZoneReport{Zone: "zone-b", Rejecting: []string{"e2"}})
	require.NoError(t, err)
	shared, err := client.Share(ctx, address, neighbor.LoadReport{Node: "n2"})
	require.NoError(t, err)
	require.ElementsMatch(t, []string{"e1", "e2"}, shared.Rejecting)
	require.Equal(t, []string{"e1"}, o.tracker.RejectingZone(time.Now()))
	require.Empty(t, o.tracker.RejectingNode(time.Now()))
	require.Empty(t, o.tracker.Rejecting(time.Now().Add(2*time.Second)))
}

// Reports of leaving endpoints reach the nodes of this zone and the other zones.
func TestLeavingEndpointsAreReported(t *testing.T) {
	_, client, address := serve(t)
	ctx := context.Background()
	one, two := balance.LeavingReport{Endpoint: "e1", StartedMillis: 7}, balance.LeavingReport{Endpoint: "e2", StartedMillis: 8}
	_, err := client.Share(ctx, address, neighbor.LoadReport{Node: "n1", Leaving: []balance.LeavingReport{one}})
	require.NoError(t, err)
	_, err = client.ShareZone(ctx, address, neighbor.ZoneReport{Zone: "zone-b", Leaving: []balance.LeavingReport{two}})
	require.NoError(t, err)
	shared, err := client.Share(ctx, address, neighbor.LoadReport{Node: "n2"})
	require.NoError(t, err)
	require.ElementsMatch(t, []balance.LeavingReport{one, two}, shared.Leaving)
}

func TestShareAndSuspect(t *testing.T) {
	o, client, address := serve(t)
	ctx := context.Background()
	o.loads.SetNode(time.Now(), "n2", map[string]balance.Load{"e1": {Requests: 3, Unstarted: 1, Unread: 500}})
	_, err := client.ShareZone(ctx, address, neighbor.ZoneReport{Zone: "zone-b", Loads: map[string]balance.Load{"e1": {Requests: 2}, "e2": {Requests: 1}}})
	require.NoError(t, err)
	report := neighbor.LoadReport{Node: "n1", Loads: map[string]balance.Load{"e1": {Requests: 7}}, LowestOpenTicket: 12, WithOthers: true, WithZones: true}
	shared, err := client.Share(ctx, address, report)
	require.Equal(t, uint64(12), o.tickets["n1"])
	require.NoError(t, err)
	require.Equal(t, map[string]balance.Load{"e1": {Requests: 3, Unstarted: 1, Unread: 500}}, shared.Others)
	require.Equal(t, map[string]balance.Load{"e1": {Requests: 2}, "e2": {Requests: 1}}, shared.Zones)
	shared, err = client.Share(ctx, address, neighbor.LoadReport{Node: report.Node, Loads: report.Loads})
	require.NoError(t, err)
	require.Empty(t, shared.Zones, "the loads from other zones are many and sent only on request")
	require.Empty(t, shared.Others, "a node that doesn't choose groups itself rarely requests these")
	require.Equal(t, 10, o.loads.SumOfZone(time.Now())["e1"].Requests, "only the nodes of the zone itself")
	require.Empty(t, o.loads.SumOfOthers(time.Now().Add(time.Minute), ""), "old reports are left out")
	require.Empty(t, o.loads.SumOfOtherZones(time.Now().Add(time.Minute)))

	require.NoError(t, client.Suspect(ctx, address, "e1"))
	require.Equal(t, []string{"e1"}, o.suspected)
}

// The uses of client accounts are reported to the collecting node and to other zones, and returned
// with the loads of the other nodes.
func TestUsesOfAccountsAreShared(t *testing.T) {
	o, client, address := serve(t)
	ctx := context.Background()
	use := redwinghall.AccountUse{Service: "llm", Model: "m", Account: "x", Urgency: 2, Asked: 1500 * time.Millisecond, Given: time.Second}
	_, err := client.ShareZone(ctx, address, neighbor.ZoneReport{Zone: "zone-b", Uses: []redwinghall.AccountUse{use}})
	require.NoError(t, err)
	_, err = client.Share(ctx, address, neighbor.LoadReport{Node: "n1", Uses: []redwinghall.AccountUse{use, use}})
	require.NoError(t, err)
	require.Equal(t, map[string][]redwinghall.AccountUse{"zone-b": {use}, "n1": {use, use}}, o.uses)
	o.uses["not n1"] = []redwinghall.AccountUse{use}
	shared, err := client.Share(ctx, address, neighbor.LoadReport{Node: "n1", WithOthers: true})
	require.NoError(t, err)
	require.Equal(t, []redwinghall.AccountUse{use}, shared.Uses)
	shared, err = client.Share(ctx, address, neighbor.LoadReport{Node: "n1"})
	require.NoError(t, err)
	require.Empty(t, shared.Uses)
}

// A zone asks another one for room, and gets what that one lends; wishes that it doesn't grant
// have no loan.
func TestLend(t *testing.T) {
	wishes := []redwinghall.RoomWish{
		{Service: "llm", Model: "large", Urgency: 1, Objective: 300 * time.Millisecond, Streams: 20, Gain: 250 * time.Millisecond},
		{Service: "llm", Model: "small", Streams: 7},
	}
	want := redwinghall.RoomLoan{Service: "llm", Model: "large", Urgency: 1, Streams: 12, Lasts: 1500 * time.Millisecond}
	var asked []redwinghall.RoomWish
	server := httptest.NewServer(neighbor.NewHandler(neighbor.ServerConfig{
		Lend: func(_ time.Time, borrower string, wish redwinghall.RoomWish) redwinghall.RoomLoan {
			require.Equal(t, "a", borrower)
			asked = append(asked, wish)
			if wish.Model == "large" {
				return want
			}
			return redwinghall.RoomLoan{}
		},
	}))
	defer server.Close()
	loans, err := neighbor.NewClient().Lend(context.Background(), server.Listener.Addr().String(), "a", wishes)
	require.NoError(t, err)
	require.Equal(t, []redwinghall.RoomLoan{want}, loans)
	require.Equal(t, wishes, asked)
}

// A node of a version that doesn't know of loans must answer with an error, and not like a zone
// that lends nothing.
func TestLendAtOlderNode(t *testing.T) {
	server := httptest.NewServer(http.NotFoundHandler())
	defer server.Close()
	_, err := neighbor.NewClient().Lend(context.Background(), server.Listener.Addr().String(), "a", nil)
	require.Error(t, err)
}
