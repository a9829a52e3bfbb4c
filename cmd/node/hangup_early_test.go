package main_test

import (
	"fmt"
	"os"
	"strconv"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// The runtime's own handler of SIGHUP ends the process until main has another one.
func TestHangUpBeforeMainEndsNothing(t *testing.T) {
	const starts = 40
	for i := range starts {
		t.Run(strconv.Itoa(i), func(t *testing.T) {
			p := newNodeProcess(t)
			p.start()
			require.Eventually(t, func() bool { return reactsToHangUp(t, p) }, waitTime, 100*time.Microsecond)
			time.Sleep(time.Duration(i) * 250 * time.Microsecond)
			p.signal(syscall.SIGHUP)
			p.requireRuns(50 * time.Millisecond)
		})
	}
}

// reactsToHangUp reports whether a process handles SIGHUP or ignores it. Until it has loaded its
// libraries it does neither.
func reactsToHangUp(t *testing.T, p *nodeProcess) bool {
	t.Helper()
	status, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", p.cmd.Process.Pid))
	require.NoError(t, err)
	for line := range strings.Lines(string(status)) {
		name, value, _ := strings.Cut(line, ":")
		if name != "SigCgt" && name != "SigIgn" {
			continue
		}
		mask, err := strconv.ParseUint(strings.TrimSpace(value), 16, 64)
		require.NoError(t, err)
		if mask&(1<<(syscall.SIGHUP-1)) != 0 {
			return true
		}
	}
	return false
}
