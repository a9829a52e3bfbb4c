package httpanswer_test

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"redwinghall/dial"
	"redwinghall/httpanswer"
	"redwinghall/kernel"
	"redwinghall/standin/link"
)

// longestUnacknowledged is how long after its sending a request that nobody takes may still arrive: a decision of operators is
// known to all nodes then, and in force.
const longestUnacknowledged = 4 * time.Second

// serveOne accepts one connection, hands it to serve, and returns the server's address.
func serveOne(t *testing.T, serve func(conn *net.TCPConn) error) (address string, done func() error) {
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
		defer func() { _ = accepted.Close() }()
		return serve(accepted.(*net.TCPConn))
	})
	return l.Addr().String(), g.Wait
}

func newTransport() *httpanswer.Transport {
	return httpanswer.New(&http.Transport{DialContext: dial.NewDialer().DialContext})
}

var errArrived = errors.New("the connection ended in order")

// What was written on a connection that is closed in order still arrives, whenever its path is back.
func TestRequestThatIsGivenUpIsReset(t *testing.T) {
	t.Parallel()
	ctx, giveUp := context.WithCancel(t.Context())
	address, done := serveOne(t, func(conn *net.TCPConn) error {
		reader := bufio.NewReader(conn)
		if _, err := http.ReadRequest(reader); err != nil {
			return err
		}
		giveUp()
		if _, err := reader.ReadByte(); !errors.Is(err, syscall.ECONNRESET) {
			return errors.Join(errArrived, err)
		}
		return nil
	})
	r, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+"/", nil)
	require.NoError(t, err)
	_, err = newTransport().RoundTrip(r)
	require.ErrorIs(t, err, context.Canceled)
	require.NoError(t, done())
}

// A reset may take what the other side hasn't read yet, as the rest of a request whose answer came early.
func TestConnectionWithoutARequestEndsInOrder(t *testing.T) {
	t.Parallel()
	const answers = 2
	address, done := serveOne(t, func(conn *net.TCPConn) error {
		reader := bufio.NewReader(conn)
		for range answers {
			if _, err := http.ReadRequest(reader); err != nil {
				return err
			}
			if _, err := io.WriteString(conn, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"); err != nil {
				return err
			}
		}
		if _, err := reader.ReadByte(); !errors.Is(err, io.EOF) {
			return err
		}
		return nil
	})
	transport := newTransport()
	for range answers {
		r, err := http.NewRequestWithContext(t.Context(), http.MethodGet, "http://"+address+"/", nil)
		require.NoError(t, err)
		response, err := transport.RoundTrip(r)
		require.NoError(t, err)
		_, err = io.Copy(io.Discard, response.Body)
		require.NoError(t, err)
		require.NoError(t, response.Body.Close())
	}
	transport.CloseIdleConnections()
	require.NoError(t, done())
}

// A request that was written behind a cut arrived whenever the cut ended, although its endpoint had been taken out meanwhile.
func TestBytesThatNobodyAcknowledgesAreGivenUp(t *testing.T) {
	t.Parallel()
	isCut, given := make(chan struct{}), make(chan struct{})
	var arrived []byte
	address, done := serveOne(t, func(conn *net.TCPConn) error {
		reader := bufio.NewReader(conn)
		if _, err := http.ReadRequest(reader); err != nil {
			return err
		}
		if err := link.DropSegments(conn); err != nil {
			return err
		}
		if _, err := io.WriteString(conn, okHead+okBody); err != nil {
			return err
		}
		close(isCut)
		<-given
		if err := link.PassSegments(conn); err != nil {
			return err
		}
		if err := conn.SetReadDeadline(time.Now().Add(2 * longestUnacknowledged)); err != nil { // longer than a kernel waits before it sends them again
			return err
		}
		var err error
		arrived, err = io.ReadAll(reader)
		if err == nil {
			return errArrived
		}
		return nil
	})
	transport := newTransport()
	send := func(ctx context.Context, body io.Reader) error {
		r, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+address+"/", body)
		require.NoError(t, err)
		response, err := transport.RoundTrip(r)
		if err != nil {
			return err
		}
		_, err = io.Copy(io.Discard, response.Body)
		return errors.Join(err, response.Body.Close())
	}
	require.NoError(t, send(t.Context(), nil))
	<-isCut
	ctx, cancel := context.WithTimeout(t.Context(), longestUnacknowledged)
	defer cancel()
	err := send(ctx, bytes.NewReader(make([]byte, 1<<10)))
	close(given)
	require.Error(t, err)
	require.NoError(t, ctx.Err(), "it wasn't given up in time")
	require.NoError(t, done())
	require.Empty(t, arrived)
}
