package members_test

import (
	"context"
	"fmt"
	"maps"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"redwinghall/fleet"
)

// storeCopy is a copy of a store's content.
type storeCopy struct {
	version int64
	rows    map[string]fleet.Row
}

func (s *store) copy() storeCopy {
	s.mu.Lock()
	defer s.mu.Unlock()
	return storeCopy{version: s.version, rows: maps.Clone(s.rows)}
}

// restore restores the store from a copy, so that it assigns the same versions again.
func (s *store) restore(from storeCopy) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.version, s.rows = from.version, maps.Clone(from.rows)
	s.era++
}

// The store is restored with the lease row of a node that has lost the lease since. If that
// node took its lease back at once, while the current holder uses it too, a VM would be
// ordered to join two groups.
func TestRestoredLeaseIsNotTakenBesideItsHolder(t *testing.T) {
	f := newFleet(t, map[string]string{"a1": "a", "a2": "a"})
	f.run(10 * time.Second)
	old := f.holders("a")[0]
	kept := f.store.copy()
	f.store.down[old] = true
	f.run(7 * time.Second)
	require.NotEqual(t, old, f.holders("a")[0])
	f.store.down[old] = false
	f.store.restore(kept)
	f.run(10 * time.Second) // run checks that there is at most one holder at any time
	require.Len(t, f.holders("a"), 1)
}

// The store is restored from a copy in which the lease had been released and not yet taken
// by its current holder. A node that has just started must not take it while the holder
// still relies on the lost row.
func TestLeaseMissingFromTheCopyIsNotTakenBesideItsHolder(t *testing.T) {
	f := newFleet(t, map[string]string{"a1": "a", "a2": "a"})
	f.run(10 * time.Second)
	old := f.holders("a")[0]
	f.nodes[old].Leave(context.Background())
	f.dead[old] = true
	kept := f.store.copy()
	f.run(5 * time.Second)
	require.Len(t, f.holders("a"), 1)
	f.store.restore(kept)
	f.start("a0", "a")
	f.run(10 * time.Second)
	require.Len(t, f.holders("a"), 1)
}

// Nodes are killed, restart and lose their connection to the store, and the store is restored
// from copies some seconds old, in random order. There must be at most one holder at any time.
func TestOneHolderThroughStoreRestores(t *testing.T) {
	for seed := range uint64(100) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			random := rand.New(rand.NewPCG(seed, 3))
			f := newFleet(t, map[string]string{"a1": "a", "a2": "a", "a3": "a", "b1": "b"})
			f.run(8 * time.Second)
			var copies []storeCopy
			for range 60 {
				f.run(time.Duration(random.IntN(1500)) * time.Millisecond)
				name := []string{"a1", "a2", "a3"}[random.IntN(3)]
				switch random.IntN(5) {
				case 0:
					f.store.down[name] = !f.store.down[name]
				case 1:
					f.dead[name] = true
					f.run(time.Duration(random.IntN(1500)) * time.Millisecond)
					f.start(name, "a")
				case 2:
					if len(copies) > 0 {
						f.store.restore(copies[0])
						copies = nil
					}
				default:
					copies = append(copies, f.store.copy())
				}
			}
			clear(f.store.down)
			f.run(15 * time.Second)
			require.Len(t, f.holders("a"), 1)
			require.Len(t, f.nodes["b1"].Nodes(), 4)
		})
	}
}

// The store is restored from a copy without the row of a node that started later. The others
// must keep counting the node, and it must write its row again at once rather than when its
// next announcement is due.
func TestNodeMissingFromTheCopyStillCounts(t *testing.T) {
	f := newFleet(t, map[string]string{"a1": "a", "a2": "a"})
	f.run(10 * time.Second)
	kept := f.store.copy()
	f.start("a3", "a")
	f.run(11 * time.Second) // its next announcement is due seconds later
	require.Len(t, f.nodes["a1"].Nodes(), 3)
	f.store.restore(kept)
	written := 0
	for step := range 80 {
		f.run(100 * time.Millisecond)
		require.Len(t, f.nodes["a1"].Nodes(), 3)
		if _, ok := f.store.rows["node/a3"]; ok && written == 0 {
			written = step
		}
	}
	require.Positive(t, written)
	require.Less(t, written, 25, "within one read interval, in steps of 0.1 s")
	f.dead["a3"] = true
	f.run(time.Minute)
	require.Len(t, f.nodes["a1"].Nodes(), 2)
}

// After the store is restored from an older copy, holders must wait until the endpoints have
// written their entries again; otherwise they would form groups from outdated entries. A
// node that starts later learns from the holder's record that the wait is over.
func TestEraIsRecoveredAfterEntriesWereWrittenAgain(t *testing.T) {
	f := newFleet(t, map[string]string{"a1": "a", "a2": "a"})
	f.run(10 * time.Second)
	require.True(t, f.nodes["a1"].Recovered(0))
	kept := f.store.copy()
	f.run(2 * time.Second)
	f.store.restore(kept)
	f.start("a3", "a")
	f.run(4 * time.Second)
	for name, node := range f.nodes {
		require.False(t, node.Recovered(1), name)
	}
	f.run(6 * time.Second)
	for name, node := range f.nodes {
		require.True(t, node.Recovered(1), name)
	}
	f.start("a4", "a")
	f.run(500 * time.Millisecond)
	require.True(t, f.nodes["a4"].Recovered(1), "recovered according to the holder's record")
}
