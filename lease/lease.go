// Package lease implements the state machine of an availability zone's lease.
// It does no I/O: the owner of a State reads and writes the rows and passes in
// the current time.
//
// The clocks of two VMs may differ, so a watcher never relies on a time that
// another process wrote. It waits until the row has not changed for the full
// lease duration on its own clock.
package lease

import (
	"encoding/json"
	"time"

	"redwinghall"
)

// Kind classifies lease errors.
type Kind string

// The kinds of lease error.
const (
	BadRecord Kind = "bad_record"
)

// Error is a failed lease operation.
type Error = redwinghall.OpError[Kind]

// Record is the value of the row lease/<zone>.
type Record struct {
	Holder  string `json:"holder"`
	Fencing uint64 `json:"fencing"` // increases with each new holder, never decreases
	Nonce   string `json:"nonce"`   // identifies this write if its response is lost
	// Era is the table's era in which the record was written.
	Era int64 `json:"era,omitempty"`
	// RecoveredEra is the newest era for which the holder has established that all rows that
	// the table lost when it was restored have been written again.
	RecoveredEra int64 `json:"settled,omitempty"`
}

// Fence is the value of the row fence/<zone>. It changes only when the holder
// changes, so that every transaction of a holder can be conditional on the
// row's version.
type Fence struct {
	Fencing uint64 `json:"fencing"`
}

// Key returns the key of a zone's lease.
func Key(zone string) string { return "lease/" + zone }

// FenceKey returns the key of a zone's fence.
func FenceKey(zone string) string { return "fence/" + zone }

// Action is the next step for the lease.
type Action int

// The actions.
const (
	Wait Action = iota
	Acquire
	Renew
)

// Config holds the settings of a lease. Duration and Margin must be the same in
// all processes of a zone.
type Config struct {
	Self     string
	Duration time.Duration
	// Margin is the time between the end of the holder's lease and the earliest
	// moment when a watcher may take over.
	Margin time.Duration
	// SingleInstance says that at most one process named Self runs at a time, so that a
	// record of Self that this process does not hold was left by a process that ended.
	SingleInstance bool
}

// State is one process's view of a lease. Values are immutable.
type State struct {
	config         Config
	version        int64
	fenceVersion   int64
	record         Record
	unchangedSince time.Time // when this version was first seen
	heldUntil      time.Time
	known          bool // whether the rows have been read in the current era
	// era is the table's era, the number of times it was restored from an older copy.
	era int64
	// sawRestore says that the table was restored while this process was watching it.
	sawRestore   bool
	recoveredEra int64
	// written is the nonce of the record that this process wrote last, "" if none.
	written string
}

// NewState returns the state of a process that has not read the rows yet.
func NewState(config Config) State { return State{config: config} }

// WithEra returns the state for rows that are read in the given era of the table. Rows that
// were read in another era no longer count.
func (s State) WithEra(era int64) State {
	if era != s.era {
		s.sawRestore = s.sawRestore || s.known
		s.era = era
		s.known = false
	}
	return s
}

// WithRecoveredEra returns the state in which the rows that the table lost at the
// beginning of the era have been written again.
func (s State) WithRecoveredEra(era int64) State {
	s.recoveredEra = era
	return s
}

// RecoveredEra returns the current record's RecoveredEra.
func (s State) RecoveredEra() int64 { return s.record.RecoveredEra }

// restored reports whether the record was written in an earlier era or has disappeared, so
// that later records may have been lost.
//
// After the table is restored from an older copy, its record may name a former holder or
// nobody, while the last holder still relies on a record that was lost. A process that
// acquired the lease at once would hold it at the same time as that holder. Next therefore
// waits for a full lease duration first.
func (s State) restored() bool {
	if s.version == 0 {
		return s.sawRestore
	}
	return s.record.Era < s.era
}

// WithRows returns the state after the rows have been read at now.
func (s State) WithRows(now time.Time, leaseRow, fenceRow redwinghall.Row) (State, error) {
	if s.known && leaseRow.Version == s.version {
		s.fenceVersion = fenceRow.Version
		return s, nil
	}
	var record Record
	if leaseRow.Version != 0 {
		if err := json.Unmarshal(leaseRow.Value, &record); err != nil {
			return s, redwinghall.NewOpError("State.WithRows", BadRecord, err)
		}
	}
	s.known = true
	s.version = leaseRow.Version
	s.fenceVersion = fenceRow.Version
	s.record = record
	s.unchangedSince = now
	if record.Holder != s.config.Self {
		s.heldUntil = time.Time{}
	}
	return s, nil
}

// Next returns the action to take at now.
func (s State) Next(now time.Time) Action {
	switch {
	case !s.known:
		return Wait
	case s.Holds(now):
		return Renew
	case s.restored() && now.Sub(s.unchangedSince) <= s.config.Duration:
		return Wait
	case s.version == 0 || s.record.Holder == "":
		return Acquire // never held, or released by its holder
	case s.Continues():
		return Acquire // nobody else has held it since
	case s.config.SingleInstance && s.record.Holder == s.config.Self:
		return Acquire // left by an earlier process of this name
	case now.Sub(s.unchangedSince) > s.config.Duration:
		return Acquire
	default:
		return Wait
	}
}

// Holds reports whether this process holds the lease at now.
//
// A holder that was paused past the end of its lease would otherwise send
// orders at the same time as its successor, and a VM would be ordered to join
// two groups. By this process's own clock, the lease therefore ends Margin
// before a watcher may take over. A pause between this check and the order is
// covered by the fence row in each transaction and by the fencing number in
// each order.
func (s State) Holds(now time.Time) bool {
	return s.record.Holder == s.config.Self && now.Before(s.heldUntil)
}

// Continues reports whether the current record is the last one that this process wrote, so that no
// other process has held the lease since. It may have lapsed while this process was paused.
//
// A holder that waited for its own record to expire would do so after each pause. If pauses follow
// each other more closely than that, the zone would have no holder for most of the time.
func (s State) Continues() bool {
	return s.written != "" && s.record.Nonce == s.written && s.record.Holder == s.config.Self
}

// HeldUntil returns when this process stops holding the lease.
func (s State) HeldUntil() time.Time { return s.heldUntil }

// FenceVersion returns the version of the fence row as last read.
func (s State) FenceVersion() int64 { return s.fenceVersion }

// Era returns the table's era in which the rows were read.
func (s State) Era() int64 { return s.era }

// Fencing returns the fencing number of the current record.
func (s State) Fencing() uint64 { return s.record.Fencing }

// Holder returns the id of the process named in the current record.
func (s State) Holder() string { return s.record.Holder }

// FenceCheck returns the condition that each transaction of this holder must
// include.
func (s State) FenceCheck(zone string) redwinghall.Write {
	return redwinghall.Write{Key: FenceKey(zone), Expect: s.fenceVersion, CheckOnly: true}
}

// Txn returns the transaction that carries out an action, and the record that it
// writes.
func (s State) Txn(zone string, action Action, nonce string) (redwinghall.Txn, Record) {
	record := Record{Holder: s.config.Self, Fencing: s.record.Fencing, Nonce: nonce, Era: s.era, RecoveredEra: s.recoveredEra}
	if action == Acquire {
		record.Fencing++
	}
	writes := []redwinghall.Write{{Key: Key(zone), Expect: s.version, Value: redwinghall.RowValue(record)}}
	if action == Acquire {
		writes = append(writes, redwinghall.Write{
			Key: FenceKey(zone), Expect: s.fenceVersion, Value: redwinghall.RowValue(Fence{Fencing: record.Fencing}),
		})
	}
	return redwinghall.Txn{Writes: writes}, record
}

// Release returns the transaction that releases the lease, so that another
// process need not wait until it expires, and the state after it. The caller
// must have ended all work that requires the lease.
func (s State) Release(zone, nonce string) (redwinghall.Txn, State) {
	record := Record{Fencing: s.record.Fencing, Nonce: nonce, Era: s.era, RecoveredEra: s.recoveredEra}
	txn := redwinghall.Txn{Writes: []redwinghall.Write{{Key: Key(zone), Expect: s.version, Value: redwinghall.RowValue(record)}}}
	s.heldUntil = time.Time{}
	return txn, s
}

// WithWritten returns the state after the transaction that was sent at sentAt
// has been carried out and the rows have been read back at now. The lease runs
// from sentAt, because a watcher may have seen the row immediately.
//
// A process that was paused between sending and reading back, and whose
// transaction failed, reads the row of another holder. If that row counted as
// unchanged since sentAt, the process would take over the lease while the other
// still holds it. A row therefore counts as unchanged only from when it was read.
func (s State) WithWritten(sentAt, now time.Time, written Record, leaseRow, fenceRow redwinghall.Row) (State, error) {
	next, err := s.WithRows(now, leaseRow, fenceRow)
	if err != nil {
		return s, err
	}
	if next.record.Nonce == written.Nonce && next.record.Holder == s.config.Self {
		next.heldUntil = sentAt.Add(s.config.Duration - s.config.Margin)
		next.written = written.Nonce
	}
	return next, nil
}
