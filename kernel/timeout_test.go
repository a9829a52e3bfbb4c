package kernel_test

import (
	"context"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"redwinghall/kernel"
	"redwinghall/rwhtest/heldstill"
)

// A timeout that is due in the very moment in which the process runs again must not end a call whose
// answer came meanwhile.
func TestTimeoutsOutliveAPause(t *testing.T) {
	if heldstill.Repeat(t, heldstill.Pattern{Still: 1200 * time.Millisecond, Run: 100 * time.Millisecond, Times: 6}) {
		return
	}
	for range 10 {
		ctx, cancel := kernel.WithTimeout(t.Context(), 500*time.Millisecond)
		require.True(t, kernel.Sleep(ctx, 100*time.Millisecond), "the process ran for a fifth of the timeout")
		cancel()
		require.ErrorIs(t, context.Cause(ctx), context.Canceled)
	}
}

// While the process runs, timeouts must pass in time.
func TestTimeoutPasses(t *testing.T) {
	begun := time.Now()
	ctx, cancel := kernel.WithTimeout(t.Context(), 100*time.Millisecond)
	defer cancel()
	<-ctx.Done()
	require.ErrorIs(t, context.Cause(ctx), context.DeadlineExceeded)
	require.GreaterOrEqual(t, time.Since(begun), 100*time.Millisecond)
}

func TestStoppedTimerDoesNotFire(t *testing.T) {
	fired := make(chan struct{}, 2)
	timer := kernel.AfterFunc(time.Hour, func() { fired <- struct{}{} })
	require.True(t, timer.Stop())
	require.False(t, timer.Stop())
	require.Empty(t, fired)
	timer.Reset(10 * time.Millisecond)
	<-fired
	require.False(t, timer.Stop())
}

// The function of a timer runs in a goroutine of its own.
func TestPanicOfATimerEndsOnlyItsCall(t *testing.T) {
	log := captureLog(t)
	kernel.AfterFunc(time.Millisecond, func() { panic("timer") })
	require.Eventually(t, func() bool { return strings.Contains(log.String(), `"part_panicked" part="timer"`) }, waitTime, time.Millisecond)
}
