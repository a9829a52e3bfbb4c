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

// storeCopy is what a store held at one moment.
type storeCopy struct {
	version int64
	rows    map[string]fleet.Row
}

func (s *store) copy() storeCopy {
	s.mu.Lock()
	defer s.mu.Unlock()
	return storeCopy{version: s.version, rows: maps.Clone(s.rows)}
}

// goBack lets the store come back from a copy. Versions are given out again.
func (s *store) goBack(from storeCopy) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.version, s.rows = from.version, maps.Clone(from.rows)
	s.era++
}

// The store comes back with the row of a holder that has lost the lease since. It takes its
// own lease back at once, beside the one that had it: a VM is told to join two groups.
func TestRestoredLeaseIsNotTakenBesideItsHolder(t *testing.T) {
	f := newFleet(t, map[string]string{"a1": "a", "a2": "a"})
	f.run(10 * time.Second)
	old := f.holders("a")[0]
	kept := f.store.copy()
	f.store.down[old] = true
	f.run(7 * time.Second)
	require.NotEqual(t, old, f.holders("a")[0])
	f.store.down[old] = false
	f.store.goBack(kept)
	f.run(10 * time.Second) // at each moment there is one holder at most
	require.Len(t, f.holders("a"), 1)
}

// The store comes back without a holder's lease, which was given up in its copy. A node that
// has just started takes it while the holder goes by what is gone.
func TestLeaseThatTheCopyLacksIsNotTakenBesideItsHolder(t *testing.T) {
	f := newFleet(t, map[string]string{"a1": "a", "a2": "a"})
	f.run(10 * time.Second)
	old := f.holders("a")[0]
	f.nodes[old].Leave(context.Background())
	f.dead[old] = true
	kept := f.store.copy()
	f.run(5 * time.Second)
	require.Len(t, f.holders("a"), 1)
	f.store.goBack(kept)
	f.start("a0", "a")
	f.run(10 * time.Second)
	require.Len(t, f.holders("a"), 1)
}

// Nodes are killed, start again and lose the store, and it comes back from copies some
// seconds old, in any order.
func TestOneHolderThroughReturnsOfTheStore(t *testing.T) {
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
						f.store.goBack(copies[0])
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

// The store comes back without the row of a node that started since. The others count it on,
// and it writes its row again at once, and not when that is due.
func TestNodeThatTheCopyLacksIsCountedOn(t *testing.T) {
	f := newFleet(t, map[string]string{"a1": "a", "a2": "a"})
	f.run(10 * time.Second)
	kept := f.store.copy()
	f.start("a3", "a")
	f.run(11 * time.Second) // its next announcement is due seconds later
	require.Len(t, f.nodes["a1"].Nodes(), 3)
	f.store.goBack(kept)
	written := 0
	for step := range 80 {
		f.run(100 * time.Millisecond)
		require.Len(t, f.nodes["a1"].Nodes(), 3)
		if _, ok := f.store.rows["node/a3"]; ok && written == 0 {
			written = step
		}
	}
	require.Positive(t, written)
	require.Less(t, written, 25, "within an interval of reading, in steps of 0.1 s")
	f.dead["a3"] = true
	f.run(time.Minute)
	require.Len(t, f.nodes["a1"].Nodes(), 2)
}

// Holders form groups by entries that are older than what endpoints had written, unless they
// wait until these have written again. Who starts later doesn't wait.
func TestEraIsSettledAfterEntriesWereWrittenAgain(t *testing.T) {
	f := newFleet(t, map[string]string{"a1": "a", "a2": "a"})
	f.run(10 * time.Second)
	require.True(t, f.nodes["a1"].Settled(0))
	kept := f.store.copy()
	f.run(2 * time.Second)
	f.store.goBack(kept)
	f.start("a3", "a")
	f.run(4 * time.Second)
	for name, node := range f.nodes {
		require.False(t, node.Settled(1), name)
	}
	f.run(6 * time.Second)
	for name, node := range f.nodes {
		require.True(t, node.Settled(1), name)
	}
	f.start("a4", "a")
	f.run(500 * time.Millisecond)
	require.True(t, f.nodes["a4"].Settled(1), "the holder's record says so")
}
