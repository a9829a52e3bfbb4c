package main_test

import (
	"os"
	"testing"

	"github.com/stretchr/testify/require"
	"golang.org/x/sys/unix"
)

// Log collectors that hang at all nodes at once must not turn planned stops into kills.
func TestNodeStopsThoughNobodyReadsItsOutput(t *testing.T) {
	p := newNodeProcess(t)
	reader, writer, err := os.Pipe()
	require.NoError(t, err)
	t.Cleanup(func() { require.NoError(t, reader.Close()) })
	fillPipe(t, writer)
	p.cmd.Stdout = writer
	p.start()
	require.NoError(t, writer.Close())
	p.waitReady()
	p.requireStops()
}

// fillPipe fills a pipe, so that the next write blocks.
func fillPipe(t *testing.T, writer *os.File) {
	t.Helper()
	size, err := unix.FcntlInt(writer.Fd(), unix.F_GETPIPE_SZ, 0)
	require.NoError(t, err)
	_, err = writer.Write(make([]byte, size))
	require.NoError(t, err)
}
