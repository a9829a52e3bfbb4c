package kernel

import (
	"errors"
	"net"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"k8s.io/klog/v2"
)

// The pause after a failure to accept doubles from minAcceptPause to maxAcceptPause.
const (
	minAcceptPause = 5 * time.Millisecond
	maxAcceptPause = time.Second
	// acceptLogInterval bounds the lines about failures to accept.
	acceptLogInterval = time.Second
)

// Listen returns the listener that open opens, or its error. Failures to accept don't reach its server, which would
// end: accepting is tried again, and a listener that can't accept any more is opened again.
func Listen(open func() (net.Listener, error)) (*ReopenedListener, error) {
	current, err := open()
	if err != nil {
		return nil, err
	}
	return &ReopenedListener{open: open, address: current.Addr(), closed: make(chan struct{}), current: current}, nil
}

// ReopenedListener is a listener that is opened again if it fails.
type ReopenedListener struct {
	open    func() (net.Listener, error)
	address net.Addr
	closed  chan struct{} // closed by Close
	// ending is set once the operating system refuses new connections as Close follows.
	ending atomic.Bool

	mu       sync.Mutex
	current  net.Listener
	loggedAt time.Time
}

// Addr implements net.Listener.
func (l *ReopenedListener) Addr() net.Addr { return l.address }

// Accept implements net.Listener. It fails only after Close, with net.ErrClosed.
func (l *ReopenedListener) Accept() (net.Conn, error) {
	for pause := minAcceptPause; ; pause = min(2*pause, maxAcceptPause) {
		current := l.listener()
		conn, err := current.Accept()
		if err == nil {
			return conn, nil
		}
		if l.ending.Load() || l.isClosed() {
			return nil, net.ErrClosed // a listener that died before fails otherwise
		}
		l.logFailure(time.Now(), err)
		if !l.sleep(pause) {
			return nil, net.ErrClosed
		}
		if isDead(err) {
			l.reopen(current)
		}
	}
}

// Close implements net.Listener.
func (l *ReopenedListener) Close() error {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.isClosed() {
		return net.ErrClosed
	}
	close(l.closed)
	return l.current.Close()
}

func (l *ReopenedListener) listener() net.Listener {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.current
}

func (l *ReopenedListener) isClosed() bool {
	select {
	case <-l.closed:
		return true
	default:
		return false
	}
}

func (l *ReopenedListener) sleep(d time.Duration) bool {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-l.closed:
		return false
	case <-timer.C:
		return true
	}
}

func (l *ReopenedListener) logFailure(now time.Time, err error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if now.Sub(l.loggedAt) >= acceptLogInterval {
		l.loggedAt = now
		klog.ErrorS(err, "accept_failed", "address", l.address.String())
	}
}

// isDead reports whether a listener that failed can't accept any more. Connections that wait to be accepted
// are lost when it is opened again, so this is not done for other failures.
func isDead(err error) bool {
	for _, dead := range []error{net.ErrClosed, syscall.EBADF, syscall.EINVAL, syscall.ENOTSOCK} {
		if errors.Is(err, dead) {
			return true
		}
	}
	return false
}

func (l *ReopenedListener) reopen(dead net.Listener) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.isClosed() {
		return
	}
	_ = dead.Close() // it may be closed already
	next, err := l.open()
	if err != nil {
		klog.ErrorS(err, "listener_not_reopened", "address", l.address.String())
		return
	}
	l.current = next
	klog.InfoS("listener_reopened", "address", l.address.String())
}
