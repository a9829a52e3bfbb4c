// Package table is an in-memory stand-in for the platform's transactional table
// and list of VMs. It can simulate the failures of the real one.
package table

import (
	"context"
	"errors"
	"sort"
	"strings"
	"sync"
	"time"

	"redwinghall"
)

// Faults configures simulated failures of the table.
type Faults struct {
	// Down makes every operation fail as unavailable.
	Down bool `json:"down"`
	// Silent makes every operation block, without effect, until the faults change;
	// the operation then fails with an unknown outcome.
	Silent bool `json:"silent"`
	// LoseResponses is the number of commits that take effect without a response.
	LoseResponses int `json:"lose_answers"`
	// LateWrites is the number of commits that get no response and take effect
	// only after LateBy, or at ApplyLate if LateBy is 0.
	LateWrites int                  `json:"late_writes"`
	LateBy     redwinghall.Duration `json:"late_by"`
	// Skip is the number of commits without a fault before LoseResponses and
	// LateWrites apply.
	Skip int `json:"skip"`
	// HoldResponses delays the responses of commits, which take effect at once,
	// until the faults change.
	HoldResponses bool `json:"hold_answers"`
	// Latency is added to each operation.
	Latency redwinghall.Duration `json:"latency"`
}

// Counts contains counters of the use of the table.
type Counts struct {
	Reads    uint64 `json:"reads"` // read and scan operations
	Commits  uint64 `json:"commits"`
	Rows     uint64 `json:"rows"` // written by commits
	Refused  uint64 `json:"refused"`
	Conflict uint64 `json:"conflict"`
}

// Table is an in-memory table. Versions come from one counter over all rows, so
// that a row that is deleted and written again has a higher version than before.
type Table struct {
	mu            sync.Mutex
	rows          map[string]redwinghall.Row
	revision      int64
	faults        Faults
	counts        Counts
	vms           redwinghall.VMs
	late          []redwinghall.Txn
	faultsChanged chan struct{} // closed when the faults change
}

// New returns an empty table.
func New() *Table {
	return &Table{rows: map[string]redwinghall.Row{}, faultsChanged: make(chan struct{})}
}

var (
	errDown   = errors.New("table is down")
	errSilent = errors.New("no response from the table")
)

// SetFaults replaces the faults.
func (t *Table) SetFaults(f Faults) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.faults = f
	close(t.faultsChanged)
	t.faultsChanged = make(chan struct{})
}

// Counts returns a copy of the counters.
func (t *Table) Counts() Counts {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.counts
}

// SetVMs replaces the list of VMs.
func (t *Table) SetVMs(vms redwinghall.VMs) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.vms = append(redwinghall.VMs(nil), vms...)
}

// applyFaults simulates outages and latency before an operation.
func (t *Table) applyFaults(ctx context.Context, op string) error {
	t.mu.Lock()
	f, changed := t.faults, t.faultsChanged
	if f.Down {
		t.counts.Refused++
	}
	t.mu.Unlock()
	switch {
	case f.Down:
		return redwinghall.NewOpError(op, redwinghall.TableUnavailable, errDown)
	case f.Silent:
		select {
		case <-ctx.Done():
		case <-changed:
		}
		return redwinghall.NewOpError(op, redwinghall.TableUnknown, errSilent)
	case f.Latency > 0:
		timer := time.NewTimer(f.Latency.Std())
		defer timer.Stop()
		select {
		case <-ctx.Done():
			return redwinghall.NewOpError(op, redwinghall.TableUnknown, ctx.Err())
		case <-timer.C:
		}
	}
	return nil
}

// Read implements redwinghall.Table.
func (t *Table) Read(ctx context.Context, keys ...string) ([]redwinghall.Row, error) {
	if err := t.applyFaults(ctx, "Table.Read"); err != nil {
		return nil, err
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	t.counts.Reads++
	out := make([]redwinghall.Row, len(keys))
	for i, key := range keys {
		out[i] = t.rows[key]
		out[i].Key = key
	}
	return out, nil
}

// Scan implements redwinghall.Table.
func (t *Table) Scan(ctx context.Context, prefix string) ([]redwinghall.Row, error) {
	if err := t.applyFaults(ctx, "Table.Scan"); err != nil {
		return nil, err
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	t.counts.Reads++
	var out []redwinghall.Row
	for key, row := range t.rows {
		if strings.HasPrefix(key, prefix) {
			out = append(out, row)
		}
	}
	sort.Slice(out, func(i, j int) bool { return out[i].Key < out[j].Key })
	return out, nil
}

// VMs implements redwinghall.VMLister.
func (t *Table) VMs(ctx context.Context) (redwinghall.VMs, error) {
	if err := t.applyFaults(ctx, "Table.VMs"); err != nil {
		return nil, err
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	t.counts.Reads++
	return append(redwinghall.VMs(nil), t.vms...), nil
}

// Commit implements redwinghall.Table.
func (t *Table) Commit(ctx context.Context, txn redwinghall.Txn) error {
	if err := t.applyFaults(ctx, "Table.Commit"); err != nil {
		return err
	}
	err := t.commit(txn)
	t.holdResponse(ctx)
	return err
}

// holdResponse blocks until the faults change if HoldResponses is set.
func (t *Table) holdResponse(ctx context.Context) {
	t.mu.Lock()
	held, changed := t.faults.HoldResponses, t.faultsChanged
	t.mu.Unlock()
	if !held {
		return
	}
	select {
	case <-ctx.Done():
	case <-changed:
	}
}

func (t *Table) commit(txn redwinghall.Txn) error {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.counts.Commits++
	faulty := t.faults.Skip == 0
	t.faults.Skip = max(0, t.faults.Skip-1)
	if faulty && t.faults.LateWrites > 0 {
		t.faults.LateWrites--
		t.applyLater(txn, t.faults.LateBy.Std())
		return redwinghall.NewOpError("Table.Commit", redwinghall.TableUnknown, errSilent)
	}
	conflicts := t.apply(txn)
	if faulty && t.faults.LoseResponses > 0 {
		t.faults.LoseResponses--
		return redwinghall.NewOpError("Table.Commit", redwinghall.TableUnknown, errSilent)
	}
	if len(conflicts) > 0 {
		t.counts.Conflict++
		return redwinghall.NewOpError("Table.Commit", redwinghall.TableConflict, &redwinghall.ConflictError{Keys: conflicts})
	}
	return nil
}

// applyLater applies a transaction after a time, or at ApplyLate if it is 0.
func (t *Table) applyLater(txn redwinghall.Txn, after time.Duration) {
	if after == 0 {
		t.late = append(t.late, txn)
		return
	}
	time.AfterFunc(after, func() {
		t.mu.Lock()
		defer t.mu.Unlock()
		t.apply(txn)
	})
}

// ApplyLate applies the delayed transactions now and returns how many of them
// took effect.
func (t *Table) ApplyLate() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	applied := 0
	for _, txn := range t.late {
		if len(t.apply(txn)) == 0 {
			applied++
		}
	}
	t.late = nil
	return applied
}

// apply executes a transaction, or returns the keys in conflict.
func (t *Table) apply(txn redwinghall.Txn) []string {
	var conflicts []string
	for _, w := range txn.Writes {
		if t.rows[w.Key].Version != w.Expect {
			conflicts = append(conflicts, w.Key)
		}
	}
	if len(conflicts) > 0 {
		return conflicts
	}
	t.revision++
	for _, w := range txn.Writes {
		switch {
		case w.CheckOnly:
			continue
		case w.Delete:
			delete(t.rows, w.Key)
		default:
			t.rows[w.Key] = redwinghall.Row{Key: w.Key, Version: t.revision, Value: w.Value}
		}
		t.counts.Rows++
	}
	return nil
}
