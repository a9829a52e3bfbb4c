package soak

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"os"
	"strconv"
	"time"

	"redwinghall/platform/platformtest"
)

// connectTimeout is the callers' timeout for a new connection.
const connectTimeout = time.Second

// connection is a caller's connection to a node. Unlike Go's HTTP client it never
// resends a request by itself, so that every closed connection is observed.
type connection struct {
	node   *nodeProcess
	conn   net.Conn
	reader *bufio.Reader
	used   bool
	// openedAt is when the connection was open.
	openedAt time.Time
	// stopCloseOnDone unregisters the function that closes the connection when the
	// context of the run ends.
	stopCloseOnDone func() bool
}

func connect(ctx context.Context, n *nodeProcess) (*connection, error) {
	dialer := net.Dialer{Timeout: connectTimeout}
	conn, err := dialer.DialContext(ctx, "tcp", n.settings.CallerAddress)
	if err != nil {
		return nil, err
	}
	c := &connection{node: n, conn: conn, reader: bufio.NewReader(conn), openedAt: time.Now()}
	c.stopCloseOnDone = context.AfterFunc(ctx, func() { _ = conn.Close() }) // the run has ended
	return c, nil
}

func (c *connection) close() {
	c.stopCloseOnDone()
	_ = c.conn.Close() // nothing more is read from it
}

// send sends the request of an exchange and records the response in it.
func (c *connection) send(r *http.Request, x *exchange) {
	x.node, x.reused, x.connectedAt, x.sent = c.node, c.used, c.openedAt, time.Now()
	c.used = true
	err := c.receive(r, x)
	x.incomplete, x.deadlineExceeded = err != nil, errors.Is(err, os.ErrDeadlineExceeded)
	x.ended = time.Now()
}

func (c *connection) receive(r *http.Request, x *exchange) error {
	if err := c.conn.SetDeadline(x.sent.Add(platformtest.RouteTimeout)); err != nil {
		return err
	}
	if err := r.Write(c.conn); err != nil {
		return err
	}
	head, err := http.ReadResponse(c.reader, r)
	if err != nil {
		return err
	}
	defer func() { _ = head.Body.Close() }() // the body was read, or reading failed
	x.status, x.connectionClose, x.retryAfter = head.StatusCode, head.Close, parseRetryAfter(head.Header)
	if x.onHead != nil {
		x.onHead(x.status)
	}
	body, err := io.ReadAll(head.Body)
	x.body = string(body)
	return err
}

// parseRetryAfter returns the delay that the Retry-After header asks for, or 0.
// Fractions of a second are allowed.
func parseRetryAfter(h http.Header) time.Duration {
	seconds, err := strconv.ParseFloat(h.Get("Retry-After"), 64)
	if err != nil {
		return 0
	}
	return time.Duration(seconds * float64(time.Second))
}
