package members

import (
	"encoding/json"
	"errors"
	"time"

	"k8s.io/klog/v2"

	"redwinghall"
	"redwinghall/kernel"
)

// announcement is the content of a node's row. Nodes of another version may lack the fields beside
// Node, or not know them.
type announcement struct {
	Node
	// StartedMillis and WrittenMillis are when the process started and when it wrote the row, by
	// the clock of its VM, in Unix milliseconds; 0 if unknown.
	StartedMillis int64 `json:"started_ms,omitempty"`
	WrittenMillis int64 `json:"written_ms,omitempty"`
	// OOMKills is how many processes of the VM the kernel had ended for lack of memory since the
	// VM's start; nil if unknown.
	OOMKills *int64 `json:"oom_kills,omitempty"`
}

// The ends of the process that ran on this VM before this one.
const (
	endFirstStart = "first_start"
	// endPlannedOrNew means that there is no row: a planned stop removed it, or the node is new.
	endPlannedOrNew = "planned_or_new"
	// endUnannounced means that the row was not removed, as by a planned stop.
	endUnannounced = "unannounced"
	endUnknown     = "unknown"
)

// unknownAge is logged for an age that is unknown.
const unknownAge = time.Duration(-1)

const (
	// startedTogether is how far apart processes of different VMs start if one cause started them.
	startedTogether = 5 * time.Second
	// startsKnownAfter is how long after its first read of the table a node knows the starts of the
	// others: they write their rows after their own first read.
	startsKnownAfter = 6 * time.Second
)

// newAnnouncement returns the content of this node's row.
func (t *Table) newAnnouncement() announcement {
	a := announcement{Node: t.config.Self, StartedMillis: t.started.UnixMilli(), WrittenMillis: t.config.WallClock().UnixMilli()}
	if t.config.OOMKills != nil {
		if kills, ok := t.config.OOMKills(); ok {
			a.OOMKills = &kills
		}
	}
	return a
}

// logPreviousEnd logs how the process ended that ran on this VM before, as far as the row shows that it
// left. It is called when the table was read for the first time.
func (t *Table) logPreviousEnd(boot time.Time, row redwinghall.Row) {
	var before announcement
	end, lastHeard, ranFor := endUnannounced, unknownAge, unknownAge
	switch {
	case t.config.FirstStart:
		end = endFirstStart
	case row.Version == 0:
		end = endPlannedOrNew
	case json.Unmarshal(row.Value, &before) != nil:
		end, before = endUnknown, announcement{}
	case before.WrittenMillis > 0:
		written := time.UnixMilli(before.WrittenMillis)
		lastHeard = max(0, t.config.WallClock().Sub(written))
		ranFor = written.Sub(time.UnixMilli(before.StartedMillis))
	}
	line := []any{
		"node", t.config.Self.Name, "end", end, "last_heard", lastHeard, "ran_for", ranFor,
		"vm_up", boot.Sub(time.Unix(0, 0)), "oom_kills", t.oomKillsSince(before), "address", before.Address,
	}
	if end == endUnannounced {
		kernel.WarningS(errUnannouncedEnd, "previous_end", line...)
		return
	}
	klog.InfoS("previous_end", line...)
}

// errUnannouncedEnd says that a process was killed, lost its VM's power, or ended by itself.
var errUnannouncedEnd = errors.New("the process before this one ended without a planned stop")

// oomKillsSince returns how many processes of this VM the kernel has ended for lack of memory since an
// earlier announcement, or since the VM's start if that is later; -1 if unknown.
func (t *Table) oomKillsSince(before announcement) int64 {
	now := t.newAnnouncement()
	if before.OOMKills == nil || now.OOMKills == nil {
		return -1
	}
	if *now.OOMKills < *before.OOMKills {
		return *now.OOMKills // the VM was started anew
	}
	return *now.OOMKills - *before.OOMKills
}

// logStartsTogether logs once how many other nodes started at about the same time as this one.
func (t *Table) logStartsTogether(boot time.Time) {
	if t.startsLogged || boot.Sub(t.firstAt) < startsKnownAfter {
		return
	}
	t.startsLogged = true
	others := 0
	for _, s := range t.seen {
		apart := time.UnixMilli(s.node.StartedMillis).Sub(t.started).Abs()
		if s.node.Name != t.config.Self.Name && apart <= startedTogether {
			others++
		}
	}
	if others > 0 {
		klog.InfoS("nodes_started_together", "node", t.config.Self.Name, "others", others, "known", len(t.Nodes())-1, "within", startedTogether)
	}
}
