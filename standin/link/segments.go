package link

import (
	"errors"
	"net"

	"golang.org/x/sys/unix"
)

// DropSegments makes the socket of a TCP connection drop all that arrives, acknowledgements too, as a cut path does: what its other side
// sends stays unacknowledged. PassSegments ends it.
func DropSegments(conn *net.TCPConn) error {
	return control(conn, func(fd int) error {
		drop := unix.SockFilter{Code: unix.BPF_RET | unix.BPF_K} // keeps no byte
		return unix.SetsockoptSockFprog(fd, unix.SOL_SOCKET, unix.SO_ATTACH_FILTER, &unix.SockFprog{Len: 1, Filter: &drop})
	})
}

// PassSegments undoes DropSegments.
func PassSegments(conn *net.TCPConn) error {
	return control(conn, func(fd int) error {
		return unix.SetsockoptInt(fd, unix.SOL_SOCKET, unix.SO_DETACH_FILTER, 0)
	})
}

// control calls set with the descriptor of a connection's socket.
func control(conn *net.TCPConn, set func(fd int) error) error {
	raw, err := conn.SyscallConn()
	if err != nil {
		return err
	}
	var setErr error
	err = raw.Control(func(fd uintptr) { setErr = set(int(fd)) })
	return errors.Join(err, setErr)
}
