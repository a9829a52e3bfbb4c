// Package heldstill repeats a test in a process that is held still from outside, as a VM is that is
// migrated, or whose host has no memory or processor to spare.
package heldstill

import (
	"context"
	"os"
	"os/exec"
	"path/filepath"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"redwinghall/kernel"
)

// childVariable marks the process in which the test itself runs.
const childVariable = "RWH_HELD_STILL"

// Pattern says for how long a process is held still, for how long it runs before each time, and
// how often.
type Pattern struct {
	Still, Run time.Duration
	Times      int
}

// Repeat runs the calling test once more in a process of its own, which is held still meanwhile, and
// fails the test if that process fails. In that process it returns false, and the caller plays the
// test itself.
func Repeat(t *testing.T, p Pattern) (done bool) {
	t.Helper()
	if os.Getenv(childVariable) != "" {
		return false
	}
	output := filepath.Join(t.TempDir(), "output")
	out, err := os.Create(output) //nolint:gosec // a temporary file of the test
	require.NoError(t, err)
	command := exec.Command(os.Args[0], "-test.run=^"+t.Name()+"$", "-test.count=1", "-test.v") //nolint:gosec // this test itself
	command.Env = append(os.Environ(), childVariable+"=1")
	command.Stdout, command.Stderr = out, out
	require.NoError(t, command.Start())
	g := kernel.NewGroup(context.Background())
	g.Go("hold_still", func(ctx context.Context) error {
		holdStill(ctx, command.Process, p)
		return nil
	})
	err = command.Wait()
	g.Stop()
	require.NoError(t, g.Wait())
	require.NoError(t, out.Close())
	text, readErr := os.ReadFile(output) //nolint:gosec // as above
	require.NoError(t, readErr)
	require.NoError(t, err, "held still for %s after each %s: %s", p.Still, p.Run, text)
	return true
}

// holdStill stops and continues a process until ctx is done.
func holdStill(ctx context.Context, process *os.Process, p Pattern) {
	for range p.Times {
		if !kernel.Sleep(ctx, p.Run) || process.Signal(syscall.SIGSTOP) != nil {
			return
		}
		kernel.Sleep(ctx, p.Still)
		if process.Signal(syscall.SIGCONT) != nil {
			return
		}
	}
}
