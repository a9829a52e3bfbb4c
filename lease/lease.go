// Package lease decides who holds an availability zone's lease. It does no
// I/O: the holder of a State reads and writes the row and tells it the time.
//
// Clocks of two VMs need not agree. A watcher therefore never reads a time
// written by another process; it waits until the row has not changed for the
// whole duration on its own clock.
package lease

import (
	"encoding/json"
	"time"

	"redwinghall"
)

// Kind says what a lease error means.
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
	Fencing uint64 `json:"fencing"` // rises with each new holder, never falls
	Nonce   string `json:"nonce"`   // of this write; settles a lost answer
	// Era is the table's era in which the record was written.
	Era int64 `json:"era,omitempty"`
	// RecoveredEra is the newest era in which the holder knew that what the table lost when it
	// came back had been written again.
	RecoveredEra int64 `json:"settled,omitempty"`
}

// Fence is the value of the row fence/<zone>. It changes only when the holder
// changes, so that every transaction of a holder can demand its version.
type Fence struct {
	Fencing uint64 `json:"fencing"`
}

// Key returns the key of a zone's lease.
func Key(zone string) string { return "lease/" + zone }

// FenceKey returns the key of a zone's fence.
func FenceKey(zone string) string { return "fence/" + zone }

// Action is what to do about the lease now.
type Action int

// The actions.
const (
	Wait Action = iota
	Acquire
	Renew
)

// Config is what all processes of a zone agree on.
type Config struct {
	Self     string
	Duration time.Duration
	// Margin is how much earlier the holder stops than a watcher may take over.
	Margin time.Duration
	// SingleInstance says that only one process of the name Self can live at a time, so
	// that a record of Self that this process doesn't hold is a dead one's.
	SingleInstance bool
}

// State is what one process knows of a lease. Values are immutable.
type State struct {
	config       Config
	version      int64
	fenceVersion int64
	record       Record
	unchanged    time.Time // when this version was first seen
	heldUntil    time.Time
	known        bool
	// era counts how often the table has come back from an older copy of itself.
	era int64
	// returned says that this process has seen it come back.
	returned bool
	settled  int64
}

// NewState returns a state that knows nothing.
func NewState(config Config) State { return State{config: config} }

// WithEra returns the state for rows that are read in an era of the table. What was read in
// another one no longer counts.
func (s State) WithEra(era int64) State {
	if era != s.era {
		s.returned = s.returned || s.known
		s.era = era
		s.known = false
	}
	return s
}

// WithRecoveredEra returns the state of a process that knows of an era that what was lost at its
// beginning has been written again.
func (s State) WithRecoveredEra(era int64) State {
	s.settled = era
	return s
}

// RecoveredEra returns the era of which the present record says so.
func (s State) RecoveredEra() int64 { return s.record.RecoveredEra }

// restored reports whether the record was written in an earlier era, or is missing since,
// so that later ones may have been lost.
//
// Guard: after the table came back from an older copy, its record may name a holder that has
// lost the lease since, or nobody, while the last holder still goes by a record that is gone.
// Whoever takes the lease at once holds it beside that one. So nobody does before that
// one's time is over.
func (s State) restored() bool {
	if s.version == 0 {
		return s.returned
	}
	return s.record.Era < s.era
}

// WithRows returns the state after the rows were read at now.
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
	s.unchanged = now
	if record.Holder != s.config.Self {
		s.heldUntil = time.Time{}
	}
	return s, nil
}

// Next returns what to do now.
func (s State) Next(now time.Time) Action {
	switch {
	case !s.known:
		return Wait
	case s.Holds(now):
		return Renew
	case s.restored() && now.Sub(s.unchanged) <= s.config.Duration:
		return Wait
	case s.version == 0 || s.record.Holder == "":
		return Acquire // never held, or given up by its holder
	case s.config.SingleInstance && s.record.Holder == s.config.Self:
		return Acquire // left by an earlier process of this name
	case now.Sub(s.unchanged) > s.config.Duration:
		return Acquire
	default:
		return Wait
	}
}

// Holds reports whether this process holds the lease at now.
//
// Guard: a holder that was frozen past its lease would go on giving orders
// beside its successor, and a VM would be told to join two groups. Holding
// ends Margin before a watcher may take over, by this process's own clock. A
// freeze between this check and the order is caught by the fence row in each
// transaction and by the fencing number in each order.
func (s State) Holds(now time.Time) bool {
	return s.record.Holder == s.config.Self && now.Before(s.heldUntil)
}

// HeldUntil returns when this process stops to hold the lease.
func (s State) HeldUntil() time.Time { return s.heldUntil }

// FenceVersion returns the version of the fence row as last read.
func (s State) FenceVersion() int64 { return s.fenceVersion }

// Era returns the table's era in which the rows were read.
func (s State) Era() int64 { return s.era }

// Fencing returns the fencing number of the present record.
func (s State) Fencing() uint64 { return s.record.Fencing }

// Holder returns the id of the process in the present record.
func (s State) Holder() string { return s.record.Holder }

// FenceCheck returns the condition that each transaction of this holder needs.
func (s State) FenceCheck(zone string) redwinghall.Write {
	return redwinghall.Write{Key: FenceKey(zone), Expect: s.fenceVersion, CheckOnly: true}
}

// Txn returns the transaction of an action, and the record that it writes.
func (s State) Txn(zone string, action Action, nonce string) (redwinghall.Txn, Record) {
	record := Record{Holder: s.config.Self, Fencing: s.record.Fencing, Nonce: nonce, Era: s.era, RecoveredEra: s.settled}
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

// Release returns the transaction by which a holder that stops gives the lease
// up, so that another need not wait for its end, and the state after it. The
// process must have ended all its work as a holder before.
func (s State) Release(zone, nonce string) (redwinghall.Txn, State) {
	record := Record{Fencing: s.record.Fencing, Nonce: nonce, Era: s.era, RecoveredEra: s.settled}
	txn := redwinghall.Txn{Writes: []redwinghall.Write{{Key: Key(zone), Expect: s.version, Value: redwinghall.RowValue(record)}}}
	s.heldUntil = time.Time{}
	return txn, s
}

// WithWritten returns the state after the transaction that was sent at sentAt
// took effect and the rows were read back at now. The lease counts from the
// sending, because a watcher may have seen the row at once.
//
// Guard: a process that was frozen between sending and reading back, and whose
// transaction lost, reads the row of another holder. If that row counted as
// unchanged since the sending, the process would take the lease over while
// its holder still holds it. A row counts as unchanged only since it was read.
func (s State) WithWritten(sentAt, now time.Time, written Record, leaseRow, fenceRow redwinghall.Row) (State, error) {
	next, err := s.WithRows(now, leaseRow, fenceRow)
	if err != nil {
		return s, err
	}
	if next.record.Nonce == written.Nonce && next.record.Holder == s.config.Self {
		next.heldUntil = sentAt.Add(s.config.Duration - s.config.Margin)
	}
	return next, nil
}
