package lease_test

import (
	"context"
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"redwinghall"
	"redwinghall/lease"
	_ "redwinghall/rwhtest/fixedseed"
	"redwinghall/standin/table"
)

const (
	zone     = "tartu"
	duration = 10 * time.Second
	margin   = 3 * time.Second
)

var start = time.Date(2026, 1, 14, 5, 0, 0, 0, time.UTC)

// controller is one process with a clock of its own.
type controller struct {
	id    string
	skew  time.Duration
	table *table.Table
	state lease.State
}

func newController(tab *table.Table, id string, skew time.Duration) *controller {
	return &controller{id: id, skew: skew, table: tab,
		state: lease.NewState(lease.Config{Self: id, Duration: duration, Margin: margin})}
}

func (c *controller) now(t time.Time) time.Time { return t.Add(c.skew) }

func (c *controller) read() (redwinghall.Row, redwinghall.Row, error) {
	rows, err := c.table.Read(context.Background(), lease.Key(zone), lease.FenceKey(zone))
	if err != nil {
		return redwinghall.Row{}, redwinghall.Row{}, err
	}
	return rows[0], rows[1], nil
}

// step is what a manager does in one tick. A frozen process stops between
// its parts, which the test models by calling look and act apart.
func (c *controller) step(t time.Time, nonce string) error {
	txn, record, ok, err := c.look(t, nonce)
	if err != nil || !ok {
		return err
	}
	return c.act(t, t, txn, record)
}

func (c *controller) look(t time.Time, nonce string) (redwinghall.Txn, lease.Record, bool, error) {
	a, b, err := c.read()
	if err != nil {
		return redwinghall.Txn{}, lease.Record{}, false, err
	}
	if c.state, err = c.state.WithRows(c.now(t), a, b); err != nil {
		return redwinghall.Txn{}, lease.Record{}, false, err
	}
	action := c.state.Next(c.now(t))
	txn, record := c.state.Txn(zone, action, nonce)
	return txn, record, action != lease.Wait, nil
}

func (c *controller) act(sentAt, now time.Time, txn redwinghall.Txn, record lease.Record) error {
	err := c.table.Commit(context.Background(), txn)
	if err != nil && redwinghall.KindOf[redwinghall.TableKind](err) != redwinghall.TableUnknown {
		return nil
	}
	a, b, err := c.read()
	if err != nil {
		return err
	}
	c.state, err = c.state.WithWritten(c.now(sentAt), c.now(now), record, a, b)
	return err
}

func TestLeaseIsTakenRenewedAndLapses(t *testing.T) {
	tab := table.New()
	a, b := newController(tab, "a", 0), newController(tab, "b", time.Hour)
	require.NoError(t, a.step(start, "1"))
	require.True(t, a.state.Holds(start))
	require.NoError(t, b.step(start, "2"))
	require.False(t, b.state.Holds(b.now(start)))

	at := start.Add(5 * time.Second)
	require.NoError(t, a.step(at, "3"))
	require.NoError(t, b.step(at, "4"))
	require.True(t, a.state.Holds(at.Add(duration-margin-1)))
	require.False(t, a.state.Holds(at.Add(duration-margin)))

	at = at.Add(duration + time.Second)
	require.NoError(t, b.step(at, "5"))
	require.True(t, b.state.Holds(b.now(at)))
	require.Equal(t, uint64(2), b.state.Fencing())
}

// Two controllers order the same VMs into different groups.
// Order: a holder's answer to its renewal is lost, and it looks again.
// Cause: it took the row that it wrote itself for another's, or the other way
// round.
func TestLostAnswerToTaking(t *testing.T) {
	tab := table.New()
	tab.SetFaults(table.Faults{LoseAnswers: 1})
	a := newController(tab, "a", 0)
	require.NoError(t, a.step(start, "1"))
	require.True(t, a.state.Holds(start))
}

// A frozen holder wakes up and writes a group over its successor's.
// Order: the holder prepares a transaction and freezes; another takes the
// lease; the first wakes and commits. Judge: the fence row.
func TestFenceStopsAFrozenHolder(t *testing.T) {
	tab := table.New()
	a, b := newController(tab, "a", 0), newController(tab, "b", 0)
	require.NoError(t, a.step(start, "1"))
	group := redwinghall.Txn{Writes: []redwinghall.Write{a.state.FenceCheck(zone), {Key: "group/tartu/g", Value: []byte(`1`)}}}

	require.NoError(t, b.step(start, "2"))
	require.NoError(t, b.step(start.Add(duration+time.Second), "3"))
	err := tab.Commit(t.Context(), group)
	require.Equal(t, redwinghall.TableConflict, redwinghall.KindOf[redwinghall.TableKind](err))
}

func TestReleasedLeaseIsTakenAtOnce(t *testing.T) {
	tab := table.New()
	a, b := newController(tab, "a", 0), newController(tab, "b", 0)
	require.NoError(t, a.step(start, "1"))
	require.NoError(t, b.step(start, "2"))
	txn, state := a.state.Release(zone, "3")
	a.state = state
	require.NoError(t, tab.Commit(t.Context(), txn))
	require.False(t, a.state.Holds(start))
	require.NoError(t, b.step(start.Add(time.Second), "4"))
	require.True(t, b.state.Holds(start.Add(time.Second)))
	require.Equal(t, uint64(2), b.state.Fencing())
}

// Two controllers order the same VMs at the same time.
// Order: b looks and freezes before it takes a lapsed lease; a renews; b
// thaws, its transaction is late, and it reads a's new row.
// Cause: the row counted as unchanged since b had sent, long before a wrote.
func TestThawedWatcherWaitsForTheRowItReads(t *testing.T) {
	tab := table.New()
	a, b := newController(tab, "a", 0), newController(tab, "b", 0)
	require.NoError(t, a.step(start, "1"))
	require.NoError(t, b.step(start, "2"))
	lapsed := start.Add(duration + time.Second)
	txn, record, ok, err := b.look(lapsed, "3")
	require.NoError(t, err)
	require.True(t, ok)
	require.NoError(t, a.step(lapsed, "4"))
	thawed := lapsed.Add(duration + time.Second)
	require.NoError(t, a.step(thawed, "5"))
	require.True(t, a.state.Holds(thawed))
	tab.SetFaults(table.Faults{LateWrites: 1})
	require.NoError(t, b.act(lapsed, thawed, txn, record))
	require.NoError(t, b.step(thawed, "6"))
	require.False(t, b.state.Holds(thawed))
}

// interleaving is three controllers whose steps a property test mixes.
type interleaving struct {
	table  *table.Table
	all    []*controller
	frozen map[int]func(now time.Time) error // what a frozen one does when it thaws
}

// play lets controller i do one thing, or lets the table fail.
func (p *interleaving) play(rt *rapid.T, now time.Time, i int, nonce string) {
	c := p.all[i]
	switch rapid.IntRange(0, 7).Draw(rt, "what") {
	case 0:
		p.table.SetFaults(table.Faults{LoseAnswers: 1})
	case 1:
		p.table.SetFaults(table.Faults{LateWrites: 1})
	case 2:
		p.table.LandLate()
	case 3: // it looks, and freezes before it writes
		if txn, record, ok, err := c.look(now, nonce); err == nil && ok && p.frozen[i] == nil {
			p.frozen[i] = func(thawed time.Time) error { return c.act(now, thawed, txn, record) }
		}
	case 4:
		p.thaw(rt, now, i)
	case 5: // it stops as planned
		if p.frozen[i] == nil && c.state.Holds(c.now(now)) {
			txn, state := c.state.Release(zone, nonce)
			c.state = state
			_ = p.table.Commit(context.Background(), txn) // a lost release only lapses later
		}
	default:
		if p.frozen[i] == nil {
			require.NoError(rt, c.step(now, nonce))
		}
	}
}

func (p *interleaving) thaw(rt *rapid.T, now time.Time, i int) {
	if wake := p.frozen[i]; wake != nil {
		delete(p.frozen, i)
		require.NoError(rt, wake(now))
	}
}

// holders returns those that believe that they hold the lease.
func (p *interleaving) holders(now time.Time) []*controller {
	var out []*controller
	for _, c := range p.all {
		if c.state.Holds(c.now(now)) {
			out = append(out, c)
		}
	}
	return out
}

// At no time two processes both believe that they hold the lease, and the
// fencing number never falls: over random freezes, lost answers, late writes,
// planned stops and clocks that differ.
func TestNeverTwoHolders(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		p := &interleaving{table: table.New(), frozen: map[int]func(time.Time) error{}}
		for i := range 3 {
			skew := time.Duration(rapid.IntRange(-3600, 3600).Draw(rt, "skew")) * time.Second
			p.all = append(p.all, newController(p.table, fmt.Sprint("c", i), skew))
		}
		now, fencing := start, uint64(0)
		for n := range rapid.IntRange(10, 80).Draw(rt, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 4000).Draw(rt, "ms")) * time.Millisecond)
			p.play(rt, now, rapid.IntRange(0, 2).Draw(rt, "who"), fmt.Sprint(n))
			holders := p.holders(now)
			require.LessOrEqual(rt, len(holders), 1)
			for _, c := range holders {
				require.GreaterOrEqual(rt, c.state.Fencing(), fencing)
				fencing = c.state.Fencing()
			}
		}
	})
}
