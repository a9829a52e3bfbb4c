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

	"k8s.io/klog/v2"

	"redwinghall"
	"redwinghall/kernel"
	"redwinghall/peer/rpc"
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
	Health *HealthBook
	// Interval between periodic exchanges.
	Interval time.Duration
	// HealthBound is the age at which a word on a group is no longer passed on.
	HealthBound time.Duration
	Traffic     *Traffic

	token  string
	client *http.Client
	seeds  []Member
	names  groupNames
	// members are looked up many times a second and change rarely.
	members memberCache
	// wantsHealth says that a controller needs the words on groups.
	wantsHealth atomic.Bool
	granter     atomic.Pointer[Granter]
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
		Self: self, Store: NewStore(), Health: NewHealthBook(),
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

// Publish takes entries and pushes those that are news.
func (n *Node) Publish(entries ...Entry) { n.push(n.Store.Apply(entries...)) }

// Observe takes this process's own word on a group, and pushes it when it
// says that the group is broken.
func (n *Node) Observe(h redwinghall.GroupHealth) {
	if n.Health.Merge(h) {
		n.pushHealth(h)
	}
}

func (n *Node) push(entries []Entry) {
	if len(entries) == 0 {
		return
	}
	n.mu.Lock()
	n.pending = append(n.pending, entries...)
	n.mu.Unlock()
	n.signal()
}

func (n *Node) pushHealth(h redwinghall.GroupHealth) {
	n.mu.Lock()
	n.urgent = append(n.urgent, h)
	n.mu.Unlock()
	n.signal()
}

func (n *Node) signal() {
	select {
	case n.wake <- struct{}{}:
	default:
	}
}

// Members returns the processes of a zone that are known and not leaving,
// this one included, also those that do not answer now. The list is shared:
// callers must not change it.
func (n *Node) Members(zone string) []Member {
	return n.members.of(n.Store, n.seeds, zone)
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

// WantHealth says whether a controller needs the words on groups: the holder
// of the zone's lease does, those that watch do not.
func (n *Node) WantHealth(want bool) { n.wantsHealth.Store(want) }

// AskHealth asks one router for the words on groups, for a controller that
// only watches and is asked for the state.
func (n *Node) AskHealth(ctx context.Context, now time.Time) {
	n.exchangeOne(ctx, now, n.routers(), true)
}

// tick starts this process's periodic exchanges. Among routers the words on
// groups travel in rounds, see round.go; a controller asks one router.
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
		_ = n.exchange(ctx, m, n.outgoing(now, health)) // the next tick tries another
	}
}

// routers returns the zone's routers, this process left out.
func (n *Node) routers() []Member {
	members := n.others(n.Self.AvailabilityZone)
	return slices.DeleteFunc(members, func(m Member) bool { return m.Program != Router })
}

func (n *Node) pushLoop(ctx context.Context) error {
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-n.wake:
			n.flush(ctx)
		}
	}
}

func (n *Node) flush(ctx context.Context) {
	n.mu.Lock()
	entries, health := n.pending, n.urgent
	n.pending, n.urgent = nil, nil
	n.mu.Unlock()

	pushes := kernel.NewGroup(ctx)
	for _, m := range choose(n.others(n.Self.AvailabilityZone), zoneFanout) {
		pushes.Go("peer.push_one", func(ctx context.Context) error {
			_ = n.exchange(ctx, m, news(entries, health)) // the periodic exchange repairs a lost push
			return nil
		})
	}
	if global := globalOnly(entries); len(global) > 0 {
		for _, m := range choose(n.foreign(), crossFanout) {
			pushes.Go("peer.push_one", func(ctx context.Context) error {
				_ = n.exchange(ctx, m, news(global, nil))
				return nil
			})
		}
	}
	_ = pushes.Wait()
}

// largeValue is the size from which a register is offered before it is sent.
const largeValue = 256

// news is what a push hands over. Small registers go at once. A large one, as
// the manifest, reaches a process from several others: it is only offered,
// and sent to those that say that they lack it, so that its bytes travel once
// to each process and not once for each push.
func news(entries []Entry, health []redwinghall.GroupHealth) outgoing {
	out := outgoing{health: health}
	for _, e := range entries {
		if len(e.Value) < largeValue {
			out.entries = append(out.entries, e)
			continue
		}
		out.offers = append(out.offers, Mark{Key: e.Key, Number: e.Number})
	}
	return out
}

// askAgainAfter is how long a register that was asked for may take.
const askAgainAfter = 500 * time.Millisecond

// Wanted returns which offers to take: those that are newer than what is held
// and that no other peer was asked for lately.
func (n *Node) Wanted(now time.Time, offers []Mark) []string {
	lacks := n.Store.Lacks(offers)
	n.mu.Lock()
	defer n.mu.Unlock()
	var out []string
	for _, m := range offers {
		if !slices.Contains(lacks, m.Key) || now.Sub(n.asked[m]) < askAgainAfter {
			continue
		}
		n.asked[m] = now
		out = append(out, m.Key)
	}
	for m, at := range n.asked {
		if now.Sub(at) >= askAgainAfter {
			delete(n.asked, m)
		}
	}
	return out
}

func globalOnly(entries []Entry) []Entry {
	var out []Entry
	for _, e := range entries {
		if (Scope{}).has(e.Key) {
			out = append(out, e)
		}
	}
	return out
}

func choose(members []Member, count int) []Member {
	rand.Shuffle(len(members), func(i, j int) { members[i], members[j] = members[j], members[i] })
	return members[:min(count, len(members))]
}

// outgoing is what an exchange hands over beside the digest.
type outgoing struct {
	entries    []Entry
	offers     []Mark
	health     []redwinghall.GroupHealth
	wantHealth bool
	round      time.Duration // time that the receiver has to hand a round on
	// repair compares the digests afterwards. A push does not: while news is
	// on its way the digests differ everywhere.
	repair bool
}

func (n *Node) outgoing(now time.Time, health bool) outgoing {
	out := outgoing{wantHealth: health, repair: true}
	if health {
		out.health = n.Health.Fresh(now, n.HealthBound)
	}
	return out
}

// exchange hands entries and health to a peer, takes what it returns, and
// when the digests differ sends the marks so that both sides become equal.
func (n *Node) exchange(ctx context.Context, m Member, out outgoing) error {
	ctx, cancel := context.WithTimeout(ctx, exchangeTimeout)
	defer cancel()
	scope := ScopeOf(n.Self.AvailabilityZone, m.AvailabilityZone)
	client := rpc.NewPeerProtobufClient("http://"+m.Address, n.client)

	answer, err := client.Exchange(ctx, n.request(scope, out))
	if err == nil && len(answer.Wanted) > 0 {
		answer, err = client.Exchange(ctx, n.request(scope, outgoing{entries: n.Store.entriesOf(answer.Wanted)}))
	}
	if err == nil {
		n.takeAnswer(answer)
		if out.repair && answer.Digest != n.Store.Digest(scope) {
			err = n.reconcile(ctx, client, scope)
		}
	}
	n.noteResult(m, err)
	if err != nil {
		// A connection that something in between has lost track of stays
		// silent for good: idle ones to this peer are not trusted again.
		n.client.CloseIdleConnections()
		return redwinghall.NewOpError("Node.exchange", Unreachable, err)
	}
	return nil
}

// reconcile sends the marks; the peer answers with what is newer there, and
// its own marks tell what is newer here.
func (n *Node) reconcile(ctx context.Context, client rpc.Peer, scope Scope) error {
	request := n.request(scope, outgoing{})
	request.Marks = toMarks(n.Store.Marks(scope))
	answer, err := client.Exchange(ctx, request)
	if err != nil {
		return err
	}
	n.takeAnswer(answer)
	missing := n.Store.Newer(scope, fromMarks(answer.Marks))
	if len(missing) == 0 {
		return nil
	}
	_, err = client.Exchange(ctx, n.request(scope, outgoing{entries: missing}))
	return err
}

func (n *Node) request(scope Scope, out outgoing) *rpc.ExchangeRequest {
	return &rpc.ExchangeRequest{
		From:             n.Self.ID,
		AvailabilityZone: n.Self.AvailabilityZone,
		Digest:           n.Store.Digest(scope),
		Entries:          toEntries(out.entries),
		Offers:           toMarks(out.offers),
		Health:           toHealth(time.Now(), out.health),
		WantHealth:       out.wantHealth,
		RoundMs:          uint32(out.round.Milliseconds()),
	}
}

func (n *Node) takeAnswer(answer *rpc.ExchangeResponse) {
	n.push(n.Store.Apply(fromEntries(answer.Entries)...))
	n.takeHealth(time.Now(), answer.Health)
}

// takeHealth merges words and returns them by group. A word on a group whose
// register is not here yet is left out; the next one finds it.
func (n *Node) takeHealth(now time.Time, health []*rpc.Health) map[string]redwinghall.GroupHealth {
	taken := make(map[string]redwinghall.GroupHealth, len(health))
	for _, h := range health {
		group, ok := n.names.of(n.Store, n.Self.AvailabilityZone, h.Group)
		if !ok {
			continue
		}
		word := fromHealth(now, group, h)
		taken[group] = word
		if n.Health.Merge(word) {
			n.pushHealth(word)
		}
	}
	return taken
}

func (n *Node) noteResult(m Member, err error) {
	n.mu.Lock()
	defer n.mu.Unlock()
	before := n.failures[m.ID]
	if err == nil {
		delete(n.failures, m.ID)
	} else {
		n.failures[m.ID] = before + 1
	}
	if err != nil && before+1 == downAfter {
		klog.InfoS("peer_down", "peer", m.ID, "cause", err.Error())
	}
	if err == nil && before >= downAfter {
		klog.InfoS("peer_up", "peer", m.ID)
	}
}
