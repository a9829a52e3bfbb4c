// Package silence finds out which groups fell silent from what all nodes of a zone see of them. It
// does no I/O and doesn't read the clock.
//
// A group that lost a member sends nothing to anyone from one moment on. A single stream's silence is
// out of the ordinary only after several passes of the engine; that of all streams of all nodes, while
// other groups go on, after one.
package silence

import (
	"maps"
	"slices"
	"sync"
	"time"
)

const (
	// reportTTL is how long a node's report is used. It outlasts one lost report.
	reportTTL = 250 * time.Millisecond
	// settleTime is how long no head is reported after most of them stood still: they go on one
	// after the other.
	settleTime = 600 * time.Millisecond
	// minNodes is how many nodes have to miss events of a head: one node may be parted from it.
	minNodes = 2
)

// Report is what one node sees of the heads that it has begun streams at.
type Report struct {
	// Still holds the heads from which the node's begun streams get no events, with the time since
	// the newest one.
	Still map[string]time.Duration
	// Moving holds the heads that go on.
	Moving []string
}

// Of returns the part of the report that concerns some heads. A node whose streams at other zones go on would else
// count as one that sees heads of its own zone move.
func (r Report) Of(included func(endpoint string) bool) Report {
	of := Report{Still: map[string]time.Duration{}}
	for id, still := range r.Still {
		if included(id) {
			of.Still[id] = still
		}
	}
	for _, id := range r.Moving {
		if included(id) {
			of.Moving = append(of.Moving, id)
		}
	}
	return of
}

// Head is the head of a group that fell silent for all nodes of the zone.
type Head struct {
	Endpoint string
	Still    time.Duration // since the newest event at any node
	Nodes    int           // with begun streams there
}

// receivedReport is a report and when it came.
type receivedReport struct {
	at     time.Time
	report Report
}

// Table holds the newest report of each node of a zone. It is safe for concurrent use.
type Table struct {
	runTime func(from, to time.Time) time.Duration
	mu      sync.Mutex
	reports map[string]receivedReport // by node
	mostAt  time.Time                 // when most heads were last still
}

// NewTable returns an empty table. runTime returns for how long this process ran in a span of time.
func NewTable(runTime func(from, to time.Time) time.Duration) *Table {
	return &Table{runTime: runTime, reports: map[string]receivedReport{}}
}

// Set stores a node's report.
func (t *Table) Set(now time.Time, node string, report Report) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.reports[node] = receivedReport{at: now, report: report}
}

// Silent returns the heads that fell silent, ordered by their ids.
//
// Reports that came before a pause of this process don't count: it hasn't read the later ones yet.
func (t *Table) Silent(now time.Time) []Head {
	t.mu.Lock()
	defer t.mu.Unlock()
	var fresh []Report
	for node, one := range t.reports {
		age := now.Sub(one.at)
		if age > reportTTL {
			delete(t.reports, node)
			continue
		}
		if t.runTime(one.at, now) == age {
			fresh = append(fresh, one.report)
		}
	}
	silent, most := Decide(fresh)
	if most {
		t.mostAt = now
	}
	if !t.mostAt.IsZero() && now.Sub(t.mostAt) < settleTime {
		return nil
	}
	return silent
}

// Decide returns the heads that fell silent by the reports of several nodes, ordered by their ids, and whether most of
// all heads stand still.
//
// Under these loads it returns none: a head is slow for some nodes and moves for others; one node is
// parted from a head, or from all; all heads, or most of them, stand still together.
func Decide(reports []Report) (silent []Head, most bool) {
	seen, moving := map[string]Head{}, map[string]bool{}
	parted, seeing := 0, 0 // nodes for which all heads are still, and the others
	for _, r := range reports {
		switch {
		case len(r.Moving) > 0:
			seeing++
		case len(r.Still) > 0:
			parted++
			continue // the silence of all heads says nothing of each
		}
		for _, id := range r.Moving {
			moving[id] = true
		}
		for id, still := range r.Still {
			head, known := seen[id]
			if !known || still < head.Still {
				head.Still = still
			}
			head.Endpoint = id
			head.Nodes++
			seen[id] = head
		}
	}
	for _, id := range slices.Sorted(maps.Keys(seen)) {
		if head := seen[id]; !moving[id] && head.Nodes >= minNodes {
			silent = append(silent, head)
		}
	}
	if parted > seeing || len(silent) > len(moving) {
		return nil, true
	}
	return silent, false
}
