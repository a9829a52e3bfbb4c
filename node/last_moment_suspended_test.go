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

// Guards against a node that stood still past the end of its stop, and closes its connections before it has written the answers.
func TestNodeThatStoodStillPastItsEndAnswersWhatIsRunning(t *testing.T) {
	t.Parallel()
	d := deployWith(t, platformtest.EndpointConfig{Event: longPause, Events: longEvents}, platformtest.EndpointConfig{Work: slowCall})
	end := d.startEnding(func(n *node.Node, stop context.CancelFunc) {
		stop()
		time.Sleep(100 * time.Millisecond)
		n.Suspend(7700 * time.Millisecond)
	})
	d.waitOpen()
	c := newCallers(d)
	for _, id := range []string{"booking-0", "booking-1", "booking-2"} {
		c.send(id, "/book/x")
		time.Sleep(20 * time.Millisecond) // one after the other, so that all find room
	}
	require.Eventually(t, func() bool { return d.runs("booking-", 3) == 3 }, 5*time.Second, 10*time.Millisecond)
	end()
	for id, one := range c.wait() {
		require.Equal(t, http.StatusBadGateway, one.status, id)
	}
}
