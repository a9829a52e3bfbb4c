package neighbor_test

import (
	"bytes"
	"context"
	"fmt"
	"net/http"
	"net/http/httptest"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"redwinghall"
	"redwinghall/directory"
	"redwinghall/fleet"
	"redwinghall/kernel"
	"redwinghall/neighbor"
	"redwinghall/platform"
	"redwinghall/platform/platformtest"
	"redwinghall/relay"
)

const (
	smallLink     = 2_500_000 // bytes a second of the link of a small VM
	linkChunk     = 16 << 10
	storePage     = 500 // rows
	storeRowExtra = 100 // bytes of a row in a response of the store beside its value
	endpointsOf   = 10  // of each node of a deployment of four zones
	zonesOf       = 4
	formingTime   = 3 * time.Second
	formingStep   = 50 * time.Millisecond
	// leavesWithin is the time within which a node must know that an endpoint has left.
	leavesWithin = 3 * time.Second
)

// link is one direction of a network link.
type link struct {
	mu   sync.Mutex
	free time.Time
}

// carry waits until the link has carried so many bytes, after those that came before.
func (l *link) carry(ctx context.Context, size int) error {
	l.mu.Lock()
	if now := time.Now(); l.free.Before(now) {
		l.free = now
	}
	l.free = l.free.Add(time.Duration(size) * time.Second / smallLink)
	wait := time.Until(l.free)
	l.mu.Unlock()
	if !kernel.Sleep(ctx, wait) {
		return ctx.Err()
	}
	return nil
}

// linkBody is the body of a response that crosses a link.
type linkBody struct {
	*bytes.Reader
	ctx  context.Context
	link *link
}

func (b linkBody) Read(p []byte) (int, error) {
	n, err := b.Reader.Read(p[:min(len(p), linkChunk)])
	if linkErr := b.link.carry(b.ctx, n); linkErr != nil {
		return 0, linkErr
	}
	return n, err
}

func (b linkBody) Close() error { return nil }

// linkTransport calls nodes by address. Their answers cross their links.
type linkTransport struct {
	nodes map[string]http.Handler
	links map[string]*link
}

func (t linkTransport) RoundTrip(r *http.Request) (*http.Response, error) {
	recorder := httptest.NewRecorder()
	t.nodes[r.URL.Host].ServeHTTP(recorder, r)
	response := recorder.Result()
	response.Body = linkBody{bytes.NewReader(recorder.Body.Bytes()), r.Context(), t.links[r.URL.Host]}
	return response, nil
}

// busyStore is a store with a table of endpoints.
type busyStore struct {
	mu      sync.Mutex
	rows    map[string]fleet.Row
	version int64
	changed chan struct{}
}

// write writes rows, or removes them.
func (s *busyStore) write(rows ...fleet.Row) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, row := range rows {
		s.version++
		row.Table, row.Version = platform.TableEndpoints, s.version
		s.rows[row.Key] = row
	}
	close(s.changed)
	s.changed = make(chan struct{})
}

// page returns the next rows after a version.
func (s *busyStore) page(after int64, most int) (fleet.Rows, chan struct{}) {
	s.mu.Lock()
	defer s.mu.Unlock()
	out := fleet.Rows{At: fleet.Position{Version: s.version}}
	for _, row := range s.rows {
		if row.Version > after && (after > 0 || !row.Removed) {
			out.Rows = append(out.Rows, row)
		}
	}
	slices.SortFunc(out.Rows, func(a, b fleet.Row) int { return int(a.Version - b.Version) })
	if len(out.Rows) > most {
		out.Rows, out.More = out.Rows[:most], true
		out.At.Version = out.Rows[most-1].Version
	}
	return out, s.changed
}

// linkedStore is a store as a node reaches it over its link.
type linkedStore struct {
	*busyStore
	link *link
}

func (s linkedStore) carry(ctx context.Context, rows fleet.Rows) (fleet.Rows, error) {
	size := 0
	for _, row := range rows.Rows {
		size += storeRowExtra + len(row.Value)*4/3
	}
	if err := s.link.carry(ctx, size); err != nil {
		return fleet.Rows{}, redwinghall.NewOpError("linkedStore.carry", fleet.StoreOutcomeUnknown, err)
	}
	return rows, nil
}

func (s linkedStore) List(ctx context.Context, table string) (fleet.Rows, error) {
	if table != platform.TableEndpoints {
		return fleet.Rows{At: fleet.Position{Version: 1}}, nil
	}
	rows, _ := s.page(0, 1<<30)
	return s.carry(ctx, rows)
}

func (s linkedStore) Changes(ctx context.Context, table string, after fleet.Position, wait time.Duration) (fleet.Rows, error) {
	end := time.NewTimer(wait)
	defer end.Stop()
	for {
		rows, changed := s.page(after.Version, storePage)
		if table != platform.TableEndpoints {
			rows, changed = fleet.Rows{At: after}, nil
		}
		if len(rows.Rows) > 0 {
			return s.carry(ctx, rows)
		}
		select {
		case <-changed:
		case <-end.C:
			return rows, nil
		case <-ctx.Done():
			return fleet.Rows{}, redwinghall.NewOpError("linkedStore.Changes", fleet.StoreOutcomeUnknown, ctx.Err())
		}
	}
}

func (s linkedStore) Commit(context.Context, fleet.Txn) (fleet.Position, error) {
	return fleet.Position{}, nil
}

func equalEntries(string) relay.EqualValues { return platform.EqualEntries }

// startSmallZone starts a zone whose nodes are on small VMs and read by way of the first one.
func startSmallZone(t *testing.T, store *busyStore, count int) ([]*directory.Cache, func()) {
	t.Helper()
	var peers []relay.Peer
	for i := range count {
		peers = append(peers, relay.Peer{Name: fmt.Sprint("n", i), Address: fmt.Sprint("n", i)})
	}
	transport := linkTransport{map[string]http.Handler{}, map[string]*link{}}
	var caches []*directory.Cache
	var sources []*relay.Source
	g := kernel.NewGroup(context.Background())
	for _, self := range peers {
		source := relay.NewSource(relay.Config{
			Store: linkedStore{store, &link{}}, PeerClient: neighbor.NewClientOver(transport), Self: self.Name,
			Peers: func() []relay.Peer { return peers }, RemotePeers: func() []relay.Peer { return nil },
			Leader: func() string { return peers[0].Name }, EqualFor: equalEntries,
		})
		caches, sources = append(caches, directory.NewCache()), append(sources, source)
		transport.nodes[self.Address] = neighbor.NewHandler(neighbor.ServerConfig{Mirror: source.Mirror})
		transport.links[self.Address] = &link{}
	}
	for i, source := range sources {
		directory.NewFollower(source, caches[i], func() bool { return i == 0 }).Start(g)
	}
	return caches, func() {
		g.Stop()
		require.NoError(t, g.Wait())
	}
}

// Guards against requests to an endpoint that has left, at nodes whose reader is a small VM with many nodes to tell,
// while groups form in all zones.
func TestNodesOfALargeZoneLearnInTimeThatAnEndpointLeft(t *testing.T) {
	for _, nodes := range []int{9, 36, 75} {
		t.Run(fmt.Sprint(nodes, " nodes"), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				entries := platformtest.LargeTable(nodes * endpointsOf * zonesOf).Rows
				store := &busyStore{rows: map[string]fleet.Row{}, changed: make(chan struct{})}
				store.write(entries...)
				caches, stop := startSmallZone(t, store, nodes)
				defer stop()
				time.Sleep(5 * time.Second)
				for _, cache := range caches {
					require.Len(t, cache.View().Endpoints, len(entries))
				}
				form(store, entries)
				left := entries[0].Key
				store.write(fleet.Row{Key: left, Removed: true})
				began, late := time.Now(), 0
				for len(knowing(caches, left)) > 0 && time.Since(began) < time.Minute {
					if time.Since(began) <= leavesWithin {
						late = len(knowing(caches, left))
					}
					time.Sleep(formingStep)
				}
				t.Logf("all nodes know it after %v", time.Since(began))
				require.LessOrEqual(t, time.Since(began), leavesWithin, "%d of %d nodes know it later", late, nodes)
			})
		})
	}
}

// form lets each endpoint write its entry about once a second, each time with another state in a group.
func form(store *busyStore, entries []fleet.Row) {
	each := len(entries) * int(formingStep) / int(time.Second)
	for i := range int(formingTime / formingStep) {
		var changed []fleet.Row
		for j := range each {
			row := entries[(i*each+j)%len(entries)]
			row.Value = bytes.Replace(row.Value, []byte(`"member"`), fmt.Appendf(nil, `"state-%d"`, i), 1)
			changed = append(changed, row)
		}
		store.write(changed...)
		time.Sleep(formingStep)
	}
}

// knowing returns the nodes by whose view an endpoint is still there.
func knowing(caches []*directory.Cache, id string) []int {
	var nodes []int
	for i, cache := range caches {
		if _, there := cache.View().Endpoints[id]; there {
			nodes = append(nodes, i)
		}
	}
	return nodes
}
