package kernel

import (
	"errors"
	"net"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

// NewListener returns a listener whose connections count read deadlines by the time for which this
// process runs.
//
// net/http closes a connection without a response if a request is not read within a timeout. If the
// process is paused for longer than that while a request arrives, the request lies in the socket
// when the process runs again, and its caller would lose it.
func NewListener(l net.Listener) net.Listener { return listener{l} }

type listener struct{ net.Listener }

// Accept implements net.Listener.
func (l listener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &conn{Conn: c}, nil
}

// conn is a connection whose read deadline is counted by RunTime.
type conn struct {
	net.Conn

	mu       sync.Mutex
	timer    *Timer    // nil until a deadline is set
	deadline time.Time // of reads, zero if none is set

	lastRead atomic.Pointer[time.Time] // nil before the first read that brought bytes
}

// Read implements net.Conn.
func (c *conn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if n > 0 {
		now := time.Now()
		c.lastRead.Store(&now)
	}
	return n, err
}

// SetReadDeadline implements net.Conn. A deadline that has passed takes effect at once.
func (c *conn) SetReadDeadline(deadline time.Time) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.timer != nil {
		c.timer.Stop()
	}
	c.deadline = deadline
	left := time.Until(deadline)
	if deadline.IsZero() || left <= 0 {
		return c.Conn.SetReadDeadline(deadline)
	}
	if err := c.Conn.SetReadDeadline(time.Time{}); err != nil {
		return err
	}
	if c.timer == nil {
		c.timer = AfterFunc(left, c.endReads)
	} else {
		c.timer.Reset(left)
	}
	return nil
}

// endReads makes reads fail, unless a later deadline was set meanwhile.
func (c *conn) endReads() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.deadline.IsZero() && !time.Now().Before(c.deadline) {
		_ = c.Conn.SetReadDeadline(c.deadline) // fails only if the connection is closed
	}
}

// SetDeadline implements net.Conn.
func (c *conn) SetDeadline(deadline time.Time) error {
	if err := c.SetWriteDeadline(deadline); err != nil {
		return err
	}
	return c.SetReadDeadline(deadline)
}

// NetConn returns the connection without this one's deadlines.
func (c *conn) NetConn() net.Conn { return c.Conn }

// SyscallConn implements syscall.Conn.
func (c *conn) SyscallConn() (syscall.RawConn, error) {
	socket, ok := c.Conn.(syscall.Conn)
	if !ok {
		return nil, errors.ErrUnsupported
	}
	return socket.SyscallConn()
}

// Close implements net.Conn.
func (c *conn) Close() error {
	c.mu.Lock()
	if c.timer != nil {
		c.timer.Stop()
	}
	c.mu.Unlock()
	return c.Conn.Close()
}
