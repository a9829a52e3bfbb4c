package kernel

import (
	"sync"
	"sync/atomic"
	"time"
)

const (
	// tickInterval is how often a PauseMeter checks that the process runs.
	tickInterval = 50 * time.Millisecond
	// lateTick is how late a tick comes at least if the process was paused.
	lateTick = 2 * tickInterval
	// catchUpTime counts as part of a pause: when the process runs again, it first has to
	// read what arrived meanwhile.
	catchUpTime = tickInterval
	// maxPauses and pauseMemory bound the pauses that a PauseMeter remembers.
	maxPauses   = 256
	pauseMemory = 5 * time.Minute
)

// PauseMeter records when the process did not run: its VM was suspended or migrated, its host had
// no memory or processor to spare, or a signal stopped it. It is safe for concurrent use.
//
// After a pause all timers of the process are due at once, before it has read what others sent in
// time. A timeout that counts the pause would take the process's own standstill for the silence
// of sound endpoints, nodes and callers.
type PauseMeter struct {
	mu    sync.Mutex // held to record a tick
	state atomic.Pointer[ticks]
}

// ticks is what a PauseMeter knows. It is immutable.
type ticks struct {
	last   time.Time // when the process was last seen to run
	pauses []pause
}

// pause is a time in which the process did not run.
type pause struct{ begin, end time.Time }

// NewPauseMeter returns a meter without pauses.
func NewPauseMeter(now time.Time) *PauseMeter {
	m := &PauseMeter{}
	m.state.Store(&ticks{last: now})
	return m
}

// Tick records that the process runs. It returns how long it was paused since the previous tick,
// 0 if it was not.
func (m *PauseMeter) Tick(now time.Time) time.Duration {
	m.mu.Lock()
	defer m.mu.Unlock()
	before := m.state.Load()
	gap := now.Sub(before.last)
	if gap < lateTick {
		m.state.Store(&ticks{last: now, pauses: before.pauses})
		return 0
	}
	m.state.Store(&ticks{last: now, pauses: before.withPause(now)})
	return gap
}

// withPause returns the pauses with the one that ends now.
func (t *ticks) withPause(now time.Time) []pause {
	next := make([]pause, 0, len(t.pauses)+1)
	for _, one := range t.pauses[max(0, len(t.pauses)-maxPauses+1):] {
		if now.Sub(one.end) < pauseMemory {
			next = append(next, one)
		}
	}
	return append(next, pause{begin: t.beginOfPause(), end: now.Add(catchUpTime)})
}

// beginOfPause returns when a pause began that followed the last tick. Between two pauses the
// process ran for tickInterval at least, so that on a machine so slow that each tick is late,
// timeouts pass slowly and not never.
func (t *ticks) beginOfPause() time.Time {
	if len(t.pauses) == 0 {
		return t.last
	}
	if earliest := t.pauses[len(t.pauses)-1].end.Add(tickInterval); t.last.Before(earliest) {
		return earliest
	}
	return t.last
}

// RunTime returns for how long the process ran in a span of time. A pause that has just ended and
// was not recorded yet counts too.
func (m *PauseMeter) RunTime(from, to time.Time) time.Duration {
	if !to.After(from) {
		return 0
	}
	known := m.state.Load()
	ran := to.Sub(from)
	for _, one := range known.pauses {
		ran -= one.overlap(from, to)
	}
	if to.Sub(known.last) >= lateTick {
		ran -= pause{begin: known.beginOfPause(), end: to}.overlap(from, to)
	}
	return max(0, ran)
}

// overlap returns how much of a span of time lies in the pause.
func (p pause) overlap(from, to time.Time) time.Duration {
	if p.begin.After(from) {
		from = p.begin
	}
	if p.end.Before(to) {
		to = p.end
	}
	return max(0, to.Sub(from))
}
