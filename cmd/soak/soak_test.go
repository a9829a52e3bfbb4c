package main_test

import (
	"context"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"redwinghall/soak"
)

// regressions are the seeds that have ever failed, each with its cause, and the seed
// that CI always runs. Entries are never changed.
var regressions = []struct {
	plan   soak.Plan
	seed   uint64
	nodes  int
	length time.Duration
	cause  string
}{
	{soak.PlanFaults, 1, 4, 8 * time.Second, "none: the seed that each run of CI uses"},
	{soak.PlanPartitions, 1, 4, 10 * time.Second, "nodes that are parted from all endpoints serve nobody"},
	{soak.PlanPartitions, 1404, 4, 12 * time.Second, "the only node that reaches the endpoints is passed over, as it was parted itself a moment ago"},
	{soak.PlanPartitions, 1408, 4, 12 * time.Second, "the only node that reaches the endpoints is passed over, as it was parted itself a moment ago"},
	{soak.PlanPartitions, 1520, 2, 12 * time.Second, "a parted node asks nobody while all endpoints are in backoff, though another node reaches them by now"},
	{soak.PlanPauses, 2, 4, 13 * time.Second, "nodes that stood still take their standstill for the silence of endpoints"},
	// Streams are truncated and connections closed without a response while operators
	// stop nodes one after another. A node that got SIGTERM accepted requests, on new
	// connections and on kept ones whose previous stream had just ended, without
	// comparing their expected duration with its remaining grace period, and cut them
	// off at its end. Most of these requests came on kept connections, regardless of
	// what the load balancer did.
	{soak.PlanStops, 1, 6, 20 * time.Second, "a stopping node accepts requests that last beyond its grace period"},
	{soak.PlanVersions, 1, 4, 10 * time.Second, "a node ends by SIGPIPE at its next log line once nobody reads its output"},
	{soak.PlanVersions, 2, 6, 14 * time.Second, "a node ends by SIGHUP before it handles it, or after it no longer does"},
	{soak.PlanEnds, 1, 8, 10 * time.Second, "the holder of a zone cancels sound groups after all endpoints were silent together"},
	{soak.PlanSilences, 1, 4, 10 * time.Second, "a stream ends as it leaves an endpoint that is silent for a moment"},
	{soak.PlanRemovals, 1, 4, 12 * time.Second, "a node that was cut off from the store takes a removal after that for a lapse"},
	{soak.PlanHalves, 1, 4, 8 * time.Second, "half an answer without a length passes as whole, as nobody can tell whether its process still runs"},
}

// TestSoak runs the plan of each regression for a short time, with real node processes,
// signals and connections.
func TestSoak(t *testing.T) {
	bin := t.TempDir()
	build := exec.Command("go", "build", "-o", filepath.Join(bin, "node"), ".")
	build.Dir = filepath.Join("..", "node")
	out, err := build.CombinedOutput()
	require.NoError(t, err, string(out))
	for i, regression := range regressions {
		t.Run(fmt.Sprintf("%s-%d", regression.plan, regression.seed), func(t *testing.T) {
			t.Parallel()
			report, err := soak.Run(context.Background(), soak.Config{
				Seed: regression.seed, Bin: bin, Dir: t.TempDir(), Plan: regression.plan, Length: regression.length, Nodes: regression.nodes,
				Host: fmt.Sprintf("127.%d.%d.", 111+os.Getpid()%100, i),
			})
			require.NoError(t, err)
			require.Empty(t, report.Violations, "%s\nfaults: %v", regression.cause, report.Faults)
			require.Positive(t, report.Served)
		})
	}
}
