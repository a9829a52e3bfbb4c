package main_test

import (
	"io"
	"net"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"golang.org/x/sys/unix"
)

// settingsPipe replaces the settings file by a pipe, so that the program waits for its settings.
// It returns a function that provides them. Later reads get other ones.
func settingsPipe(t *testing.T, p *nodeProcess) (provide func()) {
	t.Helper()
	pipe, file := p.path, filepath.Join(t.TempDir(), "node.conf")
	require.NoError(t, os.WriteFile(file, []byte(strings.Replace(p.settings.Text(), "stall_ms=4000", "stall_ms=3000", 1)), 0o600))
	require.NoError(t, os.Remove(pipe))
	require.NoError(t, syscall.Mkfifo(pipe, 0o600))
	return func() {
		writer, err := os.OpenFile(pipe, os.O_WRONLY, 0)
		require.NoError(t, err)
		require.NoError(t, os.Rename(file, pipe))
		_, err = io.WriteString(writer, p.settings.Text())
		require.NoError(t, err)
		require.NoError(t, writer.Close())
	}
}

func TestHangUpWhileANodeStartsEndsNothing(t *testing.T) {
	p := newNodeProcess(t)
	provide := settingsPipe(t, p)
	hold := holdPipe(t, p.path)
	p.start()
	waitOpened(t, p)
	p.signal(syscall.SIGHUP)
	p.requireRuns(200 * time.Millisecond)
	provide()
	require.NoError(t, hold.Close())
	p.waitReady()
	require.Eventually(t, func() bool { return strings.Contains(p.text(p.log), "settings_reloaded") }, time.Second, 10*time.Millisecond)
	p.requireStops()
}

// holdPipe keeps a pipe open for writing, so that its reader waits for more.
func holdPipe(t *testing.T, path string) *os.File {
	t.Helper()
	file, err := os.OpenFile(path, os.O_RDWR, 0)
	require.NoError(t, err)
	return file
}

// waitOpened waits until the process has opened its settings file.
func waitOpened(t *testing.T, p *nodeProcess) {
	t.Helper()
	require.Eventually(t, func() bool {
		fds, err := filepath.Glob(filepath.Join("/proc", strconv.Itoa(p.cmd.Process.Pid), "fd", "*"))
		require.NoError(t, err)
		for _, fd := range fds {
			if target, err := os.Readlink(fd); err == nil && target == p.path {
				return true
			}
		}
		return false
	}, waitTime, 5*time.Millisecond)
}

func TestHangUpWhileANodeExitsEndsNothing(t *testing.T) {
	p := newNodeProcess(t)
	reader, writer, err := os.Pipe()
	require.NoError(t, err)
	_, err = unix.FcntlInt(writer.Fd(), unix.F_SETPIPE_SZ, 4096) // a small pipe, so that the log's last lines wait for a reader
	require.NoError(t, err)
	p.cmd.Stdout = writer
	p.start()
	require.NoError(t, writer.Close())
	p.waitReady()
	for range 60 {
		p.signal(syscall.SIGHUP) // each writes a line
		time.Sleep(10 * time.Millisecond)
	}
	p.signal(syscall.SIGTERM)
	require.Eventually(t, func() bool {
		conn, err := net.Dial("tcp", p.settings.ReadinessAddress)
		if err != nil {
			return true
		}
		require.NoError(t, conn.Close())
		return false
	}, waitTime, 10*time.Millisecond)
	time.Sleep(100 * time.Millisecond)
	p.signal(syscall.SIGHUP)
	p.requireRuns(200 * time.Millisecond)
	_, err = io.Copy(io.Discard, reader)
	require.NoError(t, err)
	p.requireExit(0)
}
