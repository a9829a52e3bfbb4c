package soak

import (
	"fmt"
	"time"
)

const (
	exitInterval = 50 * time.Millisecond
	eventsBefore = time.Second // before an end that nobody caused, in the report
)

// reportExits records as violations the processes that have ended though nobody ended them.
func (d *deployment) reportExits() {
	for _, p := range d.processes.TakeUnexpectedExits() {
		before := d.faultsSince(p.ExitedAt().Add(-eventsBefore))
		d.mu.Lock()
		d.exits = append(d.exits, fmt.Sprintf("though nobody ended it %s; events of the second before: %v", p.Describe(), before))
		d.mu.Unlock()
	}
}

// faultsSince returns the faults and stops recorded since a time.
func (d *deployment) faultsSince(from time.Time) []string {
	d.mu.Lock()
	defer d.mu.Unlock()
	var since []string
	for _, f := range d.faults {
		if !f.at.Before(from) {
			since = append(since, f.String())
		}
	}
	return since
}

// recordedFault is a fault or stop with its time.
type recordedFault struct {
	at   time.Time
	text string
}

func (f recordedFault) String() string { return f.at.Format("15:04:05.000 ") + f.text }
