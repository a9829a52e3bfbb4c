package formation_test

import (
	"context"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// Callers' streams stand still from one moment to the next. Their group's head
// leaves: it has stopped listening, works its streams off, and its entry, which
// the store didn't take, still says open. The holder asks the head, is refused,
// takes it for ended, and joins its members to another group while it serves.
func TestMembersOfAHeadThatStoppedListening(t *testing.T) {
	for name, handOver := range map[string]bool{"same holder": false, "new holder": true} {
		for _, model := range []string{"large", "small"} {
			t.Run(name+" "+model, func(t *testing.T) {
				play(t, func(t *testing.T, f *farm, n *node) {
					w := f.whole(model)[0]
					holder := n
					if handOver {
						n.holds = false
						holder = manage(f, false)
						defer holder.stop(t)
						holder.begun = true
						time.Sleep(300 * time.Millisecond)
					}
					f.deafen(w.ID)
					holder.manager.Stalled(context.Background(), w.ID)
					time.Sleep(5 * time.Second)
					f.mu.Lock()
					defer f.mu.Unlock()
					require.Empty(t, f.broken)
				})
			})
		}
	}
}
