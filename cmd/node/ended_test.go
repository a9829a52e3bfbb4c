package main_test

import (
	"net"
	"os"
	"os/exec"
	"regexp"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// again returns the process of a later start of the same node.
func (p *nodeProcess) again() *nodeProcess {
	p.t.Helper()
	next := *p
	next.settings.Restarted = true
	require.NoError(p.t, os.WriteFile(next.path, []byte(next.settings.Text()), 0o600))
	next.log, next.exited = p.log+"+", make(chan error, 1)
	next.cmd = exec.Command(p.cmd.Path, p.cmd.Args[1:]...)
	next.cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	return &next
}

// requireLine waits until a log has a line that matches.
func (p *nodeProcess) requireLine(pattern string) {
	p.t.Helper()
	line := regexp.MustCompile(pattern)
	require.Eventually(p.t, func() bool { return line.MatchString(p.text(p.log)) }, waitTime, 10*time.Millisecond, pattern)
}

// Operators find the lines of a node in its standard output. Those of each end must differ: a signal
// that asked for it, a kill, and a node that can't start.
func TestLogTellsHowANodeEnded(t *testing.T) {
	killed := newNodeProcess(t)
	killed.start()
	killed.waitReady()
	killed.requireLine(`"previous_end" node="n1" end="first_start"`)
	time.Sleep(time.Second) // the row is written after the first read of the table
	killed.signal(syscall.SIGKILL)
	require.Error(t, <-killed.exited)
	require.NotContains(t, killed.text(killed.log), "node_stop")

	asked := killed.again()
	asked.start()
	asked.waitReady()
	asked.requireLine(`"previous_end" node="n1" end="unannounced" last_heard="[1-9][^ ]*s" ran_for=`)
	asked.requireStops()
	asked.requireLine(`"node_stopping" node="n1" cause="terminated signal received" grace_left=`)
	asked.requireLine(`"node_stopped" node="n1" reason="planned_stop" cause="terminated signal received" took="[^"]+" ran_for="[^"]+" by_grace=false interrupted=0`)

	last := asked.again()
	listener, err := net.Listen("tcp", last.settings.CallerAddress)
	require.NoError(t, err)
	last.start()
	last.requireExit(1)
	require.NoError(t, listener.Close())
	last.requireLine(`"node_not_started" err="[^\n]*address already in use"`)

	free := last.again()
	free.start()
	free.waitReady()
	free.requireLine(`"previous_end" node="n1" end="planned_or_new"`)
	require.False(t, strings.Contains(free.text(free.log), "nodes_started_together"))
}
