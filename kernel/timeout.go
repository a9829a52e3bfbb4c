package kernel

import (
	"context"
	"sync"
	"time"

	"k8s.io/klog/v2"
)

// minTimerWait is the shortest time for which a timer of run time is set again.
const minTimerWait = 5 * time.Millisecond

// processMeter returns the meter of this process, which ticks from the first call on.
var processMeter = sync.OnceValue(func() *PauseMeter {
	m := NewPauseMeter(time.Now())
	var ticker *time.Timer
	ticker = time.AfterFunc(time.Hour, func() {
		if paused := m.Tick(time.Now()); paused > 0 {
			klog.InfoS("process_paused", "for", paused)
		}
		ticker.Reset(tickInterval)
	})
	ticker.Reset(tickInterval)
	return m
})

// RunTime returns for how long this process ran in a span of time; see PauseMeter.
//
// What concludes from a silence that something failed measures it by RunTime. What others go by
// too, as a caller's deadline or the end of a lease, passes while this process is paused, and
// is measured by the clock.
func RunTime(from, to time.Time) time.Duration { return processMeter().RunTime(from, to) }

// Timer calls a function once this process has run for some time.
type Timer struct {
	fn func()

	mu      sync.Mutex
	timer   *time.Timer
	begun   time.Time
	timeout time.Duration
	set     bool
}

// AfterFunc calls fn in a goroutine of its own once this process has run for timeout.
func AfterFunc(timeout time.Duration, fn func()) *Timer {
	processMeter() // pauses count from now on
	t := &Timer{fn: fn, begun: time.Now(), timeout: timeout, set: true}
	t.mu.Lock()
	defer t.mu.Unlock()
	t.timer = time.AfterFunc(timeout, t.due)
	return t
}

func (t *Timer) due() {
	if t.elapsed(time.Now()) {
		t.fn()
	}
}

// elapsed reports whether the timeout has passed, and waits for the rest of it otherwise.
func (t *Timer) elapsed(now time.Time) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if !t.set {
		return false
	}
	if left := t.timeout - RunTime(t.begun, now); left > 0 {
		t.timer.Reset(max(left, minTimerWait))
		return false
	}
	t.set = false
	return true
}

// Reset starts the timer anew.
func (t *Timer) Reset(timeout time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.begun, t.timeout, t.set = time.Now(), timeout, true
	t.timer.Reset(timeout)
}

// Stop prevents the call of the function unless it has begun, and reports whether it did.
func (t *Timer) Stop() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	stopped := t.set
	t.set = false
	t.timer.Stop()
	return stopped
}

// WithTimeout returns a context that is canceled once this process has run for timeout. Its cause
// is then context.DeadlineExceeded. It has no deadline but that of its parent.
func WithTimeout(parent context.Context, timeout time.Duration) (context.Context, context.CancelFunc) {
	ctx, cancel := context.WithCancelCause(parent)
	timer := AfterFunc(timeout, func() { cancel(context.DeadlineExceeded) })
	return ctx, func() {
		timer.Stop()
		cancel(nil)
	}
}
