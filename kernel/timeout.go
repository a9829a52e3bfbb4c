package kernel

import (
	"context"
	"io"
	"sync"
	"time"
)

// minTimerWait is the shortest time for which a Timer waits again if it was due in a pause.
const minTimerWait = 5 * time.Millisecond

// process is the meter of this process. It ticks from the start of the program.
var process = startMeter()

func startMeter() *PauseMeter {
	m := NewPauseMeter(time.Now())
	var mu sync.Mutex // keeps the first tick from using ticker before it is set
	mu.Lock()
	defer mu.Unlock()
	var ticker *time.Timer
	ticker = time.AfterFunc(tickInterval, func() {
		if paused := m.Tick(time.Now()); paused > 0 {
			WarningS(nil, "process_paused", "for", paused)
		}
		mu.Lock()
		defer mu.Unlock()
		ticker.Reset(tickInterval)
	})
	return m
}

// RunTime returns for how long this process ran in a span of time; see PauseMeter. What lies in the
// future counts as running.
//
// What concludes from a silence that something failed measures it by RunTime. What others go by
// too, as a caller's deadline or the end of a lease, passes while this process is paused, and
// goes by the clock.
func RunTime(from, to time.Time) time.Duration {
	now := time.Now()
	if !to.After(now) {
		return process.RunTime(from, to)
	}
	if from.After(now) {
		return to.Sub(from)
	}
	return process.RunTime(from, now) + to.Sub(now)
}

// Timer calls a function once this process has run for some time.
type Timer struct {
	fn func()

	mu      sync.Mutex
	timer   *time.Timer
	begun   time.Time
	timeout time.Duration
	set     bool
}

// AfterFunc calls fn in a goroutine of its own once this process has run for timeout. A panic in fn
// ends only this call.
func AfterFunc(timeout time.Duration, fn func()) *Timer {
	t := &Timer{fn: fn, begun: time.Now(), timeout: timeout, set: true}
	t.mu.Lock()
	defer t.mu.Unlock()
	t.timer = time.AfterFunc(timeout, t.due)
	return t
}

func (t *Timer) due() {
	if t.elapsed(time.Now()) {
		_ = protectCall("timer", t.fn) // it is logged
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

// IdleTimer ends a call once this process has run for some time without idleStep bytes of the response.
//
// A process that is slow, or behind a slow link, would never get a large response within a total
// timeout: each attempt starts anew.
type IdleTimer struct {
	timer   *Timer
	timeout time.Duration
}

// WithIdleTimeout returns a context that is canceled once this process has run for timeout since the
// last idleStep bytes were read through the timer's Reader, or since now before them.
func WithIdleTimeout(parent context.Context, timeout time.Duration) (context.Context, *IdleTimer, context.CancelFunc) {
	ctx, cancel := context.WithCancelCause(parent)
	timer := &IdleTimer{timeout: timeout, timer: AfterFunc(timeout, func() { cancel(context.DeadlineExceeded) })}
	return ctx, timer, func() {
		timer.timer.Stop()
		cancel(nil)
	}
}

// idleStep is how many bytes begin an idle timeout anew. With single ones, a response that never ends and brings
// next to nothing would be read for ever.
const idleStep = 1 << 10

// Reader returns a reader of the response. Each idleStep bytes of it begin the timeout anew.
func (t *IdleTimer) Reader(r io.Reader) io.Reader { return &idleReader{Reader: r, timer: t} }

type idleReader struct {
	io.Reader
	timer *IdleTimer
	read  int // since the timeout began
}

// Read implements io.Reader.
func (r *idleReader) Read(p []byte) (int, error) {
	n, err := r.Reader.Read(p)
	if r.read += n; r.read >= idleStep {
		r.read = 0
		r.timer.timer.Reset(r.timer.timeout)
	}
	return n, err
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
