package daemon_test

import (
	"bytes"
	"context"
	"errors"
	"io"
	"log"
	"math"
	"os"
	"runtime/debug"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"k8s.io/klog/v2"

	"redwinghall/daemon"
	"redwinghall/kernel"
)

// runMain runs a daemon that calls serve, and returns its exit code.
func runMain(t *testing.T, errOut io.Writer, serve func() error) int {
	t.Helper()
	t.Cleanup(klog.CaptureState().Restore)
	t.Cleanup(func() {
		log.SetOutput(os.Stderr)
		debug.SetGCPercent(100)
		debug.SetMemoryLimit(math.MaxInt64)
	})
	return daemon.Main("router", "", []string{"--settings", "router.json"}, io.Discard, errOut,
		func(string, bool) (func(context.Context) error, error) {
			return func(context.Context) error { return serve() }, nil
		})
}

// Requests log too, so that a collector that stops reading would stop all of them.
func TestDaemonDoesNotWaitForTheReaderOfItsLog(t *testing.T) {
	reader, writer, err := os.Pipe()
	require.NoError(t, err)
	standardError := os.Stderr
	os.Stderr = writer
	g := kernel.NewGroup(t.Context())
	served := make(chan struct{})
	g.Task("daemon", func(context.Context) {
		runMain(t, writer, func() error {
			for range 5000 {
				klog.InfoS("line", "text", strings.Repeat("x", 100))
			}
			close(served)
			return nil
		})
	})
	select {
	case <-served:
	case <-time.After(10 * time.Second):
		t.Error("the daemon waits for the reader of its log")
	}
	require.NoError(t, reader.Close()) // ends what still waits
	require.NoError(t, g.Wait())
	os.Stderr = standardError
	require.NoError(t, writer.Close())
}

func TestDaemonThatFailsPrintsItsLogAndTheFailure(t *testing.T) {
	var out bytes.Buffer
	code := runMain(t, &out, func() error {
		klog.InfoS("last_line")
		return errors.New("no listener")
	})
	require.Equal(t, daemon.ExitFailure, code)
	require.Regexp(t, `(?s)"last_line".*router: no listener\n`, out.String())
}
