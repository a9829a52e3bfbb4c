package directory_test

import (
	"context"
	"fmt"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"redwinghall"
	"redwinghall/directory"
	"redwinghall/fleet"
	"redwinghall/kernel"
	"redwinghall/relay"
)

// hangingStore is a store whose calls hang while it is away, and are answered at its return if they last until then, as
// packets are sent again. A call hangs for up to hangFor beyond its wait.
type hangingStore struct {
	*loggedStore
	away atomic.Bool
}

const hangFor = 900 * time.Millisecond

func (s *hangingStore) hang(ctx context.Context, limit time.Duration) error {
	for end := time.Now().Add(limit); s.away.Load(); {
		if !time.Now().Before(end) || !kernel.Sleep(ctx, 10*time.Millisecond) {
			return redwinghall.NewOpError("hangingStore.hang", fleet.StoreUnavailable, ctx.Err())
		}
	}
	return nil
}

func (s *hangingStore) List(ctx context.Context, table string) (fleet.Rows, error) {
	if err := s.hang(ctx, hangFor); err != nil {
		return fleet.Rows{}, err
	}
	return s.loggedStore.List(ctx, table)
}

func (s *hangingStore) Changes(ctx context.Context, table string, after fleet.Position, wait time.Duration) (fleet.Rows, error) {
	begun := time.Now()
	for {
		if err := s.hang(ctx, wait+hangFor-time.Since(begun)); err != nil {
			return fleet.Rows{}, err
		}
		rows, err := s.changes(table, after)
		if err != nil || len(rows.Rows) > 0 || time.Since(begun) >= wait || !kernel.Sleep(ctx, 10*time.Millisecond) {
			return rows, err
		}
	}
}

// Guards against sound endpoints given up whose entries lapsed in an outage that no call of the endpoints' feed failed in:
// its waiting call is answered by the store that has returned.
func TestEntriesThatLapsedUnderAWaitingCallMayComeBack(t *testing.T) {
	for away := 2300 * time.Millisecond; away <= 3500*time.Millisecond; away += 200 * time.Millisecond {
		for begin := time.Duration(0); begin < 2*time.Second; begin += 100 * time.Millisecond {
			t.Run(fmt.Sprint(away, "/", begin), func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					store, cache := followHanging(t)
					time.Sleep(3*time.Second + begin)
					store.away.Store(true)
					time.Sleep(away)
					store.remove("back")
					store.away.Store(false)
					requireKeptFor(t, cache, "back", backWithin)
					store.write(t, "back")
					requireKeptFor(t, cache, "back", 3*time.Second)
				})
			})
		}
	}
}

// followHanging follows a store of the endpoints "stays" and "back" until the end of the test.
func followHanging(t *testing.T) (*hangingStore, *directory.Cache) {
	t.Helper()
	store := &hangingStore{loggedStore: newLoggedStore(t, "stays", "back")}
	self := relay.Peer{Name: "n0", Address: "n0"}
	source := relay.NewSource(relay.Config{
		Store: store, Self: self.Name, Peers: func() []relay.Peer { return []relay.Peer{self} }, RemotePeers: func() []relay.Peer { return nil },
		Leader: func() string { return "" }, EqualFor: func(string) relay.EqualValues { return nil },
	})
	cache, g := directory.NewCache(), kernel.NewGroup(context.Background())
	directory.NewFollower(source, cache, nil).Start(g)
	t.Cleanup(func() {
		g.Stop()
		require.NoError(t, g.Wait())
	})
	return store, cache
}

// Guards against requests to an endpoint that left while calls hung, once the node is back for the users' bound.
func TestEndpointThatLeftUnderAWaitingCallIsGoneOnceTheNodeIsBack(t *testing.T) {
	for _, cut := range []time.Duration{200 * time.Millisecond, 400 * time.Millisecond, time.Second, 2300 * time.Millisecond, 2900 * time.Millisecond, 3500 * time.Millisecond} {
		for begin := time.Duration(0); begin < 2*time.Second; begin += 100 * time.Millisecond {
			t.Run(fmt.Sprint(cut, "/", begin), func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					store, cache := followHanging(t)
					time.Sleep(3*time.Second + begin)
					store.away.Store(true)
					time.Sleep(cut / 2)
					store.remove("back")
					time.Sleep(cut - cut/2)
					store.away.Store(false)
					gone := inTouchAfter
					if cut <= 400*time.Millisecond { // as packets are lost and sent again
						gone = nextReadWithin
					}
					requireGoneWithin(t, cache, "back", gone)
				})
			})
		}
	}
}

// Guards against requests to an endpoint that leaves after calls hung.
func TestEndpointThatLeavesAfterAWaitingCallIsGoneAtTheNextRead(t *testing.T) {
	for _, cut := range []time.Duration{2300 * time.Millisecond, 2900 * time.Millisecond, 3500 * time.Millisecond} {
		for begin := time.Duration(0); begin < 2*time.Second; begin += 100 * time.Millisecond {
			t.Run(fmt.Sprint(cut, "/", begin), func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					store, cache := followHanging(t)
					time.Sleep(3*time.Second + begin)
					store.away.Store(true)
					time.Sleep(cut)
					store.away.Store(false)
					time.Sleep(time.Second)
					store.remove("back")
					requireGoneWithin(t, cache, "back", nextReadWithin)
				})
			})
		}
	}
}
