package kernel

import (
	"net"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// Arrival is what a connection's socket tells of the bytes that came from its peer.
type Arrival struct {
	// Unread is how many bytes wait in the socket.
	Unread int
	// Since is how long ago bytes came last, or the connection was established if none have. A process that is slow
	// or paused learns from it how long a request has waited in the backlog or the socket.
	Since time.Duration
}

// ReadArrival returns the arrival of a TCP connection, without reading from it. It reports false if the socket doesn't tell.
func ReadArrival(c net.Conn) (arrival Arrival, ok bool) {
	socket, ok := c.(syscall.Conn)
	if !ok {
		return Arrival{}, false
	}
	raw, err := socket.SyscallConn()
	if err != nil {
		return Arrival{}, false
	}
	var read error
	err = raw.Control(func(fd uintptr) { arrival, read = readArrival(int(fd)) })
	return arrival, err == nil && read == nil
}

func readArrival(fd int) (Arrival, error) {
	unread, err := unix.IoctlGetInt(fd, unix.SIOCINQ)
	if err != nil {
		return Arrival{}, err
	}
	info, err := unix.GetsockoptTCPInfo(fd, unix.IPPROTO_TCP, unix.TCP_INFO)
	if err != nil {
		return Arrival{}, err
	}
	return Arrival{Unread: unread, Since: time.Duration(info.Last_data_recv) * time.Millisecond}, nil
}
