package directory_test

import (
	"context"
	"fmt"
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
)

const (
	// nextReadWithin is the time within which the endpoints' feed has read what the store holds now.
	nextReadWithin = 900 * time.Millisecond
	// inTouchAfter is the users' bound after the end of a cut: from then on a node must know what happened meanwhile.
	inTouchAfter = 3 * time.Second
	// backWithin is how long after the store's return endpoints whose entries lapsed may write them again.
	backWithin = 2 * time.Second
	// unansweredFor is how long a call takes that nobody answers.
	unansweredFor = 500 * time.Millisecond
)

// absence is a way in which a store doesn't answer a node.
type absence int

const (
	answers absence = iota
	silent          // no call is answered
	rejects         // each call is refused at once
)

// loggedStore is a store that keeps its changes in order, as one node reaches it.
type loggedStore struct {
	mu      sync.Mutex
	log     []fleet.Row
	era     int64
	version int64
	absent  map[string]absence // by table
	// relayed says that the rows come from another node, age after the store answered it.
	relayed bool
	age     time.Duration
	// oldest is the version below which the history is gone, and page the number of changes in a response.
	oldest int64
	page   int
}

func newLoggedStore(t *testing.T, ids ...string) *loggedStore {
	t.Helper()
	s := &loggedStore{era: 1, absent: map[string]absence{}, page: 500}
	for _, id := range ids {
		s.write(t, id)
	}
	return s
}

func (s *loggedStore) write(t *testing.T, id string) {
	t.Helper()
	s.mu.Lock()
	defer s.mu.Unlock()
	s.version++
	s.log = append(s.log, entry(t, id, s.version))
}

func (s *loggedStore) remove(ids ...string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, id := range ids {
		s.version++
		s.log = append(s.log, fleet.Row{Table: "servers", Key: id, Version: s.version, Removed: true})
	}
}

// dropHistory makes the store answer reads of changes since before now with "gone".
func (s *loggedStore) dropHistory() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.version++
	s.oldest = s.version
}

// restoreTo puts the store back to an older version.
func (s *loggedStore) restoreTo(version int64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.era++
	s.version = version
	s.log = slices.DeleteFunc(s.log, func(row fleet.Row) bool { return row.Version > version })
}

// set makes the store answer, or not, reads of the given tables; of both if none is given.
func (s *loggedStore) set(how absence, tables ...string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(tables) == 0 {
		tables = []string{"op", "servers"}
	}
	for _, table := range tables {
		s.absent[table] = how
	}
}

func (s *loggedStore) call(ctx context.Context, table string) error {
	s.mu.Lock()
	how := s.absent[table]
	s.mu.Unlock()
	switch how {
	case answers:
		return nil
	case silent:
		kernel.Sleep(ctx, unansweredFor)
	}
	return redwinghall.NewOpError("loggedStore.call", fleet.StoreUnavailable, nil)
}

func (s *loggedStore) List(ctx context.Context, table string) (fleet.Rows, error) {
	if err := s.call(ctx, table); err != nil {
		return fleet.Rows{}, err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	last := map[string]fleet.Row{}
	for _, row := range s.log {
		if row.Table == table {
			last[row.Key] = row
		}
	}
	rows := fleet.Rows{At: fleet.Position{Era: s.era, Version: s.version}, Relayed: s.relayed, Age: s.age}
	for _, row := range last {
		if !row.Removed {
			rows.Rows = append(rows.Rows, row)
		}
	}
	return rows, nil
}

func (s *loggedStore) Changes(ctx context.Context, table string, after fleet.Position, wait time.Duration) (fleet.Rows, error) {
	for end := time.Now().Add(wait); ; kernel.Sleep(ctx, 10*time.Millisecond) {
		if err := s.call(ctx, table); err != nil {
			return fleet.Rows{}, err
		}
		rows, err := s.changes(table, after)
		if err != nil || len(rows.Rows) > 0 || !time.Now().Before(end) || ctx.Err() != nil {
			return rows, err
		}
	}
}

func (s *loggedStore) changes(table string, after fleet.Position) (fleet.Rows, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if after.Era != s.era || after.Version < s.oldest {
		return fleet.Rows{}, redwinghall.NewOpError("loggedStore.Changes", fleet.StoreHistoryGone, nil)
	}
	rows := fleet.Rows{At: fleet.Position{Era: s.era, Version: s.version}, Relayed: s.relayed, Age: s.age}
	for _, row := range s.log {
		if row.Table == table && row.Version > after.Version {
			rows.Rows = append(rows.Rows, row)
		}
	}
	if len(rows.Rows) > s.page {
		rows.Rows, rows.More = rows.Rows[:s.page], true
		rows.At.Version = rows.Rows[s.page-1].Version
	}
	return rows, nil
}

func (s *loggedStore) Commit(context.Context, fleet.Txn) (fleet.Position, error) {
	return fleet.Position{}, nil
}

// requireGoneWithin waits until the view lacks an endpoint.
func requireGoneWithin(t *testing.T, cache *directory.Cache, id string, within time.Duration) {
	t.Helper()
	since := time.Now()
	for cache.View().Endpoints[id] != nil {
		require.LessOrEqual(t, time.Since(since), within, "%s is still in the view", id)
		time.Sleep(10 * time.Millisecond)
	}
}

// requireKeptFor checks that the view holds an endpoint all the while.
func requireKeptFor(t *testing.T, cache *directory.Cache, id string, span time.Duration) {
	t.Helper()
	for since := time.Now(); time.Since(since) < span; time.Sleep(10 * time.Millisecond) {
		require.Contains(t, cache.View().Endpoints, id, "after %v", time.Since(since))
	}
}

// Guards against requests to an endpoint that left after this node had been cut off: its own failed reads are no sign
// that the store lost entries, and what the store reports as new is no lapse.
func TestEndpointThatLeavesAfterACutIsGoneAtTheNextRead(t *testing.T) {
	ends := map[string]struct {
		how     absence
		tables  []string
		relayed bool
		age     time.Duration
	}{
		"cut off":                      {how: silent},
		"rejected":                     {how: rejects},
		"cut off, relayed":             {how: silent, relayed: true, age: 300 * time.Millisecond},
		"rejected, relayed":            {how: rejects, relayed: true, age: 300 * time.Millisecond},
		"operators' feed alone":        {how: silent, tables: []string{"op"}},
		"endpoints' feed alone":        {how: silent, tables: []string{"servers"}},
		"operators' feed alone refuse": {how: rejects, tables: []string{"op"}},
	}
	for name, end := range ends {
		for _, cut := range []time.Duration{3 * time.Second, 5500 * time.Millisecond, 6070 * time.Millisecond} {
			for _, later := range []time.Duration{time.Second, 1500 * time.Millisecond, 2 * time.Second} {
				t.Run(fmt.Sprint(name, "/", cut, "/", later), func(t *testing.T) {
					synctest.Test(t, func(t *testing.T) {
						store := newLoggedStore(t, "left", "stays")
						store.relayed, store.age = end.relayed, end.age
						cache, stop := follow(t, store)
						defer stop()
						time.Sleep(3 * time.Second)
						store.set(end.how, end.tables...)
						time.Sleep(cut)
						store.set(answers)
						time.Sleep(later)
						store.remove("left")
						requireGoneWithin(t, cache, "left", nextReadWithin)
						require.Contains(t, cache.View().Endpoints, "stays")
					})
				})
			}
		}
	}
}

// Guards against requests to an endpoint that left while a node was cut off, once the node is back for the users' bound.
func TestEndpointThatLeftInACutIsGoneOnceTheNodeIsBack(t *testing.T) {
	for _, how := range []absence{silent, rejects} {
		for _, cut := range []time.Duration{2 * time.Second, 5500 * time.Millisecond, 6070 * time.Millisecond, 7310 * time.Millisecond} {
			for _, relist := range []bool{false, true} {
				t.Run(fmt.Sprint(how, "/", cut, "/", relist), func(t *testing.T) {
					synctest.Test(t, func(t *testing.T) {
						store := newLoggedStore(t, "left", "stays")
						cache, stop := follow(t, store)
						defer stop()
						time.Sleep(3 * time.Second)
						store.set(how)
						time.Sleep(cut / 2)
						store.remove("left")
						if relist {
							store.dropHistory()
						}
						time.Sleep(cut - cut/2)
						store.set(answers)
						requireGoneWithin(t, cache, "left", inTouchAfter)
						require.Contains(t, cache.View().Endpoints, "stays")
					})
				})
			}
		}
	}
}

// Guards against sound endpoints given up as the store returns without their entries, which they write again within
// two seconds. One that doesn't is gone.
func TestEntriesThatLapsedWhileTheStoreWasAwayMayComeBack(t *testing.T) {
	for name, play := range map[string]func(s *loggedStore){
		"changes":                 func(s *loggedStore) { s.remove("back", "gone") },
		"changes, in small pages": func(s *loggedStore) { s.page = 1; s.remove("other", "back", "gone") },
		"list":                    func(s *loggedStore) { s.remove("back", "gone"); s.dropHistory() },
		"older copy":              func(s *loggedStore) { s.restoreTo(2) },
		"relayed":                 func(s *loggedStore) { s.relayed, s.age = true, 300*time.Millisecond; s.remove("back", "gone") },
	} {
		for _, how := range []absence{silent, rejects} {
			for _, away := range []time.Duration{2500 * time.Millisecond, 4 * time.Second, 5770 * time.Millisecond, 7 * time.Second} {
				t.Run(fmt.Sprint(name, "/", how, "/", away), func(t *testing.T) {
					synctest.Test(t, func(t *testing.T) {
						store := newLoggedStore(t, "stays", "other", "back", "gone")
						cache, stop := follow(t, store)
						defer stop()
						time.Sleep(3 * time.Second)
						store.set(how)
						time.Sleep(away)
						play(store)
						store.set(answers)
						requireKeptFor(t, cache, "back", backWithin)
						store.write(t, "back")
						requireGoneWithin(t, cache, "gone", inTouchAfter-backWithin+nextReadWithin)
						requireKeptFor(t, cache, "back", 5*time.Second)
						require.Contains(t, cache.View().Endpoints, "stays")
					})
				})
			}
		}
	}
}

// Guards against requests to an endpoint that left after the store's return: what the store reports as new after its
// first answer is no lapse, whether it was restored, told the node to list, or just came back.
func TestEndpointThatLeavesAfterTheStoresReturnIsGoneAtTheNextRead(t *testing.T) {
	for name, play := range map[string]func(s *loggedStore){
		"came back":  func(*loggedStore) {},
		"list":       (*loggedStore).dropHistory,
		"older copy": func(s *loggedStore) { s.restoreTo(2) },
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				store := newLoggedStore(t, "left", "stays", "later")
				cache, stop := follow(t, store)
				defer stop()
				time.Sleep(3 * time.Second)
				store.set(silent)
				time.Sleep(5 * time.Second)
				play(store)
				store.set(answers)
				time.Sleep(1500 * time.Millisecond)
				store.remove("left")
				requireGoneWithin(t, cache, "left", nextReadWithin)
				require.Contains(t, cache.View().Endpoints, "stays")
			})
		})
	}
}

// Guards against an endpoint that is kept though a sound store, whose history is gone, lists no entry of it.
func TestEndpointThatAListOfASoundStoreLacksIsGoneAtOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := newLoggedStore(t, "left", "stays")
		cache, stop := follow(t, store)
		defer stop()
		time.Sleep(3 * time.Second)
		store.remove("left")
		store.dropHistory()
		requireGoneWithin(t, cache, "left", 2*nextReadWithin)
		require.Contains(t, cache.View().Endpoints, "stays")
	})
}
