package quarantine_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"redwinghall/quarantine"
)

// Guards against nodes that work through all their suspects for each load report, of which some get hundreds a second.
func TestDigestOfManySuspectsTakesNoWork(t *testing.T) { // not parallel: allocations are counted
	table := quarantine.NewTable()
	for i := range 512 {
		request := fmt.Sprint("r", i)
		table.RecordEnd(quarantine.Suspect{
			Process: quarantine.Process{Endpoint: "e", StartedMillis: 1}, Request: request, Service: service,
			Parts: []string{quarantine.LastPart(request), quarantine.WholeRequest(request)}, At: start.Add(time.Duration(i) * time.Millisecond),
		})
	}
	require.NotZero(t, table.Digest())
	require.Zero(t, testing.AllocsPerRun(100, func() { table.Digest() }), "allocations")
}
