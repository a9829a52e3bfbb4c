package main_test

import (
	"os"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// Log collectors that end at all nodes at once must not take the nodes with them.
func TestNodeOutlivesTheReadersOfItsOutput(t *testing.T) {
	p := newNodeProcess(t)
	out, outWriter, err := os.Pipe()
	require.NoError(t, err)
	errOut, errWriter, err := os.Pipe()
	require.NoError(t, err)
	p.cmd.Stdout, p.cmd.Stderr = outWriter, errWriter
	p.start()
	require.NoError(t, outWriter.Close())
	require.NoError(t, errWriter.Close())
	p.waitReady()
	require.NoError(t, out.Close())
	require.NoError(t, errOut.Close())
	for range 5 {
		p.signal(syscall.SIGHUP) // writes a line
		p.requireRuns(50 * time.Millisecond)
	}
	p.waitReady()
	p.requireStops()
}
