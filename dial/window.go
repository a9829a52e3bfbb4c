package dial

import (
	"net"
	"sync/atomic"
	"time"

	"redwinghall/kernel"
)

const (
	// windowInterval is the time between two looks at a send queue that isn't empty. Some fall within unacknowledgedTimeout,
	// also where one of them is late.
	windowInterval = 500 * time.Millisecond
	// maxUnansweredProbes is how many probes of a closed window the other side leaves unanswered that is there: one is
	// under way, and one may be lost.
	maxUnansweredProbes = 2
)

// windowConn is a TCP connection whose other side may keep its receive window closed for as long as it answers probes.
//
// The operating system ends a connection after its user timeout also where the other side has acknowledged all, and has no room
// for what waits. An endpoint that reads slowly would lose a request that it runs, or an answer that it writes before it has read the
// request. So the timeout doesn't hold while the window is closed. Behind a cut the probes go unanswered, and it holds again.
type windowConn struct {
	*net.TCPConn
	watched   atomic.Bool // a look is due
	unlimited atomic.Bool // the user timeout doesn't hold
}

// Write implements net.Conn.
func (c *windowConn) Write(p []byte) (int, error) {
	c.watch()
	return c.TCPConn.Write(p)
}

// watch has the send queue looked at after windowInterval.
func (c *windowConn) watch() {
	if c.watched.CompareAndSwap(false, true) {
		time.AfterFunc(windowInterval, c.look)
	}
}

// look sets the user timeout by the send queue, and goes on watching until that is empty.
func (c *windowConn) look() {
	c.watched.Store(false) // before the look: a write after it is seen by the next one
	queue, err := kernel.NewSendQueue(c.TCPConn)
	if err != nil {
		return // the connection is closed
	}
	c.setUnlimited(queue.IsWindowClosed() && queue.UnansweredProbes <= maxUnansweredProbes)
	if !queue.IsEmpty() {
		c.watch()
	}
}

func (c *windowConn) setUnlimited(unlimited bool) {
	if c.unlimited.Swap(unlimited) == unlimited {
		return
	}
	timeout := unacknowledgedTimeout
	if unlimited {
		timeout = 0
	}
	if socket, err := c.SyscallConn(); err == nil {
		_ = kernel.LimitUnacknowledged(socket, timeout) // fails only on a connection that is closed
	}
}
