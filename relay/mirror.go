// Package relay lets a few nodes of a zone read the store and pass the rows on to
// the other nodes, so that the calls to the store don't grow with the number of nodes.
package relay

import (
	"context"
	"errors"
	"sort"
	"sync"
	"time"

	"redwinghall"
	"redwinghall/fleet"
)

// removedRetention is how long the removal of a row is kept for nodes that read
// changes from this one. A node that is further behind must list the table again.
const removedRetention = time.Minute

// Mirror is a local copy of one table of the store.
type Mirror struct {
	mu      sync.Mutex
	rows    map[string]fleet.Row
	removed map[string]time.Time // when the removal of a row was received, by key
	at      fleet.Position
	// oldest is the position below which removals are no longer kept.
	oldest fleet.Position
	readAt time.Time
	// complete says that no change between the last list and at is missing.
	complete    bool
	unreachable bool // the last read of the store failed
	equal       EqualValues
	changed     chan struct{}
}

// EqualValues reports whether two values of a row are equivalent.
type EqualValues func(before, after []byte) bool

// NewMirror returns an empty mirror. A row whose new value equals the old one keeps
// its old version, so that it isn't reported as a change. If equal is nil, no two
// values are equal.
func NewMirror(equal EqualValues) *Mirror {
	if equal == nil {
		equal = func([]byte, []byte) bool { return false }
	}
	return &Mirror{rows: map[string]fleet.Row{}, removed: map[string]time.Time{}, equal: equal, changed: make(chan struct{})}
}

// ApplyList replaces the copy by a full listing of the table.
//
// When the store is restored from an older copy, its versions are lower than before.
// A listing of a new era replaces all rows, and nodes that read changes at a position
// of the old era have to list the table again. A listing of an earlier era is ignored, and
// so is one at an earlier position than a copy without gaps: the changes between the two
// would never be read again.
func (m *Mirror) ApplyList(now time.Time, rows fleet.Rows) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if rows.At.Era < m.at.Era || (m.complete && rows.At.Before(m.at)) {
		return
	}
	m.at = rows.At
	m.rows = map[string]fleet.Row{}
	m.removed = map[string]time.Time{}
	m.oldest = rows.At
	m.complete = true
	m.apply(now, rows)
	m.notify() // also for a table without rows
}

// isNewer reports whether the copy has no gap and is newer, in the same era, than a position.
func (m *Mirror) isNewer(than fleet.Position) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.complete && than.Era == m.at.Era && than.Before(m.at)
}

// Continues reports whether changes after a position can be applied without a gap.
func (m *Mirror) Continues(after fleet.Position) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.continues(after)
}

// continues is Continues with the lock held.
func (m *Mirror) continues(after fleet.Position) bool {
	return m.complete && after.Era == m.at.Era && after.Version <= m.at.Version
}

// ApplyChanges applies changes of the table after a position and returns those with
// a new value.
//
// Endpoints rewrite their entries as heartbeats, nearly always with the same value.
// Those writes are not passed on, which saves traffic between nodes.
func (m *Mirror) ApplyChanges(now time.Time, after fleet.Position, rows fleet.Rows) fleet.Rows {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.complete = m.continues(after)
	updates := m.apply(now, rows)
	for key, at := range m.removed {
		if now.Sub(at) > removedRetention {
			m.oldest.Version = max(m.oldest.Version, m.rows[key].Version)
			delete(m.removed, key)
			delete(m.rows, key)
		}
	}
	return updates
}

// apply stores rows, wakes the waiting calls if any row has a new value, and returns
// the rows with a new value. The lock is held.
func (m *Mirror) apply(now time.Time, rows fleet.Rows) fleet.Rows {
	updates := fleet.Rows{At: rows.At, More: rows.More}
	for _, row := range rows.Rows {
		if old, known := m.rows[row.Key]; known && !old.Removed && !row.Removed && m.equal(old.Value, row.Value) {
			continue
		}
		updates.Rows = append(updates.Rows, row)
		m.rows[row.Key] = row
		delete(m.removed, row.Key)
		if row.Removed {
			m.removed[row.Key] = now
		}
	}
	m.at = m.at.Later(rows.At)
	m.readAt = now
	m.unreachable = false
	if len(updates.Rows) > 0 {
		m.notify()
	}
	return updates
}

// notify wakes the calls that wait for a change. The lock is held.
func (m *Mirror) notify() {
	close(m.changed)
	m.changed = make(chan struct{})
}

// Answer is the response of a mirror: rows, and the time since the store last confirmed them.
type Answer struct {
	Rows fleet.Rows
	Age  time.Duration
}

// firstReadTimeout is how long List waits for a table that was never read. When all
// nodes start at once, the reader has the table shortly after the others request it.
const firstReadTimeout = 600 * time.Millisecond

// List returns the table without removed rows.
//
// When all nodes start at once, none has read the table yet. If List failed in that case, each
// node would read the table itself, and the store would send the whole table to every node.
func (m *Mirror) List(ctx context.Context) (Answer, error) {
	m.awaitFirstRead(ctx)
	return m.list(time.Now())
}

// awaitFirstRead waits until the table was read for the first time or a read failed.
func (m *Mirror) awaitFirstRead(ctx context.Context) {
	m.mu.Lock()
	unread, changed := !m.complete && !m.unreachable, m.changed
	m.mu.Unlock()
	if !unread {
		return
	}
	timer := time.NewTimer(firstReadTimeout)
	defer timer.Stop()
	select {
	case <-changed:
	case <-timer.C:
	case <-ctx.Done():
	}
}

func (m *Mirror) list(now time.Time) (Answer, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if err := m.checkUsable("Mirror.List"); err != nil {
		return Answer{}, err
	}
	answer := Answer{Rows: fleet.Rows{At: m.at}, Age: now.Sub(m.readAt)}
	for _, row := range m.rows {
		if !row.Removed {
			answer.Rows.Rows = append(answer.Rows.Rows, row)
		}
	}
	sortRows(answer.Rows.Rows)
	return answer, nil
}

// checkUsable returns an error if the copy can't be served. The lock is held.
func (m *Mirror) checkUsable(op string) error {
	switch {
	case m.unreachable:
		return redwinghall.NewOpError(op, fleet.StoreUnreachable, nil)
	case !m.complete:
		return redwinghall.NewOpError(op, fleet.StoreUnavailable, nil)
	}
	return nil
}

// Changes returns the changes after a position, and waits for at most wait until there
// are any. It returns an error as soon as the age of the copy reaches staleAfter.
//
// Otherwise a reader that lost its connection to the store would keep the nodes that
// read from it waiting, although they could read the store themselves, and they would
// go on accepting an API key that was revoked.
func (m *Mirror) Changes(ctx context.Context, after fleet.Position, wait time.Duration) (Answer, error) {
	timer := time.NewTimer(wait)
	defer timer.Stop()
	for {
		answer, changed, err := m.changesAfter(time.Now(), after)
		if err != nil || len(answer.Rows.Rows) > 0 {
			return answer, err
		}
		stale := time.NewTimer(max(0, staleAfter-answer.Age))
		select {
		case <-changed:
			stale.Stop()
		case <-stale.C:
			if m.age(time.Now()) >= staleAfter {
				return Answer{}, redwinghall.NewOpError("Mirror.Changes", fleet.StoreUnreachable, errStale)
			}
		case <-timer.C:
			stale.Stop()
			return answer, nil
		case <-ctx.Done():
			stale.Stop()
			return Answer{}, redwinghall.NewOpError("Mirror.Changes", fleet.StoreUnavailable, ctx.Err())
		}
	}
}

var (
	errEarlierEra = errors.New("the copy of the table belongs to an earlier era of the store")
	errStale      = errors.New("the copy of the table is too old: the store has not confirmed it recently")
)

func (m *Mirror) age(now time.Time) time.Duration {
	m.mu.Lock()
	defer m.mu.Unlock()
	return now.Sub(m.readAt)
}

// SetStoreUnreachable records that the store could not be read, and ends all waits.
func (m *Mirror) SetStoreUnreachable() {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.unreachable = true
	m.notify()
}

func (m *Mirror) changesAfter(now time.Time, after fleet.Position) (Answer, chan struct{}, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if err := m.checkUsable("Mirror.Changes"); err != nil {
		return Answer{}, nil, err
	}
	if after.Era > m.at.Era {
		return Answer{}, nil, redwinghall.NewOpError("Mirror.Changes", fleet.StoreUnreachable, errEarlierEra)
	}
	if after.Before(m.oldest) {
		return Answer{}, nil, redwinghall.NewOpError("Mirror.Changes", fleet.StoreHistoryGone, nil)
	}
	answer := Answer{Rows: fleet.Rows{At: m.at.Later(after)}, Age: now.Sub(m.readAt)}
	for _, row := range m.rows {
		if row.Version > after.Version {
			answer.Rows.Rows = append(answer.Rows.Rows, row)
		}
	}
	sortRows(answer.Rows.Rows)
	return answer, m.changed, nil
}

func sortRows(rows []fleet.Row) {
	sort.Slice(rows, func(i, j int) bool { return rows[i].Version < rows[j].Version })
}
