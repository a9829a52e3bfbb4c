// Package lateread holds back what a connection received from its reader.
package lateread

import (
	"net"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"redwinghall/kernel"
)

// Conn is a connection whose reader hasn't run since its first read, as after a pause of the process.
type Conn struct {
	*net.TCPConn
	// Reads is how many reads have begun. All but the first wait until Runs is closed.
	Reads atomic.Int64
	Runs  chan struct{}
}

// Read implements net.Conn.
func (c *Conn) Read(b []byte) (int, error) {
	if c.Reads.Add(1) > 1 {
		<-c.Runs
	}
	return c.TCPConn.Read(b)
}

// AwaitUnread waits until the other side's bytes, or its end, lie unread in the socket.
func (c *Conn) AwaitUnread(t *testing.T) {
	t.Helper()
	require.Eventually(t, func() bool { return kernel.UnreadBytes(c) > 0 || kernel.EndedByPeer(c) }, 2*time.Second, time.Millisecond)
}
