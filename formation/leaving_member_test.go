package formation_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"redwinghall/fleet"
)

// A member says in a response that it leaves, while its entry still says that it is ready.
// Its group must be formed again without it before it exits.
func TestMemberThatSaysItLeavesIsReplaced(t *testing.T) {
	for rank, name := range []string{"the head", "a member"} {
		t.Run(name, func(t *testing.T) {
			runDefault(t, func(t *testing.T, f *fakeZone, n *node) {
				member, _ := memberOf(f, "large", rank)
				n.set(func() { n.leaving[member] = true })
				time.Sleep(8 * time.Second)
				require.Len(t, f.servingHeads("large"), 2)
				f.mu.Lock()
				defer f.mu.Unlock()
				require.Equal(t, fleet.EndpointReady, f.workers[member].State)
				for _, w := range f.workers {
					if w.Member.State == fleet.Open {
						require.NotContains(t, w.members, member)
					}
				}
			})
		})
	}
}
