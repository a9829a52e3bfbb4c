// Package lateread holds back what a connection received from its reader.
package lateread

import (
	"net"
	"sync/atomic"
)

// Conn is a connection whose reader hasn't run since its first read, as after a pause of the process.
type Conn struct {
	*net.TCPConn
	// Reads is how many reads have begun. All but the first wait until Runs is closed.
	Reads atomic.Int64
	Runs  chan struct{}
}

// Read implements net.Conn.
func (c *Conn) Read(b []byte) (int, error) {
	if c.Reads.Add(1) > 1 {
		<-c.Runs
	}
	return c.TCPConn.Read(b)
}
