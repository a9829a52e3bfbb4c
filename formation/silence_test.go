package formation_test

import (
	"context"
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// All endpoints fall silent to the holder within 0.1 s, and answer again later: no group loses its streams.
func TestSilenceOfAllEndpointsEndsNoGroup(t *testing.T) {
	for _, silence := range []time.Duration{600, 650, 700, 800, 1000, 1300, 2000, 3000, 6000} {
		for _, apart := range []time.Duration{0, 30, 100} {
			t.Run(fmt.Sprintf("%d_ms,_%d_ms_apart", silence, apart), func(t *testing.T) {
				runDefault(t, func(t *testing.T, f *fakeZone, n *node) {
					before := f.memberships()
					i := 0
					for id := range before {
						f.isolate(id, (silence+time.Duration(i)*apart/time.Duration(len(before)))*time.Millisecond)
						i++
					}
					for range int(silence+apart) / 50 {
						for _, model := range []string{"large", "small"} {
							for _, head := range f.servingHeads(model) {
								n.manager.ReportStall(context.Background(), head.ID)
							}
						}
						time.Sleep(50 * time.Millisecond)
					}
					time.Sleep(15 * time.Second)
					require.Equal(t, before, f.memberships())
					require.Empty(t, f.cancelled)
				})
			})
		}
	}
}

// memberships returns the group of each endpoint.
func (f *fakeZone) memberships() map[string]string {
	f.mu.Lock()
	defer f.mu.Unlock()
	groups := map[string]string{}
	for id, w := range f.workers {
		groups[id] = w.Member.Group
	}
	return groups
}
