package dial

import (
	"context"
	"errors"
	"net"
	"sync/atomic"
	"syscall"

	"redwinghall/kernel"
)

// Discarding returns a function that opens connections by open, on which a request that is given up doesn't arrive later.
//
// The operating system goes on sending what was written behind a cut, also on a connection that was closed and after the end
// of the process. A request would run long after its caller has got an answer, at an endpoint or in a zone that has
// been taken out since. So a connection is reset if it is closed before a byte of an answer came, or if the process ends. One on
// which no request is in progress ends in order: a reset takes what the other side hasn't read.
func Discarding(open Func) Func {
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		conn, err := open(ctx, network, address)
		if err != nil {
			return nil, err
		}
		_ = kernel.ResetOnClose(conn, true) // before the end of the process, which leaves no time for it
		return &discardingConn{Conn: conn}, nil
	}
}

// discardingConn is a connection that is reset if it is closed while a request is unanswered.
type discardingConn struct {
	net.Conn
	unanswered atomic.Bool // a request has begun, and no byte came since
}

// BeginRequest records that a request begins on a connection that Discarding has opened, or on one that wraps it.
func BeginRequest(conn net.Conn) {
	for conn != nil {
		if c, ok := conn.(*discardingConn); ok {
			c.unanswered.Store(true)
			return
		}
		wrapper, ok := conn.(interface{ NetConn() net.Conn })
		if !ok {
			return
		}
		conn = wrapper.NetConn()
	}
}

// Read implements net.Conn.
func (c *discardingConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if n > 0 && c.unanswered.Load() {
		c.unanswered.Store(false)
	}
	return n, err
}

// Close implements net.Conn.
func (c *discardingConn) Close() error {
	if !c.unanswered.Load() {
		_ = kernel.ResetOnClose(c.Conn, false) // fails only on a connection that is closed already
	}
	return c.Conn.Close()
}

// NetConn returns the connection as it was opened.
func (c *discardingConn) NetConn() net.Conn { return c.Conn }

// SyscallConn implements syscall.Conn.
func (c *discardingConn) SyscallConn() (syscall.RawConn, error) {
	socket, ok := c.Conn.(syscall.Conn)
	if !ok {
		return nil, errors.ErrUnsupported
	}
	return socket.SyscallConn()
}
