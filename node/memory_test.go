package node_test

import (
	"encoding/json"
	"fmt"
	"net/http"
	"os"
	"runtime/debug"
	"testing"

	"github.com/stretchr/testify/require"

	"redwinghall/node"
	"redwinghall/rwhtest/logtest"
)

// gauges returns the current values of a node's gauges.
func (d *deployment) gauges() map[string]int64 {
	d.t.Helper()
	response, err := http.Get(fmt.Sprintf("http://%s:%d%s", d.settings.IP, node.MetricsPort, node.MetricsPath))
	require.NoError(d.t, err)
	var series map[string]struct {
		Value int64 `json:"value"`
	}
	require.NoError(d.t, json.NewDecoder(response.Body).Decode(&series))
	require.NoError(d.t, response.Body.Close())
	values := map[string]int64{}
	for name, one := range series {
		values[name] = one.Value
	}
	return values
}

// The kernel ends a process for lack of memory without notice. The metrics must show what it uses, of
// what, and for how many callers.
func TestMetricsShowMemoryAndWorkInProgress(t *testing.T) {
	t.Parallel()
	d := deployLong(t)
	d.start()
	d.waitOpen()
	require.Zero(t, d.gauges()["streams.in_progress"])
	d.beginStream("long")
	got := d.gauges()
	require.EqualValues(t, 284<<20, got["memory.limit"])
	require.Positive(t, got["memory.used"])
	require.GreaterOrEqual(t, got["memory.peak"], got["memory.used"])
	require.Positive(t, got["memory.runtime"])
	require.Positive(t, got["goroutines"])
	require.EqualValues(t, 1, got["streams.in_progress"])
	require.EqualValues(t, 1, got["requests.in_progress"])
	require.GreaterOrEqual(t, got["connections.open"], got["requests.in_progress"])
	require.Contains(t, got, "forwards.in_progress")
	require.EqualValues(t, 284<<20/4, got["memory.held_limit"])
	require.Positive(t, got["memory.held.requests"])
	require.Contains(t, got, "memory.held.bodies")
	require.Contains(t, got, "memory.held.answers")
}

func TestNodeNearTheLimitOfItsMemorySaysSo(t *testing.T) {
	d := deploy(t)
	d.settings.MemoryMB = 1 // less than any process uses
	before := debug.SetMemoryLimit(-1)
	t.Cleanup(func() { debug.SetMemoryLimit(before) }) // the node sets it for the process
	require.NoError(t, os.WriteFile(d.path, []byte(d.settings.Text()), 0o600))
	log := logtest.Open(t)
	d.start()
	requireLine(t, log, "memory_near_limit", "limit=1048576", "used=", "peak=", "goroutines=", "connections=", "requests=")
}

// Memory that goes up and down near the limit must not fill the log.
func TestMemoryNearTheLimitIsNotedOnceUntilItIsClear(t *testing.T) {
	var watch node.MemoryWatch
	noted := 0
	for _, used := range []int64{10, 79, 80, 95, 71, 90, 75, 80, 69, 79, 85, 100} {
		if watch.Note(used, 100) {
			noted++
		}
	}
	require.Equal(t, 2, noted)
	require.False(t, new(node.MemoryWatch).Note(100, 0), "no limit is known")
}
