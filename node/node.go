// Package node assembles the process that runs on each entry VM: it follows the
// store, serves callers, and forms the groups of its zone while it holds the
// zone's lease.
package node

import (
	"context"
	"errors"
	"io"
	"math"
	"net/http"
	"runtime"
	"runtime/debug"
	"sync"
	"sync/atomic"
	"time"

	"k8s.io/klog/v2"

	"redwinghall/admission"
	"redwinghall/balance"
	"redwinghall/clienthttp"
	"redwinghall/dial"
	"redwinghall/directory"
	"redwinghall/endpointhttp"
	"redwinghall/fleet"
	"redwinghall/formation"
	"redwinghall/gateway"
	"redwinghall/kernel"
	"redwinghall/lend"
	"redwinghall/members"
	"redwinghall/neighbor"
	"redwinghall/platform"
	"redwinghall/promise"
	"redwinghall/quarantine"
	"redwinghall/reach"
	"redwinghall/relay"
	"redwinghall/silence"
)

const (
	// memoryLimitFraction is the fraction of the VM's memory used as the runtime's memory
	// limit; the rest is for stacks and kernel buffers.
	memoryLimitFraction = 0.6
	// gcPercent makes the garbage collector run less often while the live heap
	// is small.
	gcPercent      = 150
	forgetInterval = 10 * time.Second
	// slowInterval is how often the members of slow groups are checked; each
	// request to a member has a cost.
	slowInterval = time.Second
)

// Node is an assembled node.
type Node struct {
	path     string // of the settings file; "" disables reloading
	settings fleet.Settings
	current  atomic.Pointer[fleet.Settings]
	cache    *directory.Cache
	tracker  *balance.Tracker
	upstream *endpointhttp.Upstream
	gateway  *gateway.Gateway
	table    *members.Table
	manager  *formation.Manager
	follower *directory.Follower
	metrics  *gateway.Metrics
	store    *platform.Store
	// source is the store as read through the zone's reader nodes.
	source    *relay.Source
	neighbors *neighbor.Client
	room      *admission.Room // what client accounts ask of this zone's room
	roomUse   roomUse
	loads     *neighbor.LoadTable // loads reported by the nodes of this zone and by other zones
	// silences holds what the nodes of this zone see of heads, and stillHeads those that fell silent for all.
	silences   *silence.Table
	stillHeads stillHeads
	loadsMu    sync.Mutex // held while the tracker is brought up to date with loads
	// loadsAppliedAt is when the loads of all nodes and zones were last applied.
	loadsAppliedAt time.Time
	toldLoads      balance.ToldLoads
	promises       promise.Schedule // room of this zone, while this node dispatches
	group          *kernel.Group
	stopping       atomic.Pointer[gateway.Stop] // nil unless a planned stop is under way
	conns          *connections
	guards         guards
	// newConnections tells which new connections are more than the processor can serve.
	newConnections *connectionRate
	rosters        rosterCache
	// backoff tracks dispatchers that failed to respond.
	backoff *relay.PeerBackoff
	paths   *reach.Table
	// quarantine holds the parts of prompts under which endpoints ended. quarantineKnown is closed once
	// another node has sent its evidence on them.
	quarantine *quarantine.Table
	// book holds what this zone borrows and lends, if this node dispatches.
	book            *lend.Book
	quarantineKnown chan struct{}
	quarantineHeard sync.Once
	callers         *kernel.ReopenedListener
	started         time.Time
	ending          ending
	last            lastMoment
	answers         answering
}

// New assembles a node. path is the settings file that is reloaded while the node
// runs, or "" for none.
func New(path string, s fleet.Settings) *Node {
	return NewWithDialer(path, s, dial.NewDialer().DialContext)
}

// NewWithDialer assembles a node that opens its connections to endpoints by a function.
func NewWithDialer(path string, s fleet.Settings, open dial.Func) *Node {
	store := platform.NewStore(s.StoreAddress)
	n := &Node{
		path: path, settings: s, store: store, cache: directory.NewCache(), tracker: balance.NewTracker(), upstream: endpointhttp.NewUpstreamWithDialer(open),
		metrics: gateway.NewMetrics(), conns: newConnections(), neighbors: neighbor.NewClient(), loads: neighbor.NewLoadTable(),
		silences: silence.NewTable(kernel.RunTime),
		backoff:  relay.NewPeerBackoff(dispatcherMinBackoff, dispatcherMaxBackoff), paths: reach.NewTable(), started: time.Now(),
		quarantine: quarantine.NewTable(), quarantineKnown: make(chan struct{}),
		last: newLastMoment(),
	}
	n.room = admission.NewRoom()
	n.tracker.Admission = n.admissionOf
	n.book = newBook(n)
	n.source = relay.NewSource(relay.Config{
		Store: store, PeerClient: n.neighbors, Self: s.Node, Peers: n.peers, RemotePeers: n.remotePeers, Leader: n.leader, EqualFor: equalFor,
		Polled: members.IsTable,
	})
	n.answers = answering{conns: n.conns, pace: newAnswerPace(s.Processor)}
	n.newConnections = newConnectionRate(s.Processor)
	n.conns.leavesUnread = n.leavesUnread
	n.guards = newGuards(s)
	n.current.Store(&s)
	n.table = members.NewTable(members.Config{
		Self:  members.Node{Name: s.Node, Zone: s.Zone, Address: n.internalAddress(), Capacity: capacityOf(s)},
		Zones: s.Zones, FirstStart: s.FirstStart, Now: kernel.BootTime, Parted: n.paths.Parted,
		OOMKills: oomKills,
	}, n.source)
	forwards := newForwarder(n)
	client := platform.NewEndpointClientWithDialer(n.onLeavingResponse, open)
	withPeers := client.WithPeers(controlPeers{n, forwards})
	n.manager = formation.NewManager(formation.Options{
		Settings: n.currentSettings, Cache: n.cache, Orderer: withPeers, Position: n.table.Position,
		HoldsLease:     func(zone string) bool { return n.table.HoldsLease(zone, kernel.BootTime()) },
		LeasePosition:  n.table.LeasePosition,
		Recovered:      n.table.Recovered,
		TrafficStarted: func() bool { return n.gateway.Served() > 0 },
		Progressing:    n.tracker.Progressing,
		Running:        n.tracker.Running,
		IsLeaving:      n.tracker.IsLeaving,
	})
	n.gateway = gateway.New(gateway.Options{
		Settings: n.currentSettings, Cache: n.cache, Tracker: n.tracker, Upstream: n.upstream, Metrics: n.metrics,
		Shares:       n.shares,
		ReportStall:  n.reportStall,
		Placer:       newZonePlacer(n),
		Promiser:     promiser{n},
		PermitIssuer: permitIssuer{n},
		Paths:        n.paths,
		Forwarder:    forwards,
		Control:      controlOf(client),
		Presence:     client.Presence, PresenceElsewhere: withPeers.PresenceElsewhere,
		Background: func(name string, fn func(context.Context)) { n.group.Task(name, fn) },
		Quarantine: n.quarantine, Trials: trialGranter{n}, QuarantineKnown: n.quarantineKnown,
		Stopping: n.plannedStop,
		Ended:    n.ended,
		Sending: func(request context.Context) {
			connectionOf(request).reach(requestSent)
			clienthttp.Sent(request)
		},
	})
	n.follower = directory.NewFollower(n.source, n.cache, n.manager.Pending).WithKnown(n.table.Known())
	return n
}

// RunLogged returns a function for a program's main that runs the node with its log
// written to out.
func (n *Node) RunLogged(out io.Writer) func(context.Context) error {
	return func(ctx context.Context) error {
		logs := kernel.NewGroup(context.Background())
		sink := kernel.NewLogSink(out)
		sink.Start(logs)
		kernel.UseLogSink(sink, 0)
		err := n.Run(ctx)
		klog.Flush()
		logs.Stop()
		_, logErr := logs.WaitWithin(n.logDrainTime(time.Now())) // lines that nobody reads must not keep the process
		return errors.Join(err, logErr)
	}
}

// Run serves until ctx ends, and then shuts down gracefully.
func (n *Node) Run(ctx context.Context) error {
	tune(n.settings)
	g := kernel.NewGroup(context.Background())
	n.group = g
	if err := n.listen(g); err != nil {
		klog.ErrorS(err, "node_not_started", "node", n.settings.Node)
		g.Stop()
		n.last.close()
		return err
	}
	klog.InfoS("node_started", "node", n.settings.Node, "zone", n.settings.Zone, "callers", n.settings.CallerAddress,
		"store", n.settings.StoreAddress, "first_start", n.settings.FirstStart)
	n.table.Start(g)
	n.follower.Start(g)
	n.startReload(g)
	n.startMemoryWatch(g)
	n.manager.Start(g)
	n.startSharing(g)
	n.startZoneSharing(g)
	n.startSilence(g)
	n.startBorrowing(g)
	n.startQuarantine(g)
	n.startPathProbes(g)
	n.startRechecks(g)
	g.Every("slow_callers", gateway.SlowCallerInterval, func(_ context.Context, now time.Time) { n.gateway.WatchCallers(now) })
	g.Every("slow_groups", slowInterval, func(_ context.Context, now time.Time) {
		for _, id := range n.tracker.SlowEndpoints(now) {
			n.reportStall(id)
		}
	})
	g.Every("forget", forgetInterval, func(_ context.Context, now time.Time) {
		n.tracker.Forget(now)
		n.book.Forget(now)
		n.paths.Forget(now)
		n.quarantine.Forget(now)
		n.room.Forget(now)
	})
	g.Go("stop", func(running context.Context) error {
		defer n.last.close()
		select {
		case <-ctx.Done():
			n.stopAsPlanned(running, ctx)
		case <-running.Done():
			n.fail()
		}
		g.Stop()
		return nil
	})
	err := g.Wait()
	n.logStopped(time.Now(), err)
	return err
}

// shares returns the node counts by which limits that apply to all nodes together are divided.
func (n *Node) shares() gateway.Shares {
	if !n.knowsMembers() {
		return gateway.Shares{Zone: 1}
	}
	return gateway.Shares{Nodes: len(n.table.Nodes()), Zone: len(n.peers()), IsDispatcher: n.dispatches(time.Now())}
}

// knowsMembers reports whether this node has read the list of nodes.
func (n *Node) knowsMembers() bool {
	select {
	case <-n.table.Known():
		return true
	default:
		return false
	}
}

// capacityOf returns the capacity class of a VM. Each class has twice the processing
// power of the one below.
func capacityOf(s fleet.Settings) int {
	if s.Processor <= 0 {
		return 0
	}
	return int(math.Round(math.Log2(s.Processor)))
}

// tune configures the Go runtime for the VM: a single processor, and a memory limit
// below the VM's memory.
func tune(s fleet.Settings) {
	runtime.GOMAXPROCS(1)
	debug.SetGCPercent(gcPercent)
	if s.MemoryBytes > 0 {
		debug.SetMemoryLimit(int64(memoryLimitFraction * float64(s.MemoryBytes)))
	}
}

// ready reports whether the load balancer should send new connections to this node.
func (n *Node) ready() bool {
	return n.stopping.Load() == nil && n.cache.View().Config() != nil
}

func (n *Node) serveReadiness(w http.ResponseWriter, _ *http.Request) {
	if !n.ready() {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	w.WriteHeader(http.StatusOK)
}
