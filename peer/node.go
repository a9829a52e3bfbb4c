package peer

import (
	"context"
	"encoding/json"
	"math/rand/v2"
	"net/http"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"redwinghall"
	"redwinghall/kernel"
)

// Program is the type of a process.
type Program string

// The programs whose processes exchange registers with each other.
const (
	Router     Program = "router"
	Controller Program = "controller"
)

// Member describes a process to the processes that it exchanges registers with.
type Member struct {
	ID               string  `json:"id"`
	AvailabilityZone string  `json:"availability_zone"`
	Address          string  `json:"address"` // address of the peer listener
	Program          Program `json:"program"`
	// CallerAddress is the address at which a router accepts requests.
	CallerAddress string `json:"caller_address,omitempty"`
	Leaving       bool   `json:"leaving,omitempty"`
}

// Parameters of the exchange.
const (
	DefaultInterval  = time.Second
	exchangeTimeout  = time.Second
	zoneFanout       = 3 // pushes of a change within the zone
	crossZoneFanout  = 2 // pushes of a global change to other zones
	crossZonePerTick = 1 // exchanges with other zones that all processes of a zone start per interval
	maxFailures      = 2 // consecutive failed exchanges after which a peer counts as down
	standbyTicks     = 5 // ticks between exchanges of a standby controller
)

// Node exchanges registers with the other processes on behalf of this one.
type Node struct {
	Self   Member
	Store  *Store
	Health *HealthCache
	// Interval is the time between periodic exchanges.
	Interval time.Duration
	// HealthBound is the age above which an observation of a group is no longer
	// sent to peers.
	HealthBound time.Duration
	Traffic     *Traffic

	token    string
	client   *http.Client
	seeds    []Member
	groupIDs groupIDs
	// members is a cache because members are looked up many times a second and
	// change rarely.
	members memberCache
	// wantsHealth is set on a controller that needs the health of groups.
	wantsHealth atomic.Bool
	grantFunc   atomic.Pointer[GrantFunc]
	leaseHolder atomic.Pointer[string] // ID of the last known holder of the zone's lease

	mu             sync.Mutex
	failures       map[string]int
	requestedAt    map[Mark]time.Time // when a large register was last requested from a peer
	lastRound      time.Time          // when a round last reached this router
	ticks          int
	pendingHealth  []redwinghall.GroupHealth
	pendingEntries []Entry
	wake           chan struct{}
}

// NewNode returns a node that initially knows the seeds. token authenticates
// exchanges.
func NewNode(self Member, seeds []Member, token string) *Node {
	traffic := &Traffic{}
	return &Node{
		Self: self, Store: NewStore(), Health: NewHealthCache(),
		Interval: DefaultInterval, HealthBound: 3 * time.Second,
		Traffic: traffic,
		token:   token, client: newClient(traffic, token), seeds: seeds,
		failures:    map[string]int{},
		requestedAt: map[Mark]time.Time{},
		wake:        make(chan struct{}, 1),
	}
}

// Run exchanges registers with other processes until the task group stops. The number of
// the register that describes this process is its start time, so that a restart under the
// same ID is newer.
func (n *Node) Run(g *kernel.Group, started time.Time) {
	n.announce(started, n.Self)
	n.recordRound(started)
	g.Every("peer.exchange", n.Interval, func(ctx context.Context, now time.Time) { n.tick(ctx, now) })
	g.Keep("peer.push", n.pushLoop)
}

// Leave announces to the peers that this process is stopping.
func (n *Node) Leave(now time.Time) {
	self := n.Self
	self.Leaving = true
	n.announce(now, self)
}

func (n *Node) announce(now time.Time, self Member) {
	value, err := json.Marshal(self)
	if err != nil {
		return
	}
	n.Publish(Entry{Key: KeyMember(self.AvailabilityZone, self.ID), Number: uint64(now.UnixNano()), Value: value})
}

// Observe merges an observation that this process made of a group, and pushes it
// to the peers if it takes the group out of service.
func (n *Node) Observe(h redwinghall.GroupHealth) {
	if n.Health.Merge(h) {
		n.pushHealth(h)
	}
}

// Members returns the known processes of a zone that are not leaving, including
// this one and those that do not answer at present. The slice is shared: callers
// must not modify it.
func (n *Node) Members(zone string) []Member {
	return n.members.zone(n.Store, n.seeds, zone)
}

// Live returns the members of this zone that run the program and do not count as
// down, including this one.
func (n *Node) Live(program Program) []Member {
	members := n.Members(n.Self.AvailabilityZone)
	n.mu.Lock()
	defer n.mu.Unlock()
	out := make([]Member, 0, len(members))
	for _, m := range members {
		if m.Program == program && (m.ID == n.Self.ID || n.failures[m.ID] < maxFailures) {
			out = append(out, m)
		}
	}
	return out
}

func (n *Node) zonePeers(zone string) []Member {
	members := n.Members(zone)
	out := make([]Member, 0, len(members))
	for _, m := range members {
		if m.ID != n.Self.ID {
			out = append(out, m)
		}
	}
	return out
}

func (n *Node) otherZoneSeeds() []Member {
	var out []Member
	for _, m := range n.seeds {
		if m.AvailabilityZone != n.Self.AvailabilityZone {
			out = append(out, m)
		}
	}
	return out
}

// SetWantHealth sets whether a controller needs the health of groups: the holder
// of the zone's lease does, standby controllers do not.
func (n *Node) SetWantHealth(want bool) { n.wantsHealth.Store(want) }

// FetchHealth fetches the health of groups from one router. A standby controller
// calls it when its state is queried.
func (n *Node) FetchHealth(ctx context.Context, now time.Time) {
	n.exchangeOne(ctx, now, n.routers(), true)
}

// tick starts the periodic exchanges of this process. Routers exchange the
// health of groups in rounds, see round.go; a controller exchanges with one router.
func (n *Node) tick(ctx context.Context, now time.Time) {
	n.mu.Lock()
	n.ticks++
	ticks := n.ticks
	n.mu.Unlock()
	switch {
	case n.Self.Program == Router:
		n.tickRouter(ctx, now)
	case n.wantsHealth.Load():
		n.exchangeOne(ctx, now, n.routers(), true)
	case ticks%standbyTicks == 0:
		n.exchangeOne(ctx, now, n.routers(), false)
	}
	n.tickOtherZones(ctx, now)
}

// tickOtherZones exchanges with another zone with a probability at which all
// processes of this zone together start crossZonePerTick such exchanges per
// interval on average, independent of their number.
func (n *Node) tickOtherZones(ctx context.Context, now time.Time) {
	zone := len(n.Members(n.Self.AvailabilityZone))
	if rand.IntN(max(1, zone)) < crossZonePerTick {
		n.exchangeOne(ctx, now, n.otherZoneSeeds(), false)
	}
}

// exchangeOne exchanges with one of the members, chosen at random.
func (n *Node) exchangeOne(ctx context.Context, now time.Time, members []Member, health bool) {
	for _, m := range sample(members, 1) {
		_ = n.exchange(ctx, m, n.periodicExchange(now, health)) // a failure is recorded; the next tick tries again
	}
}

// routers returns the routers of the zone except this process.
func (n *Node) routers() []Member {
	members := n.zonePeers(n.Self.AvailabilityZone)
	return slices.DeleteFunc(members, func(m Member) bool { return m.Program != Router })
}
