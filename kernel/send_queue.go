package kernel

import (
	"net"

	"golang.org/x/sys/unix"
)

// SendQueue is what a TCP connection was given to send and the other side hasn't acknowledged.
type SendQueue struct {
	// UnackedSegments counts the segments that were sent.
	UnackedSegments int
	// UnsentBytes wait for room in the window of the other side, or in that of the congestion control.
	UnsentBytes int
	// UnansweredProbes counts the probes of a closed window that went unanswered, one that is under way included.
	UnansweredProbes int
}

// NewSendQueue returns the send queue of a connection.
func NewSendQueue(c net.Conn) (SendQueue, error) {
	var q SendQueue
	err := control(c, func(fd int) error {
		info, err := unix.GetsockoptTCPInfo(fd, unix.IPPROTO_TCP, unix.TCP_INFO)
		if err == nil {
			q = SendQueue{UnackedSegments: int(info.Unacked), UnsentBytes: int(info.Notsent_bytes), UnansweredProbes: int(info.Probes)}
		}
		return err
	})
	return q, err
}

// IsEmpty reports whether the other side has acknowledged all.
func (q SendQueue) IsEmpty() bool { return q.UnackedSegments == 0 && q.UnsentBytes == 0 }

// IsWindowClosed reports whether the other side has acknowledged all that it had room for, and has no room for what waits.
func (q SendQueue) IsWindowClosed() bool { return q.UnackedSegments == 0 && q.UnsentBytes > 0 }
