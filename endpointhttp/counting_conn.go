package endpointhttp

import (
	"errors"
	"net"
	"sync"
	"time"

	"redwinghall/kernel"
)

// maxReadWait is how long a request waits until its reused connection is read, which it is within microseconds.
const maxReadWait = 50 * time.Millisecond

// countingConn counts the bytes written, to identify requests that were never sent.
//
// On a reused connection it begins to write a request only while the connection is being read: net/http gives an idle
// connection to the next request before it looks whether bytes came behind the last response. It would send the request,
// take them for its response, and nobody would know whether it runs. While net/http has such bytes, it doesn't read: it
// closes the connection, or returns them as the response to a request that wasn't sent.
type countingConn struct {
	net.Conn
	idle   idleCloser
	opened time.Time
	// address counts the connections to the same address.
	address *addressConns

	mu      sync.Mutex
	changed sync.Cond // of reading, ended and late
	written int64
	writing bool
	reading bool
	ended   bool // no further byte may be written
	reused  bool // and no byte of the request has been written since
	late    bool // the request has waited for maxReadWait
	closed  bool
}

func newCountingConn(conn net.Conn, address *addressConns) *countingConn {
	c := &countingConn{Conn: conn, opened: time.Now(), address: address}
	c.changed.L = &c.mu
	return c
}

// begin records that a request gets the connection, and returns how many bytes were written before it.
func (c *countingConn) begin(reused bool) (before int64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.reused, c.late = reused, false
	return c.written
}

// isUnsent reports whether no byte has been written since so many were. None will be then: the failed request's own
// goroutine may be about to write.
func (c *countingConn) isUnsent(before int64) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.written != before || c.writing {
		return false
	}
	c.ended = true
	c.changed.Broadcast()
	return true
}

// endUnsent reports whether a reused connection brought a response although no byte of the request has been written. None
// will be then.
func (c *countingConn) endUnsent(before int64) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.reused || c.written != before || c.writing {
		return false
	}
	c.ended = true
	c.changed.Broadcast()
	return true
}

// Close implements net.Conn.
func (c *countingConn) Close() error {
	c.mu.Lock()
	if !c.closed {
		c.address.open.Add(-1)
	}
	c.closed, c.ended = true, true
	c.changed.Broadcast()
	c.mu.Unlock()
	return c.Conn.Close()
}

// NetConn returns the connection without this one's counts.
func (c *countingConn) NetConn() net.Conn { return c.Conn }

// Read implements net.Conn.
func (c *countingConn) Read(b []byte) (int, error) {
	c.setReading(true)
	defer c.setReading(false)
	n, err := c.Conn.Read(b)
	c.noteEnd(err)
	return n, err
}

// noteEnd records that the endpoint ended the connection while no request was in progress on it.
func (c *countingConn) noteEnd(err error) {
	if err != nil && !errors.Is(err, net.ErrClosed) && c.idle.isResting() {
		now := time.Now()
		c.address.endedAt.Store(&now)
	}
}

func (c *countingConn) setReading(reading bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.reading = reading
	c.changed.Broadcast()
}

// Write implements net.Conn.
func (c *countingConn) Write(b []byte) (int, error) {
	if !c.mayWrite() {
		return 0, ErrUnread
	}
	n, err := c.Conn.Write(b)
	c.noteEnd(err)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.written += int64(n)
	c.writing = false
	return n, err
}

// mayWrite reports whether bytes may be written, and waits until that is clear.
func (c *countingConn) mayWrite() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.reused && !c.ended && !c.isQuietLocked() {
		timer := time.AfterFunc(maxReadWait, c.setLate)
		defer timer.Stop()
	}
	for c.reused && !c.ended && !c.late && !c.isQuietLocked() {
		c.changed.Wait()
	}
	if c.ended || (c.reused && !c.isQuietLocked()) {
		return false
	}
	c.reused, c.writing = false, true
	return true
}

// isQuietLocked reports whether the connection is being read, and nothing came that the reader hasn't got yet.
//
// Bytes, or the end, may lie in the socket while the reader hasn't run, as after a pause of the process. A request that is sent
// then has no true answer.
func (c *countingConn) isQuietLocked() bool {
	return c.reading && kernel.UnreadBytes(c.Conn) == 0 && !kernel.EndedByPeer(c.Conn)
}

func (c *countingConn) setLate() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.late = true
	c.changed.Broadcast()
}
