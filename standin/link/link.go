// Package link is a stand-in for the network: a TCP proxy that can delay data,
// drop it silently, and close or reset connections.
package link

import (
	"context"
	"errors"
	"net"
	"sync"
	"time"

	"golang.org/x/sys/unix"

	"redwinghall/kernel"
)

// Mode is what a link does with connections and data.
type Mode string

// The modes of a link.
const (
	Pass Mode = "pass"
	// Cut closes all connections and refuses new ones.
	Cut Mode = "cut"
	// Blackhole keeps the existing connections open and drops all their data, like
	// a middlebox that has lost its connection state. New connections work.
	Blackhole Mode = "swallow"
	// Reset closes all connections with a TCP reset. New connections work.
	Reset Mode = "reset"
	// Refuse refuses new connections and keeps the existing ones.
	Refuse Mode = "refuse"
	// ResetAndRefuse closes all connections with a TCP reset and refuses new ones.
	ResetAndRefuse Mode = "reset_and_refuse"
	// SwallowAndRefuse keeps the existing connections open, drops all their data and refuses new
	// ones.
	SwallowAndRefuse Mode = "swallow_and_refuse"
	// OneWay forwards data from the client and drops data from the target.
	OneWay Mode = "one_way"
	// Deaf forwards data from the target and drops data from the client.
	Deaf Mode = "deaf"
	// Hold keeps all data until another mode is set, as a route that is slow to come back. It drops what it keeps of a
	// connection that its sender resets.
	Hold Mode = "hold"
)

// Link forwards connections to a target.
type Link struct {
	group   *kernel.Group
	address string
	target  string

	mu       sync.Mutex
	listener net.Listener // nil while new connections are refused
	// reservation keeps the port while new connections are refused: another program's listener
	// would answer in the target's place. -1 if there is none.
	reservation int
	mode        Mode
	delay       time.Duration
	conns       map[*pair]bool
}

// pair is a connection from a client and the one to the target.
type pair struct {
	client, target net.Conn
	blackholed     bool
	ended          int // number of directions that have ended; the pair is deleted after both
}

// New starts a link that listens on address and forwards to target until the
// group stops.
func New(g *kernel.Group, address, target string) (*Link, error) {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return nil, err
	}
	l := &Link{group: g, address: listener.Addr().String(), target: target, listener: listener, mode: Pass, reservation: -1, conns: map[*pair]bool{}}
	g.Go("link.accept", func(ctx context.Context) error { return l.accept(ctx, listener) })
	g.Go("link.stop", func(ctx context.Context) error {
		<-ctx.Done()
		l.Set(Cut, 0)
		l.mu.Lock()
		defer l.mu.Unlock()
		l.closeListener()
		l.endReservation()
		return nil
	})
	return l, nil
}

// Address returns the address on which the link listens.
func (l *Link) Address() string { return l.address }

func (l *Link) closeListener() {
	if l.listener != nil {
		_ = l.listener.Close()
		l.listener = nil
	}
}

// reserve binds a socket to the link's address without listening, so that connections are refused.
func (l *Link) reserve() {
	address, err := net.ResolveTCPAddr("tcp4", l.address)
	if err != nil {
		return // it has been listened on
	}
	fd, err := unix.Socket(unix.AF_INET, unix.SOCK_STREAM|unix.SOCK_CLOEXEC, 0)
	if err != nil {
		return
	}
	to := &unix.SockaddrInet4{Port: address.Port, Addr: [4]byte(address.IP.To4())}
	// Connections that live on share the port, so it is reused; then nobody else may.
	if unix.SetsockoptInt(fd, unix.SOL_SOCKET, unix.SO_REUSEADDR, 1) != nil || unix.Bind(fd, to) != nil ||
		unix.SetsockoptInt(fd, unix.SOL_SOCKET, unix.SO_REUSEADDR, 0) != nil {
		_ = unix.Close(fd)
		return
	}
	l.reservation = fd
}

func (l *Link) endReservation() {
	if l.reservation >= 0 {
		_ = unix.Close(l.reservation)
		l.reservation = -1
	}
}

// listenAgain opens the listener that a mode has closed. The lock is held. Another socket may have
// the port for a moment.
func (l *Link) listenAgain() {
	for range listenTries {
		listener, err := net.Listen("tcp", l.address)
		if err == nil {
			l.listener = listener
			l.group.Go("link.accept", func(ctx context.Context) error { return l.accept(ctx, listener) })
			return
		}
		time.Sleep(listenInterval)
	}
}

const (
	listenTries    = 20
	listenInterval = 50 * time.Millisecond
)

// Set changes the mode and the delay, which is added to each read. Cut and the modes that
// drop data or reset also act on the existing connections.
func (l *Link) Set(mode Mode, delay time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.mode, l.delay = mode, delay
	switch {
	case mode == Refuse || mode == ResetAndRefuse || mode == SwallowAndRefuse:
		if l.listener != nil {
			l.closeListener()
			l.reserve()
		}
	case l.listener == nil && l.group.Context().Err() == nil:
		l.endReservation()
		l.listenAgain()
	}
	for p := range l.conns {
		switch mode {
		case Cut:
			_ = p.client.Close()
			_ = p.target.Close()
		case Blackhole, SwallowAndRefuse:
			p.blackholed = true
		case Reset, ResetAndRefuse:
			p.reset()
		}
	}
}

// reset closes both connections with a TCP reset.
func (p *pair) reset() {
	for _, conn := range []net.Conn{p.client, p.target} {
		if tcp, ok := conn.(*net.TCPConn); ok {
			_ = tcp.SetLinger(0) // makes Close send a reset
		}
		_ = conn.Close()
	}
}

func (l *Link) accept(ctx context.Context, listener net.Listener) error {
	for {
		conn, err := listener.Accept()
		if err != nil {
			if ctx.Err() != nil || errors.Is(err, net.ErrClosed) {
				return nil
			}
			return err
		}
		l.mu.Lock()
		refused := l.mode == Cut
		l.mu.Unlock()
		if refused {
			_ = conn.Close()
			continue
		}
		other, err := net.Dial("tcp", l.target)
		if err != nil {
			_ = conn.Close()
			continue
		}
		p := &pair{client: conn, target: other}
		if !l.add(p) {
			continue
		}
		l.group.Go("link.copy", func(context.Context) error { l.copy(p, p.target, p.client); return nil })
		l.group.Go("link.copy", func(context.Context) error { l.copy(p, p.client, p.target); return nil })
	}
}

// add registers a pair, or closes it if the link was cut in the meantime.
func (l *Link) add(p *pair) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.mode == Cut {
		_ = p.client.Close()
		_ = p.target.Close()
		return false
	}
	l.conns[p] = true
	return true
}

const (
	bufferSize   = 32 << 10
	holdInterval = 2 * time.Millisecond
)

// awaitRelease waits while the link holds its data, and reports whether that still has a sender.
func (l *Link) awaitRelease(from net.Conn) bool {
	for l.holds() {
		if isReset(from) {
			return false
		}
		time.Sleep(holdInterval)
	}
	return true
}

// tcpClosed is the state of a TCP connection that was reset, in the kernel's numbers.
const tcpClosed = 7

func isReset(c net.Conn) bool {
	tcp, ok := c.(*net.TCPConn)
	if !ok {
		return false
	}
	raw, err := tcp.SyscallConn()
	if err != nil {
		return false
	}
	reset := false
	err = raw.Control(func(fd uintptr) {
		info, err := unix.GetsockoptTCPInfo(int(fd), unix.IPPROTO_TCP, unix.TCP_INFO) //nolint:gosec // file descriptors are small
		reset = err == nil && info.State == tcpClosed
	})
	return err == nil && reset
}

func (l *Link) holds() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.mode == Hold
}

func (l *Link) isBlackholed(p *pair) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return p.blackholed
}

// copy forwards data in one direction until either connection is closed.
func (l *Link) copy(p *pair, to, from net.Conn) {
	buffer := make([]byte, bufferSize)
	for {
		n, err := from.Read(buffer)
		if errors.Is(err, unix.ECONNRESET) && !l.isBlackholed(p) {
			p.reset() // it travels on as what it is
		}
		if err != nil {
			break
		}
		l.mu.Lock()
		delay, drop := l.delay, p.blackholed || (l.mode == OneWay && from == p.target) || (l.mode == Deaf && from == p.client)
		l.mu.Unlock()
		if drop {
			continue
		}
		if delay > 0 {
			time.Sleep(delay)
		}
		if !l.awaitRelease(from) {
			p.reset()
			break
		}
		if _, err := to.Write(buffer[:n]); err != nil {
			break
		}
	}
	l.mu.Lock()
	blackholed := p.blackholed
	p.ended++
	if p.ended == 2 {
		delete(l.conns, p)
	}
	l.mu.Unlock()
	if !blackholed {
		_ = to.Close()
	}
	_ = from.Close() // the other direction may have closed it already
}
