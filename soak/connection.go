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

// connectTimeout is how long callers wait for a new connection.
const connectTimeout = time.Second

// connection is a caller's connection to a node. Unlike Go's client it never
// sends a request again by itself, so that each end of a connection is seen.
type connection struct {
	node   *nodeProcess
	conn   net.Conn
	reader *bufio.Reader
	used   bool
	// unwatch stops the watch that closes it when its caller's run ends.
	unwatch func() bool
}

func connect(ctx context.Context, n *nodeProcess) (*connection, error) {
	dialer := net.Dialer{Timeout: connectTimeout}
	conn, err := dialer.DialContext(ctx, "tcp", n.settings.CallerAddress)
	if err != nil {
		return nil, err
	}
	c := &connection{node: n, conn: conn, reader: bufio.NewReader(conn)}
	c.unwatch = context.AfterFunc(ctx, func() { _ = conn.Close() }) // the run is over
	return c, nil
}

func (c *connection) close() {
	c.unwatch()
	_ = c.conn.Close() // nothing more is expected of it
}

// send sends an attempt's request and reads the answer into it.
func (c *connection) send(r *http.Request, x *exchange) {
	x.node, x.kept, x.sent = c.node, c.used, time.Now()
	c.used = true
	err := c.receive(r, x)
	x.broken, x.late = err != nil, errors.Is(err, os.ErrDeadlineExceeded)
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
	defer func() { _ = head.Body.Close() }() // it was read or failed
	x.status, x.last, x.retryIn = head.StatusCode, head.Close, retryAfter(head.Header)
	body, err := io.ReadAll(head.Body)
	x.body = string(body)
	return err
}

// retryAfter returns how long a node asks the caller to wait; fractions of a
// second are allowed.
func retryAfter(h http.Header) time.Duration {
	seconds, err := strconv.ParseFloat(h.Get("Retry-After"), 64)
	if err != nil {
		return 0
	}
	return time.Duration(seconds * float64(time.Second))
}
