package main_test

import (
	"io"
	"os"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"golang.org/x/sys/unix"
)

const crashText = "SIGABRT: abort"

// Operators collect standard output. A fatal error of the runtime must show there why the process ended.
func TestFatalErrorIsInTheLog(t *testing.T) {
	t.Run("file", func(t *testing.T) {
		p := newNodeProcess(t)
		p.start()
		p.waitReady()
		p.signal(syscall.SIGABRT)
		p.requireExit(2)
		require.Contains(t, p.text(p.log), crashText)
		require.Contains(t, p.text(p.log), "goroutine ")
		require.Contains(t, p.text(p.log), "node_started", "the log's earlier lines stay")
		require.Contains(t, p.text(p.errLog), crashText)
	})
	t.Run("pipe", func(t *testing.T) {
		p := newNodeProcess(t)
		reader, writer, err := os.Pipe()
		require.NoError(t, err)
		p.cmd.Stdout = writer
		p.start()
		require.NoError(t, writer.Close())
		p.waitReady()
		p.signal(syscall.SIGABRT)
		p.requireExit(2)
		text, err := io.ReadAll(reader)
		require.NoError(t, err)
		require.Contains(t, string(text), crashText)
	})
}

// A process that crashes must end, so that it is started again, even if nobody reads its log.
func TestCrashDoesNotWaitForTheReaderOfTheLog(t *testing.T) {
	p := newNodeProcess(t)
	reader, writer, err := os.Pipe()
	require.NoError(t, err)
	_, err = unix.FcntlInt(writer.Fd(), unix.F_SETPIPE_SZ, 4096)
	require.NoError(t, err)
	p.cmd.Stdout = writer
	p.start()
	require.NoError(t, writer.Close())
	p.waitReady()
	for range 60 {
		p.signal(syscall.SIGHUP) // each writes a line
		time.Sleep(10 * time.Millisecond)
	}
	p.signal(syscall.SIGABRT)
	p.requireExit(2)
	require.NoError(t, reader.Close())
}
