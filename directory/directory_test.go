package directory_test

import (
	"context"
	"strconv"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"redwinghall"
	"redwinghall/directory"
	"redwinghall/fleet"
	"redwinghall/kernel"
	"redwinghall/platform/platformtest"
)

var start = time.Unix(1000, 0)

func config(version int64) *fleet.Configuration {
	return &fleet.Configuration{
		Version: version,
		Routes: []fleet.Route{
			{Name: "short", Host: "a.example", Prefix: "/x/"},
			{Name: "long", Host: "a.example", Prefix: "/x/y/"},
			{Name: "other", Host: "b.example", Prefix: "/"},
		},
		Accounts: []fleet.Account{{Name: "depot", Keys: []string{"k1", "k2"}}},
		Services: map[string]fleet.Service{"s": {Name: "s"}},
	}
}

func endpoint(id string) *fleet.Endpoint {
	return &fleet.Endpoint{ID: id, Service: "s", Address: id + ":80", State: fleet.EndpointReady}
}

func TestViewRoutes(t *testing.T) {
	cache := directory.NewCache()
	require.Nil(t, cache.View().Config())
	cache.Apply(start, directory.Change{Config: config(1)})
	for path, want := range map[string]string{"/x/1": "short", "/x/y/1": "long", "/x/y": "short"} {
		route, ok := cache.View().Route("a.example:8080", path)
		require.True(t, ok, path)
		require.Equal(t, want, route.Name, path)
	}
	_, ok := cache.View().Route("a.example", "/z/")
	require.False(t, ok)
	account, ok := cache.View().Account("k2")
	require.True(t, ok)
	require.Equal(t, "depot", account.Name)
	_, ok = cache.View().Account("")
	require.False(t, ok)
}

// An older configuration may be read after a newer one. If it took effect, a revoked API
// key would work again for a while. Versions only increase.
func TestConfigurationNeverGoesBack(t *testing.T) {
	cache := directory.NewCache()
	newer := config(5)
	newer.Accounts = nil
	cache.Apply(start, directory.Change{Config: newer}, directory.Change{Config: config(4)})
	require.Equal(t, int64(5), cache.View().Config().Version)
	_, ok := cache.View().Account("k1")
	require.False(t, ok)
}

// Entries lapse during a store outage, and endpoints rewrite them within 2 s after it.
// Without a grace, half of the endpoints would be dropped at the end of an outage. Only an
// endpoint that is still missing after the grace is gone.
func TestEntriesThatLapsedInAnOutageMayComeBack(t *testing.T) {
	cache := directory.NewCache()
	cache.Apply(start, directory.Change{Endpoint: endpoint("back")}, directory.Change{Endpoint: endpoint("gone")})
	until := start.Add(directory.LapseGrace)
	cache.Apply(start, directory.Change{Gone: "back", LapsedUntil: until}, directory.Change{Gone: "gone", LapsedUntil: until})
	require.Len(t, cache.View().Endpoints, 2)
	cache.Apply(start.Add(time.Second), directory.Change{Endpoint: endpoint("back")})
	cache.Expire(start.Add(directory.LapseGrace))
	require.Contains(t, cache.View().Endpoints, "back")
	require.NotContains(t, cache.View().Endpoints, "gone")
	cache.Apply(start.Add(time.Minute), directory.Change{Gone: "back"})
	require.Empty(t, cache.View().Endpoints, "without an outage an endpoint is gone as soon as its entry is missing")
}

// fakeStore is a fake store with configurable rows and failures.
type fakeStore struct {
	mu      sync.Mutex
	lists   int
	rows    []fleet.Row
	era     int64
	version int64
	failure fleet.StoreKind
}

func (s *fakeStore) set(version int64, failure fleet.StoreKind, rows ...fleet.Row) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.version, s.failure, s.rows = version, failure, rows
}

func (s *fakeStore) at() fleet.Position { return fleet.Position{Era: s.era, Version: s.version} }

func (s *fakeStore) List(_ context.Context, table string) (fleet.Rows, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.failure == fleet.StoreUnavailable {
		return fleet.Rows{}, redwinghall.NewOpError("fakeStore.List", s.failure, nil)
	}
	if table == "servers" {
		s.lists++
	}
	if table == "servers" {
		s.failure = ""
	}
	return fleet.Rows{Rows: s.of(table, 0), At: s.at()}, nil
}

func (s *fakeStore) Changes(ctx context.Context, table string, after fleet.Position, wait time.Duration) (fleet.Rows, error) {
	s.mu.Lock()
	rows, at, failure := s.of(table, after.Version), s.at(), s.failure
	s.mu.Unlock()
	if failure != "" {
		return fleet.Rows{}, redwinghall.NewOpError("fakeStore.Changes", failure, nil)
	}
	if len(rows) == 0 {
		kernel.Sleep(ctx, wait)
	}
	return fleet.Rows{Rows: rows, At: at}, nil
}

func (s *fakeStore) of(table string, after int64) []fleet.Row {
	var rows []fleet.Row
	for _, r := range s.rows {
		if r.Table == table && r.Version > after {
			rows = append(rows, r)
		}
	}
	return rows
}

func (s *fakeStore) Commit(context.Context, fleet.Txn) (fleet.Position, error) {
	return fleet.Position{}, nil
}

// entryValue returns the value of an endpoint's entry.
func entryValue(state string, startedMillis, sequence int64) []byte {
	return platformtest.PlainEntry{Service: "s", Address: "10.0.0.1:80", State: state, StartedMillis: startedMillis, Sequence: sequence}.Value()
}

func entry(t *testing.T, id string, version int64) fleet.Row {
	t.Helper()
	return fleet.Row{Table: "servers", Key: id, Value: entryValue("ready", 0, 1), Version: version}
}

func follow(t *testing.T, store fleet.Store) (*directory.Cache, func()) {
	t.Helper()
	cache := directory.NewCache()
	g := kernel.NewGroup(context.Background())
	directory.NewFollower(store, cache, nil).Start(g)
	return cache, func() {
		g.Stop()
		require.NoError(t, g.Wait())
	}
}

// A lease holder sends orders only after it has read the entries up to the version of
// its lease. So the position read must advance even if no entry changed.
func TestFollowerReportsPositionRead(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := &fakeStore{}
		store.set(7, "", entry(t, "a", 5))
		cache, stop := follow(t, store)
		defer stop()
		time.Sleep(time.Second)
		require.Equal(t, fleet.Position{Version: 7}, cache.Read())
		store.set(9, "", entry(t, "a", 5))
		time.Sleep(4 * time.Second)
		require.Equal(t, fleet.Position{Version: 9}, cache.Read())
		store.set(3, fleet.StoreHistoryGone)
		time.Sleep(4 * time.Second)
		require.Equal(t, fleet.Position{Version: 9}, cache.Read(), "the position doesn't go back to that of an older copy")
	})
}

// The store drops its change history while a node is behind, so the changes in between
// are lost. The node must list the table again and drop the endpoints that the list lacks.
func TestFollowerListsAgainWhenHistoryIsGone(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := &fakeStore{}
		store.set(10, "", entry(t, "a", 3), entry(t, "b", 4))
		cache, stop := follow(t, store)
		defer stop()
		time.Sleep(time.Second)
		require.Len(t, cache.View().Endpoints, 2)
		store.set(50, fleet.StoreHistoryGone, entry(t, "b", 40), entry(t, "c", 41))
		time.Sleep(3 * time.Second)
		require.NotContains(t, cache.View().Endpoints, "a")
		require.Contains(t, cache.View().Endpoints, "c")
	})
}

// While the store is unavailable the known state stays in effect, and the node resumes
// reading by itself afterwards.
func TestFollowerKeepsStateWithoutTheStore(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := &fakeStore{}
		store.set(10, "", entry(t, "a", 3))
		cache, stop := follow(t, store)
		defer stop()
		time.Sleep(time.Second)
		store.set(10, fleet.StoreUnavailable)
		time.Sleep(30 * time.Second)
		require.Contains(t, cache.View().Endpoints, "a")
		store.set(20, "", entry(t, "d", 15))
		time.Sleep(3 * time.Second)
		require.Contains(t, cache.View().Endpoints, "d")
		require.Equal(t, 1, store.lists, "changes are read on from the last version, without a new list")
	})
}

// An entry that can't be decoded is skipped, and the other entries are applied.
func TestFollowerSkipsBadEntries(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := &fakeStore{}
		bad := fleet.Row{Table: "servers", Key: "bad", Value: []byte(`{"service":5}`), Version: 4}
		store.set(10, "", entry(t, "a", 3), bad)
		cache, stop := follow(t, store)
		defer stop()
		time.Sleep(time.Second)
		require.Len(t, cache.View().Endpoints, 1)
	})
}

// By the store's protocol, an entry that can't be read names no endpoint to use, whoever wrote it. The
// other entries hold.
func TestEntryThatBecomesUnreadableNamesNoEndpointAtOnce(t *testing.T) {
	for _, value := range []string{`{"service":5}`, `{}`, `{"service":"s","addr`, ""} {
		synctest.Test(t, func(t *testing.T) {
			store := &fakeStore{}
			store.set(4, "", entry(t, "a", 3), entry(t, "b", 4))
			cache, stop := follow(t, store)
			defer stop()
			time.Sleep(time.Second)
			require.Len(t, cache.View().Endpoints, 2)
			store.set(5, "", fleet.Row{Table: "servers", Key: "a", Value: []byte(value), Version: 5}, entry(t, "b", 4))
			time.Sleep(4 * time.Second)
			require.NotContains(t, cache.View().Endpoints, "a")
			require.Contains(t, cache.View().Endpoints, "b")
		})
	}
}

// busyStore is a store to which many endpoints write all the time. A response with
// changes holds at most page rows, the oldest first.
type busyStore struct {
	fakeStore
	started   time.Time
	perSecond int
}

const page = 500

func (s *busyStore) newest() int64 {
	return int64(time.Since(s.started).Seconds() * float64(s.perSecond))
}

func (s *busyStore) Changes(ctx context.Context, table string, after fleet.Position, wait time.Duration) (fleet.Rows, error) {
	if table != "servers" {
		return s.fakeStore.Changes(ctx, table, after, wait)
	}
	kernel.Sleep(ctx, 5*time.Millisecond)
	newest := min(s.newest(), after.Version+page)
	value := entryValue("ready", 0, 1)
	var rows []fleet.Row
	for version := after.Version + 1; version <= newest; version++ {
		rows = append(rows, fleet.Row{Table: table, Key: "e" + strconv.FormatInt(version%3000, 10), Value: value, Version: version})
	}
	return fleet.Rows{Rows: rows, At: fleet.Position{Version: newest}, More: len(rows) == page}, nil
}

// 3,000 endpoints write every 1.2 s. A node that read one page of changes per interval
// would fall behind by 3 s in every 4. A lease holder would not see that its orders were
// carried out, and would send each of them again, eleven times.
func TestFollowerKeepsUpWithABusyTable(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := &busyStore{started: time.Now(), perSecond: 2500}
		store.set(0, "")
		cache, stop := follow(t, store)
		defer stop()
		time.Sleep(20 * time.Second)
		newest := int64(0)
		for _, e := range cache.View().Endpoints {
			newest = max(newest, e.Revision)
		}
		require.Less(t, store.newest()-newest, int64(store.perSecond), "the view is less than a second old")
	})
}

// relayedStore is a store whose changes are relayed by another node.
type relayedStore struct{ fakeStore }

func (s *relayedStore) Changes(ctx context.Context, table string, after fleet.Position, wait time.Duration) (fleet.Rows, error) {
	rows, err := s.fakeStore.Changes(ctx, table, after, wait)
	rows.Relayed = true
	return rows, err
}

// If a node read relayed changes at the interval that limits the load on the store,
// requests would still be sent to a closed group for most of a second. Relayed reads
// don't call the store, so they use a shorter interval.
func TestFollowerReadsRelayedChangesSooner(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := &relayedStore{}
		store.set(10, "", entry(t, "a", 3))
		cache, stop := follow(t, store)
		defer stop()
		time.Sleep(time.Second)
		store.set(11, "", entry(t, "a", 3), entry(t, "b", 11))
		for cache.View().Endpoints["b"] == nil {
			time.Sleep(5 * time.Millisecond)
		}
		store.set(12, "", entry(t, "c", 12))
		time.Sleep(200 * time.Millisecond)
		require.Contains(t, cache.View().Endpoints, "c")
	})
}
