package balance_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"redwinghall/balance"
	"redwinghall/fleet"
)

// What an endpoint may get in any limitWindow, as a multiple of what its limit allows, and
// requests beyond.
const (
	limitWindow    = 4 * time.Second
	limitOvershoot = 1.5
	limitSlack     = 5
)

// limitPlay is many nodes before one endpoint that names a limit, and one that doesn't, in
// virtual time.
type limitPlay struct {
	nodes     int
	perSecond float64 // the limit
	load      float64 // requests a second, of all nodes
	// lenders says whom a node asks, by its place, at a moment; nil stands for the first.
	lenders func(node int, at time.Duration) int
	// restarts is when the first node starts afresh and asks the second one, 0 for never.
	restarts time.Duration
	trackers []*balance.Tracker
	arrived  []time.Duration
	random   *rand.Rand
}

const (
	limitPlayLength = 20 * time.Second
	// limitNamedAt is when the endpoint begins to name its limit, limitHolds when that
	// has reached all nodes.
	limitNamedAt = 2 * time.Second
	limitHolds   = 3 * time.Second
	// limitTells is how often a node tells the first one what it heard.
	limitTells = 100 * time.Millisecond
	// limitAnswer is how long an answer takes.
	limitAnswer = 50 * time.Millisecond
)

func (p *limitPlay) play(seed uint64) {
	p.random = rand.New(rand.NewPCG(seed, 11))
	for range p.nodes {
		p.trackers = append(p.trackers, balance.NewTracker())
	}
	type answer struct {
		at    time.Duration
		visit *balance.Attempt
	}
	var answers []answer
	told := make([]time.Duration, p.nodes)
	for i := range told {
		told[i] = time.Duration(i) * limitTells / time.Duration(p.nodes)
	}
	step := time.Duration(float64(time.Second) / p.load)
	for at := time.Duration(0); at < limitPlayLength; at += step {
		if p.restarts > 0 && at >= p.restarts && at < p.restarts+step {
			p.trackers[0] = balance.NewTracker()
			p.trackers[0].MergeLimits(start.Add(at), p.trackers[1].Limits(start.Add(at)))
		}
		for len(answers) > 0 && answers[0].at <= at {
			limit := fleet.RateLimit{}
			if answers[0].at-limitAnswer >= limitNamedAt {
				limit = fleet.RateLimit{Named: true, PerSecond: p.perSecond}
			}
			answers[0].visit.RecordLimit(start.Add(answers[0].at), limit, true)
			answers[0].visit.Done(start.Add(answers[0].at), true)
			answers = answers[1:]
		}
		for node := range told {
			if told[node] <= at {
				told[node] = at + limitTells
				p.tell(node, start.Add(at))
			}
		}
		if visit := p.request(p.random.IntN(p.nodes), at); visit != nil {
			answers = append(answers, answer{at + limitAnswer, visit})
		}
	}
}

// tell hands what a node heard to the first one, and gives it what is new there.
func (p *limitPlay) tell(node int, now time.Time) {
	p.trackers[0].MergeLimits(now, p.trackers[node].OwnLimitReports(now))
	p.trackers[node].MergeLimits(now, p.trackers[0].ChangedLimits(now))
}

// request lets a node send a request to the endpoint with the limit, unless it isn't permitted.
func (p *limitPlay) request(node int, at time.Duration) *balance.Attempt {
	now := start.Add(at)
	t := p.trackers[node]
	choice, none := t.ChoosePlain(now, []*fleet.Endpoint{desk("needy", "a", 6)}, nil, balance.Request{Zone: "a", Service: fleet.Service{Name: "desk"}, Objective: time.Hour})
	if none != nil {
		return nil
	}
	if !choice.Permitted {
		place := 0
		if p.lenders != nil {
			place = p.lenders(node, at)
		}
		permit := p.trackers[place].GrantPermit(now, t.Limit(now, "needy"), balance.PermitShare(place))
		if !permit.Given {
			t.RecordPermitDenied(now, "needy", permit.Wait)
			choice.Attempt.Cancel()
			return nil
		}
	}
	p.arrived = append(p.arrived, at)
	return choice.Attempt
}

// most returns the most requests in any limitWindow after the limit was known.
func (p *limitPlay) most() int {
	most, first := 0, 0
	for i, at := range p.arrived {
		for p.arrived[first] < limitHolds || at-p.arrived[first] >= limitWindow {
			if first++; first > i {
				break
			}
		}
		most = max(most, i-first+1)
	}
	return most
}

// The sum over all nodes, whatever their number, and whomever they take for the one that lends.
func TestLimitHoldsOverAllNodes(t *testing.T) {
	split := func(node int, _ time.Duration) int { return node % 2 }
	wanders := func(node int, at time.Duration) int { return (int(at/time.Second) + node) % 3 }
	for _, nodes := range []int{3, 8, 74, 300} {
		for _, perSecond := range []float64{0, 0.2, 1.9, 40} {
			for name, play := range map[string]limitPlay{
				"one lends": {}, "two lend": {lenders: split}, "the lender changes": {lenders: wanders}, "the lender starts afresh": {restarts: 8 * time.Second},
			} {
				t.Run(fmt.Sprint(name, " ", nodes, " ", perSecond), func(t *testing.T) {
					play.nodes, play.perSecond, play.load = nodes, perSecond, 500
					play.play(1)
					require.LessOrEqual(t, float64(play.most()), limitOvershoot*perSecond*limitWindow.Seconds()+limitSlack)
				})
			}
		}
	}
}

// What an endpoint takes is used, also where it is shared by many nodes.
func TestLimitIsUsed(t *testing.T) {
	for _, nodes := range []int{3, 300} {
		play := limitPlay{nodes: nodes, perSecond: 2, load: 500}
		play.play(1)
		served := 0
		for _, at := range play.arrived {
			if at >= limitHolds {
				served++
			}
		}
		require.Greater(t, served, int(0.7*2*(limitPlayLength-limitHolds).Seconds()))
	}
}

func TestLenderSharesAddUpToOne(t *testing.T) {
	const rounding = 1e-9
	sum := 0.0
	for place := range 50 {
		sum += balance.PermitShare(place)
		require.LessOrEqual(t, sum, 1+rounding)
	}
}

func desk(id, zone string, slots int) *fleet.Endpoint {
	return &fleet.Endpoint{ID: id, Service: "desk", Zone: zone, State: fleet.EndpointReady, Slots: slots}
}

func needyVisit(t *testing.T, tracker *balance.Tracker, now time.Time) *balance.Attempt {
	t.Helper()
	choice, none := tracker.ChoosePlain(now, []*fleet.Endpoint{desk("needy", "a", 6)}, nil, balance.Request{Zone: "a", Objective: time.Second})
	require.Nil(t, none)
	return choice.Attempt
}

// Answers overtake each other: only one to a request that was sent after the limit was
// named, and that ran, says that it has ended.
func TestLateAnswerDoesNotEndALimit(t *testing.T) {
	tracker := balance.NewTracker()
	early := needyVisit(t, tracker, start)
	early2 := needyVisit(t, tracker, start)
	named := fleet.RateLimit{Named: true, PerSecond: 2}
	early.RecordLimit(start.Add(time.Second), named, true)
	early2.RecordLimit(start.Add(2*time.Second), fleet.RateLimit{}, true)
	now := start.Add(3 * time.Second)
	require.Equal(t, named, tracker.Limit(now, "needy").Limit)
	later := needyVisit(t, tracker, now)
	later.RecordLimit(now, fleet.RateLimit{}, false)
	require.Equal(t, named, tracker.Limit(now, "needy").Limit, "a rejection says nothing of it")
	later.RecordLimit(now, fleet.RateLimit{}, true)
	require.Equal(t, fleet.RateLimit{}, tracker.Limit(now, "needy").Limit)
}

// An old word that another node passes on late must not bring a limit back, nor grow
// younger on its way round.
func TestNewestWordOfALimitCounts(t *testing.T) {
	tracker := balance.NewTracker()
	one, two := fleet.RateLimit{Named: true, PerSecond: 1}, fleet.RateLimit{Named: true, PerSecond: 2}
	tracker.MergeLimits(start, []balance.LimitReport{{Endpoint: "needy", Limit: one, Age: time.Second}})
	tracker.MergeLimits(start, []balance.LimitReport{{Endpoint: "needy", Limit: two, Age: 2 * time.Second}})
	require.Equal(t, one, tracker.Limit(start, "needy").Limit)
	now := start
	for range 100 {
		now = now.Add(10 * time.Millisecond)
		word := tracker.Limit(now, "needy")
		word.Age -= 5 * time.Millisecond
		tracker.MergeLimits(now, []balance.LimitReport{word})
	}
	require.GreaterOrEqual(t, tracker.Limit(now, "needy").Age, 2*time.Second)
	tracker.MergeLimits(now, []balance.LimitReport{{Endpoint: "needy", Age: time.Millisecond}})
	require.False(t, tracker.Limit(now, "needy").Limit.Named)
}

// A stream that could only go on at an endpoint with a limit isn't ended for it: it may
// get no permit there.
func TestLimitedEndpointIsNotLeftForAStream(t *testing.T) {
	tracker := balance.NewTracker()
	heads := []*fleet.Endpoint{head("needy", "a", "small")}
	ask := balance.Request{Service: fleet.Service{Engine: zoneEngine()}, Model: zoneEngine().Models[0], Zone: "a", Objective: time.Second}
	require.True(t, tracker.HasAlternative(start, heads, nil, ask))
	tracker.MergeLimits(start, []balance.LimitReport{{Endpoint: "needy", Limit: fleet.RateLimit{Named: true, PerSecond: 2}}})
	require.False(t, tracker.HasAlternative(start, heads, nil, ask))
}

// The node that chooses for a zone may not know of a limit yet that the asking node knows:
// what it chooses is no permit.
func TestDispatcherThatKnowsNoLimitPermitsNothing(t *testing.T) {
	dispatcher, tracker := balance.NewTracker(), balance.NewTracker()
	needy := head("needy", "a", "small")
	ask := balance.Request{Service: fleet.Service{Engine: zoneEngine()}, Model: zoneEngine().Models[0], Zone: "a", Objective: time.Second, PermitShare: 0.8}
	tracker.MergeLimits(start, []balance.LimitReport{{Endpoint: "needy", Limit: fleet.RateLimit{Named: true, PerSecond: 1}}})
	choice, none := dispatcher.Reserve(start, []*fleet.Endpoint{needy}, nil, ask, balance.Requester{Node: "n1"})
	require.Nil(t, none)
	require.False(t, choice.Permitted)
	require.False(t, tracker.AcceptChoice(start, needy, ask, choice.Predicted).Permitted)
}

// A limit outlasts a while without requests, and not the endpoint that named it.
func TestLimitIsForgottenInTheEnd(t *testing.T) {
	tracker := balance.NewTracker()
	tracker.MergeLimits(start, []balance.LimitReport{{Endpoint: "needy", Limit: fleet.RateLimit{Named: true, PerSecond: 1}}})
	tracker.Forget(start.Add(time.Minute))
	require.Len(t, tracker.Limits(start), 1)
	tracker.Forget(start.Add(time.Hour))
	require.Empty(t, tracker.Limits(start))
}

// The node that chooses for a zone spends permits as it places, and says when there is one again.
func TestDispatcherKeepsLimits(t *testing.T) {
	tracker := balance.NewTracker()
	heads := []*fleet.Endpoint{head("needy", "a", "small")}
	ask := balance.Request{Service: fleet.Service{Engine: zoneEngine()}, Model: zoneEngine().Models[0], Zone: "a", Objective: time.Second, PermitShare: 0.5}
	tracker.MergeLimits(start, []balance.LimitReport{{Endpoint: "needy", Limit: fleet.RateLimit{Named: true, PerSecond: 1}}})
	_, none := tracker.Reserve(start, heads, nil, ask, balance.Requester{Node: "n1"})
	require.Equal(t, balance.Limited, none.Reason)
	require.Equal(t, 2*time.Second, none.RetryAfter)
	now := start.Add(2 * time.Second)
	choice, none := tracker.Reserve(now, heads, nil, ask, balance.Requester{Node: "n1"})
	require.Nil(t, none)
	require.True(t, choice.Permitted)
	_, none = tracker.Reserve(now, heads, nil, ask, balance.Requester{Node: "n2"})
	require.Equal(t, balance.Limited, none.Reason)
}
