package soak

import (
	"errors"
	"syscall"
	"time"

	"redwinghall/standin/process"
)

// handleTime is the time from its start in which a process must handle SIGTERM.
const handleTime = time.Second

// lifetime is one process of a node: what the run did to it and how it ended.
type lifetime struct {
	process   *process.Process
	startedAt time.Time
	// terminatedAt and killedAt are just before the run sent SIGTERM and SIGKILL, endedAt is
	// when the process had ended; zero if it didn't happen.
	terminatedAt, killedAt, endedAt time.Time
	// hungUpEarly reports whether the process got SIGHUP when it could neither handle nor ignore it.
	hungUpEarly bool
	// unasked reports whether the process ended otherwise than the run made it end.
	unasked bool
}

// lifetimeOf returns the present or last process of a node.
func (d *deployment) lifetimeOf(n *nodeProcess) *lifetime {
	d.mu.Lock()
	defer d.mu.Unlock()
	return n.lifetimes[len(n.lifetimes)-1]
}

// terminate sends SIGTERM to a process, unless it already got a signal that ends it.
func (d *deployment) terminate(n *nodeProcess, l *lifetime, now time.Time) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	if !l.running() || !l.terminatedAt.IsZero() || !l.killedAt.IsZero() {
		return false
	}
	l.terminatedAt, n.stoppedAt = now, now
	l.process.Signal(syscall.SIGTERM)
	return true
}

// kill sends SIGKILL to a process, unless it has ended.
func (d *deployment) kill(l *lifetime, now time.Time) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	if !l.running() || !l.killedAt.IsZero() {
		return false
	}
	l.killedAt = now
	l.process.Signal(syscall.SIGKILL)
	return true
}

func (l *lifetime) running() bool {
	select {
	case <-l.process.Exited():
		return false
	default:
		return true
	}
}

// stoppedAtStart reports whether SIGTERM ended a process that had not yet begun to handle it.
// Such a process has taken no request; whether one was lost is checked by itself.
func (l *lifetime) stoppedAtStart() bool {
	return l.process.EndedBy(syscall.SIGTERM) && l.terminatedAt.Sub(l.startedAt) < handleTime
}

// end records the end of a process, and returns an error if the run didn't make it end.
func (d *deployment) end(l *lifetime) error {
	d.mu.Lock()
	defer d.mu.Unlock()
	l.endedAt = l.process.ExitedAt()
	killed := !l.killedAt.IsZero() && l.process.EndedBy(syscall.SIGKILL)
	stopped := !l.terminatedAt.IsZero() && (l.process.Err() == nil || l.stoppedAtStart())
	hungUp := l.hungUpEarly && l.process.EndedBy(syscall.SIGHUP)
	l.unasked = !killed && !stopped && !hungUp
	if hungUp {
		d.earlyHangUps++
	}
	switch {
	case !l.unasked:
		return nil
	case !l.terminatedAt.IsZero():
		return errors.New("in its planned stop " + l.process.Describe())
	}
	return errors.New("though nobody ended it " + l.process.Describe())
}
