package httpanswer_test

import (
	"bufio"
	"bytes"
	"context"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"redwinghall/standin/link"
)

// slowReadTime is how long an endpoint that is slow, and sound, may leave a request unread.
const slowReadTime = 5 * time.Second

const (
	okHead = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n"
	okBody = "ok"
)

// upload sends a body that the sockets don't hold, and returns the answer's body.
func upload(ctx context.Context, t *testing.T, address string) (string, error) {
	t.Helper()
	r, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+address+"/", bytes.NewReader(make([]byte, uploadBytes)))
	require.NoError(t, err)
	response, err := newTransport().RoundTrip(r)
	if err != nil {
		return "", err
	}
	defer func() { require.NoError(t, response.Body.Close()) }()
	body, err := io.ReadAll(response.Body)
	return string(body), err
}

// readUpload reads a request with its body.
func readUpload(conn net.Conn) error {
	r, err := http.ReadRequest(bufio.NewReader(conn))
	if err != nil {
		return err
	}
	_, err = io.Copy(io.Discard, r.Body)
	return err
}

// The kernel ended the connection of an endpoint that acknowledged all probes and left its receive window closed for 2.5 s: a booking
// that it would have run got 502.
func TestEndpointThatReadsLateIsWaitedFor(t *testing.T) {
	t.Parallel()
	address, done := serveOne(t, func(conn *net.TCPConn) error {
		time.Sleep(slowReadTime)
		if err := readUpload(conn); err != nil {
			return err
		}
		_, err := io.WriteString(conn, okHead+okBody)
		return err
	})
	body, err := upload(t.Context(), t, address)
	require.NoError(t, err)
	require.Equal(t, okBody, body)
	require.NoError(t, done())
}

// The same cut an answer short that had begun before its request was read.
func TestAnswerThatBeginsBeforeTheRequestIsReadIsWhole(t *testing.T) {
	t.Parallel()
	address, done := serveOne(t, func(conn *net.TCPConn) error {
		if _, err := io.WriteString(conn, okHead); err != nil {
			return err
		}
		time.Sleep(slowReadTime)
		if err := readUpload(conn); err != nil {
			return err
		}
		_, err := io.WriteString(conn, okBody)
		return err
	})
	body, err := upload(t.Context(), t, address)
	require.NoError(t, err)
	require.Equal(t, okBody, body)
	require.NoError(t, done())
}

// A slow reader that is cut off is no slow reader: what it hasn't taken must not arrive when the cut ends.
func TestSlowReaderThatIsCutOffIsGivenUp(t *testing.T) {
	t.Parallel()
	given := make(chan struct{})
	address, done := serveOne(t, func(conn *net.TCPConn) error {
		time.Sleep(time.Second) // its window has closed
		if _, err := io.CopyN(io.Discard, conn, uploadBytes/4); err != nil {
			return err
		}
		if err := link.DropSegments(conn); err != nil {
			return err
		}
		<-given
		return nil
	})
	ctx, cancel := context.WithTimeout(t.Context(), time.Second+longestUnacknowledged)
	defer cancel()
	_, err := upload(ctx, t, address)
	close(given)
	require.Error(t, err)
	require.NoError(t, ctx.Err(), "it wasn't given up in time")
	require.NoError(t, done())
}
