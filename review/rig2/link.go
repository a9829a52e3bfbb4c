package main

import (
	"errors"
	"io"
	"net"
	"sync"
	"time"
)

// firstRetransmission is after what time Linux sends again what nobody acknowledged. Each further time is twice as long.
const firstRetransmission = 200 * time.Millisecond

// link passes channels on to a worker. It can be cut for some time: then nothing passes on the channels that are open, and no
// new one is opened. What was sent meanwhile arrives as by TCP: with the first retransmission after the cut. It is lost if
// its sender has reset the channel by then, and not if it has only closed it.
type link struct {
	outer, inner string

	mu         sync.Mutex
	listener   net.Listener
	from, till time.Time // of the cut
}

func newLink(outer, inner string) (*link, error) {
	l := &link{outer: outer, inner: inner}
	return l, l.listen()
}

func (l *link) listen() error {
	listener, err := net.Listen("tcp", l.outer)
	if err != nil {
		return err
	}
	l.mu.Lock()
	l.listener = listener
	l.mu.Unlock()
	go func() {
		for {
			outside, err := listener.Accept()
			if err != nil {
				return
			}
			inside, err := net.Dial("tcp", l.inner)
			if err != nil {
				_ = outside.Close()
				continue
			}
			go l.pass(outside, inside)
			go l.pass(inside, outside)
		}
	}()
	return nil
}

// cut cuts the link for some time from now on.
func (l *link) cut(lasts time.Duration) {
	l.mu.Lock()
	l.from, l.till = time.Now(), time.Now().Add(lasts)
	_ = l.listener.Close()
	l.mu.Unlock()
	go func() {
		time.Sleep(lasts)
		_ = l.listen()
	}()
}

// arrival returns when something arrives that is sent at a time.
func (l *link) arrival(sent time.Time) time.Time {
	l.mu.Lock()
	defer l.mu.Unlock()
	at := sent
	for pause := firstRetransmission; !at.Before(l.from) && at.Before(l.till); pause *= 2 {
		at = at.Add(pause)
	}
	return at
}

// piece is what came on a channel: bytes, its end or its reset.
type piece struct {
	bytes []byte
	err   error
	sent  time.Time
}

// pass passes on what comes from one side.
func (l *link) pass(from, to net.Conn) {
	reset := make(chan struct{})
	pieces := make(chan piece, 1000)
	go func() {
		defer close(pieces)
		for {
			buffer := make([]byte, 16<<10)
			n, err := from.Read(buffer)
			if n > 0 {
				pieces <- piece{bytes: buffer[:n], sent: time.Now()}
			}
			if err != nil {
				if !errors.Is(err, io.EOF) {
					close(reset)
				}
				pieces <- piece{err: err, sent: time.Now()}
				return
			}
		}
	}()
	var latest time.Time
	for one := range pieces {
		at := l.arrival(one.sent)
		if at.Before(latest) {
			at = latest // in order
		}
		latest = at
		timer := time.NewTimer(time.Until(at))
		select {
		case <-timer.C:
		case <-reset:
			timer.Stop()
			_ = to.(*net.TCPConn).SetLinger(0)
			_ = to.Close()
			return
		}
		if one.err != nil {
			_ = to.(*net.TCPConn).CloseWrite()
			return
		}
		if _, err := to.Write(one.bytes); err != nil {
			_ = from.(*net.TCPConn).SetLinger(0)
			_ = from.Close()
			return
		}
	}
}
