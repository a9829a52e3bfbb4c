package relay_test

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"redwinghall"
	"redwinghall/fleet"
	"redwinghall/relay"
)

var errDown = errors.New("down")

func noEquality(string) relay.EqualValues { return nil }

func row(key string, version int64) fleet.Row {
	return fleet.Row{Table: "t", Key: key, Value: []byte(key), Version: version}
}

func keys(rows []fleet.Row) []string {
	var out []string
	for _, r := range rows {
		out = append(out, r.Key)
	}
	return out
}

func TestMirror(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		m := relay.NewMirror(nil)
		_, err := m.List(context.Background())
		require.Equal(t, fleet.StoreUnavailable, redwinghall.KindOf[fleet.StoreKind](err), "the table was never read")
		m.ApplyList(time.Now(), fleet.Rows{At: fleet.Position{Version: 10}, Rows: []fleet.Row{row("a", 3), row("b", 4)}})
		gone := row("a", 12)
		gone.Removed = true
		m.ApplyChanges(time.Now(), fleet.Position{Version: 10}, fleet.Rows{At: fleet.Position{Version: 12}, Rows: []fleet.Row{gone, row("c", 11)}})
		list, err := m.List(context.Background())
		require.NoError(t, err)
		require.Equal(t, []string{"b", "c"}, keys(list.Rows.Rows))
		changes, err := m.Changes(context.Background(), fleet.Position{Version: 10}, time.Second)
		require.NoError(t, err)
		require.Equal(t, []string{"c", "a"}, keys(changes.Rows.Rows), "in the order of their versions, including removals")
		_, err = m.Changes(context.Background(), fleet.Position{Version: 9}, time.Second)
		require.Equal(t, fleet.StoreHistoryGone, redwinghall.KindOf[fleet.StoreKind](err), "changes before the list are not available")
	})
}

// Endpoints rewrite their entries without new values, and passing those writes on would
// load all nodes of a zone. Changes reports only rows with a new value, and the position
// advances nevertheless.
func TestMirrorReportsOnlyNewValues(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		m := relay.NewMirror(bytes.Equal)
		m.ApplyList(time.Now(), fleet.Rows{At: fleet.Position{Version: 10}, Rows: []fleet.Row{row("a", 3), row("b", 4)}})
		again, other := row("a", 11), row("b", 12)
		other.Value = []byte("changed")
		updates := m.ApplyChanges(time.Now(), fleet.Position{Version: 10}, fleet.Rows{At: fleet.Position{Version: 12}, Rows: []fleet.Row{again, other}})
		require.Equal(t, []string{"b"}, keys(updates.Rows))
		changes, err := m.Changes(context.Background(), fleet.Position{Version: 10}, time.Second)
		require.NoError(t, err)
		require.Equal(t, []string{"b"}, keys(changes.Rows.Rows))
		require.Equal(t, int64(12), changes.Rows.At.Version)

		started := time.Now()
		m.ApplyChanges(time.Now(), fleet.Position{Version: 12}, fleet.Rows{At: fleet.Position{Version: 13}, Rows: []fleet.Row{row("a", 13)}})
		changes, err = m.Changes(context.Background(), fleet.Position{Version: 12}, 500*time.Millisecond)
		require.NoError(t, err)
		require.Empty(t, changes.Rows.Rows)
		require.Equal(t, 500*time.Millisecond, time.Since(started), "the wait is not ended early")

		gone := row("a", 14)
		gone.Removed = true
		m.ApplyChanges(time.Now(), fleet.Position{Version: 13}, fleet.Rows{At: fleet.Position{Version: 14}, Rows: []fleet.Row{gone}})
		updates = m.ApplyChanges(time.Now(), fleet.Position{Version: 14}, fleet.Rows{At: fleet.Position{Version: 15}, Rows: []fleet.Row{row("a", 15)}})
		require.Equal(t, []string{"a"}, keys(updates.Rows), "a row that was removed and added again is reported")
	})
}

// A gap in the changes is never filled later: nodes that read from the mirror would miss rows.
func TestMirrorWithAGapReturnsErrors(t *testing.T) {
	m := relay.NewMirror(nil)
	m.ApplyList(time.Now(), fleet.Rows{At: fleet.Position{Version: 10}})
	m.ApplyChanges(time.Now(), fleet.Position{Version: 20}, fleet.Rows{At: fleet.Position{Version: 21}, Rows: []fleet.Row{row("x", 21)}})
	_, err := m.List(context.Background())
	require.Error(t, err)
	require.False(t, m.Continues(fleet.Position{Version: 21}))
}

// A node that waits at a reader without a connection to the store would go on accepting a
// revoked API key. The wait must end as soon as the reader notices, and if it doesn't
// notice, before its copy is stale.
func TestMirrorEndsWaitsWhenTheStoreIsUnreachable(t *testing.T) {
	for name, lose := range map[string]bool{"lost": true, "silent": false} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				m := relay.NewMirror(nil)
				m.ApplyList(time.Now(), fleet.Rows{At: fleet.Position{Version: 10}})
				started := time.Now()
				if lose {
					time.AfterFunc(100*time.Millisecond, m.SetStoreUnreachable)
				}
				_, err := m.Changes(context.Background(), fleet.Position{Version: 10}, 5*time.Second)
				require.Equal(t, fleet.StoreUnreachable, redwinghall.KindOf[fleet.StoreKind](err))
				require.Less(t, time.Since(started), 1500*time.Millisecond)
			})
		})
	}
}

// Most VMs of a zone are small, and a hash alone would usually assign the zone's roles to
// them, which delays their callers. All nodes compute the same order, and the two roles
// are assigned to different VMs of the highest class.
func TestRankPeersPutsLargeVMsFirst(t *testing.T) {
	var peers []relay.Peer
	for i := range 40 {
		peers = append(peers, relay.Peer{Name: fmt.Sprint("n", i), Capacity: -2})
	}
	for _, i := range []int{7, 19, 33} {
		peers[i].Capacity = 0
	}
	firsts := map[string]bool{}
	for _, role := range []relay.Role{relay.Reader, relay.Dispatcher} {
		ranked := relay.RankPeers(peers, role)
		for _, one := range ranked[:3] {
			require.Zero(t, one.Capacity)
		}
		firsts[ranked[0].Name] = true
		slices.Reverse(peers)
		require.Equal(t, ranked, relay.RankPeers(peers, role))
		var rest []relay.Peer
		for _, one := range peers {
			if one.Capacity < 0 {
				rest = append(rest, one)
			}
		}
		require.Equal(t, ranked[3:], relay.RankPeers(rest, role), "without the large VMs, the others keep their order")
	}
	require.Len(t, firsts, 2)
}

// The backoff of a node grows with each failure and is reset by a success.
func TestPeerBackoff(t *testing.T) {
	a := relay.NewPeerBackoff(time.Second, 3*time.Second)
	now, peers := time.Unix(100, 0), []relay.Peer{{Name: "x"}, {Name: "y"}}
	first := func(at time.Time) string {
		one, _ := a.FirstAvailable(at, peers)
		return one.Name
	}
	require.Equal(t, "x", first(now))
	a.RecordFailure(now, "x")
	a.RecordFailure(now.Add(10*time.Millisecond), "x")
	require.Equal(t, "y", first(now.Add(900*time.Millisecond)))
	require.Equal(t, "x", first(now.Add(1100*time.Millisecond)), "concurrent failures count once")
	a.RecordFailure(now.Add(2*time.Second), "x")
	require.Equal(t, "y", first(now.Add(3900*time.Millisecond)))
	a.RecordSuccess("x")
	a.RecordFailure(now.Add(10*time.Second), "x")
	require.Equal(t, "x", first(now.Add(11100*time.Millisecond)))
}

// store is a fake store that counts calls and can be made to fail.
type store struct {
	historyGone  bool // the requested changes are no longer available
	down         bool
	calls        int
	commits      int
	rows         fleet.Rows
	commitErrors fleet.StoreKind
}

func (s *store) List(context.Context, string) (fleet.Rows, error) {
	s.calls++
	if s.down {
		return fleet.Rows{}, redwinghall.NewOpError("store.List", fleet.StoreUnavailable, errDown)
	}
	return s.rows, nil
}

func (s *store) Changes(context.Context, string, fleet.Position, time.Duration) (fleet.Rows, error) {
	if s.historyGone {
		return fleet.Rows{}, redwinghall.NewOpError("store.Changes", fleet.StoreHistoryGone, nil)
	}
	return s.List(context.Background(), "")
}

func (s *store) Commit(context.Context, fleet.Txn) (fleet.Position, error) {
	s.commits++
	if s.commitErrors != "" {
		return fleet.Position{}, redwinghall.NewOpError("store.Commit", s.commitErrors, errDown)
	}
	return fleet.Position{Era: s.rows.At.Era, Version: 7}, nil
}

// peerClient calls the sources of other nodes by address.
type peerClient map[string]*relay.Source

func (c peerClient) List(ctx context.Context, address, table string) (relay.Answer, error) {
	s, ok := c[address]
	if !ok {
		return relay.Answer{}, redwinghall.NewOpError("peerClient.List", fleet.StoreUnavailable, errDown)
	}
	return s.Mirror(table).List(ctx)
}

func (c peerClient) Changes(ctx context.Context, address, table string, after fleet.Position, wait time.Duration) (relay.Answer, error) {
	s, ok := c[address]
	if !ok {
		return relay.Answer{}, redwinghall.NewOpError("peerClient.Changes", fleet.StoreUnavailable, errDown)
	}
	return s.Mirror(table).Changes(ctx, after, wait)
}

func (c peerClient) Commit(ctx context.Context, address string, txn fleet.Txn) (fleet.Position, error) {
	s, ok := c[address]
	if !ok {
		return fleet.Position{}, redwinghall.NewOpError("peerClient.Commit", fleet.StoreUnavailable, errDown)
	}
	return s.CommitDirect(ctx, txn)
}

// zone returns the sources of the nodes of one zone, each with its own store so that calls
// are counted by node.
func zone(names ...string) (peerClient, map[string]*relay.Source, map[string]*store) {
	var peers []relay.Peer
	for _, name := range names {
		peers = append(peers, relay.Peer{Name: name, Address: name})
	}
	nodes, sources, stores := peerClient{}, map[string]*relay.Source{}, map[string]*store{}
	for _, name := range names {
		stores[name] = &store{rows: fleet.Rows{At: fleet.Position{Version: 5}, Rows: []fleet.Row{row("a", 5)}}}
		sources[name] = relay.NewSource(relay.Config{
			Store: stores[name], PeerClient: nodes, Self: name, Peers: func() []relay.Peer { return peers },
			RemotePeers: func() []relay.Peer { return nil }, Leader: func() string { return "n4" }, EqualFor: noEquality,
			Polled: func(table string) bool { return table == "polled" },
		})
		nodes[name] = sources[name]
	}
	return nodes, sources, stores
}

var eight = []string{"n1", "n2", "n3", "n4", "n5", "n6", "n7", "n8"}

// readAll lists the table at all nodes concurrently.
func readAll(t *testing.T, sources map[string]*relay.Source) {
	t.Helper()
	var all sync.WaitGroup
	for _, s := range sources {
		all.Go(func() {
			rows, err := s.List(context.Background(), "t")
			require.NoError(t, err)
			require.Equal(t, []string{"a"}, keys(rows.Rows))
		})
	}
	all.Wait()
}

func callsOf(stores map[string]*store) map[string]int {
	calls := map[string]int{}
	for name, s := range stores {
		calls[name] = s.calls
	}
	return calls
}

// If calls to the store grew with the number of nodes, the platform would refuse them. Of a
// zone, only the node that forms its groups reads the store, even when all nodes start at
// the same moment and none has read anything.
func TestOnlyTheLeaderCallsTheStore(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		_, sources, stores := zone(eight...)
		for range 3 {
			readAll(t, sources)
		}
		for name, calls := range callsOf(stores) {
			want := 0
			if name == "n4" {
				want = 3
			}
			require.Equal(t, want, calls, name)
		}
	})
}

// When the reader fails, each node reads the store at most once itself. Then the next node
// in rank reads for all, and continues from the position of the failed reader.
func TestNextNodeReadsWhenTheReaderDies(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		nodes, sources, stores := zone(eight...)
		readAll(t, sources)
		delete(nodes, "n4")
		delete(sources, "n4")
		readAll(t, sources)
		before := callsOf(stores)
		for range 3 {
			readAll(t, sources)
		}
		calling := 0
		for name, calls := range callsOf(stores) {
			require.LessOrEqual(t, before[name], 1, name)
			if calls > before[name] {
				calling++
			}
		}
		require.Equal(t, 1, calling)
		require.True(t, sources["n1"].Mirror("t").Continues(fleet.Position{Version: 5}), "a node that read from the failed reader can continue from its position")
	})
}

// The store is down for 10 s, and would then be overloaded if all nodes called it. During
// an outage only the reader calls at its normal rate, and all nodes notice the recovery
// within 2 s, through the reader.
func TestOutageIsProbedByFew(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		_, sources, stores := zone(eight...)
		readAll(t, sources)
		setDown(stores, true)
		time.Sleep(1300 * time.Millisecond) // until the rows read before are stale
		for range 20 {
			for _, s := range sources {
				_, err := s.Changes(context.Background(), "t", fleet.Position{Version: 5}, time.Millisecond)
				require.Error(t, err)
			}
			time.Sleep(500 * time.Millisecond)
		}
		for name, calls := range callsOf(stores) {
			if name != "n4" {
				require.LessOrEqual(t, calls, 7, name)
			}
		}
		setDown(stores, false)
		before := callsOf(stores)
		_, err := sources["n4"].Changes(context.Background(), "t", fleet.Position{Version: 5}, time.Millisecond)
		require.NoError(t, err)
		time.Sleep(time.Second)
		for name, s := range sources {
			_, err := s.Changes(context.Background(), "t", fleet.Position{Version: 5}, time.Millisecond)
			require.NoError(t, err, name)
			if name != "n4" {
				require.LessOrEqual(t, callsOf(stores)[name]-before[name], 1, name)
			}
		}
	})
}

// The store is unreachable, and forty nodes of a zone probe it. Their total rate of calls
// must not exceed that of a few nodes.
func TestOutageOfALargeZoneIsProbedByFew(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var names []string
		for i := range 40 {
			names = append(names, fmt.Sprint("n", i))
		}
		_, sources, stores := zone(names...)
		readAll(t, sources)
		setDown(stores, true)
		time.Sleep(1300 * time.Millisecond) // until the rows read before are stale
		const length = 8 * time.Second
		for began := time.Now(); time.Since(began) < length; time.Sleep(500 * time.Millisecond) {
			for _, s := range sources {
				_, err := s.Changes(context.Background(), "t", fleet.Position{Version: 5}, time.Millisecond)
				require.Error(t, err)
			}
		}
		calls := -callsOf(stores)["n4"] // calls of the reader are not counted
		for _, n := range callsOf(stores) {
			calls += n
		}
		require.LessOrEqual(t, calls, len(names)+10*int(length.Seconds()))
	})
}

// The store refuses only the reader. The others must not all call the store for as long as
// that lasts: the next node in rank reads for all.
func TestReaderRefusedByTheStoreIsSkipped(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		_, sources, stores := zone(eight...)
		readAll(t, sources)
		stores["n4"].down = true
		for range 6 {
			for _, name := range eight {
				_, err := sources[name].Changes(context.Background(), "t", fleet.Position{Version: 5}, time.Millisecond)
				require.NoError(t, err, name)
			}
			time.Sleep(300 * time.Millisecond)
		}
		calling := 0
		for name, calls := range callsOf(stores) {
			if name != "n4" && calls > 1 {
				calling++
			}
		}
		require.Equal(t, 1, calling)
	})
}

func setDown(stores map[string]*store, down bool) {
	for _, s := range stores {
		s.down = down
	}
}

// If no reader answers or has a connection to the store, a node reads the store itself.
func TestNodeReadsTheStoreWhenNoPeerAnswers(t *testing.T) {
	nodes, sources, stores := zone("n1", "n2", "n3", "n4", "n5")
	for name := range sources {
		delete(nodes, name)
	}
	for name, s := range sources {
		rows, err := s.List(context.Background(), "t")
		require.NoError(t, err)
		require.Equal(t, []string{"a"}, keys(rows.Rows))
		require.Equal(t, 1, stores[name].calls)
	}
}

// The store refuses one node and serves the others: the node reads and commits through
// another one.
func TestNodeRefusedByTheStoreUsesAPeer(t *testing.T) {
	_, sources, stores := zone("n1", "n2", "n3")
	_, err := sources["n2"].List(context.Background(), "t")
	require.NoError(t, err)
	_, err = sources["n3"].List(context.Background(), "t")
	require.NoError(t, err)
	stores["n1"].down = true
	rows, err := sources["n1"].List(context.Background(), "t")
	require.NoError(t, err)
	require.Equal(t, []string{"a"}, keys(rows.Rows))

	stores["n1"].commitErrors = fleet.StoreUnavailable
	version, err := sources["n1"].Commit(context.Background(), fleet.Txn{})
	require.NoError(t, err)
	require.Equal(t, fleet.Position{Version: 7}, version)
}

// A transaction whose response was lost may have been carried out, so it must not be sent
// again through another node.
func TestUnknownCommitIsNotRepeated(t *testing.T) {
	_, sources, stores := zone("n1", "n2")
	stores["n1"].commitErrors = fleet.StoreOutcomeUnknown
	_, err := sources["n1"].Commit(context.Background(), fleet.Txn{})
	require.Equal(t, fleet.StoreOutcomeUnknown, redwinghall.KindOf[fleet.StoreKind](err))
	require.Zero(t, stores["n2"].commits)
}
