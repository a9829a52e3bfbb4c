package httpanswer

import (
	"context"
	"errors"
	"io"
	"net"
	"sync"
	"syscall"
	"time"

	"redwinghall/dial"
	"redwinghall/kernel"
)

// maxWriteWait is how long the end of a connection waits for a write that is in progress. One on a connection that was reset
// returns at once.
const maxWriteWait = 50 * time.Millisecond

// TrueEnds returns a function that opens connections by open, whose reads tell a reset from an end in order, and which discard
// a request that is given up (see dial.Discarding).
//
// A socket tells only once that it was reset: a write that is in progress gets the error, and a read finds a plain end then.
// Half an answer without a length would pass for a whole one.
func TrueEnds(open dial.Func) dial.Func {
	open = dial.Discarding(open)
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		opened, err := open(ctx, network, address)
		if err != nil {
			return nil, err
		}
		c := &endConn{Conn: opened}
		c.changed.L = &c.mu
		return c, nil
	}
}

// endConn is a connection whose reads tell a reset from an end in order.
type endConn struct {
	net.Conn

	mu       sync.Mutex
	changed  sync.Cond // of writing and late
	writing  bool
	late     bool  // the write in progress takes longer than it would on a connection that was reset
	writeErr error // of the first write that failed
}

// Write implements net.Conn.
func (c *endConn) Write(p []byte) (int, error) {
	c.mu.Lock()
	c.writing = true
	c.mu.Unlock()
	n, err := c.Conn.Write(p)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.writing = false
	if c.writeErr == nil {
		c.writeErr = err
	}
	c.changed.Broadcast()
	return n, err
}

// Read implements net.Conn.
func (c *endConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if errors.Is(err, io.EOF) && c.wasReset() {
		return n, &net.OpError{Op: "read", Net: "tcp", Source: c.LocalAddr(), Addr: c.RemoteAddr(), Err: syscall.ECONNRESET}
	}
	return n, err
}

// wasReset reports whether the connection, of which a read has found the end, was reset, or may have been.
func (c *endConn) wasReset() bool {
	if kernel.EndedByPeer(c.Conn) {
		return false
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.writing {
		timer := time.AfterFunc(maxWriteWait, c.setLate)
		defer timer.Stop()
	}
	for c.writing && !c.late {
		c.changed.Wait()
	}
	// A write fails with EPIPE if the other side had ended the connection in order before it reset it.
	return c.writing || (c.writeErr != nil && !errors.Is(c.writeErr, syscall.EPIPE))
}

func (c *endConn) setLate() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.late = true
	c.changed.Broadcast()
}

// NetConn returns the connection as it was opened.
func (c *endConn) NetConn() net.Conn { return c.Conn }

// SyscallConn implements syscall.Conn.
func (c *endConn) SyscallConn() (syscall.RawConn, error) {
	socket, ok := c.Conn.(syscall.Conn)
	if !ok {
		return nil, errors.ErrUnsupported
	}
	return socket.SyscallConn()
}
