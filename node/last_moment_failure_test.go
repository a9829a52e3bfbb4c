package node_test

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"redwinghall/node"
	"redwinghall/platform/platformtest"
)

// beginUnreadStreams begins streams of which their callers read nothing.
func (d *deployment) beginUnreadStreams(count int) {
	for i := range count {
		conn, err := net.Dial("tcp", d.settings.CallerAddress)
		require.NoError(d.t, err)
		d.t.Cleanup(func() { _ = conn.Close() })
		require.NoError(d.t, conn.(*net.TCPConn).SetReadBuffer(4<<10))
		r, err := platformtest.NewRequest(d.t.Context(), http.MethodPost, d.settings.CallerAddress, "/stream/x", nil, platformtest.RequestInfo{
			ID: fmt.Sprint(i, strings.Repeat("x", 12<<10)), Key: "key-1", Model: "m0", Timeout: 8 * time.Second, Prompt: 100, Answer: longTokens,
		})
		require.NoError(d.t, err)
		require.NoError(d.t, r.Write(conn))
	}
}

// Guards against a node that outlasts its grace period as a part fails late in its stop beside a caller that reads nothing.
func TestPartThatFailsLateInAStopLeavesTheGrace(t *testing.T) {
	t.Parallel()
	d := deployWith(t, platformtest.EndpointConfig{Event: 100 * time.Microsecond, Events: 1 << 20}, platformtest.EndpointConfig{Work: slowCall})
	d.withGrace("2")
	end := d.startEnding(func(n *node.Node, stop context.CancelFunc) {
		stop()
		time.Sleep(1200 * time.Millisecond)
		n.FailPart(errPartFailed)
	})
	d.waitOpen()
	d.beginStream("warm-up")
	d.beginUnreadStreams(2)
	time.Sleep(1500 * time.Millisecond)
	require.Less(t, end(), 2*time.Second)
}
