package node_test

import (
	"os"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"redwinghall/platform/platformtest"
)

// withGrace rewrites the settings file with another grace period.
func (d *deployment) withGrace(seconds string) {
	d.t.Helper()
	text := strings.Replace(d.settings.Text(), "grace_period_s=8", "grace_period_s="+seconds, 1)
	require.Contains(d.t, text, "grace_period_s="+seconds+"\n")
	require.NoError(d.t, os.WriteFile(d.path, []byte(text), 0o600))
}

// stopDuration stops the node and returns how long the stop took.
func (d *deployment) stopDuration() time.Duration {
	d.t.Helper()
	stopped := time.Now()
	d.stop()
	require.NoError(d.t, <-d.done)
	return time.Since(stopped)
}

// The grace period is one second and the store doesn't respond. If the timeout for
// releasing the lease, also one second, ignores the end of the stop, the node overruns
// its grace period and is killed: connections are reset and running requests are cut off.
func TestStopEndsInAShortGraceWithoutTheStore(t *testing.T) {
	t.Parallel()
	d := deploy(t)
	d.withGrace("1")
	d.start()
	d.waitOpen()
	d.store.SetFaults(platformtest.Faults{Silent: true})
	require.Less(t, d.stopDuration(), time.Second)
}

// Operators shorten the grace period in the settings file and stop the node right away.
// If the file is read only every few seconds and on SIGHUP, but not when the stop begins,
// the node uses the old grace period: it accepts requests for too long and is killed.
func TestStopKeepsTheGraceOfTheSettingsFile(t *testing.T) {
	t.Parallel()
	d := deploy(t)
	d.start()
	d.waitOpen()
	d.withGrace("2")
	require.Less(t, d.stopDuration(), 2*time.Second)
}
