package httpanswer_test

import (
	"context"
	"io"
	"net"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"redwinghall/httpanswer"
	"redwinghall/kernel"
)

// more than the sockets of a connection hold
const uploadBytes = 8 << 20

// dialUpload opens a connection to a server of one connection, and writes on it until a write fails.
func dialUpload(t *testing.T, serve func(conn *net.TCPConn)) (conn net.Conn, writeErr <-chan error) {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	g := kernel.NewGroup(t.Context())
	g.Go("server", func(context.Context) error {
		defer func() { _ = l.Close() }()
		accepted, err := l.Accept()
		if err != nil {
			return err
		}
		serve(accepted.(*net.TCPConn))
		return nil
	})
	conn, err = httpanswer.TrueEnds(new(net.Dialer).DialContext)(t.Context(), "tcp", l.Addr().String())
	require.NoError(t, err)
	failed := make(chan error, 1)
	g.Go("upload", func(context.Context) error {
		_, err := conn.Write(make([]byte, uploadBytes))
		failed <- err
		return nil
	})
	t.Cleanup(func() {
		_ = conn.Close() // it may be closed already
		require.NoError(t, g.Wait())
	})
	return conn, failed
}

// The write took the socket's only error, and half an answer ended like a whole one.
func TestResetThatAWriteWasToldOfIsNoEnd(t *testing.T) {
	t.Parallel()
	conn, failed := dialUpload(t, func(conn *net.TCPConn) {
		_, _ = io.WriteString(conn, "half") // the client checks it
		time.Sleep(20 * time.Millisecond)
		_ = conn.SetLinger(0)
		_ = conn.Close()
	})
	require.ErrorIs(t, <-failed, syscall.ECONNRESET)
	got, err := io.ReadAll(conn)
	require.Equal(t, "half", string(got))
	require.ErrorIs(t, err, syscall.ECONNRESET)
}

// A server may end its side while the upload is being written.
func TestEndInOrderBesideAWriteIsAnEnd(t *testing.T) {
	t.Parallel()
	hold := make(chan struct{})
	conn, _ := dialUpload(t, func(conn *net.TCPConn) {
		_, _ = io.WriteString(conn, "whole") // the client checks it
		_ = conn.CloseWrite()
		<-hold
		_ = conn.Close()
	})
	got, err := io.ReadAll(conn)
	close(hold)
	require.Equal(t, "whole", string(got))
	require.NoError(t, err)
}
