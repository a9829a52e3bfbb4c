package kernel_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"redwinghall/kernel"
)

// meterAt returns a meter that ticked every 50 ms for a second, and the time of the last tick.
func meterAt(start time.Time) (*kernel.PauseMeter, time.Time) {
	m := kernel.NewPauseMeter(start)
	now := start
	for range 20 {
		now = now.Add(50 * time.Millisecond)
		m.Tick(now)
	}
	return m, now
}

// A process that is never paused must find a real silence as fast as by the clock.
func TestRunTimeEqualsClockWithoutPause(t *testing.T) {
	start := time.Now()
	m, now := meterAt(start)
	require.Equal(t, time.Second, m.RunTime(start, now))
	require.Equal(t, time.Second+90*time.Millisecond, m.RunTime(start, now.Add(90*time.Millisecond)), "a tick may be late")
}

// A timer that is due right after a pause must not count it, whether or not a tick has recorded it,
// and must leave time to read what arrived.
func TestRunTimeLeavesOutAPause(t *testing.T) {
	for _, paused := range []time.Duration{300 * time.Millisecond, 1200 * time.Millisecond, 6 * time.Second, 15 * time.Second} {
		m, last := meterAt(time.Now())
		from, woken := last.Add(-100*time.Millisecond), last.Add(paused)
		require.Equal(t, 100*time.Millisecond, m.RunTime(from, woken), "before a tick")
		require.Equal(t, paused, m.Tick(woken))
		require.Equal(t, 100*time.Millisecond, m.RunTime(from, woken), "after a tick")
		require.Equal(t, 100*time.Millisecond, m.RunTime(from, woken.Add(50*time.Millisecond)), "what arrived is read first")
		require.Equal(t, 140*time.Millisecond, m.RunTime(from, woken.Add(90*time.Millisecond)))
		require.Zero(t, m.RunTime(woken, last), "a span that ends before it begins")
	}
}

// On a machine so slow that each tick is late, timeouts must pass slowly and not never.
func TestRunTimeGoesOnWhileEachTickIsLate(t *testing.T) {
	m, from := meterAt(time.Now())
	now := from
	for range 100 {
		now = now.Add(400 * time.Millisecond)
		m.Tick(now)
	}
	ran := m.RunTime(from, now)
	require.GreaterOrEqual(t, ran, 50*50*time.Millisecond)
	require.LessOrEqual(t, ran, 100*100*time.Millisecond)
}

// A pause that is over must not lengthen the timeouts of what began after it.
func TestPauseDoesNotDelayLaterTimeouts(t *testing.T) {
	m, last := meterAt(time.Now())
	woken := last.Add(6 * time.Second)
	m.Tick(woken)
	now := woken
	for range 30 {
		now = now.Add(50 * time.Millisecond)
		m.Tick(now)
	}
	require.Equal(t, 700*time.Millisecond, m.RunTime(now.Add(-700*time.Millisecond), now))
}
