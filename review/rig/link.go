package main

import (
	"io"
	"net"
	"os"
	"sync"
	"syscall"
	"time"
)

// link forwards connections to one address. While it is cut, it is a partition: open connections are
// silent, and new ones aren't established, as the kernel drops their opening packets. What is held
// up goes on when it heals.
type link struct {
	address string
	to      string

	listener net.Listener
	mu       sync.Mutex
	cond     *sync.Cond
	cut      bool
	oneWay   bool // while it is cut, what the far end sends still arrives
	filler   []net.Conn
}

func newLink(to string) *link {
	l := &link{to: to}
	l.cond = sync.NewCond(&l.mu)
	l.listener = listenWithoutBacklog()
	l.address = l.listener.Addr().String()
	go l.accept()
	return l
}

// listenWithoutBacklog returns a listener at which a single connection waits at the most. The kernel drops
// the opening packets of all others until that one is accepted.
func listenWithoutBacklog() net.Listener {
	fd, err := syscall.Socket(syscall.AF_INET, syscall.SOCK_STREAM|syscall.SOCK_CLOEXEC, 0)
	check(err)
	check(syscall.Bind(fd, &syscall.SockaddrInet4{Addr: [4]byte{127, 0, 0, 1}}))
	check(syscall.Listen(fd, 0))
	file := os.NewFile(uintptr(fd), "link")
	listener, err := net.FileListener(file)
	check(err)
	check(file.Close())
	return listener
}

// wait blocks while the link is cut.
func (l *link) wait() {
	l.mu.Lock()
	for l.cut {
		l.cond.Wait()
	}
	l.mu.Unlock()
}

func (l *link) accept() {
	for {
		l.wait()
		conn, err := l.listener.Accept()
		if err != nil {
			return
		}
		go l.forward(conn)
	}
}

func (l *link) forward(from net.Conn) {
	l.wait()
	to, err := net.Dial("tcp", l.to)
	if err != nil {
		_ = from.Close()
		return
	}
	go l.pump(from, to, l.wait)
	l.pump(to, from, l.waitBack)
}

// waitBack blocks while the link is cut in both directions.
func (l *link) waitBack() {
	l.mu.Lock()
	for l.cut && !l.oneWay {
		l.cond.Wait()
	}
	l.mu.Unlock()
}

// pump passes on what it reads, and holds it while the link is cut.
func (l *link) pump(from, to net.Conn, wait func()) {
	buffer := make([]byte, 32<<10)
	for {
		n, err := from.Read(buffer)
		wait()
		if n > 0 {
			if _, writeErr := to.Write(buffer[:n]); writeErr != nil {
				break
			}
		}
		if err != nil {
			if err == io.EOF {
				_ = to.(*net.TCPConn).CloseWrite() // the other end may have closed
				return
			}
			break
		}
	}
	_ = from.Close()
	_ = to.Close()
}

// CutOneWay is Cut for a partition in one direction: what the far end sends still arrives.
func (l *link) CutOneWay() bool {
	l.mu.Lock()
	l.oneWay = true
	l.mu.Unlock()
	return l.Cut()
}

// Cut begins the partition. It reports whether new connections are dropped from now on.
func (l *link) Cut() bool {
	l.mu.Lock()
	l.cut = true
	l.mu.Unlock()
	for range 4 { // one is taken by the accept loop, one waits
		conn, err := net.DialTimeout("tcp", l.address, 100*time.Millisecond)
		if err != nil {
			return true
		}
		l.filler = append(l.filler, conn)
	}
	return false
}

// Heal ends the partition.
func (l *link) Heal() {
	for _, conn := range l.filler {
		_ = conn.Close()
	}
	l.filler = nil
	l.mu.Lock()
	l.cut, l.oneWay = false, false
	l.cond.Broadcast()
	l.mu.Unlock()
}
