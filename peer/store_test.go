package peer_test

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"redwinghall/peer"
	_ "redwinghall/rwhtest/fixedseed"
)

// An older "in" that arrives late from another process must not replace a newer
// "out". If the last message won, a zone that was taken out of service would
// receive requests again.
func TestOlderEntryNeverReplacesNewer(t *testing.T) {
	s := peer.NewStore()
	key := peer.KeyZoneState("tartu")
	require.Len(t, s.Apply(peer.Entry{Key: key, Number: 2, Value: []byte("out")}), 1)
	require.Empty(t, s.Apply(peer.Entry{Key: key, Number: 1, Value: []byte("in")}))
	require.Empty(t, s.Apply(peer.Entry{Key: key, Number: 2, Value: []byte("forged")}))
	e, ok := s.Get(key)
	require.True(t, ok)
	require.Equal(t, "out", string(e.Value))
}

func TestScopeKeepsZonesApart(t *testing.T) {
	s := peer.NewStore()
	s.Apply(peer.Entry{Key: peer.KeyManifest, Number: 1},
		peer.Entry{Key: peer.KeyGroup("tartu", "g"), Number: 1},
		peer.Entry{Key: peer.KeyGroup("tartu-2", "g"), Number: 1})
	require.Len(t, s.Marks(peer.ScopeOf("tartu", "tartu")), 2)
	require.Len(t, s.Marks(peer.ScopeOf("tartu", "parnu")), 1)
}

// Two stores that exchange what the other lacks become equal, whatever arrives in
// whatever order, and equal digests mean equal contents.
func TestStoresBecomeEqual(t *testing.T) {
	entry := rapid.Custom(func(rt *rapid.T) peer.Entry {
		return peer.Entry{
			Key:    fmt.Sprint("zone/a/group/", rapid.IntRange(0, 5).Draw(rt, "key")),
			Number: rapid.Uint64Range(1, 6).Draw(rt, "number"),
		}
	})
	rapid.Check(t, func(rt *rapid.T) {
		one, two := peer.NewStore(), peer.NewStore()
		one.Apply(rapid.SliceOf(entry).Draw(rt, "one")...)
		two.Apply(rapid.SliceOf(entry).Draw(rt, "two")...)
		scope := peer.ScopeOf("a", "a")
		same := one.Digest(scope) == two.Digest(scope)
		require.Equal(rt, same, len(one.Newer(scope, two.Marks(scope)))+len(two.Newer(scope, one.Marks(scope))) == 0)
		toTwo := one.Newer(scope, two.Marks(scope))
		one.Apply(two.Newer(scope, one.Marks(scope))...)
		two.Apply(toTwo...)
		require.Equal(rt, one.Digest(scope), two.Digest(scope))
		require.Equal(rt, one.List("zone/"), two.List("zone/"))
	})
}
