package kernel_test

import (
	"bufio"
	"context"
	"errors"
	"os"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"golang.org/x/sys/unix"
	"k8s.io/klog/v2"

	"redwinghall/kernel"
)

// A process that is killed loses the lines that wait in its queue: a warning must not wait there.
func TestWarningIsWrittenBeforeItsCallReturns(t *testing.T) {
	t.Cleanup(klog.CaptureState().Restore)
	reader, writer, err := os.Pipe()
	require.NoError(t, err)
	sink := kernel.NewLogSink(writer) // nobody writes what it queues
	kernel.UseLogSink(sink, 0)
	klog.InfoS("streamed", "request", "r-1")
	kernel.WarningS(errors.New("broken \"off\""), "stream_broken_off", "request", "r-2", "held", 1500*time.Millisecond, "attempts", 2, "nothing", nil)
	klog.ErrorS(errors.New("gone"), "part_failed")
	require.NoError(t, writer.Close())
	lines := bufio.NewScanner(reader)
	require.True(t, lines.Scan())
	require.True(t, strings.HasPrefix(lines.Text(), "W"), lines.Text())
	require.Contains(t, lines.Text(), `warning_test.go:`)
	require.Contains(t, lines.Text(), `] "stream_broken_off" request="r-2" held="1.5s" attempts=2 nothing=null err="broken \"off\""`)
	require.True(t, lines.Scan())
	require.Contains(t, lines.Text(), `"part_failed"`)
	require.False(t, lines.Scan(), "a line of level I was written at once")
}

// The reader of the output stands still: a warning must not stop whoever writes it.
func TestWarningNeverBlocks(t *testing.T) {
	reader, writer, err := os.Pipe()
	require.NoError(t, err)
	defer func() { require.NoError(t, errors.Join(reader.Close(), writer.Close())) }()
	require.NoError(t, unix.SetNonblock(int(writer.Fd()), false)) //nolint:gosec // descriptors are small
	sink := kernel.NewLogSink(writer)
	line := []byte("W" + strings.Repeat("x", 1000) + "\n")
	written := make(chan error, 1)
	g := kernel.NewGroup(t.Context())
	g.Go("writer", func(context.Context) error {
		for range 200 {
			if _, err := sink.Write(line); err != nil {
				written <- err
				return nil
			}
		}
		written <- nil
		return nil
	})
	select {
	case err := <-written:
		require.NoError(t, err)
	case <-time.After(10 * time.Second):
		t.Fatal("a warning waits for the reader of the output")
	}
}

// Lines of level I use up their rate: warnings are still written.
func TestChatterDropsNoWarning(t *testing.T) {
	reader, writer, err := os.Pipe()
	require.NoError(t, err)
	sink := kernel.NewLogSink(writer)
	for range 5000 {
		_, err := sink.Write([]byte("I chatter\n"))
		require.NoError(t, err)
	}
	_, err = sink.Write([]byte("W warning\n"))
	require.NoError(t, err)
	require.NoError(t, writer.Close())
	lines := bufio.NewScanner(reader)
	require.True(t, lines.Scan())
	require.Equal(t, "W warning", lines.Text())
}
