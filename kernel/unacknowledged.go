package kernel

import (
	"errors"
	"net"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// LimitUnacknowledged makes the operating system end a TCP connection with a timeout once written bytes have lain
// unacknowledged for so long, or the other side has kept its receive window closed to those that wait, although it answers
// probes. It goes on doing so while this process doesn't run, and after its end. The timeout 0 is no limit.
func LimitUnacknowledged(socket syscall.RawConn, timeout time.Duration) error {
	var err error
	controlErr := socket.Control(func(fd uintptr) {
		err = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(timeout.Milliseconds())) //nolint:gosec // file descriptors are small
	})
	return errors.Join(controlErr, err)
}

// ResetOnClose sets whether the operating system resets a TCP connection that is closed, by this process or by its end, and
// discards what the other side hasn't acknowledged. Otherwise it goes on sending that.
func ResetOnClose(c net.Conn, reset bool) error {
	linger := unix.Linger{}
	if reset {
		linger.Onoff = 1 // for no time
	}
	return control(c, func(fd int) error {
		return unix.SetsockoptLinger(fd, unix.SOL_SOCKET, unix.SO_LINGER, &linger)
	})
}
