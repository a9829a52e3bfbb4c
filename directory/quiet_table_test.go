package directory_test

import (
	"context"
	"fmt"
	"sync"
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

// quietStore is a store whose endpoints' table rarely changes. It ends a wait as soon as a
// row changes, answers after latency, and counts calls by table.
type quietStore struct {
	latency time.Duration

	mu      sync.Mutex
	version int64
	// config is the configuration in the operators' table, written at configAt; 0 is none.
	config, configAt int64
	changed          chan struct{}
	calls            map[string]int
}

func newQuietStore(latency time.Duration) *quietStore {
	return &quietStore{latency: latency, version: 1, changed: make(chan struct{}), calls: map[string]int{}}
}

// write changes a row of the endpoints' table.
func (s *quietStore) write() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.version++
	close(s.changed)
	s.changed = make(chan struct{})
}

// configure writes a version of the configuration.
func (s *quietStore) configure(version int64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.version++
	s.config, s.configAt = version, s.version
	close(s.changed)
	s.changed = make(chan struct{})
}

// rows returns the table's row if it is newer than after, and a channel that is closed at
// the next write.
func (s *quietStore) rows(table string, after int64) (fleet.Rows, chan struct{}) {
	s.mu.Lock()
	defer s.mu.Unlock()
	rows := fleet.Rows{At: fleet.Position{Version: s.version}}
	if table == "op" && s.configAt > after {
		value := fmt.Appendf(nil, `{"version":%d,"routes":[{"name":"r","host":"h","prefix":"/","kind":"safe","service":"s"}],"services":[{"name":"s"}]}`, s.config)
		rows.Rows = []fleet.Row{{Table: table, Key: "config", Value: value, Version: s.configAt}}
	}
	if table == "servers" && s.version > after {
		value := entryValue("ready", 0, s.version)
		rows.Rows = []fleet.Row{{Table: table, Key: "e", Value: value, Version: s.version}}
	}
	return rows, s.changed
}

func (s *quietStore) count(table string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.calls[table]++
}

func (s *quietStore) List(ctx context.Context, table string) (fleet.Rows, error) {
	return s.Changes(ctx, table, fleet.Position{}, 0)
}

func (s *quietStore) Changes(ctx context.Context, table string, after fleet.Position, wait time.Duration) (fleet.Rows, error) {
	s.count(table)
	kernel.Sleep(ctx, s.latency)
	end := time.After(wait)
	for {
		rows, changed := s.rows(table, after.Version)
		if len(rows.Rows) > 0 {
			return rows, nil
		}
		select {
		case <-changed:
		case <-end:
			return rows, nil
		case <-ctx.Done():
			return fleet.Rows{}, redwinghall.NewOpError("quietStore.Changes", fleet.StoreUnavailable, ctx.Err())
		}
	}
}

func (s *quietStore) Commit(context.Context, fleet.Txn) (fleet.Position, error) {
	return fleet.Position{}, nil
}

// callsOf returns the calls of a table so far.
func (s *quietStore) callsOf(table string) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.calls[table]
}

// sources calls the sources of other nodes by address.
type sources map[string]*relay.Source

func (c sources) List(ctx context.Context, address, table string) (relay.Answer, error) {
	return c[address].Mirror(table).List(ctx)
}

func (c sources) Changes(ctx context.Context, address, table string, after fleet.Position, wait time.Duration) (relay.Answer, error) {
	return c[address].Mirror(table).Changes(ctx, after, wait)
}

func (c sources) Commit(context.Context, string, fleet.Txn) (fleet.Position, error) {
	return fleet.Position{}, nil
}

// startZone starts the followers of a zone whose nodes read from n0, and returns the stores of
// its nodes, so that the calls of each are counted, and a function that stops the zone.
func startZone(t *testing.T, nodes int, latency time.Duration) (map[string]*quietStore, func()) {
	t.Helper()
	var peers []relay.Peer
	for i := range nodes {
		peers = append(peers, relay.Peer{Name: fmt.Sprint("n", i), Address: fmt.Sprint("n", i)})
	}
	stores, peerClient := map[string]*quietStore{}, sources{}
	for _, peer := range peers {
		stores[peer.Name] = newQuietStore(latency)
		peerClient[peer.Address] = relay.NewSource(relay.Config{
			Store: stores[peer.Name], PeerClient: peerClient, Self: peer.Name, Peers: func() []relay.Peer { return peers },
			RemotePeers: func() []relay.Peer { return nil }, Leader: func() string { return "n0" },
			EqualFor: func(string) relay.EqualValues { return nil },
		})
	}
	g := kernel.NewGroup(context.Background())
	for _, source := range peerClient {
		directory.NewFollower(source, directory.NewCache(), nil).Start(g)
	}
	return stores, func() {
		g.Stop()
		require.NoError(t, g.Wait())
	}
}

// The endpoints' table changes once and is then quiet. If its reader doesn't confirm it in time,
// all nodes of the zone take the store for unreachable at once and read it themselves.
func TestQuietTableKeepsTheReaderTrusted(t *testing.T) {
	for _, latency := range []time.Duration{0, 20 * time.Millisecond, 150 * time.Millisecond} {
		t.Run(latency.String(), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				stores, stop := startZone(t, 5, latency)
				defer stop()
				began := time.Now()
				for i := range 100 {
					time.Sleep(1500*time.Millisecond + time.Duration(i*37)*time.Millisecond)
					for _, store := range stores {
						store.write()
					}
				}
				for name, store := range stores {
					if name != "n0" {
						require.Zero(t, store.callsOf("servers")+store.callsOf("op"), name)
					}
				}
				perSecond := float64(stores["n0"].callsOf("servers")) / time.Since(began).Seconds()
				require.LessOrEqual(t, perSecond, 1.3, "confirmations don't multiply the calls to the store")
			})
		})
	}
}
