package link

import (
	"context"
	"io"
	"net"
	"sync"
	"syscall"

	"redwinghall/dial"
)

// PartitionMode is what a partition does with connections and data.
type PartitionMode string

// The modes of a partition.
const (
	// PartitionNone lets everything pass.
	PartitionNone PartitionMode = "none"
	// PartitionHang leaves new connections unanswered and drops the data of open ones.
	PartitionHang PartitionMode = "hang"
	// PartitionReset resets open connections and refuses new ones.
	PartitionReset PartitionMode = "reset"
	// PartitionRefuse refuses new connections and keeps open ones.
	PartitionRefuse PartitionMode = "refuse"
	// PartitionSilence drops the data of open connections for good. New ones work.
	PartitionSilence PartitionMode = "silence"
)

// Partition stands between one node and the addresses that it connects to. It parts single
// pairs, where a Link parts its target from everybody.
type Partition struct {
	dial dial.Func

	mu    sync.Mutex
	mode  PartitionMode
	spare map[string]bool
	conns map[*partitionedConn]bool
}

// NewPartition returns a partition that lets everything pass.
func NewPartition() *Partition {
	return &Partition{dial: new(net.Dialer).DialContext, mode: PartitionNone, conns: map[*partitionedConn]bool{}}
}

// Set changes the mode for all addresses but the spared ones.
func (p *Partition) Set(mode PartitionMode, spared ...string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.mode, p.spare = mode, map[string]bool{}
	for _, address := range spared {
		p.spare[address] = true
	}
	for c := range p.conns {
		if p.spare[c.address] {
			continue
		}
		switch mode {
		case PartitionHang, PartitionSilence:
			c.silence()
		case PartitionReset:
			c.reset()
		case PartitionNone, PartitionRefuse:
		}
	}
}

func (p *Partition) modeFor(address string) PartitionMode {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.spare[address] {
		return PartitionNone
	}
	return p.mode
}

// Dial opens a connection, as the partition allows. It is a dial.Func.
func (p *Partition) Dial(ctx context.Context, network, address string) (net.Conn, error) {
	switch p.modeFor(address) {
	case PartitionHang:
		<-ctx.Done()
		return nil, &net.OpError{Op: "dial", Net: network, Err: ctx.Err()}
	case PartitionReset, PartitionRefuse:
		return nil, &net.OpError{Op: "dial", Net: network, Err: syscall.ECONNREFUSED}
	case PartitionNone, PartitionSilence:
	}
	conn, err := p.dial(ctx, network, address)
	if err != nil {
		return nil, err
	}
	c := &partitionedConn{Conn: conn, partition: p, address: address, closed: make(chan struct{})}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.conns[c] = true
	return c, nil
}

// partitionedConn is a connection that its partition can silence or reset.
type partitionedConn struct {
	net.Conn
	partition *Partition
	address   string

	mu       sync.Mutex
	silenced bool
	broken   bool
	once     sync.Once
	closed   chan struct{}
}

func (c *partitionedConn) silence() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.silenced = true
}

func (c *partitionedConn) reset() {
	c.mu.Lock()
	c.broken = true
	c.mu.Unlock()
	if tcp, ok := c.Conn.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0) // makes Close send a reset
	}
	_ = c.Conn.Close()
}

func (c *partitionedConn) state() (silenced, broken bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.silenced, c.broken
}

// Read implements net.Conn. On a silenced connection it waits until Close.
func (c *partitionedConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	silenced, broken := c.state()
	switch {
	case broken:
		return 0, &net.OpError{Op: "read", Net: "tcp", Err: syscall.ECONNRESET}
	case silenced:
		<-c.closed
		return 0, net.ErrClosed
	}
	return n, err
}

// Write implements net.Conn. On a silenced connection it drops the data.
func (c *partitionedConn) Write(b []byte) (int, error) {
	silenced, broken := c.state()
	switch {
	case broken:
		return 0, &net.OpError{Op: "write", Net: "tcp", Err: syscall.ECONNRESET}
	case silenced:
		return io.Discard.Write(b)
	}
	return c.Conn.Write(b)
}

// Close implements net.Conn.
func (c *partitionedConn) Close() error {
	c.once.Do(func() { close(c.closed) })
	c.partition.mu.Lock()
	delete(c.partition.conns, c)
	c.partition.mu.Unlock()
	return c.Conn.Close()
}
