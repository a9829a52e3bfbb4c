package node_test

import (
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"redwinghall/kernel"
	"redwinghall/platform/platformtest"
)

// answeredPerSecond is how many requests the nodes must answer a second, while they run, beside an
// endpoint that leaves.
const answeredPerSecond = 20

// lateWhileRunning returns the requests that came later than the drain time by the time for which
// this process, in which the nodes run, wasn't paused. A paused node reads nothing.
func lateWhileRunning(late []platformtest.LateRequest) []platformtest.LateRequest {
	return slices.DeleteFunc(late, func(one platformtest.LateRequest) bool {
		return kernel.RunTime(one.ToldAt, one.At) <= platformtest.DrainTime
	})
}

// An endpoint that leaves says so in its responses only: its entry is not updated, or the
// store doesn't respond. Nodes that went on sending to it would lose requests when it
// exits.
func TestNodesSendNothingToAnEndpointThatSaysItLeaves(t *testing.T) {
	forEachDeployment(t, func(t *testing.T, nodes map[string]int, method, path string) {
		for store, faults := range map[string]platformtest.Faults{"store": {}, "no store": {Silent: true}} {
			t.Run(store, func(t *testing.T) {
				t.Parallel()
				z := deployZones(t, nodes)
				leaves := z.serving(t, path)
				z.awaitOthers(t)
				z.nodes[0].store.SetFaults(faults)
				leaves.AnnounceLeaving()
				begun := time.Now()
				answered := z.runCallers(t, 5*time.Second, method, path)
				ran := kernel.RunTime(begun, time.Now())
				told, late := leaves.AfterLeaving()
				require.Positive(t, told)
				require.Empty(t, lateWhileRunning(late), "requests after the drain time")
				require.Greater(t, float64(answered), answeredPerSecond*ran.Seconds(), "the other endpoints serve")
			})
		}
	})
}

// awaitOthers waits until each node knows more than one group that serves: without the store no further ones are formed.
func (z *zonedDeployment) awaitOthers(t *testing.T) {
	t.Helper()
	for _, d := range z.nodes {
		require.Eventually(t, func() bool { return d.node.Serving("llm") > 1 }, 20*time.Second, 20*time.Millisecond, d.settings.Node)
	}
}
