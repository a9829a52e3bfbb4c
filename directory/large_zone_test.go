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

// largeZone is more nodes than all read from one.
const largeZone = 75

// Guards against nodes of a large zone that all read the store at once, as the copies of the nodes that they read from
// are stale when the table is quiet.
func TestQuietTableKeepsAllReadersOfALargeZoneTrusted(t *testing.T) {
	for _, latency := range []time.Duration{0, 20 * time.Millisecond, 150 * time.Millisecond} {
		t.Run(latency.String(), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				stores, stop := startZone(t, largeZone, latency)
				defer stop()
				time.Sleep(5 * time.Second)
				before := map[string]int{}
				for name, store := range stores {
					before[name] = store.callsOf("servers") + store.callsOf("op")
				}
				began := time.Now()
				for i := range 20 {
					time.Sleep(1500*time.Millisecond + time.Duration(i*37)*time.Millisecond)
					for _, store := range stores {
						store.write()
					}
				}
				for name, store := range stores {
					if name != "n0" {
						require.Equal(t, before[name], store.callsOf("servers")+store.callsOf("op"), name)
					}
				}
				perSecond := float64(stores["n0"].callsOf("servers")+stores["n0"].callsOf("op")-before["n0"]) / time.Since(began).Seconds()
				require.LessOrEqual(t, perSecond, 5.0, "confirmations don't multiply the calls to the store")
			})
		})
	}
}

// Guards against requests of nodes of a large zone to an endpoint that left after the zone, its reader or some of its
// nodes had been cut off.
func TestEndpointThatLeavesAfterACutOfALargeZoneIsGoneAtAllItsNodes(t *testing.T) {
	for _, first := range []int{1, 5, largeZone} {
		for _, how := range []absence{silent, rejects} {
			for _, cut := range []time.Duration{3 * time.Second, 6070 * time.Millisecond} {
				t.Run(fmt.Sprint(first, "/", how, "/", cut), func(t *testing.T) {
					synctest.Test(t, func(t *testing.T) {
						store := newLoggedStore(t, "left", "stays")
						zone, stop := startRelayedZone(t, store, largeZone)
						defer stop()
						time.Sleep(5 * time.Second)
						zone.set(how, first)
						time.Sleep(cut)
						zone.set(answers, first)
						time.Sleep(1500 * time.Millisecond)
						store.remove("left")
						time.Sleep(relayedNextRead)
						for i, cache := range zone.caches {
							require.NotContains(t, cache.View().Endpoints, "left", "n%d", i)
							require.Contains(t, cache.View().Endpoints, "stays", "n%d", i)
						}
					})
				})
			}
		}
	}
}

// zoneCalls are the calls between a zone's nodes, some of which don't answer.
type zoneCalls struct {
	sources

	mu      sync.Mutex
	lost    map[string]absence         // by address
	callers map[string]map[string]bool // by address
}

// caller is what one node calls the others with.
type caller struct {
	*zoneCalls
	self string
}

// call records a call and fails if the other node doesn't answer.
func (c caller) call(ctx context.Context, address string) error {
	c.mu.Lock()
	if c.callers[address] == nil {
		c.callers[address] = map[string]bool{}
	}
	c.callers[address][c.self] = true
	how := c.lost[address]
	c.mu.Unlock()
	if how == silent {
		<-ctx.Done()
	}
	if how != answers {
		return redwinghall.NewOpError("caller.call", fleet.StoreUnavailable, ctx.Err())
	}
	return nil
}

func (c caller) List(ctx context.Context, address, table string) (relay.Answer, error) {
	if err := c.call(ctx, address); err != nil {
		return relay.Answer{}, err
	}
	return c.sources.List(ctx, address, table)
}

func (c caller) Changes(ctx context.Context, address, table string, after fleet.Position, wait time.Duration) (relay.Answer, error) {
	if err := c.call(ctx, address); err != nil {
		return relay.Answer{}, err
	}
	return c.sources.Changes(ctx, address, table, after, wait)
}

// lose makes nodes not answer the others.
func (c *zoneCalls) lose(how absence, nodes ...relay.Peer) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, node := range nodes {
		c.lost[node.Address] = how
	}
}

// startCallingZone starts a zone whose nodes read by way of n0. It returns their caches by name, and the nodes in the
// order in which they read for the others.
func startCallingZone(t *testing.T, store *loggedStore, count int) (*zoneCalls, map[string]*directory.Cache, []relay.Peer, func()) {
	t.Helper()
	var peers []relay.Peer
	for i := range count {
		peers = append(peers, relay.Peer{Name: fmt.Sprint("n", i), Address: fmt.Sprint("n", i)})
	}
	calls := &zoneCalls{sources: sources{}, lost: map[string]absence{}, callers: map[string]map[string]bool{}}
	caches, g := map[string]*directory.Cache{}, kernel.NewGroup(context.Background())
	for _, self := range peers {
		calls.sources[self.Address] = relay.NewSource(relay.Config{
			Store: store, PeerClient: caller{calls, self.Name}, Self: self.Name, Peers: func() []relay.Peer { return peers },
			RemotePeers: func() []relay.Peer { return nil }, Leader: func() string { return "n0" },
			EqualFor: func(string) relay.EqualValues { return nil },
		})
		caches[self.Name] = directory.NewCache()
	}
	for _, self := range peers {
		directory.NewFollower(calls.sources[self.Address], caches[self.Name], nil).Start(g)
	}
	order := []relay.Peer{peers[0]}
	for _, peer := range relay.RankPeers(peers, relay.Reader) {
		if peer.Name != "n0" {
			order = append(order, peer)
		}
	}
	return calls, caches, order, func() {
		g.Stop()
		require.NoError(t, g.Wait())
	}
}

// Guards against a reader that all nodes of a large zone ask, and against small zones that read by way of more than it.
func TestReaderOfALargeZoneTellsFewNodes(t *testing.T) {
	for nodes, most := range map[int]int{9: 8, 40: 39, 41: 6, largeZone: 9, 300: 17} {
		t.Run(fmt.Sprint(nodes), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				calls, _, _, stop := startCallingZone(t, newLoggedStore(t, "stays"), nodes)
				defer stop()
				time.Sleep(5 * time.Second)
				calls.mu.Lock()
				defer calls.mu.Unlock()
				if nodes <= 40 {
					require.Len(t, calls.callers, 1)
				}
				for address, callers := range calls.callers {
					require.LessOrEqual(t, len(callers), most, address)
				}
			})
		})
	}
}

// Guards against nodes of a large zone that learn nothing, as those from which they read are lost.
func TestNodesOfALargeZoneReadOnWhenThoseTheyReadFromAreLost(t *testing.T) {
	const (
		leavesWithin = 3 * time.Second
		relays       = 8
	)
	for name, lost := range map[string][2]int{"the reader": {0, 1}, "a relay": {1, 2}, "all relays": {1, 1 + relays}, "all of them": {0, 1 + relays}} {
		for _, how := range []absence{silent, rejects} {
			t.Run(fmt.Sprint(name, "/", how), func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					store := newLoggedStore(t, "left", "later", "stays")
					calls, caches, order, stop := startCallingZone(t, store, largeZone)
					defer stop()
					time.Sleep(5 * time.Second)
					calls.lose(how, order[lost[0]:lost[1]]...)
					for _, id := range []string{"left", "later"} {
						store.remove(id)
						time.Sleep(leavesWithin)
						for node, cache := range caches {
							require.NotContains(t, cache.View().Endpoints, id, node)
							require.Contains(t, cache.View().Endpoints, "stays", node)
						}
					}
				})
			})
		}
	}
}
