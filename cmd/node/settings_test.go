package main_test

import (
	"os"
	"os/exec"
	"path/filepath"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"redwinghall/kernel"
)

// replaceTime is how long the file lacks or is half-written in these tests.
const replaceTime = 300 * time.Millisecond

// A file that is being replaced while all nodes start must not keep them from starting.
func TestNodeStartsWhileItsSettingsAreReplaced(t *testing.T) {
	for name, before := range map[string]func(path, text string) error{
		"missing":      func(path, _ string) error { return os.Remove(path) },
		"empty":        func(path, _ string) error { return os.WriteFile(path, nil, 0o600) },
		"half-written": func(path, text string) error { return os.WriteFile(path, []byte(text[:len(text)/2]), 0o600) },
	} {
		t.Run(name, func(t *testing.T) {
			p := newNodeProcess(t)
			require.NoError(t, before(p.path, p.settings.Text()))
			p.start()
			p.requireRuns(replaceTime)
			require.NoError(t, os.WriteFile(p.path+".new", []byte(p.settings.Text()), 0o600))
			require.NoError(t, os.Rename(p.path+".new", p.path))
			p.waitReady()
			p.requireStops()
		})
	}
}

func TestSettingsThatStayInvalidEndTheStart(t *testing.T) {
	p := newNodeProcess(t)
	require.NoError(t, os.WriteFile(p.path, []byte("node_name=n1\ninternal_ports=9\n"), 0o600))
	begun := time.Now()
	p.start()
	p.requireExit(2)
	require.Less(t, kernel.RunTime(begun, time.Now()), 5*time.Second)
	require.Contains(t, p.text(p.errLog), "internal_ports")
}

func TestCheckDoesNotWaitForSettings(t *testing.T) {
	program, err := build()
	require.NoError(t, err)
	begun := time.Now()
	out, err := exec.Command(program, "--check", "--settings", filepath.Join(t.TempDir(), "none")).CombinedOutput()
	require.Error(t, err)
	require.Contains(t, string(out), "no such file")
	require.Less(t, kernel.RunTime(begun, time.Now()), time.Second)
}

// A stop that comes before the node serves anyone needs none of its grace period.
func TestStopBeforeTheNodeServesIsImmediate(t *testing.T) {
	p := newNodeProcess(t)
	provide := settingsPipe(t, p)
	hold := holdPipe(t, p.path)
	p.start()
	waitOpened(t, p)
	p.signal(syscall.SIGTERM)
	p.requireRuns(50 * time.Millisecond)
	provide()
	begun := time.Now()
	require.NoError(t, hold.Close())
	p.requireExit(0)
	require.Less(t, kernel.RunTime(begun, time.Now()), time.Second)
}
