package balance_test

import (
	"fmt"
	"math/rand/v2"
	"strconv"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"redwinghall/balance"
	"redwinghall/fleet"
)

// After a rejection with a Retry-After, at most retryAfterAllowance requests of a node may
// arrive between retryAfterGrace later and the end of the Retry-After.
const (
	retryAfterGrace     = 500 * time.Millisecond
	retryAfterAllowance = 2
)

// rejectSimulation simulates in virtual time many nodes whose endpoints reject requests
// for a while, each with its own Retry-After.
type rejectSimulation struct {
	eventQueue
	nodes, endpoints, rejecting int
	perSecond                   float64 // requests of all nodes
	// dispatcher returns the node that chooses for a node at a time; nil if each node
	// chooses for itself.
	dispatcher func(node int, at time.Duration) int
	// limit is the rate limit that the rejecting endpoints also announce, 0 for none.
	limit float64
	// coldFor is how long the rejecting endpoints remain cold.
	coldFor time.Duration
	// plain makes the endpoints those of a plain service.
	plain bool

	random   *rand.Rand
	heads    []*fleet.Endpoint
	trackers []*balance.Tracker
	told     map[toldNode][]*rejection
	rejected int
	served   int
	refused  int
}

type toldNode struct {
	node, endpoint int
}

type rejection struct {
	at, until time.Time
	arrived   int
}

const (
	rejectRunLength = 20 * time.Second
	// rejectFrom and rejectUntil are when the endpoints reject requests.
	rejectFrom  = 2 * time.Second
	rejectUntil = 12 * time.Second
	// rejectHop is the time from a node to an endpoint and back, or to another node.
	rejectHop = 2 * time.Millisecond
	// rejectShareInterval is how often a node exchanges reports with the first node.
	rejectShareInterval = 100 * time.Millisecond
	// rejectRunTime is how long an accepted request runs.
	rejectRunTime = 800 * time.Millisecond
)

func (p *rejectSimulation) run(seed uint64) {
	p.eventQueue, p.random, p.told = eventQueue{now: start}, rand.New(rand.NewPCG(seed, 13)), map[toldNode][]*rejection{}
	for i := range p.endpoints {
		e := head(strconv.Itoa(i), "a", "small")
		if p.plain {
			e = desk(strconv.Itoa(i), "a", 26)
		}
		if p.isRejecting(i) {
			e.Cold, e.SeenAt = p.coldFor, start
		}
		p.heads = append(p.heads, e)
	}
	for i := range p.nodes {
		p.trackers = append(p.trackers, newTracker(seed, i))
	}
	for node := range p.nodes {
		p.after(time.Duration(node)*rejectShareInterval/time.Duration(p.nodes), func() { p.share(node) })
	}
	p.after(0, p.arrive)
	p.runUntil(start.Add(rejectRunLength))
}

// share reports to the first node which endpoints reject a node, and gets the reports of
// the others.
func (p *rejectSimulation) share(node int) {
	p.after(rejectShareInterval, func() { p.share(node) })
	if node > 0 {
		p.trackers[0].RecordRejecting(p.now, p.trackers[node].RejectingNode(p.now))
		p.trackers[node].RecordRejectingElsewhere(p.now, p.trackers[0].Rejecting(p.now))
	}
}

// isRejecting reports whether an endpoint is among those that reject requests: the last
// ones, which an idle node prefers.
func (p *rejectSimulation) isRejecting(endpoint int) bool {
	return endpoint >= p.endpoints-p.rejecting
}

// arrive sends the next request to a random node.
func (p *rejectSimulation) arrive() {
	p.after(time.Duration(p.random.ExpFloat64()/p.perSecond*float64(time.Second)), p.arrive)
	p.try(p.random.IntN(p.nodes), map[string]bool{}, 0)
}

func (p *rejectSimulation) request(tried map[string]bool) balance.Request {
	request := balance.Request{
		Service: fleet.Service{Name: "llm", Engine: zoneEngine(), ColdPerSecond: 5}, Model: zoneEngine().Models[0], Zone: "a", Prompt: 800,
		Objective: time.Second, Tried: tried, Node: "n1", Nodes: min(p.nodes, 3), ZoneNodes: min(p.nodes, 3), ColdRateOwnZone: 3, PermitShare: 1,
	}
	if p.plain {
		request.Service = fleet.Service{Name: "desk", ColdPerSecond: 5}
	}
	return request
}

// try chooses an endpoint for an attempt and sends it there, unless the endpoint has
// asked for nothing meanwhile.
func (p *rejectSimulation) try(node int, tried map[string]bool, attempts int) {
	const maxAttempts = 2
	if attempts == maxAttempts {
		p.refused++
		return
	}
	p.choose(node, tried, func(choice balance.Choice, refusal *balance.Refusal) {
		if refusal != nil {
			p.refused++
			return
		}
		if choice.Attempt.RetryAfterLeft(p.now) > 0 {
			choice.Attempt.Cancel()
			p.try(node, tried, attempts)
			return
		}
		next := map[string]bool{choice.Endpoint.ID: true}
		for id := range tried {
			next[id] = true
		}
		p.after(rejectHop, func() { p.reach(node, choice, func() { p.try(node, next, attempts+1) }) })
	})
}

// choose calls done with the choice of the node or, after a hop, of its dispatcher.
func (p *rejectSimulation) choose(node int, tried map[string]bool, done func(balance.Choice, *balance.Refusal)) {
	own := p.trackers[node]
	if p.plain {
		done(own.ChoosePlain(p.now, p.heads, nil, p.request(tried)))
		return
	}
	if p.dispatcher == nil {
		done(own.ChooseGroup(p.now, p.heads, nil, p.request(tried)))
		return
	}
	dispatcher := p.trackers[p.dispatcher(node, p.now.Sub(start))]
	excluded := map[string]bool{}
	for id := range tried {
		excluded[id] = true
	}
	waiting := own.InRetryAfter(p.now, p.heads)
	for _, id := range waiting {
		excluded[id] = true
	}
	p.after(rejectHop, func() {
		dispatcher.RecordRejecting(p.now, waiting)
		placed, refusal := dispatcher.Reserve(p.now, p.heads, nil, p.request(excluded), balance.Requester{Node: strconv.Itoa(node)})
		p.after(rejectHop, func() {
			if refusal != nil {
				done(own.ChooseGroup(p.now, p.heads, nil, p.request(tried)))
				return
			}
			done(own.AcceptChoice(p.now, placed.Endpoint, p.request(tried), placed.Predicted), nil)
		})
	})
}

// reach delivers an attempt to its endpoint. retry is called if it is rejected.
func (p *rejectSimulation) reach(node int, choice balance.Choice, retry func()) {
	index, err := strconv.Atoi(choice.Endpoint.ID)
	if err != nil {
		panic(err)
	}
	at := p.now.Sub(start)
	key := toldNode{node, index}
	for _, one := range p.told[key] {
		if p.now.After(one.at.Add(retryAfterGrace)) && p.now.Before(one.until) {
			one.arrived++
		}
	}
	limit := fleet.RateLimit{Named: p.limit > 0, PerSecond: p.limit}
	if !p.isRejecting(index) || at < rejectFrom || at >= rejectUntil {
		p.served++
		p.after(rejectHop, func() { choice.Attempt.RecordResponse(p.now, false, 0) })
		p.after(rejectRunTime, func() {
			choice.Attempt.RecordEvent(p.now, nil)
			choice.Attempt.Done(p.now, true)
		})
		return
	}
	p.rejected++
	wait := time.Duration(p.random.IntN(5000)) * time.Millisecond
	p.told[key] = append(p.told[key], &rejection{at: p.now, until: p.now.Add(wait)})
	// One response in ten is late.
	late := rejectHop
	if p.random.IntN(10) == 0 {
		late = 300 * time.Millisecond
	}
	p.after(late, func() {
		choice.Attempt.RecordLimit(p.now, limit, false)
		choice.Attempt.RecordResponse(p.now, true, wait)
		choice.Attempt.Cancel()
		retry()
	})
}

// most returns the most requests of a node within the Retry-After of one rejection.
func (p *rejectSimulation) most() int {
	most := 0
	for _, rejections := range p.told {
		for _, one := range rejections {
			most = max(most, one.arrived)
		}
	}
	return most
}

// maxRefusedShare is the largest share of requests that may be refused while a fifth of
// the endpoints rejects requests and the others have room for all.
const maxRefusedShare = 0.02

// Whichever node chooses for a node, and whatever else its endpoints ask for, it sends
// an endpoint nothing within a Retry-After. Requests are served elsewhere meanwhile.
func TestRetryAfterHoldsForEachNode(t *testing.T) {
	one := func(int, time.Duration) int { return 0 }
	two := func(node int, _ time.Duration) int { return node % 2 }
	changing := func(node int, at time.Duration) int { return (int(at/(700*time.Millisecond)) + node/2) % 3 }
	for _, nodes := range []int{3, 8, 74, 300} {
		for name, sim := range map[string]rejectSimulation{
			"each chooses": {}, "one dispatcher": {dispatcher: one}, "two dispatchers": {dispatcher: two}, "changing dispatchers": {dispatcher: changing},
			"a limit too": {limit: 5}, "a limit too, one dispatcher": {limit: 5, dispatcher: one}, "cold": {coldFor: 8 * time.Second},
			"cold, one dispatcher": {coldFor: 8 * time.Second, dispatcher: one}, "plain service": {plain: true}, "plain service, a limit too": {plain: true, limit: 5},
		} {
			t.Run(fmt.Sprint(name, " ", nodes), func(t *testing.T) {
				sim.nodes, sim.endpoints, sim.rejecting, sim.perSecond = nodes, 20, 4, 150
				sim.run(1)
				t.Logf("served %d, refused %d, rejected %d", sim.served, sim.refused, sim.rejected)
				require.Positive(t, sim.rejected)
				require.LessOrEqual(t, sim.most(), retryAfterAllowance)
				require.Less(t, float64(sim.refused), maxRefusedShare*float64(sim.refused+sim.served))
			})
		}
	}
}

// All nodes are rejected at the same time. If all returned at the end of the Retry-After,
// the endpoint would be overloaded again.
func TestNodesReturnSpreadAfterARetryAfter(t *testing.T) {
	const (
		nodes  = 300
		wait   = 4 * time.Second
		window = 100 * time.Millisecond
	)
	e := head("busy", "a", "small")
	var returned []time.Duration
	for range nodes {
		tracker := balance.NewTracker()
		rejectedAttempt(t, tracker, start, e).RecordResponse(start, true, wait)
		for at := wait - window; ; at += time.Millisecond {
			if _, refusal := tracker.ChooseGroup(start.Add(at), []*fleet.Endpoint{e}, nil, newSmallRequest()); refusal == nil {
				returned = append(returned, at)
				break
			}
		}
	}
	inWindow := map[time.Duration]int{}
	for _, at := range returned {
		require.GreaterOrEqual(t, at, wait)
		inWindow[at/window]++
	}
	for _, count := range inWindow {
		require.Less(t, count, nodes/4)
	}
}

func newSmallRequest() balance.Request {
	return balance.Request{
		Service: fleet.Service{Name: "llm", Engine: zoneEngine()}, Model: zoneEngine().Models[0], Zone: "a", Prompt: 100, Objective: time.Second, Nodes: 1, ZoneNodes: 1,
	}
}

// rejectedAttempt starts an attempt at an endpoint and ends it, as after a rejection.
func rejectedAttempt(t *testing.T, tracker *balance.Tracker, now time.Time, e *fleet.Endpoint) *balance.Attempt {
	t.Helper()
	choice, refusal := tracker.ChooseGroup(now, []*fleet.Endpoint{e}, nil, newSmallRequest())
	require.Nil(t, refusal)
	choice.Attempt.Cancel()
	return choice.Attempt
}

// maxWait is the longest that a node may stay away after a Retry-After of 4 s.
const maxWait = 5*time.Second + time.Millisecond

// Signs that an endpoint serves other requests must not end its Retry-After.
func TestNothingShortensARetryAfter(t *testing.T) {
	e := head("busy", "a", "small")
	for name, do := range map[string]func(tracker *balance.Tracker, early, rejected *balance.Attempt){
		"an event of another stream": func(_ *balance.Tracker, early, _ *balance.Attempt) { early.RecordEvent(start, nil) },
		"an accepted request":        func(_ *balance.Tracker, early, _ *balance.Attempt) { early.RecordResponse(start, false, 0) },
		"a shorter Retry-After": func(_ *balance.Tracker, early, _ *balance.Attempt) {
			early.RecordResponse(start, true, time.Millisecond)
		},
		"a rejection without one": func(_ *balance.Tracker, early, _ *balance.Attempt) { early.RecordResponse(start, true, 0) },
		"the end of a rate limit": func(_ *balance.Tracker, early, _ *balance.Attempt) {
			early.RecordLimit(start, fleet.RateLimit{Named: true, PerSecond: 1}, true)
			early.RecordLimit(start, fleet.RateLimit{}, true)
		},
		"time without requests": func(tracker *balance.Tracker, _, _ *balance.Attempt) {
			tracker.Forget(start.Add(3900 * time.Millisecond))
		},
	} {
		t.Run(name, func(t *testing.T) {
			tracker := balance.NewTracker()
			early, refusal := tracker.ChooseGroup(start, []*fleet.Endpoint{e}, nil, newSmallRequest())
			require.Nil(t, refusal)
			rejected := rejectedAttempt(t, tracker, start, e)
			rejected.RecordResponse(start, true, 4*time.Second)
			do(tracker, early.Attempt, rejected)
			early.Attempt.Done(start, true)
			require.Positive(t, tracker.RetryAfterLeft(start.Add(3999*time.Millisecond), e))
			require.Zero(t, tracker.RetryAfterLeft(start.Add(maxWait), e))
		})
	}
}

// A Retry-After outlasts the time after which the state of an unused endpoint is dropped.
func TestLongRetryAfterIsNotForgotten(t *testing.T) {
	tracker, e := balance.NewTracker(), head("busy", "a", "small")
	rejectedAttempt(t, tracker, start, e).RecordResponse(start, true, time.Hour)
	tracker.Forget(start.Add(59 * time.Minute))
	require.Positive(t, tracker.RetryAfterLeft(start.Add(59*time.Minute), e))
	tracker.Forget(start.Add(2 * time.Hour))
	require.Zero(t, tracker.RetryAfterLeft(start.Add(2*time.Hour), e))
}

// A process that restarts under the same id knows nothing of the Retry-After, and a late
// response of the earlier process must not bind it.
func TestRetryAfterEndsWithItsProcess(t *testing.T) {
	tracker, e := balance.NewTracker(), head("busy", "a", "small")
	e.StartedMillis = 1
	late := rejectedAttempt(t, tracker, start, e)
	rejectedAttempt(t, tracker, start, e).RecordResponse(start, true, 4*time.Second)
	restarted := *e
	restarted.StartedMillis = 2
	require.Positive(t, tracker.RetryAfterLeft(start, e))
	require.Zero(t, tracker.RetryAfterLeft(start, &restarted))
	rejectedAttempt(t, tracker, start, &restarted).RecordResponse(start, true, time.Second)
	late.RecordResponse(start, true, time.Hour)
	require.Zero(t, tracker.RetryAfterLeft(start.Add(2*time.Second), &restarted))
}

// After the Retry-After, the endpoint gets one request at a time until it accepts one:
// it may be as overloaded as before.
func TestEndpointGetsOneRequestAtATimeAfterRetryAfter(t *testing.T) {
	tracker, heads := balance.NewTracker(), []*fleet.Endpoint{head("busy", "a", "small")}
	rejectedAttempt(t, tracker, start, heads[0]).RecordResponse(start, true, 4*time.Second)
	now := start.Add(maxWait)
	choose := func() (balance.Choice, *balance.Refusal) {
		return tracker.ChooseGroup(now, heads, nil, newSmallRequest())
	}
	probe, refusal := choose()
	require.Nil(t, refusal)
	require.Zero(t, probe.Attempt.RetryAfterLeft(now))
	_, refusal = choose()
	require.Equal(t, balance.EndpointsRejecting, refusal.Reason)
	placed := tracker.AcceptChoice(now, heads[0], newSmallRequest(), 0)
	require.Positive(t, placed.Attempt.RetryAfterLeft(now), "a dispatcher's choice must wait too")
	placed.Attempt.Cancel()
	probe.Attempt.Cancel()
	probe, refusal = choose()
	require.Nil(t, refusal, "the probe ended without a response")
	probe.Attempt.RecordResponse(now, false, 0)
	for range 3 {
		_, refusal = choose()
		require.Nil(t, refusal)
	}
}

// If all endpoints ask a node to send nothing, its callers are told at once when the
// first of them may be asked.
func TestRefusalNamesTheFirstEndOfARetryAfter(t *testing.T) {
	tracker, heads := balance.NewTracker(), []*fleet.Endpoint{head("one", "a", "small"), head("two", "b", "small")}
	rejectedAttempt(t, tracker, start, heads[0]).RecordResponse(start, true, 4*time.Second)
	rejectedAttempt(t, tracker, start, heads[1]).RecordResponse(start, true, 20*time.Second)
	_, refusal := tracker.ChooseGroup(start, heads, nil, newSmallRequest())
	require.Equal(t, balance.EndpointsRejecting, refusal.Reason)
	require.GreaterOrEqual(t, refusal.RetryAfter, 4*time.Second)
	require.Less(t, refusal.RetryAfter, maxWait+time.Second)
	require.False(t, tracker.HasAlternative(start, heads, nil, newSmallRequest()))
}

// An endpoint that rejects one node serves others. A dispatcher must not apply its own
// Retry-After to them, nor count theirs as failures of the endpoint.
func TestRetryAfterOfOneNodeIsNotThatOfOthers(t *testing.T) {
	dispatcher, busy := balance.NewTracker(), head("busy", "a", "small")
	rejectedAttempt(t, dispatcher, start, busy).RecordResponse(start, true, 4*time.Second)
	for _, node := range []string{"n1", "n2", "n3"} {
		dispatcher.RecordRejecting(start, []string{"busy"})
		choice, refusal := dispatcher.Reserve(start, []*fleet.Endpoint{busy}, nil, newSmallRequest(), balance.Requester{Node: node})
		require.Nil(t, refusal)
		require.Equal(t, "busy", choice.Endpoint.ID)
	}
	require.Empty(t, dispatcher.InBackoff(start, []*fleet.Endpoint{busy}))
	require.Equal(t, []string{"busy"}, dispatcher.InRetryAfter(start, []*fleet.Endpoint{busy}))
}

// Each rejection costs a stream one of its attempts, so a dispatcher places streams
// elsewhere as long as others answer in time.
func TestDispatcherAvoidsEndpointsThatRejectOtherNodes(t *testing.T) {
	dispatcher := balance.NewTracker()
	heads := []*fleet.Endpoint{head("busy", "a", "small"), head("other", "a", "small")}
	dispatcher.RecordRejecting(start, []string{"busy"})
	for range 5 {
		choice, refusal := dispatcher.Reserve(start, heads, nil, newSmallRequest(), balance.Requester{Node: "n1"})
		require.Nil(t, refusal)
		require.Equal(t, "other", choice.Endpoint.ID)
	}
}
