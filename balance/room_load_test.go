package balance_test

import (
	"fmt"
	"math/rand/v2"
	"strconv"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"redwinghall"
	"redwinghall/admission"
	"redwinghall/balance"
	"redwinghall/fleet"
	"redwinghall/standin/passes"
)

// askers are callers of one kind and client account.
type askers struct {
	name      string
	account   string
	urgency   int
	objective time.Duration
	perSecond float64
	// times multiplies the rate during the burst.
	times float64
	// from is when they begin to ask.
	from           time.Duration
	prompt, answer float64 // mean tokens beyond a small minimum
}

// roomScenario is a load on a zone that has too little room for it during a burst.
type roomScenario struct {
	nodes, groups         int
	askers                []askers
	length                time.Duration
	burstFrom, burstUntil time.Duration
	off                   bool // without admission
	// newDispatcherAt is when another node, without any counts, becomes the dispatcher.
	newDispatcherAt time.Duration
	// twoDecideFrom is from when every other node takes node 1 for the dispatcher.
	twoDecideFrom time.Duration
	// reportsLostFrom is from when nodes learn nothing of each other's counts.
	reportsLostFrom time.Duration
	// restartAt is when node 0 starts again.
	restartAt time.Duration
}

// fate counts what became of requests.
type fate struct{ requests, inTime, late, refused, large, largeServed int }

// With returns the sum of two fates.
func (f fate) With(more fate) fate {
	return fate{
		requests: f.requests + more.requests, inTime: f.inTime + more.inTime, late: f.late + more.late, refused: f.refused + more.refused,
		large: f.large + more.large, largeServed: f.largeServed + more.largeServed,
	}
}

// runSeeds runs the scenario with several seeds and returns the fates of those who asked
// during the burst.
func (s roomScenario) runSeeds(seeds int) map[string]fate {
	sums := map[string]fate{}
	for seed := range seeds {
		for name, f := range s.run(uint64(seed)).burst { //nolint:gosec // small numbers
			sums[name] = sums[name].With(*f)
		}
	}
	return sums
}

func (f fate) refusedShare() float64 { return float64(f.refused) / float64(max(1, f.requests)) }
func (f fate) inTimeShare() float64  { return float64(f.inTime) / float64(max(1, f.requests)) }

// servedLarge compares how often the largest requests were served with how often all were.
func (f fate) servedLarge() float64 {
	return float64(f.largeServed) / float64(max(1, f.large)) / (1 - f.refusedShare())
}

func (f fate) String() string {
	return fmt.Sprintf("%d: in time %.3f, refused %.3f, largest served %.2f as often", f.requests, f.inTimeShare(), f.refusedShare(), f.servedLarge())
}

// roomSimulation simulates a roomScenario in virtual time.
type roomSimulation struct {
	roomScenario
	eventQueue
	random     *rand.Rand
	seed       uint64
	groups     []*passes.Group
	heads      []*fleet.Endpoint
	trackers   []*balance.Tracker
	rooms      []*admission.Room
	tickets    []balance.Tickets
	dispatcher int // -1 if each node chooses
	open       int
	// burst holds the fates of those who asked during the burst, calm of the others.
	burst, calm map[string]*fate
}

func (s roomScenario) run(seed uint64) *roomSimulation {
	p := &roomSimulation{roomScenario: s, eventQueue: eventQueue{now: start}, random: rand.New(rand.NewPCG(seed, 11)), seed: seed, tickets: make([]balance.Tickets, s.nodes),
		burst: map[string]*fate{}, calm: map[string]*fate{}}
	if s.nodes <= 3 {
		p.dispatcher = -1
	}
	for i := range s.groups {
		p.groups = append(p.groups, passes.NewGroup(zoneEngine(), zoneEngine().Models[0]))
		p.heads = append(p.heads, head(strconv.Itoa(i), "a", "small"))
	}
	for i := range s.nodes {
		p.trackers, p.rooms = append(p.trackers, nil), append(p.rooms, nil)
		p.startNode(i)
		if p.dispatcher < 0 {
			p.after(time.Duration(i)*shareIntervalFor(0)/time.Duration(s.nodes), func() { p.share(i) })
		}
	}
	if p.dispatcher >= 0 {
		p.after(0, p.shareWithDispatcher)
	}
	for _, a := range s.askers {
		p.burst[a.name], p.calm[a.name] = &fate{}, &fate{}
		p.after(a.from, func() { p.arrive(a) })
	}
	p.plan()
	for p.open > 0 || p.now.Before(start.Add(s.length)) {
		p.step()
	}
	return p
}

// plan schedules the scenario's failures.
func (p *roomSimulation) plan() {
	if p.newDispatcherAt > 0 {
		p.after(p.newDispatcherAt, func() { p.dispatcher = 1 })
	}
	if p.restartAt > 0 {
		p.after(p.restartAt, func() { p.startNode(0) })
	}
}

func (p *roomSimulation) startNode(i int) {
	room := admission.NewRoom()
	p.trackers[i], p.rooms[i] = newTracker(p.seed, i), room
	if !p.off {
		p.trackers[i].Admission = func(string) redwinghall.Admission { return room }
	}
}

func (p *roomSimulation) step() {
	next, which := p.queue[0].at, -1
	for i, g := range p.groups {
		if end, busy := g.Next(); busy && end.Before(next) {
			next, which = end, i
		}
	}
	p.now = next
	if which >= 0 {
		p.groups[which].EndPass()
		return
	}
	first := p.queue[0]
	p.queue = p.queue[1:]
	first.do()
}

// share gives a node the loads and the counts of the others.
func (p *roomSimulation) share(node int) {
	p.after(shareIntervalFor(0), func() { p.share(node) })
	lost := p.reportsLostFrom > 0 && p.now.After(start.Add(p.reportsLostFrom))
	for i := range p.nodes {
		if i != node && !lost {
			p.rooms[node].SetReport(p.now, strconv.Itoa(i), false, p.rooms[i].OwnUses(p.now, 24))
		}
	}
	p.trackers[node].SetOwnZoneLoads(p.now, p.othersLoads(node))
}

// shareWithDispatcher gives the dispatcher the loads of the other nodes.
func (p *roomSimulation) shareWithDispatcher() {
	p.after(shareIntervalFor(0), p.shareWithDispatcher)
	for _, dispatcher := range []int{p.dispatcher, p.dispatcherOf(1)} {
		p.trackers[dispatcher].SetOwnZoneLoads(p.now, p.othersLoads(dispatcher))
		for i := range p.nodes {
			p.trackers[dispatcher].ReleaseReservations(strconv.Itoa(i), p.tickets[i].LowestOpen())
		}
	}
}

// dispatcherOf returns the node that chooses for a node, -1 if none does.
func (p *roomSimulation) dispatcherOf(node int) int {
	if p.twoDecideFrom > 0 && !p.now.Before(start.Add(p.twoDecideFrom)) && node%2 == 1 {
		return 1
	}
	return p.dispatcher
}

func (p *roomSimulation) othersLoads(node int) map[string]balance.Load {
	others := map[string]balance.Load{}
	for i, t := range p.trackers {
		if i == node {
			continue
		}
		for id, load := range t.OwnLoads(p.now) {
			others[id] = others[id].With(load)
		}
	}
	return others
}

func (p *roomSimulation) inBurst() bool {
	at := p.now.Sub(start)
	return at >= p.burstFrom && at < p.burstUntil
}

func (p *roomSimulation) arrive(a askers) {
	if p.now.After(start.Add(p.length)) {
		return
	}
	rate, count := a.perSecond, p.calm[a.name]
	if p.inBurst() {
		rate, count = rate*max(1, a.times), p.burst[a.name]
	}
	p.after(time.Duration(p.random.ExpFloat64()/rate*float64(time.Second)), func() { p.arrive(a) })
	c := caller{
		arrived: p.now,
		prompt:  int(min(4*a.prompt, p.random.ExpFloat64()*a.prompt+60)), answer: int(min(3*a.answer, p.random.ExpFloat64()*a.answer+10)),
	}
	count.requests++
	p.open++
	p.try(a, c, count)
}

func (p *roomSimulation) try(a askers, c caller, count *fate) {
	node := p.random.IntN(p.nodes)
	request := p.newRequest(a, c)
	if large := float64(c.prompt) > 2.3*a.prompt; large { // the largest tenth
		count.large++
	}
	dispatcher := p.dispatcherOf(node)
	if dispatcher < 0 || node == dispatcher {
		choice, refusal := p.trackers[node].ChooseGroup(p.now, p.heads, nil, request)
		p.finish(a, c, count, choice, refusal)
		return
	}
	ticket := p.tickets[node].Open()
	p.after(zoneHop, func() {
		choice, refusal := p.trackers[dispatcher].Reserve(p.now, p.heads, nil, request, balance.Requester{Node: strconv.Itoa(node), Ticket: ticket})
		p.after(zoneHop, func() {
			defer p.tickets[node].Close(ticket)
			if refusal == nil {
				choice = p.trackers[node].AcceptChoice(p.now, choice.Endpoint, request, choice.Predicted)
			}
			p.finish(a, c, count, choice, refusal)
		})
	})
}

func (p *roomSimulation) newRequest(a askers, c caller) balance.Request {
	return balance.Request{
		Service: fleet.Service{Name: "llm", Engine: zoneEngine()}, Model: zoneEngine().Models[0], Zone: "a", Prompt: c.prompt,
		Objective: a.objective, Nodes: 3 * p.nodes, ZoneNodes: p.nodes, Node: "n", IsDispatcher: p.dispatcher >= 0,
		Urgency: a.urgency, Account: a.account, ExpectedAnswer: int(float64(c.answer) * (0.4 + 1.2*p.random.Float64())),
	}
}

// finish counts a refusal, or sends the request to the chosen group.
func (p *roomSimulation) finish(a askers, c caller, count *fate, choice balance.Choice, refusal *balance.Refusal) {
	if refusal != nil {
		count.refused++
		p.open--
		return
	}
	if float64(c.prompt) > 2.3*a.prompt {
		count.largeServed++
	}
	which, _ := strconv.Atoi(choice.Endpoint.ID)
	started := false
	pause := func(running int) time.Duration {
		return balance.NewPace(zoneEngine(), zoneEngine().Models[0], 1).Pass(running, 0)
	}
	p.groups[which].Send(p.now, &passes.Request{PromptTokens: c.prompt, AnswerTokens: c.answer, OnEvent: func(at time.Time, end bool) {
		choice.Attempt.RecordEvent(at, pause)
		if !started {
			started = true
			if at.Sub(c.arrived) <= a.objective {
				count.inTime++
			} else {
				count.late++
			}
		}
		if end {
			choice.Attempt.Done(at, true)
			p.open--
		}
	}})
}

// playedSeeds is the number of seeds with which each load is played.
const playedSeeds uint64 = 6

// zoneSizes are numbers of nodes and groups of a zone.
var zoneSizes = []struct{ nodes, groups int }{{3, 7}, {36, 20}, {300, 40}}

// orderSlack is by how much a more urgent kind may be refused more often than a less
// urgent one.
const orderSlack = 0.01

// largeServed is how often the largest requests are served, as a share of how often their
// kind is.
const largeServed = 0.5

func twoUrgencies(groups int) []askers {
	each := float64(groups)
	return []askers{
		{name: "urgent", account: "x", urgency: 0, objective: 300 * time.Millisecond, perSecond: 4 * each, prompt: 600, answer: 190},
		{name: "later", account: "y", urgency: 2, objective: 800 * time.Millisecond, perSecond: 3 * each, times: 6, prompt: 600, answer: 190},
	}
}

// The least urgent kind comes six times as often for 8 s and has the widest objective.
func TestBurstOfLessUrgentRequestsLeavesRoomForUrgentOnes(t *testing.T) {
	for _, size := range zoneSizes {
		for seed := range playedSeeds {
			t.Run(fmt.Sprintf("%d nodes/seed %d", size.nodes, seed), func(t *testing.T) {
				load := roomScenario{nodes: size.nodes, groups: size.groups, askers: twoUrgencies(size.groups), length: 15 * time.Second,
					burstFrom: 3 * time.Second, burstUntil: 11 * time.Second}
				on := load.run(seed)
				load.off = true
				off := load.run(seed)
				for _, name := range []string{"urgent", "later"} {
					t.Logf("%s: %s; without admission %s", name, on.burst[name], off.burst[name])
				}
				require.Zero(t, on.burst["urgent"].refused)
				require.LessOrEqual(t, on.burst["urgent"].refusedShare(), on.burst["later"].refusedShare()+orderSlack)
				require.GreaterOrEqual(t, on.burst["urgent"].servedLarge(), largeServed)
				require.GreaterOrEqual(t, on.burst["later"].servedLarge(), largeServed)
			})
		}
	}
}

// twoAccounts are two accounts within the room in calm times, of which one then sends ten
// times as much.
func twoAccounts(groups int) []askers {
	each := float64(groups)
	return []askers{
		{name: "steady", account: "x", objective: zoneObjective, perSecond: 2.5 * each, prompt: 600, answer: 190},
		{name: "burst", account: "y", objective: zoneObjective, perSecond: 2.5 * each, times: 10, prompt: 600, answer: 190},
	}
}

// ofCalm is how much of what it gets in calm times an account within its share gets
// beside one that is over its own.
const ofCalm = 0.95

// One of two accounts sends ten times its share for 8 s.
func TestAccountWithinItsShareIsServedBesideOneOverIt(t *testing.T) {
	servedOn, servedOff := 0, 0
	for _, size := range zoneSizes {
		for seed := range uint64(2) {
			load := roomScenario{nodes: size.nodes, groups: size.groups, askers: twoAccounts(size.groups), length: 15 * time.Second,
				burstFrom: 3 * time.Second, burstUntil: 11 * time.Second}
			on := load.run(seed)
			load.off = true
			off := load.run(seed)
			for _, name := range []string{"steady", "burst"} {
				t.Logf("%d nodes, %s: %s; without admission %s", size.nodes, name, on.burst[name], off.burst[name])
			}
			require.GreaterOrEqual(t, on.burst["steady"].inTimeShare(), ofCalm*on.calm["steady"].inTimeShare())
			require.GreaterOrEqual(t, on.burst["steady"].servedLarge(), largeServed)
			require.GreaterOrEqual(t, on.burst["burst"].servedLarge(), largeServed)
			servedOn += on.burst["steady"].inTime + on.burst["burst"].inTime
			servedOff += off.burst["steady"].inTime + off.burst["burst"].inTime
		}
	}
	t.Logf("in time of all: %d, without admission %d", servedOn, servedOff)
	require.GreaterOrEqual(t, float64(servedOn), 0.9*float64(servedOff)) // the room that one leaves is used by the other
}

// An account that asks alone for far more than there is gets as much as without admission.
func TestAccountAloneGetsAllRoom(t *testing.T) {
	load := roomScenario{nodes: 36, groups: 20, askers: twoAccounts(20)[1:], length: 12 * time.Second, burstFrom: 3 * time.Second, burstUntil: 11 * time.Second}
	on := load.runSeeds(4)["burst"]
	load.off = true
	off := load.runSeeds(4)["burst"]
	t.Logf("%s; without admission %s", on, off)
	require.GreaterOrEqual(t, on.inTime, off.inTime)
}

// floorShare is the share of a model's work that a kind gets if it asks for it.
const floorShare = 0.05

// The most urgent kind alone asks for twice the room. The least urgent one is not starved,
// and refused no less often.
func TestLeastUrgentKeepsAFloor(t *testing.T) {
	all := []askers{
		{name: "urgent", account: "x", urgency: 0, objective: 300 * time.Millisecond, perSecond: 500, prompt: 600, answer: 190},
		{name: "middle", account: "x", urgency: 1, objective: 300 * time.Millisecond, perSecond: 60, prompt: 600, answer: 190},
		{name: "later", account: "y", urgency: 2, objective: 800 * time.Millisecond, perSecond: 60, prompt: 600, answer: 190},
	}
	load := roomScenario{nodes: 36, groups: 20, askers: all, length: 15 * time.Second, burstFrom: 3 * time.Second, burstUntil: 15 * time.Second}
	sums, served := load.runSeeds(3), 0
	for name, f := range sums {
		t.Logf("%s: %s", name, f)
		served += f.requests - f.refused
	}
	for _, name := range []string{"middle", "later"} {
		require.GreaterOrEqual(t, float64(sums[name].requests-sums[name].refused), floorShare*float64(served), name)
	}
	require.LessOrEqual(t, sums["urgent"].refusedShare(), sums["middle"].refusedShare()+orderSlack)
	require.LessOrEqual(t, sums["middle"].refusedShare(), sums["later"].refusedShare()+orderSlack)
}

// The dispatcher ends during the burst, and the next one has counted nothing. A second
// later more urgent requests go first again.
func TestNewDispatcherWithoutCountsKeepsTheOrder(t *testing.T) {
	load := roomScenario{nodes: 36, groups: 20, askers: twoUrgencies(20), length: 15 * time.Second, burstFrom: 7 * time.Second, burstUntil: 13 * time.Second,
		newDispatcherAt: 6 * time.Second}
	load.askers[1].perSecond *= load.askers[1].times // the burst lasts before and after the change
	load.askers[1].times = 1
	for seed := range playedSeeds {
		t.Run(fmt.Sprintf("seed %d", seed), func(t *testing.T) {
			on := load.run(seed).burst
			t.Logf("urgent: %s; later: %s", on["urgent"], on["later"])
			require.Zero(t, on["urgent"].refused)
		})
	}
}

// Half of the nodes take another node for the dispatcher, and each of the two sees half of
// the requests. A second later more urgent requests go first all the same.
func TestTwoDispatchersKeepTheOrder(t *testing.T) {
	load := roomScenario{nodes: 36, groups: 20, askers: twoUrgencies(20), length: 15 * time.Second, burstFrom: 7 * time.Second, burstUntil: 13 * time.Second,
		twoDecideFrom: 6 * time.Second}
	load.askers[1].perSecond *= load.askers[1].times
	load.askers[1].times = 1
	off := load
	off.off = true
	t.Logf("urgent, without admission: %s", off.run(0).burst["urgent"])
	for seed := range playedSeeds {
		t.Run(fmt.Sprintf("seed %d", seed), func(t *testing.T) {
			on := load.run(seed).burst
			t.Logf("urgent: %s; later: %s", on["urgent"], on["later"])
			require.Zero(t, on["urgent"].refused)
			require.LessOrEqual(t, on["urgent"].refusedShare(), on["later"].refusedShare()+orderSlack)
		})
	}
}

// An account that used all room alone gets company by one that asks for three times the
// room as well. Two seconds later each has what it is due, half of the room.
func TestCompetingAccountsHaveTheirDueInTwoSeconds(t *testing.T) {
	for _, size := range zoneSizes {
		each := float64(size.groups)
		all := []askers{
			{name: "first", account: "x", objective: zoneObjective, perSecond: 30 * each, prompt: 600, answer: 190},
			{name: "second", account: "y", objective: zoneObjective, perSecond: 15 * each, prompt: 600, answer: 190, from: 5 * time.Second},
		}
		load := roomScenario{nodes: size.nodes, groups: size.groups, askers: all, length: 12 * time.Second, burstFrom: 7 * time.Second, burstUntil: 12 * time.Second}
		on := load.runSeeds(2)
		load.off = true
		off := load.runSeeds(2)
		t.Logf("%d nodes: first %s, second %s; without admission %s, %s", size.nodes, on["first"], on["second"], off["first"], off["second"])
		served := func(f fate) float64 { return float64(f.requests - f.refused) }
		due := (served(on["first"]) + served(on["second"])) / 2
		t.Logf("served %.0f, without admission %.0f", 2*due, served(off["first"])+served(off["second"]))
		require.GreaterOrEqual(t, on["first"].servedLarge(), largeServed)
		require.GreaterOrEqual(t, on["second"].servedLarge(), largeServed)
		require.GreaterOrEqual(t, served(on["first"]), ofCalm*due)
		require.GreaterOrEqual(t, served(on["second"]), ofCalm*due)
	}
}

// A node of a small zone starts again during the burst, with callers from its first moment
// on, and has counted nothing.
func TestRestartedNodeKeepsTheOrder(t *testing.T) {
	load := roomScenario{nodes: 3, groups: 7, askers: twoUrgencies(7), length: 15 * time.Second, burstFrom: 7 * time.Second, burstUntil: 13 * time.Second,
		restartAt: 6 * time.Second}
	load.askers[1].perSecond *= load.askers[1].times
	load.askers[1].times = 1
	for seed := range playedSeeds {
		t.Run(fmt.Sprintf("seed %d", seed), func(t *testing.T) {
			on := load.run(seed).burst
			t.Logf("urgent: %s; later: %s", on["urgent"], on["later"])
			require.Zero(t, on["urgent"].refused)
		})
	}
}

// The nodes of a small zone learn nothing of each other's counts any more.
func TestLostReportsKeepTheOrder(t *testing.T) {
	load := roomScenario{nodes: 3, groups: 7, askers: append(twoUrgencies(7), twoAccounts(7)[0]), length: 15 * time.Second,
		burstFrom: 3 * time.Second, burstUntil: 11 * time.Second, reportsLostFrom: 2 * time.Second}
	load.askers[0].perSecond /= 2
	load.askers[2].perSecond /= 2
	on := load.runSeeds(4)
	t.Logf("urgent: %s; steady: %s; later: %s", on["urgent"], on["steady"], on["later"])
	require.Zero(t, on["urgent"].refused)
	require.Zero(t, on["steady"].refused)
}

// Where the configuration doesn't call for admission, and where room wasn't short and all
// requests are of one kind and account, the choices are those of a tracker without it.
func TestChoicesWithoutAdmissionAreUnchanged(t *testing.T) {
	random := rand.New(rand.NewPCG(1, 2))
	rooms := map[string]func(string) redwinghall.Admission{
		"off": func(string) redwinghall.Admission { return nil }, "one kind": func(string) redwinghall.Admission { return admission.NewRoom() },
	}
	refused := 0
	for name, admissionOf := range rooms {
		for i := range 1000 {
			loads, heads := map[string]balance.Load{}, []*fleet.Endpoint{}
			for j := range 6 {
				heads = append(heads, head(strconv.Itoa(j), "a", "small"))
				loads[strconv.Itoa(j)] = balance.Load{Requests: 4 + 6*random.IntN(3) + j, Unread: random.IntN(2000)}
			}
			old, now := balance.NewTracker(), balance.NewTracker()
			now.Admission = admissionOf
			old.SetOwnZoneLoads(start, loads)
			now.SetOwnZoneLoads(start, loads)
			request := (&roomSimulation{roomScenario: roomScenario{nodes: 36}, random: random}).newRequest(askers{objective: zoneObjective, account: "x"}, caller{prompt: 600, answer: 100})
			wantReserved, wantRefusal := old.Reserve(start, heads, nil, request, balance.Requester{Node: "n2", Ticket: 1})
			reserved, refusal := now.Reserve(start, heads, nil, request, balance.Requester{Node: "n2", Ticket: 1})
			require.Equal(t, wantReserved, reserved, "%s, case %d", name, i)
			require.Equal(t, wantRefusal == nil, refusal == nil)
			want, wantRefusal := old.ChooseGroup(start, heads, nil, request)
			got, refusal := now.ChooseGroup(start, heads, nil, request)
			require.Equal(t, want.Endpoint, got.Endpoint)
			require.Equal(t, want.Predicted, got.Predicted)
			if wantRefusal != nil {
				refused++
				require.Equal(t, wantRefusal.Reason, refusal.Reason)
			}
		}
	}
	require.Positive(t, refused)
}

// A group without any request accepts the least urgent one, however many urgent ones are
// expected; so does one with a free slot that leaves the urgent ones in time.
func TestIdlePlaceIsNeverRefused(t *testing.T) {
	room, tracker := admission.NewRoom(), balance.NewTracker()
	tracker.Admission = func(string) redwinghall.Admission { return room }
	urgent := redwinghall.RoomRequest{Service: "llm", Model: "small", Account: "x", Objective: 150 * time.Millisecond, Work: 50 * time.Millisecond, Groups: 1}
	for i := range 400 {
		room.Record(start.Add(time.Duration(i)*5*time.Millisecond), urgent, i%2 == 0)
	}
	now := start.Add(2 * time.Second)
	later := (&roomSimulation{roomScenario: roomScenario{nodes: 36}, random: rand.New(rand.NewPCG(1, 2))}).newRequest(
		askers{objective: 800 * time.Millisecond, account: "y", urgency: 2}, caller{prompt: 2300, answer: 500})
	_, refusal := tracker.Reserve(now, []*fleet.Endpoint{head("idle", "a", "small")}, nil, later, balance.Requester{Node: "n2", Ticket: 1})
	require.Nil(t, refusal)
	for running := 1; running <= 9; running++ {
		free := head("free"+strconv.Itoa(running), "a", "small")
		tracker.SetOwnZoneLoads(now, map[string]balance.Load{free.ID: {Requests: running}})
		_, refusal = tracker.Reserve(now, []*fleet.Endpoint{free}, nil, later, balance.Requester{Node: "n2", Ticket: 1})
		require.Nil(t, refusal, "%d of 13 slots taken", running)
	}
	busy := []*fleet.Endpoint{head("busy", "a", "small")}
	tracker.SetOwnZoneLoads(now, map[string]balance.Load{"busy": {Requests: 13}})
	_, refusal = tracker.Reserve(now, busy, nil, later, balance.Requester{Node: "n2", Ticket: 2})
	require.NotNil(t, refusal)
	require.Equal(t, redwinghall.LimitUrgency, refusal.Reason)
	resumed := later
	resumed.Resumed = true
	_, refusal = tracker.Reserve(now, busy, nil, resumed, balance.Requester{Node: "n2", Ticket: 3})
	require.Nil(t, refusal)
}

// BenchmarkGroupWhileRoomIsShort measures one choice among 30 groups for a request whose
// account is over its due, as the only one of a hundred, and without admission.
func BenchmarkGroupWhileRoomIsShort(b *testing.B) {
	for _, name := range []string{"on", "off"} {
		b.Run(name, func(b *testing.B) {
			room, tracker := admission.NewRoom(), balance.NewTracker()
			if name == "on" {
				tracker.Admission = func(string) redwinghall.Admission { return room }
			}
			p := &roomSimulation{roomScenario: roomScenario{nodes: 36}, random: rand.New(rand.NewPCG(1, 2))}
			request := p.newRequest(askers{account: "account-0", urgency: 1, objective: zoneObjective}, caller{prompt: 600, answer: 100})
			request.IsDispatcher = true
			var heads []*fleet.Endpoint
			loads := map[string]balance.Load{}
			for i := range 30 {
				heads = append(heads, head(strconv.Itoa(i), "a", "small"))
				loads[strconv.Itoa(i)] = balance.Load{Requests: 12}
			}
			for i := range 100 {
				for j := range 20 {
					one := redwinghall.RoomRequest{Service: "llm", Model: "small", Account: "account-" + strconv.Itoa(i), Urgency: i % 2, Objective: zoneObjective, Work: 5 * time.Millisecond, Groups: 30, Deciders: 1}
					if i == 0 {
						one.Urgency, one.Work = 1, 50*time.Millisecond
					}
					room.Record(start.Add(time.Duration(50*j)*time.Millisecond), one, j%3 != 0)
				}
			}
			tracker.SetOwnZoneLoads(start.Add(time.Second), loads)
			b.ResetTimer()
			for i := range b.N {
				now := start.Add(time.Second + time.Duration(i%1000)*100*time.Microsecond)
				choice, refusal := tracker.ChooseGroup(now, heads, nil, request)
				if refusal == nil {
					choice.Attempt.Done(now, true)
				}
			}
		})
	}
}
