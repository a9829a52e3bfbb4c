// Package members maintains the cluster membership in a table of the store, and
// the leases of availability zones in the same table.
package members

import (
	"context"
	"math/rand/v2"
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

// Intervals and timeouts. Calls to the store are costly, so they are infrequent.
const (
	// listInterval is how often a node reads the table.
	listInterval = 2 * time.Second
	// renewInterval is how often a holder renews its lease.
	renewInterval = 1200 * time.Millisecond
	// leaseDuration is how long a lease lasts without a renewal, and leaseMargin how
	// much earlier its holder stops using it. A holder may miss two renewals.
	leaseDuration = 3500 * time.Millisecond
	leaseMargin   = 700 * time.Millisecond
	// otherZoneDelay is how long the lease of another zone must be free before a node
	// takes it: the zone's own nodes go first, and a zone that is unreachable for a
	// short time is better left as it is.
	otherZoneDelay = 15 * time.Second
	// announceInterval is how often a node writes its row, and memberTimeout is how long
	// a node with an unchanged row counts as alive.
	announceInterval = 5 * time.Second
	memberTimeout    = 13 * time.Second
	// announceSpread is the time over which nodes whose announcement failed try again, once they
	// have read the table: after an outage of the store all of them do.
	announceSpread = time.Second
	// announcePerNode lengthens all three if there are many nodes: it is the least average
	// time between two announcements of any nodes.
	announcePerNode = 200 * time.Millisecond
	// restoreGrace is how long nodes that are missing since the store was restored from an
	// older copy, or couldn't write while it was away, have to write their rows again: a read
	// interval, and the delay of a busy node.
	restoreGrace = 5 * time.Second
	// firstStartDelay is how long a node waits at the first start of a deployment between writing
	// its row and reading the table, so that the other nodes can write theirs.
	firstStartDelay = 1200 * time.Millisecond
	// acquireStagger is the delay per rank before a node of a zone takes a free lease, so that
	// the nodes don't all try at once.
	acquireStagger = 150 * time.Millisecond
	stepInterval   = 100 * time.Millisecond
)

const (
	tableName  = "redwinghall"
	nodePrefix = "node/"
)

// IsTable reports whether a table of the store is the members' table.
func IsTable(name string) bool { return name == tableName }

// Config configures a Table.
type Config struct {
	Self  Node
	Zones []string
	// FirstStart is set if the whole deployment starts for the first time.
	FirstStart bool
	// Now returns the current boot time. It is called again after store calls.
	Now func() time.Time
	// Parted reports whether this node doesn't reach the endpoints itself; nil is never. Such a
	// node takes a free lease only after all others of its zone.
	Parted func() bool
	// WallClock returns the current time; nil is time.Now.
	WallClock func() time.Time
	// OOMKills returns how many processes of this VM the kernel has ended for lack of memory; nil if
	// that is unknown.
	OOMKills func() (kills int64, ok bool)
}

// heldLease is a lease held by this node: when it ends, and the position of the store
// at which it was taken.
type heldLease struct {
	until time.Time
	from  fleet.Position
}

// Table is this node's view of the members' table. It announces the node and takes,
// renews and releases zone leases.
type Table struct {
	config Config
	store  fleet.Store
	nodes  atomic.Pointer[[]Node]

	mu      sync.Mutex
	leases  map[string]lease.State
	started time.Time // of this process, by the wall clock
	firstAt time.Time // when the table was first read
	known   chan struct{}
	seen    map[string]seenNode
	// startsLogged is set once the starts of the other nodes were compared with this one's.
	startsLogged bool
	listTriedAt  time.Time
	announcedAt  time.Time // when this node last wrote its row, or tried
	unannounced  bool      // the last attempt failed
	// announceAgainAt is when it tries again after a failure, zero until it has read the table.
	announceAgainAt time.Time
	listedAt        time.Time // when the table was last read
	listedEra       int64     // era of the store at the last read
	// restoredAt is when this node noticed that the store was restored from an older copy.
	restoredAt time.Time
	eraSince   time.Time // when this node first read the table in listedEra
	// recoveredEra is the newest era in which the lost entries have been written again.
	recoveredEra atomic.Int64
	renewTriedAt map[string]time.Time
	// writeFailedAt is when this node last failed to write a lease, by zone.
	writeFailedAt map[string]time.Time
	freeSince     map[string]time.Time // when this node first saw a zone's lease free
	stopped       bool
	// at is the newest position of the store that this node has seen.
	at atomic.Pointer[fleet.Position]
	// held holds the leases of this node, by zone.
	held    atomic.Pointer[map[string]heldLease]
	holders atomic.Pointer[map[string]string] // names of the lease holders, by zone
}

// NewTable returns a table that lists only this node.
func NewTable(config Config, store fleet.Store) *Table {
	if config.WallClock == nil {
		config.WallClock = time.Now
	}
	t := &Table{
		config: config, store: store, started: config.WallClock(), leases: map[string]lease.State{}, seen: map[string]seenNode{}, renewTriedAt: map[string]time.Time{},
		freeSince: map[string]time.Time{}, writeFailedAt: map[string]time.Time{}, known: make(chan struct{}),
	}
	for _, zone := range config.Zones {
		t.leases[zone] = lease.NewState(lease.Config{
			Self: config.Self.Name, Duration: leaseDuration, Margin: leaseMargin, SingleInstance: true,
		})
	}
	t.nodes.Store(&[]Node{config.Self})
	t.at.Store(&fleet.Position{})
	t.held.Store(&map[string]heldLease{})
	t.holders.Store(&map[string]string{})
	return t
}

// HoldsLease reports whether this node holds a zone's lease at a boot time, and so may form
// groups in the zone.
func (t *Table) HoldsLease(zone string, boot time.Time) bool {
	held, ok := (*t.held.Load())[zone]
	return ok && boot.Before(held.until)
}

// LeasePosition returns the position of the store at which this node took a zone's lease.
func (t *Table) LeasePosition(zone string) fleet.Position { return (*t.held.Load())[zone].from }

// Holder returns the node that holds a zone's lease, if it is known.
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

// notePosition records a position of the store. The caller holds t.mu.
func (t *Table) notePosition(at fleet.Position) {
	next := t.Position().Later(at)
	t.at.Store(&next)
}

// Known returns a channel that is closed once this node has read the list of nodes.
func (t *Table) Known() <-chan struct{} { return t.known }

// Start maintains the table until the group stops.
func (t *Table) Start(g *kernel.Group) {
	g.Task("members_first", func(ctx context.Context) { t.Step(ctx, t.config.Now()) })
	g.Every("members", stepInterval, func(ctx context.Context, _ time.Time) { t.Step(ctx, t.config.Now()) })
}

// Step performs the work that is due at a boot time, with at most one call to the store.
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
	t.updateRecovered(boot)
	if boot.Sub(t.listTriedAt) >= listInterval {
		t.listTriedAt = boot
		t.list(ctx)
		return
	}
	if t.firstAt.IsZero() {
		return
	}
	if t.announceDue(boot) {
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
	t.excuseUnread(boot)
	t.listedAt = boot
	if t.unannounced && t.announceAgainAt.IsZero() {
		t.announceAgainAt = boot.Add(rand.N(t.scaledByNodes(announceSpread)))
	}
	t.notePosition(rows.At)
	byKey := map[string]redwinghall.Row{}
	for _, row := range rows.Rows {
		byKey[row.Key] = redwinghall.Row{Key: row.Key, Version: row.Version, Value: row.Value}
	}
	t.readLeases(boot, rows.At.Era, byKey)
	t.updateNodes(boot, byKey)
	if t.firstAt.IsZero() {
		t.firstAt = boot
		defer close(t.known)
		t.logPreviousEnd(boot, byKey[nodePrefix+t.config.Self.Name])
	}
	t.logStartsTogether(boot)
	t.updateRecovered(boot)
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

// isTurn reports whether a free lease has been free long enough for a node of this
// node's rank to take it.
func (t *Table) isTurn(zone string, boot time.Time) bool {
	since, ok := t.freeSince[zone]
	if !ok {
		since = boot
		t.freeSince[zone] = boot
	}
	if zone != t.config.Self.Zone {
		// The zone's own nodes go first, even if the holder released the lease.
		return boot.Sub(since) >= otherZoneDelay
	}
	rank := 0
	for _, node := range *t.nodes.Load() {
		if node.Zone == t.config.Self.Zone && relay.PreferredFor(node.Peer(), t.config.Self.Peer(), relay.Reader) {
			rank++
		}
	}
	if t.config.Parted != nil && t.config.Parted() {
		rank += len(*t.nodes.Load())
	}
	return boot.Sub(since) >= time.Duration(rank)*acquireStagger
}

func (t *Table) publishHeld() {
	if t.stopped {
		t.held.Store(&map[string]heldLease{})
		return
	}
	held, holders := map[string]heldLease{}, map[string]string{}
	for zone, state := range t.leases {
		holders[zone] = state.Holder()
		if state.Holder() == t.config.Self.Name && !state.HeldUntil().IsZero() {
			// The fence row changes only when a lease is taken.
			held[zone] = heldLease{until: state.HeldUntil(), from: fleet.Position{Era: state.Era(), Version: state.FenceVersion()}}
		}
	}
	t.held.Store(&held)
	t.holders.Store(&holders)
}

// Leave releases the leases and deletes this node's row, so that other nodes need
// not wait until they expire. The node must have stopped forming groups.
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
