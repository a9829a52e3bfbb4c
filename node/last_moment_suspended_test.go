package node_test

import (
	"context"
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"redwinghall/node"
	"redwinghall/platform/platformtest"
)

// Guards against a node that waits for the load balancer while its VM was suspended for most of the grace period, and has no
// time left to answer what is running.
func TestSuspendedNodeAnswersWhatIsRunning(t *testing.T) {
	t.Parallel()
	const suspended = 5500 * time.Millisecond
	d := deployWith(t, platformtest.EndpointConfig{Event: longPause, Events: longEvents}, platformtest.EndpointConfig{Work: slowCall})
	end := d.startEnding(func(n *node.Node, stop context.CancelFunc) {
		stop()
		time.Sleep(100 * time.Millisecond)
		n.Suspend(suspended)
	})
	d.waitOpen()
	c := newCallers(d)
	c.send("booking", "/book/x")
	require.Eventually(t, func() bool { return d.runCounter.Runs("booking") > 0 }, 5*time.Second, 10*time.Millisecond)
	require.Less(t, end()+suspended, 8*time.Second)
	require.Equal(t, http.StatusBadGateway, c.wait()["booking"].status)
}
