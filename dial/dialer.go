package dial

import (
	"context"
	"net"
	"syscall"
	"time"

	"redwinghall/kernel"
)

// Func opens a connection. Errors before the connection is open are of type net.OpError
// with the operation "dial".
type Func func(ctx context.Context, network, address string) (net.Conn, error)

// Keep-alive probes find connections without unacknowledged bytes whose other side no longer responds.
const (
	keepAliveIdle     = time.Second
	keepAliveInterval = time.Second
	keepAliveCount    = 2
)

// unacknowledgedTimeout is how long the other side of a connection may leave bytes unacknowledged. Together with the time in
// which all nodes know of a change it lies within the 4 s after which no request goes by what held before. It falls between
// the last keep-alive probe and the time at which that has failed, so that it changes nothing of those.
const unacknowledgedTimeout = 2500 * time.Millisecond

// Dialer opens connections that carry requests.
type Dialer struct{ base net.Dialer }

// NewDialer returns a dialer whose connections end by themselves when the other side no longer responds.
//
// No keep-alive probes are sent while bytes are unacknowledged. The operating system goes on sending those behind a cut, and
// they arrive however long it lasts.
func NewDialer() *Dialer {
	return &Dialer{net.Dialer{
		KeepAliveConfig: net.KeepAliveConfig{Enable: true, Idle: keepAliveIdle, Interval: keepAliveInterval, Count: keepAliveCount},
		Control: func(_, _ string, socket syscall.RawConn) error {
			_ = kernel.LimitUnacknowledged(socket, unacknowledgedTimeout) // a connection without it is better than none
			return nil
		},
	}}
}

// DialContext is a Func.
func (d *Dialer) DialContext(ctx context.Context, network, address string) (net.Conn, error) {
	conn, err := d.base.DialContext(ctx, network, address)
	if err != nil {
		return nil, err
	}
	if tcp, ok := conn.(*net.TCPConn); ok {
		return &windowConn{TCPConn: tcp}, nil
	}
	return conn, nil
}
