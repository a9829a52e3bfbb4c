// Package members tells nodes of each other through a table of the store, and
// holds the leases of availability zones there.
package members

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"k8s.io/klog/v2"

	"redwinghall"
	"redwinghall/fleet"
	"redwinghall/kernel"
	"redwinghall/lease"
	"redwinghall/relay"
)

// Times of the table. Calls to the store are costly, so they are few.
const (
	// listInterval is how often a node reads the table.
	listInterval = 2 * time.Second
	// renewInterval is how often a holder renews its lease.
	renewInterval = 1200 * time.Millisecond
	// leaseDuration is how long a lease lasts without a renewal, leaseMargin
	// how much earlier its holder stops. A holder may miss two renewals.
	leaseDuration = 3500 * time.Millisecond
	leaseMargin   = 700 * time.Millisecond
	// foreignDelay is how much longer a node waits before it takes the lease of
	// a zone that is not its own: the zone's own nodes go first, and a zone that
	// is cut off for a while is better left as it is.
	foreignDelay = 15 * time.Second
	// announceInterval is how often a node writes its row, and goneAfter how
	// long an unchanged row still counts.
	announceInterval = 5 * time.Second
	goneAfter        = 13 * time.Second
	// announcePerNode stretches both where there are many nodes: it is the least
	// time between two announcements of any nodes, on average.
	announcePerNode = 200 * time.Millisecond
	// returnGrace is how long nodes that the store lacks since it came back older have to
	// write their rows again: an interval of reading, and what a busy node takes.
	returnGrace = 5 * time.Second
	// gatherTime is how long nodes that all start for the first time give each other
	// to write their rows, before any reads the table.
	gatherTime = 1200 * time.Millisecond
	// takeStagger is how much later each next node of a zone takes a lease that
	// is free, so that they don't all try at once.
	takeStagger = 150 * time.Millisecond
	tick        = 100 * time.Millisecond
)

const (
	tableName  = "redwinghall"
	nodePrefix = "node/"
)

// Config tells a node who it is.
type Config struct {
	Self  Node
	Zones []string
	// FirstStart says that the whole deployment starts for the first time.
	FirstStart bool
	// Now returns the boot time, also while a call was under way.
	Now func() time.Time
}

// tenure is a lease that this node has: until when, and since which position of
// the store.
type tenure struct {
	until time.Time
	from  fleet.Position
}

// Table is this node's part of the members' table.
type Table struct {
	config Config
	store  fleet.Store
	nodes  atomic.Pointer[[]Node]

	mu          sync.Mutex
	leases      map[string]lease.State
	firstAt     time.Time // when the table was first read
	known       chan struct{}
	seen        map[string]seenNode
	listTriedAt time.Time
	announcedAt time.Time // when this node's row was written
	listedAt    time.Time // when the table was last read
	listedEra   int64     // of the store, then
	// returnedAt is when this node saw that the store had come back from an older copy.
	returnedAt time.Time
	eraSince   time.Time // when this node first read the table in its era
	// settled is the newest era that is.
	settled atomic.Int64
	renewed map[string]time.Time
	// unwritten is when this node last failed to write a zone's lease.
	unwritten map[string]time.Time
	takeable  map[string]time.Time // since when a zone's lease could be taken
	stopped   bool
	// at is the newest position of the store that this node knows.
	at atomic.Pointer[fleet.Position]
	// held are the zones whose lease this node has.
	held    atomic.Pointer[map[string]tenure]
	holders atomic.Pointer[map[string]string] // names, by zone
}

// NewTable returns a table that knows nothing yet.
func NewTable(config Config, store fleet.Store) *Table {
	t := &Table{
		config: config, store: store, leases: map[string]lease.State{}, seen: map[string]seenNode{}, renewed: map[string]time.Time{},
		takeable: map[string]time.Time{}, unwritten: map[string]time.Time{}, known: make(chan struct{}),
	}
	for _, zone := range config.Zones {
		t.leases[zone] = lease.NewState(lease.Config{
			Self: config.Self.Name, Duration: leaseDuration, Margin: leaseMargin, Alone: true,
		})
	}
	t.nodes.Store(&[]Node{config.Self})
	t.at.Store(&fleet.Position{})
	t.held.Store(&map[string]tenure{})
	t.holders.Store(&map[string]string{})
	return t
}

// Holds reports whether this node may form groups in a zone at a boot time.
func (t *Table) Holds(zone string, boot time.Time) bool {
	held, ok := (*t.held.Load())[zone]
	return ok && boot.Before(held.until)
}

// HeldFrom returns the position of the store at which this node took a zone's lease.
func (t *Table) HeldFrom(zone string) fleet.Position { return (*t.held.Load())[zone].from }

// Holder returns the node that holds a zone's lease, as far as known.
func (t *Table) Holder(zone string) (Node, bool) {
	name := (*t.holders.Load())[zone]
	for _, node := range t.Nodes() {
		if node.Name == name && name != "" {
			return node, true
		}
	}
	return Node{}, false
}

// Position returns the newest position of the store that this node has seen.
func (t *Table) Position() fleet.Position { return *t.at.Load() }

// notePosition notes a position of the store that was seen. The lock is held.
func (t *Table) notePosition(at fleet.Position) {
	next := t.Position().Later(at)
	t.at.Store(&next)
}

// Known is closed once this node has read who its neighbors are.
func (t *Table) Known() <-chan struct{} { return t.known }

// Start keeps the table until the group stops.
func (t *Table) Start(g *kernel.Group) {
	g.Go("members_first", func(ctx context.Context) error {
		t.Step(ctx, t.config.Now())
		return nil
	})
	g.Every("members", tick, func(ctx context.Context, _ time.Time) { t.Step(ctx, t.config.Now()) })
}

// Step does what is due at a boot time, one call to the store at most.
func (t *Table) Step(ctx context.Context, boot time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.stopped {
		return
	}
	if t.config.FirstStart && t.announcedAt.IsZero() {
		t.announceFirst(ctx, boot)
		return
	}
	t.settle(boot)
	if boot.Sub(t.listTriedAt) >= listInterval {
		t.listTriedAt = boot
		t.list(ctx)
		return
	}
	if t.firstAt.IsZero() {
		return
	}
	if t.announcedAt.IsZero() || boot.Sub(t.announcedAt) >= t.announceEvery() {
		t.announce(ctx, boot)
		return
	}
	for _, zone := range t.config.Zones {
		if t.stepLease(ctx, zone, boot) {
			return
		}
	}
}

func (t *Table) list(ctx context.Context) {
	rows, err := t.store.List(ctx, tableName)
	if err != nil {
		klog.V(1).InfoS("members_unread", "err", err)
		return
	}
	if rows.At.Era < t.Position().Era {
		klog.InfoS("members_of_an_earlier_era", "era", rows.At.Era, "newest", t.Position().Era)
		return
	}
	boot := t.config.Now()
	t.noteEra(boot, rows.At)
	t.listedAt = boot
	if t.firstAt.IsZero() {
		t.firstAt = boot
		defer close(t.known)
	}
	t.notePosition(rows.At)
	byKey := map[string]redwinghall.Row{}
	for _, row := range rows.Rows {
		byKey[row.Key] = redwinghall.Row{Key: row.Key, Version: row.Version, Value: row.Value}
	}
	t.readLeases(boot, rows.At.Era, byKey)
	t.updateNodes(boot, byKey)
	t.settle(boot)
	t.publishHeld()
}

func (t *Table) readLeases(boot time.Time, era int64, rows map[string]redwinghall.Row) {
	for zone, state := range t.leases {
		next, err := state.WithEra(era).WithRows(boot, rows[lease.Key(zone)], rows[lease.FenceKey(zone)])
		if err != nil {
			klog.ErrorS(err, "lease_unreadable", "zone", zone)
			continue
		}
		t.leases[zone] = next
	}
}

// isTurn reports whether it is this node's turn to take a lease that has
// been free for some time.
func (t *Table) isTurn(zone string, boot time.Time) bool {
	since, ok := t.takeable[zone]
	if !ok {
		since = boot
		t.takeable[zone] = boot
	}
	if zone != t.config.Self.Zone {
		// The zone's own nodes go first, also when its holder gave the lease up.
		return boot.Sub(since) >= foreignDelay
	}
	rank := 0
	for _, node := range *t.nodes.Load() {
		if node.Zone == t.config.Self.Zone && relay.PreferredFor(node.Peer(), t.config.Self.Peer(), relay.Reader) {
			rank++
		}
	}
	return boot.Sub(since) >= time.Duration(rank)*takeStagger
}

func (t *Table) publishHeld() {
	if t.stopped {
		t.held.Store(&map[string]tenure{})
		return
	}
	held, holders := map[string]tenure{}, map[string]string{}
	for zone, state := range t.leases {
		holders[zone] = state.Holder()
		if state.Holder() == t.config.Self.Name && !state.HeldUntil().IsZero() {
			// The fence changes only when a lease is taken.
			held[zone] = tenure{until: state.HeldUntil(), from: fleet.Position{Era: state.Era(), Version: state.FenceVersion()}}
		}
	}
	t.held.Store(&held)
	t.holders.Store(&holders)
}

// Leave gives up the leases and takes this node's row away, so that others
// need not wait for their end. The node must have stopped forming groups.
func (t *Table) Leave(ctx context.Context) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.stopped = true
	boot := t.config.Now()
	for zone, state := range t.leases {
		if !state.Holds(boot) {
			continue
		}
		t.release(ctx, zone, boot)
	}
	_, err := t.store.Commit(ctx, fleet.Txn{Deletes: []fleet.Row{{Table: tableName, Key: nodePrefix + t.config.Self.Name}}})
	if err != nil {
		klog.InfoS("member_not_removed", "err", err)
	}
}
