package quarantine_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"redwinghall/quarantine"
)

// Nodes hear the same things in another order, and more than once.
func TestTablesAgreeInAnyOrder(t *testing.T) {
	t.Parallel()
	rapid.Check(t, func(t *rapid.T) {
		var reports []quarantine.Report
		now := start.Add(time.Minute)
		part := func(label string) string { return fmt.Sprint("part-", rapid.IntRange(0, 3).Draw(t, label)) }
		for i := range rapid.IntRange(1, 25).Draw(t, "reports") {
			age := time.Duration(rapid.IntRange(0, 50).Draw(t, "age")) * time.Second
			if rapid.Bool().Draw(t, "cleared") {
				reports = append(reports, quarantine.Report{Cleared: []quarantine.ClearedReport{{Part: quarantine.Part{Service: service, ID: part("part")}, Age: age}}})
				continue
			}
			reports = append(reports, quarantine.Report{Suspects: []quarantine.SuspectReport{{Age: age, Suspect: quarantine.Suspect{
				Process: quarantine.Process{Endpoint: fmt.Sprint("e", rapid.IntRange(0, 5).Draw(t, "endpoint")), StartedMillis: 1},
				Request: fmt.Sprint("r", i), Service: service, Parts: []string{part("first"), part("second")}, Trial: rapid.Bool().Draw(t, "trial"),
			}}}})
		}
		one, other := quarantine.NewTable(), quarantine.NewTable()
		for _, report := range reports {
			one.Merge(now, report)
		}
		rand.Shuffle(len(reports), func(i, j int) { reports[i], reports[j] = reports[j], reports[i] })
		for _, report := range append(reports, reports...) {
			other.Merge(now, report)
		}
		require.Equal(t, one.Digest(), other.Digest())
		for i := range 4 {
			for j := range 4 {
				parts := []string{fmt.Sprint("part-", i), fmt.Sprint("part-", j)}
				require.Equal(t, one.Check(now, service, parts).Verdict, other.Check(now, service, parts).Verdict, "parts %v", parts)
			}
		}
	})
}

// Guards against full tables that give each other again what they have dropped, at each exchange and without end.
func TestFullTablesHaveNothingNewForEachOther(t *testing.T) {
	t.Parallel()
	const (
		nodes  = 7
		ends   = 200 // of each node; all together more than a table holds
		rounds = 3   // until all tables hold the same
	)
	tables := make([]*quarantine.Table, nodes)
	for i := range tables {
		tables[i] = quarantine.NewTable()
		for j := range ends {
			request := fmt.Sprint("r", i, "-", j)
			tables[i].RecordEnd(quarantine.Suspect{
				Process: quarantine.Process{Endpoint: fmt.Sprint("e", j), StartedMillis: 1}, Request: request, Service: service,
				Parts: []string{quarantine.WholeRequest(request)}, At: start.Add(time.Duration(j*nodes+i) * time.Millisecond),
			})
		}
	}
	now := start.Add(2 * time.Second)
	for round := range 2 * rounds {
		for i, table := range tables[1:] {
			changed, firstChanged := table.Changed(), tables[0].Changed()
			tables[0].Merge(now, table.All(now))
			table.Merge(now, tables[0].All(now))
			if round < rounds {
				continue
			}
			require.False(t, isClosed(changed) || isClosed(firstChanged), "node %d, round %d", i+1, round)
			require.Equal(t, tables[0].Digest(), table.Digest(), "node %d, round %d", i+1, round)
		}
	}
}

func isClosed(changed <-chan struct{}) bool {
	select {
	case <-changed:
		return true
	default:
		return false
	}
}

func TestNewsNamesEachThingOnce(t *testing.T) {
	t.Parallel()
	h := newHistory()
	h.end(false, "bad")
	report, seq := h.News(h.now, 0, true)
	require.Len(t, report.Suspects, 1)
	report, again := h.News(h.now, seq, true)
	require.True(t, report.IsEmpty())
	require.Equal(t, seq, again)
	other := newHistory()
	other.Merge(h.now, h.All(h.now))
	report, _ = other.News(h.now, 0, true)
	require.True(t, report.IsEmpty(), "what another node told isn't this node's own news")
	report, _ = other.News(h.now, 0, false)
	require.Len(t, report.Suspects, 1)
}

// A node that answered on a part hears that it was at an end: all nodes must hear of the answer.
func TestANodeTellsOfItsAnswersOnSuspectedParts(t *testing.T) {
	t.Parallel()
	h, other := newHistory(), newHistory()
	other.prove("shared")
	h.pass(time.Second)
	h.end(false, "shared")
	require.Equal(t, quarantine.Trial, h.verdict("shared"))
	other.Merge(h.now, h.All(h.now))
	report, _ := other.News(h.now, 0, true)
	require.Len(t, report.Cleared, 1)
	h.Merge(h.now, report)
	require.Equal(t, quarantine.Send, h.verdict("shared"), "a part that was answered on a second before is trusted")
}
