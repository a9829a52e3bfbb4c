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

func noneSame(string) relay.EqualValues { return nil }

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
		require.Equal(t, fleet.StoreUnavailable, redwinghall.KindOf[fleet.StoreKind](err), "nothing was read yet")
		m.ApplyList(time.Now(), fleet.Rows{At: fleet.Position{Version: 10}, Rows: []fleet.Row{row("a", 3), row("b", 4)}})
		gone := row("a", 12)
		gone.Removed = true
		m.ApplyChanges(time.Now(), fleet.Position{Version: 10}, fleet.Rows{At: fleet.Position{Version: 12}, Rows: []fleet.Row{gone, row("c", 11)}})
		list, err := m.List(context.Background())
		require.NoError(t, err)
		require.Equal(t, []string{"b", "c"}, keys(list.Rows.Rows))
		changes, err := m.Changes(context.Background(), fleet.Position{Version: 10}, time.Second)
		require.NoError(t, err)
		require.Equal(t, []string{"c", "a"}, keys(changes.Rows.Rows), "in the order of their versions, removals too")
		_, err = m.Changes(context.Background(), fleet.Position{Version: 9}, time.Second)
		require.Equal(t, fleet.StoreHistoryGone, redwinghall.KindOf[fleet.StoreKind](err), "what went before the list is not known")
	})
}

// A gap in what was read would never close: whoever follows would miss rows.
// All nodes of a zone are busy with endpoints that only say again what they
// said before: who follows a reader hears of rows that say something new, and
// of nothing else, and is not behind for that.
func TestMirrorPassesOnOnlyNews(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		m := relay.NewMirror(bytes.Equal)
		m.ApplyList(time.Now(), fleet.Rows{At: fleet.Position{Version: 10}, Rows: []fleet.Row{row("a", 3), row("b", 4)}})
		again, other := row("a", 11), row("b", 12)
		other.Value = []byte("changed")
		news := m.ApplyChanges(time.Now(), fleet.Position{Version: 10}, fleet.Rows{At: fleet.Position{Version: 12}, Rows: []fleet.Row{again, other}})
		require.Equal(t, []string{"b"}, keys(news.Rows))
		changes, err := m.Changes(context.Background(), fleet.Position{Version: 10}, time.Second)
		require.NoError(t, err)
		require.Equal(t, []string{"b"}, keys(changes.Rows.Rows))
		require.Equal(t, int64(12), changes.Rows.At.Version)

		started := time.Now()
		m.ApplyChanges(time.Now(), fleet.Position{Version: 12}, fleet.Rows{At: fleet.Position{Version: 13}, Rows: []fleet.Row{row("a", 13)}})
		changes, err = m.Changes(context.Background(), fleet.Position{Version: 12}, 500*time.Millisecond)
		require.NoError(t, err)
		require.Empty(t, changes.Rows.Rows)
		require.Equal(t, 500*time.Millisecond, time.Since(started), "nobody is woken")

		gone := row("a", 14)
		gone.Removed = true
		m.ApplyChanges(time.Now(), fleet.Position{Version: 13}, fleet.Rows{At: fleet.Position{Version: 14}, Rows: []fleet.Row{gone}})
		news = m.ApplyChanges(time.Now(), fleet.Position{Version: 14}, fleet.Rows{At: fleet.Position{Version: 15}, Rows: []fleet.Row{row("a", 15)}})
		require.Equal(t, []string{"a"}, keys(news.Rows), "a row that was gone is news")
	})
}

func TestMirrorWithAGapAnswersNothing(t *testing.T) {
	m := relay.NewMirror(nil)
	m.ApplyList(time.Now(), fleet.Rows{At: fleet.Position{Version: 10}})
	m.ApplyChanges(time.Now(), fleet.Position{Version: 20}, fleet.Rows{At: fleet.Position{Version: 21}, Rows: []fleet.Row{row("x", 21)}})
	_, err := m.List(context.Background())
	require.Error(t, err)
	require.False(t, m.Continues(fleet.Position{Version: 21}))
}

// A withdrawn key goes on working at a node: it follows a reader that lost the
// store, and waits there. The wait must end as soon as the reader knows, and
// when it doesn't know, before its word is old.
func TestMirrorEndsWaitsWhenTheStoreIsLost(t *testing.T) {
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

// The small VMs of a zone are many, and a hash alone mostly gives them what one node does
// for all: their callers wait behind it. All nodes agree on the order, and duties
// fall on different VMs of the strongest class.
func TestRankedPutsStrongVMsFirst(t *testing.T) {
	var peers []relay.Peer
	for i := range 40 {
		peers = append(peers, relay.Peer{Name: fmt.Sprint("n", i), Capacity: -2})
	}
	for _, i := range []int{7, 19, 33} {
		peers[i].Capacity = 0
	}
	firsts := map[string]bool{}
	for _, duty := range []relay.Role{relay.Reader, relay.Dispatcher} {
		ranked := relay.RankPeers(peers, duty)
		for _, one := range ranked[:3] {
			require.Zero(t, one.Capacity)
		}
		firsts[ranked[0].Name] = true
		slices.Reverse(peers)
		require.Equal(t, ranked, relay.RankPeers(peers, duty))
		var rest []relay.Peer
		for _, one := range peers {
			if one.Capacity < 0 {
				rest = append(rest, one)
			}
		}
		require.Equal(t, ranked[3:], relay.RankPeers(rest, duty), "when all strong ones are lost, the others keep their order")
	}
	require.Len(t, firsts, 2)
}

// A node that fails is left alone, longer each time, until it works again.
func TestAvoided(t *testing.T) {
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
	require.Equal(t, "x", first(now.Add(1100*time.Millisecond)), "calls that fail together count once")
	a.RecordFailure(now.Add(2*time.Second), "x")
	require.Equal(t, "y", first(now.Add(3900*time.Millisecond)))
	a.RecordSuccess("x")
	a.RecordFailure(now.Add(10*time.Second), "x")
	require.Equal(t, "x", first(now.Add(11100*time.Millisecond)))
}

// store counts calls and may be down.
type store struct {
	gone         bool // what was asked for is no longer known
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
	if s.gone {
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

// asker reaches the sources of other nodes by their address.
type asker map[string]*relay.Source

func (a asker) List(ctx context.Context, address, table string) (relay.Answer, error) {
	s, ok := a[address]
	if !ok {
		return relay.Answer{}, redwinghall.NewOpError("asker.List", fleet.StoreUnavailable, errDown)
	}
	return s.Mirror(table).List(ctx)
}

func (a asker) Changes(ctx context.Context, address, table string, after fleet.Position, wait time.Duration) (relay.Answer, error) {
	s, ok := a[address]
	if !ok {
		return relay.Answer{}, redwinghall.NewOpError("asker.Changes", fleet.StoreUnavailable, errDown)
	}
	return s.Mirror(table).Changes(ctx, after, wait)
}

func (a asker) Commit(ctx context.Context, address string, txn fleet.Txn) (fleet.Position, error) {
	s, ok := a[address]
	if !ok {
		return fleet.Position{}, redwinghall.NewOpError("asker.Commit", fleet.StoreUnavailable, errDown)
	}
	return s.CommitDirect(ctx, txn)
}

// zone is several sources of one zone, each with a store of its own to count.
func zone(names ...string) (asker, map[string]*relay.Source, map[string]*store) {
	var peers []relay.Peer
	for _, name := range names {
		peers = append(peers, relay.Peer{Name: name, Address: name})
	}
	nodes, sources, stores := asker{}, map[string]*relay.Source{}, map[string]*store{}
	for _, name := range names {
		stores[name] = &store{rows: fleet.Rows{At: fleet.Position{Version: 5}, Rows: []fleet.Row{row("a", 5)}}}
		sources[name] = relay.NewSource(relay.Config{
			Store: stores[name], PeerClient: nodes, Self: name, Peers: func() []relay.Peer { return peers },
			RemotePeers: func() []relay.Peer { return nil }, Leader: func() string { return "n4" }, EqualFor: noneSame,
		})
		nodes[name] = sources[name]
	}
	return nodes, sources, stores
}

var eight = []string{"n1", "n2", "n3", "n4", "n5", "n6", "n7", "n8"}

// readAll lets all nodes read the table at once.
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

// The calls to the store grow with the nodes, and the platform refuses them:
// of a zone only the node that forms its groups reads the store, also when all
// start at the same moment and none has read anything.
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

// The reader dies. Each node reads the store once to be sure, and then the next
// one in line reads for all, from where the dead one was.
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
		require.True(t, sources["n1"].Mirror("t").Continues(fleet.Position{Version: 5}), "who followed can go on from there")
	})
}

// The readers are down or lost the store: a node reads the store itself.
// The store is down for 10 s, and then busy with the nodes that all ask it. In
// an outage only the reader asks on at its pace, and all know of the return
// within 2 s, each by way of the reader.
func TestOutageIsProbedByFew(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		_, sources, stores := zone(eight...)
		readAll(t, sources)
		setDown(stores, true)
		time.Sleep(1300 * time.Millisecond) // until what was read before counts no more
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

// The store is away, and forty nodes of a zone ask whether it is back: together they
// must not ask more often than a few do.
func TestOutageOfALargeZoneIsProbedByFew(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var names []string
		for i := range 40 {
			names = append(names, fmt.Sprint("n", i))
		}
		_, sources, stores := zone(names...)
		readAll(t, sources)
		setDown(stores, true)
		time.Sleep(1300 * time.Millisecond) // until what was read before counts no more
		const length = 8 * time.Second
		for began := time.Now(); time.Since(began) < length; time.Sleep(500 * time.Millisecond) {
			for _, s := range sources {
				_, err := s.Changes(context.Background(), "t", fleet.Position{Version: 5}, time.Millisecond)
				require.Error(t, err)
			}
		}
		calls := -callsOf(stores)["n4"] // the reader's
		for _, n := range callsOf(stores) {
			calls += n
		}
		require.LessOrEqual(t, calls, len(names)+10*int(length.Seconds()))
	})
}

// The store turns only the reader away. The others must not call the store for
// as long as that lasts: the next in line reads for all.
func TestReaderTurnedAwayIsPassedOver(t *testing.T) {
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

func TestNodeReadsItselfWithoutReaders(t *testing.T) {
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

// The store turns one node away and serves the others: it reads, and commits,
// by way of another one.
func TestNodeThatTheStoreTurnsAwayIsHelped(t *testing.T) {
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

// A transaction whose answer was lost may have been carried out. Another node
// must not send it again.
func TestUnknownCommitIsNotRepeated(t *testing.T) {
	_, sources, stores := zone("n1", "n2")
	stores["n1"].commitErrors = fleet.StoreOutcomeUnknown
	_, err := sources["n1"].Commit(context.Background(), fleet.Txn{})
	require.Equal(t, fleet.StoreOutcomeUnknown, redwinghall.KindOf[fleet.StoreKind](err))
	require.Zero(t, stores["n2"].commits)
}
