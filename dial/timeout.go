package dial

import (
	"context"
	"errors"
	"net"
	"os"
	"time"

	"redwinghall"
	"redwinghall/kernel"
)

// WithTimeout returns a function that opens a connection by open, and gives up once this process has
// run for timeout. The dialer's own timeout would end an attempt whose connection was opened while
// the process was paused.
//
// A panic in open is a failed attempt: net/http calls it where nothing recovers a panic.
func WithTimeout(open Func, timeout time.Duration) Func {
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		ctx, cancel := kernel.WithTimeout(ctx, timeout)
		defer cancel()
		conn, err := protect(ctx, open, network, address)
		if err != nil && errors.Is(context.Cause(ctx), context.DeadlineExceeded) {
			return nil, &net.OpError{Op: "dial", Net: network, Err: os.ErrDeadlineExceeded}
		}
		return conn, err
	}
}

func protect(ctx context.Context, open Func, network, address string) (conn net.Conn, err error) {
	err = kernel.Protect("dial", func() (err error) {
		conn, err = open(ctx, network, address)
		return err
	})
	if redwinghall.KindOf[kernel.Kind](err) == kernel.Panicked {
		return nil, &net.OpError{Op: "dial", Net: network, Err: err}
	}
	return conn, err
}
