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

// controller is a process with its own clock.
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

// step does what a manager does in one tick. Tests call prepare and commit
// separately to simulate a process that is paused between them.
func (c *controller) step(t time.Time, nonce string) error {
	txn, record, ok, err := c.prepare(t, nonce)
	if err != nil || !ok {
		return err
	}
	return c.commit(t, t, txn, record)
}

func (c *controller) prepare(t time.Time, nonce string) (redwinghall.Txn, lease.Record, bool, error) {
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

func (c *controller) commit(sentAt, now time.Time, txn redwinghall.Txn, record lease.Record) error {
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

func TestLeaseIsAcquiredRenewedAndExpires(t *testing.T) {
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

// The response to a lease transaction is lost. The controller must tell its
// own record from another's when it reads the row back; otherwise two
// controllers could order the same VMs into different groups.
func TestLostAnswerToAcquiring(t *testing.T) {
	tab := table.New()
	tab.SetFaults(table.Faults{LoseResponses: 1})
	a := newController(tab, "a", 0)
	require.NoError(t, a.step(start, "1"))
	require.True(t, a.state.Holds(start))
}

// A holder prepares a transaction and is paused, another controller acquires
// the lease, and the first one resumes and commits. The check of the fence row
// must reject the transaction, which would overwrite a group of the new holder.
func TestFenceStopsAPausedHolder(t *testing.T) {
	tab := table.New()
	a, b := newController(tab, "a", 0), newController(tab, "b", 0)
	require.NoError(t, a.step(start, "1"))
	group := redwinghall.Txn{Writes: []redwinghall.Write{a.state.FenceCheck(zone), {Key: "group/tartu/g", Value: []byte(`1`)}}}

	require.NoError(t, b.step(start, "2"))
	require.NoError(t, b.step(start.Add(duration+time.Second), "3"))
	err := tab.Commit(t.Context(), group)
	require.Equal(t, redwinghall.TableConflict, redwinghall.KindOf[redwinghall.TableKind](err))
}

// A holder whose lease lapsed while it was paused must acquire it again at once if nobody else has:
// after each pause the zone would otherwise be without a holder for the rest of the duration.
func TestPausedHolderAcquiresItsOwnLeaseAgain(t *testing.T) {
	tab := table.New()
	a, b := newController(tab, "a", 0), newController(tab, "b", 0)
	require.NoError(t, a.step(start, "1"))
	require.NoError(t, b.step(start, "2"))
	at := start.Add(duration - margin)
	require.False(t, a.state.Holds(at))
	require.True(t, a.state.Continues())
	require.NoError(t, a.step(at, "3"))
	require.True(t, a.state.Holds(at))
	require.Equal(t, uint64(2), a.state.Fencing(), "its own orders from before the pause are stale")
	require.NoError(t, b.step(start.Add(duration+time.Second), "4"))
	require.False(t, b.state.Holds(start.Add(duration+time.Second)), "the record has changed since b saw it")
}

// A holder that was paused for longer must wait for a successor, and so must a new process of the
// same name.
func TestPausedHolderWaitsForItsSuccessor(t *testing.T) {
	tab := table.New()
	a, b, again := newController(tab, "a", 0), newController(tab, "b", 0), newController(tab, "a", 0)
	require.NoError(t, a.step(start, "1"))
	require.NoError(t, again.step(start, "2"))
	require.False(t, again.state.Holds(start), "another process of the name may still hold it")
	require.NoError(t, b.step(start, "3"))
	at := start.Add(duration + time.Second)
	require.NoError(t, b.step(at, "4"))
	require.True(t, b.state.Holds(at))
	require.NoError(t, a.step(at, "5"))
	require.False(t, a.state.Holds(at))
	require.False(t, a.state.Continues())
}

func TestReleasedLeaseIsAcquiredAtOnce(t *testing.T) {
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

// Controller b is paused before it acquires an expired lease, and a renews the
// lease meanwhile. When b resumes, its transaction is delayed and it reads a's
// new row. If b counted that row as unchanged since its own transaction was
// sent, b would take over while a holds the lease.
func TestResumedWatcherWaitsForTheRowItReads(t *testing.T) {
	tab := table.New()
	a, b := newController(tab, "a", 0), newController(tab, "b", 0)
	require.NoError(t, a.step(start, "1"))
	require.NoError(t, b.step(start, "2"))
	expired := start.Add(duration + time.Second)
	txn, record, ok, err := b.prepare(expired, "3")
	require.NoError(t, err)
	require.True(t, ok)
	require.NoError(t, a.step(expired, "4"))
	resumed := expired.Add(duration + time.Second)
	require.NoError(t, a.step(resumed, "5"))
	require.True(t, a.state.Holds(resumed))
	tab.SetFaults(table.Faults{LateWrites: 1})
	require.NoError(t, b.commit(expired, resumed, txn, record))
	require.NoError(t, b.step(resumed, "6"))
	require.False(t, b.state.Holds(resumed))
}

// simulation interleaves the steps of three controllers in random order.
type simulation struct {
	table       *table.Table
	controllers []*controller
	paused      map[int]func(now time.Time) error // the rest of a paused controller's step
}

// runStep makes controller i take a random action, or injects a fault into the
// table.
func (p *simulation) runStep(rt *rapid.T, now time.Time, i int, nonce string) {
	c := p.controllers[i]
	switch rapid.IntRange(0, 7).Draw(rt, "what") {
	case 0:
		p.table.SetFaults(table.Faults{LoseResponses: 1})
	case 1:
		p.table.SetFaults(table.Faults{LateWrites: 1})
	case 2:
		p.table.ApplyLate()
	case 3: // paused after it has read the rows and before it writes
		if txn, record, ok, err := c.prepare(now, nonce); err == nil && ok && p.paused[i] == nil {
			p.paused[i] = func(resumed time.Time) error { return c.commit(now, resumed, txn, record) }
		}
	case 4:
		p.resume(rt, now, i)
	case 5: // orderly stop
		if p.paused[i] == nil && c.state.Holds(c.now(now)) {
			txn, state := c.state.Release(zone, nonce)
			c.state = state
			_ = p.table.Commit(context.Background(), txn) // if the release is lost, the lease expires instead
		}
	default:
		if p.paused[i] == nil {
			require.NoError(rt, c.step(now, nonce))
		}
	}
}

func (p *simulation) resume(rt *rapid.T, now time.Time, i int) {
	if rest := p.paused[i]; rest != nil {
		delete(p.paused, i)
		require.NoError(rt, rest(now))
	}
}

// holders returns the controllers that consider themselves the holder.
func (p *simulation) holders(now time.Time) []*controller {
	var out []*controller
	for _, c := range p.controllers {
		if c.state.Holds(c.now(now)) {
			out = append(out, c)
		}
	}
	return out
}

// At no time do two processes consider themselves the holder, and the fencing
// number never decreases, under random pauses, lost responses, delayed writes,
// orderly stops and clock skew.
func TestNeverTwoHolders(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		p := &simulation{table: table.New(), paused: map[int]func(time.Time) error{}}
		for i := range 3 {
			skew := time.Duration(rapid.IntRange(-3600, 3600).Draw(rt, "skew")) * time.Second
			p.controllers = append(p.controllers, newController(p.table, fmt.Sprint("c", i), skew))
		}
		now, fencing := start, uint64(0)
		for n := range rapid.IntRange(10, 80).Draw(rt, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 4000).Draw(rt, "ms")) * time.Millisecond)
			p.runStep(rt, now, rapid.IntRange(0, 2).Draw(rt, "who"), fmt.Sprint(n))
			holders := p.holders(now)
			require.LessOrEqual(rt, len(holders), 1)
			for _, c := range holders {
				require.GreaterOrEqual(rt, c.state.Fencing(), fencing)
				fencing = c.state.Fencing()
			}
		}
	})
}
