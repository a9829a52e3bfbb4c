package formation_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// A node whose manager is pending polls the store four times a second for changes. It
// should do so only while a group forms or ends, not while a standby loads a model,
// which takes seconds.
func TestStandbyThatLoadsIsNotPending(t *testing.T) {
	runDefault(t, func(t *testing.T, f *fakeZone, n *node) {
		time.Sleep(3 * time.Second)
		require.False(t, n.manager.Pending())
		loads := f.loadCount()
		f.add("d0-new", "d0")
		time.Sleep(5 * time.Second)
		require.Greater(t, f.loadCount(), loads)
		require.False(t, n.manager.Pending())
		member, _ := memberOf(f, "large", 1)
		f.kill(member, false)
		pending := false
		for range 60 {
			time.Sleep(100 * time.Millisecond)
			pending = pending || n.manager.Pending()
		}
		require.True(t, pending, "a group forms again")
	})
}
