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

// Program is the kind of a process.
type Program string

// The programs that take part in the exchange.
const (
	Router     Program = "router"
	Controller Program = "controller"
)

// Member is a process that takes part in the exchange.
type Member struct {
	ID               string  `json:"id"`
	AvailabilityZone string  `json:"availability_zone"`
	Address          string  `json:"address"` // of its peer listener
	Program          Program `json:"program"`
	// CallerAddress is where a router takes callers' requests.
	CallerAddress string `json:"caller_address,omitempty"`
	Leaving       bool   `json:"leaving,omitempty"`
}

// Defaults of the exchange.
const (
	DefaultInterval = time.Second
	exchangeTimeout = time.Second
	zoneFanout      = 3 // pushes of a change inside the zone
	crossFanout     = 2 // pushes of a global change to other zones
	crossPerTick    = 1 // exchanges between zones that a whole zone starts in one interval
	downAfter       = 2 // failed exchanges until a peer is not counted
	watchTicks      = 5 // ticks between exchanges of a controller that only watches
)

// Node is one process's part in the exchange.
type Node struct {
	Self   Member
	Store  *Store
	Health *HealthCache
	// Interval between periodic exchanges.
	Interval time.Duration
	// HealthBound is the age at which an observation of a group is no longer passed on.
	HealthBound time.Duration
	Traffic     *Traffic

	token  string
	client *http.Client
	seeds  []Member
	names  groupNames
	// members are looked up many times a second and change rarely.
	members memberCache
	// wantsHealth says that a controller needs the health of groups.
	wantsHealth atomic.Bool
	granter     atomic.Pointer[GrantFunc]
	holder      atomic.Pointer[string] // the controller that granted last

	mu        sync.Mutex
	failures  map[string]int
	asked     map[Mark]time.Time // large registers that a peer was asked for
	lastRound time.Time          // when a round last came by here
	ticks     int
	urgent    []redwinghall.GroupHealth
	pending   []Entry
	wake      chan struct{}
}

// NewNode returns a node that knows its seeds. token guards the exchange.
func NewNode(self Member, seeds []Member, token string) *Node {
	traffic := &Traffic{}
	return &Node{
		Self: self, Store: NewStore(), Health: NewHealthCache(),
		Interval: DefaultInterval, HealthBound: 3 * time.Second,
		Traffic: traffic,
		token:   token, client: newClient(traffic, token), seeds: seeds,
		failures: map[string]int{},
		asked:    map[Mark]time.Time{},
		wake:     make(chan struct{}, 1),
	}
}

// Run takes part until the group stops. The member's own register is numbered
// by its start time, so that a restart under the same id is newer.
func (n *Node) Run(g *kernel.Group, started time.Time) {
	n.announce(started, n.Self)
	n.noteRound(started)
	g.Every("peer.exchange", n.Interval, func(ctx context.Context, now time.Time) { n.tick(ctx, now) })
	g.Go("peer.push", n.pushLoop)
}

// Leave tells the peers that this process stops.
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

// Observe takes in this process's own observation of a group, and pushes it when
// it says that the group is broken.
func (n *Node) Observe(h redwinghall.GroupHealth) {
	if n.Health.Merge(h) {
		n.pushHealth(h)
	}
}

// Members returns the processes of a zone that are known and not leaving,
// this one included, also those that do not answer now. The list is shared:
// callers must not change it.
func (n *Node) Members(zone string) []Member {
	return n.members.zone(n.Store, n.seeds, zone)
}

// Live returns the members of this zone that answered lately, this one
// included, of one program.
func (n *Node) Live(program Program) []Member {
	members := n.Members(n.Self.AvailabilityZone)
	n.mu.Lock()
	defer n.mu.Unlock()
	out := make([]Member, 0, len(members))
	for _, m := range members {
		if m.Program == program && (m.ID == n.Self.ID || n.failures[m.ID] < downAfter) {
			out = append(out, m)
		}
	}
	return out
}

func (n *Node) others(zone string) []Member {
	members := n.Members(zone)
	out := make([]Member, 0, len(members))
	for _, m := range members {
		if m.ID != n.Self.ID {
			out = append(out, m)
		}
	}
	return out
}

func (n *Node) foreign() []Member {
	var out []Member
	for _, m := range n.seeds {
		if m.AvailabilityZone != n.Self.AvailabilityZone {
			out = append(out, m)
		}
	}
	return out
}

// SetWantHealth says whether a controller needs the health of groups: the holder
// of the zone's lease does, those that watch do not.
func (n *Node) SetWantHealth(want bool) { n.wantsHealth.Store(want) }

// FetchHealth asks one router for the health of groups, for a controller that
// only watches and is asked for the state.
func (n *Node) FetchHealth(ctx context.Context, now time.Time) {
	n.exchangeOne(ctx, now, n.routers(), true)
}

// tick starts this process's periodic exchanges. Among routers the health of
// groups travels in rounds, see round.go; a controller asks one router.
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
	case ticks%watchTicks == 0:
		n.exchangeOne(ctx, now, n.routers(), false)
	}
	n.tickForeign(ctx, now)
}

// tickForeign exchanges with another zone now and then, so that a zone as a
// whole starts crossPerTick of those in each interval however many processes
// it has.
func (n *Node) tickForeign(ctx context.Context, now time.Time) {
	zone := len(n.Members(n.Self.AvailabilityZone))
	if rand.IntN(max(1, zone)) < crossPerTick {
		n.exchangeOne(ctx, now, n.foreign(), false)
	}
}

// exchangeOne exchanges with a random one of the members.
func (n *Node) exchangeOne(ctx context.Context, now time.Time, members []Member, health bool) {
	for _, m := range choose(members, 1) {
		_ = n.exchange(ctx, m, n.periodicExchange(now, health)) // the next tick tries another
	}
}

// routers returns the zone's routers, this process left out.
func (n *Node) routers() []Member {
	members := n.others(n.Self.AvailabilityZone)
	return slices.DeleteFunc(members, func(m Member) bool { return m.Program != Router })
}
