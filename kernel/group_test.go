package kernel_test

import (
	"context"
	"errors"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"k8s.io/klog/v2"

	"redwinghall"
	"redwinghall/kernel"
)

const waitTime = 10 * time.Second

var errPart = errors.New("part failed")

// logBuffer holds the lines that klog wrote.
type logBuffer struct {
	mu   sync.Mutex
	text string
}

func (b *logBuffer) Write(line []byte) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.text += string(line)
	return len(line), nil
}

// String returns all lines.
func (b *logBuffer) String() string {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.text
}

// captureLog returns the lines that are logged until the test ends.
func captureLog(t *testing.T) *logBuffer {
	t.Helper()
	b := &logBuffer{}
	klog.LogToStderr(false)
	klog.SetOutput(b)
	t.Cleanup(func() { klog.LogToStderr(true) })
	return b
}

// requireRunning fails if the group has begun to stop.
func requireRunning(t *testing.T, g *kernel.Group) {
	t.Helper()
	require.NoError(t, g.Context().Err(), "the group stopped")
}

func TestPanicOfAPeriodicPartEndsOneCall(t *testing.T) {
	log := captureLog(t)
	g := kernel.NewGroup(t.Context())
	var calls atomic.Int32
	g.Every("planner", 5*time.Millisecond, func(context.Context, time.Time) {
		if calls.Add(1) == 1 {
			panic("planner\nis wrong")
		}
	})
	require.Eventually(t, func() bool { return calls.Load() > 3 }, waitTime, time.Millisecond)
	requireRunning(t, g)
	g.Stop()
	require.NoError(t, g.Wait())
	require.Regexp(t, `"part_panicked" part="planner" value="planner is wrong" stack="[^"\n]*group_test.go:\d+[^"\n]*"`+"\n", log.String())
}

// A part that panics at each call must not fill the log.
func TestPeriodicPartThatKeepsPanickingIsCalledLessOften(t *testing.T) {
	captureLog(t)
	g := kernel.NewGroup(t.Context())
	var calls atomic.Int32
	g.Every("planner", time.Millisecond, func(context.Context, time.Time) {
		calls.Add(1)
		panic("again")
	})
	time.Sleep(500 * time.Millisecond)
	requireRunning(t, g)
	g.Stop()
	require.NoError(t, g.Wait())
	require.LessOrEqual(t, calls.Load(), int32(7))
}

func TestPanicOfATaskEndsOnlyTheTask(t *testing.T) {
	log := captureLog(t)
	g := kernel.NewGroup(t.Context())
	g.Task("probe", func(context.Context) { _ = 1 / len(log.String()) })
	require.Eventually(t, func() bool { return log.String() != "" }, waitTime, time.Millisecond)
	requireRunning(t, g)
	g.Stop()
	require.NoError(t, g.Wait())
	require.Contains(t, log.String(), `"part_panicked" part="probe" value="runtime error: integer divide by zero" stack="kernel_test.TestPanicOfATaskEndsOnlyTheTask`)
}

func TestKeptPartRunsAgainAfterErrorsAndPanics(t *testing.T) {
	log := captureLog(t)
	g := kernel.NewGroup(t.Context())
	var runs atomic.Int32
	g.Keep("follower", func(ctx context.Context) error {
		switch runs.Add(1) {
		case 1:
			return errPart
		case 2:
			panic("row")
		}
		<-ctx.Done()
		return nil
	})
	require.Eventually(t, func() bool { return runs.Load() == 3 }, waitTime, time.Millisecond)
	requireRunning(t, g)
	g.Stop()
	require.NoError(t, g.Wait())
	require.Contains(t, log.String(), `"part_restarts" err="part failed" part="follower" failures=1`)
	require.Contains(t, log.String(), `"part_restarts" err="panicked: Group.follower: row" part="follower" failures=2`)
}

// A group that stops must neither wait for the pause of a part that failed, nor run it again.
func TestPartsDoNotRunAgainInAStop(t *testing.T) {
	captureLog(t)
	for range 20 {
		g := kernel.NewGroup(t.Context())
		var late atomic.Bool
		g.Keep("follower", func(ctx context.Context) error {
			late.Store(ctx.Err() != nil)
			panic("again")
		})
		time.Sleep(10 * time.Millisecond) // the first pause is longer
		begun := time.Now()
		g.Stop()
		require.NoError(t, g.Wait())
		require.Less(t, time.Since(begun), time.Second)
		require.False(t, late.Load())
	}
}

// What can't be run again must stop the group in order, with its reason, and not the process.
func TestPanicOfAnIndispensablePartStopsItsGroup(t *testing.T) {
	log := captureLog(t)
	g := kernel.NewGroup(t.Context())
	g.Go("serve", func(context.Context) error { panic(errPart) })
	err := g.Wait()
	require.Equal(t, kernel.Panicked, redwinghall.KindOf[kernel.Kind](err))
	require.Contains(t, log.String(), `"part_failed" err="panicked: Group.serve: part failed" part="serve"`)
}

// A goroutine that never returns must not keep the caller beyond the limit.
func TestWaitWithinALimit(t *testing.T) {
	release := make(chan struct{})
	g := kernel.NewGroup(t.Context())
	g.Go("stuck", func(context.Context) error { <-release; return errPart })
	ok, err := g.WaitWithin(20 * time.Millisecond)
	require.False(t, ok)
	require.NoError(t, err)
	close(release)
	ok, err = g.WaitWithin(waitTime)
	require.True(t, ok)
	require.ErrorIs(t, err, errPart)
}
