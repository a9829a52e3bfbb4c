package clienthttp

import (
	"errors"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"syscall"
	"time"
)

var errEvicted = errors.New("the connection was closed to make room")

// phase is what a connection is used for.
type phase int

const (
	phaseHead   phase = iota // the first head is awaited, or a head has begun
	phaseIdle                // between two requests
	phaseBody                // the body of a request comes
	phaseServed              // a request was read whole, and has no complete answer yet
)

// conn is the connection of a client. Its guard's pool guards all fields but writingSince.
type conn struct {
	net.Conn
	guard *Guard

	phase     phase
	since     time.Time // start of the phase
	head      head      // of the current or last request
	cost      int64     // what is counted for head
	body      int64     // bytes of the request's body that the handler has read
	bodyBytes int64     // bytes that came since the body began
	sent      bool      // the request was sent to an endpoint
	pipelined bool      // some of the request had come before the one before it was answered
	evicted   bool
	closed    bool
	waits     bool // for room for its head

	// writingSince is how long after processStart the present write began, 0 if there is none.
	writingSince atomic.Int64
}

// processStart is an origin of times that no change of the time of day moves.
var processStart = time.Now()

// Read implements net.Conn.
func (c *conn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if n > 0 && !c.guard.pool.recordRead(time.Now(), c, p[:n]) {
		return 0, errEvicted
	}
	return n, err
}

// Write implements net.Conn.
func (c *conn) Write(p []byte) (int, error) {
	c.writingSince.Store(int64(time.Since(processStart)))
	defer c.writingSince.Store(0)
	return c.Conn.Write(p)
}

// ended reports whether no request is read on the connection any more.
func (c *conn) ended() bool { return c.evicted || c.closed }

// Close implements net.Conn.
func (c *conn) Close() error {
	c.guard.remove(c)
	return c.Conn.Close()
}

// SyscallConn implements syscall.Conn.
func (c *conn) SyscallConn() (syscall.RawConn, error) {
	socket, ok := c.Conn.(syscall.Conn)
	if !ok {
		return nil, errors.ErrUnsupported
	}
	return socket.SyscallConn()
}

// find returns the connection of a guard within one that its server uses.
func find(from net.Conn) (*conn, bool) {
	for {
		if c, ok := from.(*conn); ok {
			return c, true
		}
		outer, ok := from.(interface{ NetConn() net.Conn })
		if !ok {
			return nil, false
		}
		from = outer.NetConn()
	}
}

// requestBody is the body of a request, whose connection is known to be served once it has ended.
type requestBody struct {
	io.ReadCloser
	conn   *conn
	length int64 // as announced, -1 if unknown
	read   int64
}

// Read implements io.Reader. It doesn't end the body of an evicted connection: the request must not run, as nobody would get
// its answer.
func (b *requestBody) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	b.read += int64(n)
	ended := errors.Is(err, io.EOF) || b.read == b.length
	if !b.conn.guard.pool.recordBody(time.Now(), b.conn, n, ended) {
		return 0, io.ErrUnexpectedEOF
	}
	return n, err
}

// watchBody makes the guard see how the body of a request comes.
func watchBody(r *http.Request, c *conn) {
	if r.Body == nil || r.Body == http.NoBody {
		return
	}
	c.guard.pool.beginBody(time.Now(), c)
	r.Body = &requestBody{ReadCloser: r.Body, conn: c, length: r.ContentLength}
}
