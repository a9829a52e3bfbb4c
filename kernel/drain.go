package kernel

import (
	"context"
	"errors"
	"net"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// drainInterval is how long the accept loop gets between two looks at what waits to be accepted.
const drainInterval = 100 * time.Microsecond

// CloseDrained closes the listener once its accept loop has taken all connections that wait. It waits no longer than
// most of the time for which this process runs: new ones may come faster than they are taken.
//
// The operating system resets those that wait at a close. Their callers may have sent a whole request, and get neither
// a response nor a refused connection.
func (l *ReopenedListener) CloseDrained(ctx context.Context, most time.Duration) error {
	begun := time.Now()
	for !l.refuseIfDrained() && RunTime(begun, time.Now()) < most && Sleep(ctx, drainInterval) {
		continue
	}
	err := l.Close()
	if l.ending.Load() && errors.Is(err, net.ErrClosed) {
		return nil // its server was told so, and has closed it meanwhile
	}
	return err
}

// refuseIfDrained makes the operating system refuse new connections if none waits, and reports whether Close may follow.
// Close alone takes effect only after the accept loop has run, and connections would come meanwhile.
func (l *ReopenedListener) refuseIfDrained() bool {
	socket, ok := l.listener().(syscall.Conn)
	if !ok {
		return true
	}
	raw, err := socket.SyscallConn()
	if err != nil {
		return true // it is closed
	}
	refuses := false
	err = raw.Control(func(fd uintptr) {
		if refuses = nothingWaits(fd); refuses {
			l.ending.Store(true)
			_ = unix.Shutdown(int(fd), unix.SHUT_RD) // if it fails, Close is what refuses them
		}
	})
	return refuses || err != nil
}

// nothingWaits reports whether no connection waits to be accepted.
func nothingWaits(fd uintptr) bool {
	waiting := []unix.PollFd{{Fd: int32(fd), Events: unix.POLLIN}} //nolint:gosec // file descriptors are small
	n, err := unix.Poll(waiting, 0)
	return err == nil && n == 0
}
