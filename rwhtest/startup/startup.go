// Package startup tests what a program does before its main function runs.
package startup

import (
	"os/exec"
	"path/filepath"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"redwinghall/standin/process"
)

const (
	starts      = 40
	startStep   = 250 * time.Microsecond // by which each SIGHUP comes later after the start
	handlesTime = 5 * time.Second
)

// RequireOutlivesHangUp builds the program in the working directory and requires that SIGHUP ends no process of it
// once its first instructions have run.
func RequireOutlivesHangUp(t *testing.T) {
	t.Helper()
	dir := t.TempDir()
	out, err := exec.Command("go", "build", "-o", filepath.Join(dir, "program"), ".").CombinedOutput()
	require.NoError(t, err, string(out))
	set := process.NewSet(dir, dir)
	for i := range starts {
		p, err := set.Start("program", "program", "--help")
		require.NoError(t, err)
		for end := time.Now().Add(handlesTime); !p.Handles(syscall.SIGHUP) && !exited(p); {
			require.True(t, time.Now().Before(end), "it neither handles SIGHUP nor ends")
		}
		time.Sleep(time.Duration(i) * startStep)
		p.Signal(syscall.SIGHUP)
		<-p.Exited()
		require.False(t, p.EndedBy(syscall.SIGHUP), "ended by SIGHUP %s after its start", time.Duration(i)*startStep)
		set.Forget(p)
	}
}

func exited(p *process.Process) bool {
	select {
	case <-p.Exited():
		return true
	default:
		return false
	}
}
