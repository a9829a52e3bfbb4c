// Package node assembles the one process of an entry VM from the library's
// parts: it follows the store, serves callers, and forms the groups of its
// zone while it holds the zone's lease.
package node

import (
	"context"
	"errors"
	"io"
	"math"
	"net"
	"net/http"
	"runtime"
	"runtime/debug"
	"sync/atomic"
	"time"

	"k8s.io/klog/v2"

	"redwinghall/balance"
	"redwinghall/directory"
	"redwinghall/fleet"
	"redwinghall/formation"
	"redwinghall/gateway"
	"redwinghall/kernel"
	"redwinghall/members"
	"redwinghall/neighbor"
	"redwinghall/platform"
	"redwinghall/relay"
)

const (
	// memoryShare is the part of the VM's memory that the collector aims to
	// stay below; the rest is stacks and buffers of the kernel.
	memoryShare = 0.6
	// collectPercent keeps the collector quiet while the live heap is small.
	collectPercent = 150
	forgetInterval = 10 * time.Second
	// slowInterval is how often the members of slow groups are asked; each
	// question is priced.
	slowInterval = time.Second
)

// Node is an assembled node.
type Node struct {
	path     string // of the settings file; "" if it is never read again
	settings fleet.Settings
	current  atomic.Pointer[fleet.Settings]
	book     *directory.Book
	tracker  *balance.Tracker
	upstream *gateway.Upstream
	gateway  *gateway.Gateway
	table    *members.Table
	manager  *formation.Manager
	follower *directory.Follower
	metrics  *gateway.Metrics
	// source is the store, read by way of the zone's readers.
	source    *relay.Source
	neighbors *neighbor.Client
	board     *neighbor.LoadTable
	group     *kernel.Group
	stopping  atomic.Pointer[gateway.Stop] // nil unless a planned stop is under way
	conns     *connections
	rosters   rosterCache
	// avoided are dispatchers that gave no answer.
	avoided *relay.PeerBackoff
	callers net.Listener
}

// New assembles a node. path is where its settings came from.
func New(path string, s fleet.Settings) *Node {
	store := platform.NewStore(s.StoreAddress)
	n := &Node{
		path: path, settings: s, book: directory.NewBook(), tracker: balance.NewTracker(), upstream: gateway.NewUpstream(),
		metrics: gateway.NewMetrics(), conns: newConnections(), neighbors: neighbor.NewClient(), board: neighbor.NewLoadTable(),
		avoided: relay.NewPeerBackoff(dispatcherFirst, dispatcherLongest),
	}
	n.source = relay.NewSource(relay.Config{
		Store: store, PeerClient: n.neighbors, Self: s.Node, Peers: n.peers, RemotePeers: n.foreigners, Leader: n.leader, EqualFor: sameValue,
	})
	n.current.Store(&s)
	n.table = members.NewTable(members.Config{
		Self:  members.Node{Name: s.Node, Zone: s.Zone, Address: n.internalAddress(), Capacity: capacityOf(s)},
		Zones: s.Zones, FirstStart: s.FirstStart, Now: kernel.BootTime,
	}, n.source)
	n.manager = formation.NewManager(formation.Options{
		Settings: n.inForce, Cache: n.book, Orderer: platform.NewEngines(), Position: n.table.Position,
		HoldsLease:     func(zone string) bool { return n.table.Holds(zone, kernel.BootTime()) },
		LeasePosition:  n.table.HeldFrom,
		Recovered:      n.table.Settled,
		TrafficStarted: func() bool { return n.gateway.Served() > 0 },
		Progressing:    n.tracker.Moves,
		Running:        n.tracker.Running,
	})
	n.gateway = gateway.New(gateway.Options{
		Settings: n.inForce, Book: n.book, Tracker: n.tracker, Upstream: n.upstream, Metrics: n.metrics,
		Shares:   n.shares,
		Stalled:  n.suspect,
		Placer:   newZonePlacer(n),
		Lender:   lender{n},
		Stopping: n.plannedStop,
	})
	n.follower = directory.NewFollower(n.source, n.book, n.manager.Pending).WithKnown(n.table.Known())
	return n
}

// RunLogged returns Run with its log on out, for a program's main.
func (n *Node) RunLogged(out io.Writer) func(context.Context) error {
	return func(ctx context.Context) error {
		logs := kernel.NewGroup(context.Background())
		sink := NewLogSink(out)
		sink.Start(logs)
		UseLogSink(sink, 0)
		err := n.Run(ctx)
		klog.Flush()
		logs.Stop()
		return errors.Join(err, logs.Wait())
	}
}

// Run serves until ctx ends, and then stops without breaking requests off.
func (n *Node) Run(ctx context.Context) error {
	tune(n.settings)
	g := kernel.NewGroup(context.Background())
	n.group = g
	if err := n.listen(g); err != nil {
		g.Stop()
		return err
	}
	klog.InfoS("node_started", "node", n.settings.Node, "zone", n.settings.Zone, "callers", n.settings.CallerAddress,
		"store", n.settings.StoreAddress, "first_start", n.settings.FirstStart)
	n.table.Start(g)
	n.follower.Start(g)
	n.startReload(g)
	n.manager.Start(g)
	n.startSharing(g)
	n.startZoneSharing(g)
	g.Every("slow_groups", slowInterval, func(_ context.Context, now time.Time) {
		for _, id := range n.tracker.Slow(now) {
			n.suspect(id)
		}
	})
	g.Every("forget", forgetInterval, func(_ context.Context, now time.Time) { n.tracker.Forget(now) })
	g.Go("stop", func(running context.Context) error {
		select {
		case <-ctx.Done():
			n.stop(running)
		case <-running.Done():
		}
		g.Stop()
		return nil
	})
	err := g.Wait()
	klog.InfoS("node_stopped", "node", n.settings.Node, "err", err)
	return err
}

// shares returns what this node may use of what all nodes share.
func (n *Node) shares() gateway.Shares {
	if !n.knowsOthers() {
		return gateway.Shares{Zone: 1}
	}
	return gateway.Shares{Nodes: len(n.table.Nodes()), Zone: len(n.peers()), Dispatches: n.dispatches(time.Now())}
}

// knowsOthers reports whether this node has read who the other nodes are.
func (n *Node) knowsOthers() bool {
	select {
	case <-n.table.Known():
		return true
	default:
		return false
	}
}

// capacityOf returns the class of a VM: each is twice as strong as the one below.
func capacityOf(s fleet.Settings) int {
	if s.Processor <= 0 {
		return 0
	}
	return int(math.Round(math.Log2(s.Processor)))
}

// tune fits the runtime to the VM: one thread's worth of work, and a limit
// that the collector keeps below the VM's memory.
func tune(s fleet.Settings) {
	runtime.GOMAXPROCS(1)
	debug.SetGCPercent(collectPercent)
	if s.MemoryBytes > 0 {
		debug.SetMemoryLimit(int64(memoryShare * float64(s.MemoryBytes)))
	}
}

// ready reports whether the balancer should send new connections here.
func (n *Node) ready() bool {
	return n.stopping.Load() == nil && n.book.View().Config() != nil
}

func (n *Node) serveReadiness(w http.ResponseWriter, _ *http.Request) {
	if !n.ready() {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	w.WriteHeader(http.StatusOK)
}
