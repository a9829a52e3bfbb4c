package quarantine

import (
	"cmp"
	"slices"
	"time"
)

// Report is what nodes tell each other. Merging reports in any order, and more than once, gives the same.
type Report struct {
	Suspects []SuspectReport
	Cleared  []ClearedReport
}

// SuspectReport is a suspect with its age: the clocks of nodes differ.
type SuspectReport struct {
	Suspect Suspect
	Age     time.Duration
}

// ClearedReport says how long ago an endpoint answered on a part.
type ClearedReport struct {
	Part Part
	Age  time.Duration
}

// IsEmpty reports whether the report says nothing.
func (r Report) IsEmpty() bool { return len(r.Suspects) == 0 && len(r.Cleared) == 0 }

// All returns everything that the table holds.
func (t *Table) All(now time.Time) Report {
	report, _ := t.News(now, 0, false)
	return report
}

// News returns what the table learned after a sequence number, and the number to continue from. onlyLocal leaves
// out what came from other nodes.
func (t *Table) News(now time.Time, after uint64, onlyLocal bool) (Report, uint64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	wanted := func(n news) bool { return n.seq > after && (n.local || !onlyLocal) }
	var report Report
	for _, s := range t.suspects {
		if wanted(s.news) {
			report.Suspects = append(report.Suspects, SuspectReport{Suspect: s.Suspect, Age: now.Sub(s.At)})
		}
	}
	for part, one := range t.cleared {
		if wanted(one.news) {
			report.Cleared = append(report.Cleared, ClearedReport{Part: part, Age: now.Sub(one.at)})
		}
	}
	return report, t.seq
}

// About returns what the table holds of the parts of one request.
func (t *Table) About(now time.Time, service string, parts []string) Report {
	t.mu.Lock()
	defer t.mu.Unlock()
	var report Report
	seen := map[*suspect]bool{}
	for _, id := range parts {
		part := Part{service, id}
		for _, s := range t.live[part] {
			if !seen[s] {
				seen[s] = true
				report.Suspects = append(report.Suspects, SuspectReport{Suspect: s.Suspect, Age: now.Sub(s.At)})
			}
		}
		if proven := t.provenAt(part); !proven.IsZero() {
			report.Cleared = append(report.Cleared, ClearedReport{Part: part, Age: now.Sub(proven)})
		}
	}
	return report
}

// Merge adds what another node reports.
func (t *Table) Merge(now time.Time, report Report) {
	if report.IsEmpty() {
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	changed := false
	for _, one := range report.Cleared {
		changed = t.clear(one.Part, now.Add(-max(0, one.Age)), false) || changed
	}
	for _, one := range report.Suspects {
		one.Suspect.At = now.Add(-max(0, one.Age))
		changed = t.add(one.Suspect, false) || changed
	}
	if changed {
		t.notify()
	}
}

// Digest is equal for tables that suspect the same, 0 if nothing is suspected.
func (t *Table) Digest() uint64 {
	if !t.suspecting.Load() {
		return 0
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.digest
}

// Status is what a table holds against one part, for operators.
type Status struct {
	Part Part
	// Own is set if the part belongs to one request, or to its session.
	Own         bool
	Quarantined bool
	Since       time.Time // the first end
	Last        time.Time // the last one
	RetestAt    time.Time // when one request may be sent again, if it is quarantined
	Ends        []Suspect
}

// Statuses returns the suspected and quarantined parts, quarantined ones first.
func (t *Table) Statuses() []Status {
	t.mu.Lock()
	defer t.mu.Unlock()
	var all []Status
	for part, suspects := range t.live {
		e := t.evidenceOn(part)
		if !e.suspicious(t.provenAt(part)) {
			continue
		}
		one := Status{Part: part, Own: isOwn(part.ID), Quarantined: e.condemns(part), Since: e.firstAt, Last: e.lastAt}
		if one.Quarantined {
			one.RetestAt = e.retestAt()
		}
		for _, s := range suspects {
			one.Ends = append(one.Ends, s.Suspect)
		}
		slices.SortFunc(one.Ends, func(a, b Suspect) int { return a.At.Compare(b.At) })
		all = append(all, one)
	}
	slices.SortFunc(all, func(a, b Status) int {
		if a.Quarantined != b.Quarantined {
			if a.Quarantined {
				return -1
			}
			return 1
		}
		return cmp.Or(a.Since.Compare(b.Since), cmp.Compare(a.Part.ID, b.Part.ID))
	})
	return all
}
