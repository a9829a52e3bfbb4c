package directory_test

import (
	"context"
	"fmt"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"redwinghall/directory"
	"redwinghall/fleet"
	"redwinghall/kernel"
	"redwinghall/relay"
)

// countedSources counts the calls that nodes make to the others.
type countedSources struct {
	sources
	calls *atomic.Int64
}

func (s countedSources) List(ctx context.Context, address, table string) (relay.Answer, error) {
	s.calls.Add(1)
	return s.sources.List(ctx, address, table)
}

func (s countedSources) Changes(ctx context.Context, address, table string, after fleet.Position, wait time.Duration) (relay.Answer, error) {
	s.calls.Add(1)
	return s.sources.Changes(ctx, address, table, after, wait)
}

// Guards against a reader that is called by all nodes of a large zone again and again while the store is away: it has a
// small share of a processor, and its callers need that.
func TestNodesCallTheirReaderSeldomWhileTheStoreIsAway(t *testing.T) {
	const nodes, away, perNodeAndSecond = 100, 5 * time.Second, 8
	synctest.Test(t, func(t *testing.T) {
		store := newLoggedStore(t, "stays")
		var calls atomic.Int64
		var peers []relay.Peer
		for i := range nodes {
			peers = append(peers, relay.Peer{Name: fmt.Sprint("n", i), Address: fmt.Sprint("n", i)})
		}
		all, g := sources{}, kernel.NewGroup(context.Background())
		for _, self := range peers {
			all[self.Address] = relay.NewSource(relay.Config{
				Store: store, PeerClient: countedSources{all, &calls}, Self: self.Name, Peers: func() []relay.Peer { return peers },
				RemotePeers: func() []relay.Peer { return nil }, Leader: func() string { return "n0" },
				EqualFor: func(string) relay.EqualValues { return nil },
			})
		}
		for _, self := range peers {
			directory.NewFollower(all[self.Address], directory.NewCache(), nil).Start(g)
		}
		time.Sleep(5 * time.Second)
		before := calls.Load()
		time.Sleep(away)
		t.Logf("store there: %.1f calls a node and second", float64(calls.Load()-before)/nodes/away.Seconds())
		store.set(silent)
		time.Sleep(2 * time.Second)
		before = calls.Load()
		time.Sleep(away)
		got := float64(calls.Load()-before) / nodes / away.Seconds()
		g.Stop()
		require.NoError(t, g.Wait())
		require.LessOrEqual(t, got, float64(perNodeAndSecond))
	})
}
