package kernel

import (
	"errors"
	"net"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// UnreadBytes returns how many bytes wait in the socket of a TCP connection, 0 if the socket doesn't tell.
func UnreadBytes(c net.Conn) int {
	unread := 0
	err := control(c, func(fd int) (err error) {
		unread, err = unix.IoctlGetInt(fd, unix.SIOCINQ)
		return err
	})
	if err != nil {
		return 0
	}
	return unread
}

// tcpCloseWait is the state of a TCP connection that the other side has ended, in the kernel's numbers.
const tcpCloseWait = 8

// EndedByPeer reports whether the other side of a TCP connection has ended it, read or not; false if the socket doesn't tell.
func EndedByPeer(c net.Conn) bool {
	ended := false
	err := control(c, func(fd int) error {
		info, err := unix.GetsockoptTCPInfo(fd, unix.IPPROTO_TCP, unix.TCP_INFO)
		if err == nil {
			ended = info.State == tcpCloseWait
		}
		return err
	})
	return err == nil && ended
}

// SinceArrival returns how long ago bytes came last on a TCP connection, or it was established if none have; 0 if the
// socket doesn't tell. A process that is slow or paused learns from it how long a request has waited in the backlog.
func SinceArrival(c net.Conn) time.Duration {
	var since time.Duration
	err := control(c, func(fd int) error {
		info, err := unix.GetsockoptTCPInfo(fd, unix.IPPROTO_TCP, unix.TCP_INFO)
		if err == nil {
			since = time.Duration(info.Last_data_recv) * time.Millisecond
		}
		return err
	})
	if err != nil {
		return 0
	}
	return since
}

// control calls ask with the descriptor of a connection's socket.
func control(c net.Conn, ask func(fd int) error) error {
	socket, ok := c.(syscall.Conn)
	if !ok {
		return errors.ErrUnsupported
	}
	raw, err := socket.SyscallConn()
	if err != nil {
		return err
	}
	var asked error
	err = raw.Control(func(fd uintptr) { asked = ask(int(fd)) })
	return errors.Join(err, asked)
}

// LastRead returns when a read of a connection of NewListener brought bytes last, the zero time before the first.
func LastRead(c net.Conn) time.Time {
	own, ok := c.(*conn)
	if !ok || own.lastRead.Load() == nil {
		return time.Time{}
	}
	return *own.lastRead.Load()
}
