package node_test

import (
	"os"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"redwinghall/platform/platformtest"
)

// withGrace writes the settings file with another grace.
func (d *deployment) withGrace(seconds string) {
	d.t.Helper()
	text := strings.Replace(d.settings.Text(), "grace_period_s=8", "grace_period_s="+seconds, 1)
	require.Contains(d.t, text, "grace_period_s="+seconds+"\n")
	require.NoError(d.t, os.WriteFile(d.path, []byte(text), 0o600))
}

// stopTakes stops the node and returns how long that takes.
func (d *deployment) stopTakes() time.Duration {
	d.t.Helper()
	stopped := time.Now()
	d.stop()
	require.NoError(d.t, <-d.done)
	return time.Since(stopped)
}

// Operators give a node one second to stop, and the store doesn't answer. The
// node waits a second for the store while it gives its lease up, whatever its
// grace, and is killed: callers see their connections reset, and whatever still
// runs is cut. Cause: giving the lease up isn't held against the end of the stop.
func TestStopEndsInAShortGraceWithoutTheStore(t *testing.T) {
	t.Parallel()
	d := deploy(t)
	d.withGrace("1")
	d.start()
	d.waitOpen()
	d.store.SetFaults(platformtest.Faults{Silent: true})
	require.Less(t, d.stopTakes(), time.Second)
}

// Operators shorten the grace in the settings file and stop the node right
// away. The node stops by the old grace: it takes requests for longer than it
// has, and is killed. Cause: the file is read every few seconds and on SIGHUP,
// but not when the stop begins, which is when the grace counts.
func TestStopKeepsTheGraceOfTheSettingsFile(t *testing.T) {
	t.Parallel()
	d := deploy(t)
	d.start()
	d.waitOpen()
	d.withGrace("2")
	require.Less(t, d.stopTakes(), 2*time.Second)
}
