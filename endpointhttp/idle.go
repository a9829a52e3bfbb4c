package endpointhttp

import (
	"net"
	"sync"
	"time"
)

const (
	// idleMargin is how much earlier than the endpoint this node closes an idle
	// connection. It covers the time of a request to the endpoint.
	idleMargin = 500 * time.Millisecond
	// maxIdleMarginShare bounds the margin for short timeouts, as a share of them.
	maxIdleMarginShare = 0.25
	// excessIdle is how long a connection stays idle that is beyond what this node keeps: other nodes may
	// need it, as an endpoint accepts only so many.
	excessIdle = 500 * time.Millisecond
)

// idleCloser closes an idle connection before its endpoint does. The zero value closes
// nothing until a timeout is set.
//
// A request that is sent while the endpoint closes the connection gets no response. It
// may have run, so one that must not run twice could neither be retried nor be refused
// as not run.
type idleCloser struct {
	mu      sync.Mutex
	timeout time.Duration // 0 if the endpoint stated none
	uses    int64         // requests that began on the connection
	resting bool          // no request is in progress
	timer   *time.Timer
}

// setTimeout sets the endpoint's idle timeout.
func (c *idleCloser) setTimeout(timeout time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.timeout = timeout
}

// begin records that a request begins, and returns its number.
func (c *idleCloser) begin() int64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.resting = false
	return c.use()
}

// use records that the connection is used, and returns the number of its use. The caller must hold mu.
func (c *idleCloser) use() int64 {
	c.uses++
	if c.timer != nil {
		c.timer.Stop()
	}
	return c.uses
}

// ask records that a question begins on the connection, behind which it is closed.
func (c *idleCloser) ask() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.use()
}

func (c *idleCloser) isResting() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.resting
}

// end records that the connection is idle after a request, and whether it is beyond what this node keeps. The
// next request may have begun already.
func (c *idleCloser) end(use int64, conn net.Conn, excess bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.uses != use {
		return
	}
	c.resting = true
	if c.timeout == 0 && !excess {
		return
	}
	limit := c.timeout - min(idleMargin, time.Duration(maxIdleMarginShare*float64(c.timeout)))
	if excess && (limit == 0 || limit > excessIdle) {
		limit = excessIdle
	}
	c.timer = time.AfterFunc(limit, func() {
		c.mu.Lock()
		defer c.mu.Unlock()
		if c.uses == use {
			_ = conn.Close() // nothing is in progress on it
		}
	})
}
