// Package relay spreads what a few nodes of a zone read from the store to the
// others, so that the calls to the store don't grow with the number of nodes.
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

// keepRemoved is how long a removed row is remembered for the nodes that
// follow; one that is further behind lists again.
const keepRemoved = time.Minute

// Mirror is one table as this node last read it from the store.
type Mirror struct {
	mu      sync.Mutex
	rows    map[string]fleet.Row
	removed map[string]time.Time // when a row was seen to be gone
	at      fleet.Position
	// oldest is the position below which removals are forgotten.
	oldest fleet.Position
	readAt time.Time
	// whole says that nothing between the last list and at is missing.
	whole   bool
	lost    bool // the last read failed
	same    EqualValues
	changed chan struct{}
}

// EqualValues reports whether two values of a row say the same.
type EqualValues func(before, after []byte) bool

// NewMirror returns a mirror of a table that was never read. Of rows whose new
// value is the same it keeps the old version, so that nobody hears of them;
// same may be nil, and no values are the same then.
func NewMirror(same EqualValues) *Mirror {
	if same == nil {
		same = func([]byte, []byte) bool { return false }
	}
	return &Mirror{rows: map[string]fleet.Row{}, removed: map[string]time.Time{}, same: same, changed: make(chan struct{})}
}

// ApplyList takes in a whole table. Rows that it lacks are gone as of its position.
//
// Guard: after the store came back older, its versions are lower than those before. The
// list of a new era replaces all, and those who follow by the old one list again; one of an
// earlier era is of no use.
func (m *Mirror) ApplyList(now time.Time, rows fleet.Rows) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if rows.At.Era < m.at.Era {
		return
	}
	m.rows = map[string]fleet.Row{}
	m.removed = map[string]time.Time{}
	m.oldest = rows.At
	m.whole = true
	m.take(now, rows)
	m.wake() // also for a table without rows
}

// Continues reports whether changes after a position would leave no gap.
func (m *Mirror) Continues(after fleet.Position) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.follows(after)
}

// follows is the same with the lock held.
func (m *Mirror) follows(after fleet.Position) bool {
	return m.whole && after.Era == m.at.Era && after.Version <= m.at.Version
}

// ApplyChanges takes in changes of the table after a position. It returns those that
// say something new.
//
// Gain: endpoints rewrite their entries as heartbeats, nearly always with nothing
// new. Those writes are not passed on, which saves bytes between nodes.
func (m *Mirror) ApplyChanges(now time.Time, after fleet.Position, rows fleet.Rows) fleet.Rows {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.whole = m.follows(after)
	news := m.take(now, rows)
	for key, at := range m.removed {
		if now.Sub(at) > keepRemoved {
			m.oldest.Version = max(m.oldest.Version, m.rows[key].Version)
			delete(m.removed, key)
			delete(m.rows, key)
		}
	}
	return news
}

// take stores rows, wakes the waiting calls if any are new, and returns the new
// ones. The lock is held.
func (m *Mirror) take(now time.Time, rows fleet.Rows) fleet.Rows {
	news := fleet.Rows{At: rows.At, More: rows.More}
	for _, row := range rows.Rows {
		if old, known := m.rows[row.Key]; known && !old.Removed && !row.Removed && m.same(old.Value, row.Value) {
			continue
		}
		news.Rows = append(news.Rows, row)
		m.rows[row.Key] = row
		delete(m.removed, row.Key)
		if row.Removed {
			m.removed[row.Key] = now
		}
	}
	m.at = m.at.Later(rows.At)
	m.readAt = now
	m.lost = false
	if len(news.Rows) > 0 {
		m.wake()
	}
	return news
}

// wake wakes the calls that wait for a change. The lock is held.
func (m *Mirror) wake() {
	close(m.changed)
	m.changed = make(chan struct{})
}

// Answer is what a mirror says, and how long ago the store last confirmed it.
type Answer struct {
	Rows fleet.Rows
	Age  time.Duration
}

// firstWait is how long List waits for a table that was never read: after a
// start of all nodes, their reader has it a few steps later than they ask.
const firstWait = 600 * time.Millisecond

// List returns the table without removed rows.
//
// Guard: when all nodes start at once, none has read anything. If each read the
// table itself then, the store would send the whole table to every node.
func (m *Mirror) List(ctx context.Context) (Answer, error) {
	m.awaitFirst(ctx)
	return m.list(time.Now())
}

// awaitFirst waits for the first read, whether it works or not.
func (m *Mirror) awaitFirst(ctx context.Context) {
	m.mu.Lock()
	unread, changed := !m.whole && !m.lost, m.changed
	m.mu.Unlock()
	if !unread {
		return
	}
	timer := time.NewTimer(firstWait)
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
	if err := m.unusable("Mirror.List"); err != nil {
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

// unusable says why the mirror answers nothing, if so. The lock is held.
func (m *Mirror) unusable(op string) error {
	switch {
	case m.lost:
		return redwinghall.NewOpError(op, fleet.StoreUnreachable, nil)
	case !m.whole:
		return redwinghall.NewOpError(op, fleet.StoreUnavailable, nil)
	}
	return nil
}

// Changes returns what changed after a position, and waits up to wait for it. A
// wait ends with an error as soon as the store has not confirmed the table for
// too long.
//
// Guard: a reader that was cut off from the store would keep those that follow
// it waiting, although they could read the store themselves, and a key that
// was withdrawn would go on working at their nodes.
func (m *Mirror) Changes(ctx context.Context, after fleet.Position, wait time.Duration) (Answer, error) {
	timer := time.NewTimer(wait)
	defer timer.Stop()
	for {
		answer, changed, err := m.after(time.Now(), after)
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
	errEarlierEra = errors.New("the table is of an earlier era of the store")
	errStale      = errors.New("the store has not confirmed the table for too long")
)

func (m *Mirror) age(now time.Time) time.Duration {
	m.mu.Lock()
	defer m.mu.Unlock()
	return now.Sub(m.readAt)
}

// SetStoreUnreachable notes that the store could not be read, and ends all waits.
func (m *Mirror) SetStoreUnreachable() {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.lost = true
	m.wake()
}

func (m *Mirror) after(now time.Time, after fleet.Position) (Answer, chan struct{}, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if err := m.unusable("Mirror.Changes"); err != nil {
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
