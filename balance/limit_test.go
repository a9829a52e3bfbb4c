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

// An endpoint may get limitOvershoot times what its rate limit allows, plus
// limitSlack requests, in any limitWindow.
const (
	limitWindow    = 4 * time.Second
	limitOvershoot = 1.5
	limitSlack     = 5
)

// limitSimulation simulates in virtual time many nodes that send to one endpoint,
// which reports a rate limit.
type limitSimulation struct {
	nodes     int
	perSecond float64 // the limit
	load      float64 // requests a second, of all nodes
	// issuers returns the rank of the node that a node asks for permits at a time;
	// nil means the first.
	issuers func(node int, at time.Duration) int
	// restartAt is when the first node restarts and loads the limits from the second
	// one, 0 for never.
	restartAt time.Duration
	trackers  []*balance.Tracker
	arrived   []time.Duration
	random    *rand.Rand
}

const (
	limitRunLength = 20 * time.Second
	// limitNamedAt is when the endpoint starts to report its limit, limitHoldsFrom when
	// the report has reached all nodes.
	limitNamedAt   = 2 * time.Second
	limitHoldsFrom = 3 * time.Second
	// limitShareInterval is how often a node shares its limit reports with the first.
	limitShareInterval = 100 * time.Millisecond
	// limitAnswerTime is the time from a request to its answer.
	limitAnswerTime = 50 * time.Millisecond
)

func (p *limitSimulation) run(seed uint64) {
	p.random = rand.New(rand.NewPCG(seed, 11))
	for i := range p.nodes {
		p.trackers = append(p.trackers, newTracker(seed, i))
	}
	type answer struct {
		at      time.Duration
		attempt *balance.Attempt
	}
	var answers []answer
	sharedAt := make([]time.Duration, p.nodes)
	for i := range sharedAt {
		sharedAt[i] = time.Duration(i) * limitShareInterval / time.Duration(p.nodes)
	}
	step := time.Duration(float64(time.Second) / p.load)
	for at := time.Duration(0); at < limitRunLength; at += step {
		if p.restartAt > 0 && at >= p.restartAt && at < p.restartAt+step {
			p.trackers[0] = newTracker(seed, 0)
			p.trackers[0].MergeLimits(start.Add(at), p.trackers[1].Limits(start.Add(at)))
		}
		for len(answers) > 0 && answers[0].at <= at {
			limit := fleet.RateLimit{}
			if answers[0].at-limitAnswerTime >= limitNamedAt {
				limit = fleet.RateLimit{Named: true, PerSecond: p.perSecond}
			}
			answers[0].attempt.RecordLimit(start.Add(answers[0].at), limit, true)
			answers[0].attempt.Done(start.Add(answers[0].at), true)
			answers = answers[1:]
		}
		for node := range sharedAt {
			if sharedAt[node] <= at {
				sharedAt[node] = at + limitShareInterval
				p.shareLimits(node, start.Add(at))
			}
		}
		if attempt := p.request(p.random.IntN(p.nodes), at); attempt != nil {
			answers = append(answers, answer{at + limitAnswerTime, attempt})
		}
	}
}

// shareLimits merges a node's limit reports into the first node, and the changed
// limits of the first node into that node.
func (p *limitSimulation) shareLimits(node int, now time.Time) {
	p.trackers[0].MergeLimits(now, p.trackers[node].OwnLimitReports(now))
	p.trackers[node].MergeLimits(now, p.trackers[0].ChangedLimits(now))
}

// request sends a request from a node to the endpoint with the limit. It returns nil
// if no permit is issued.
func (p *limitSimulation) request(node int, at time.Duration) *balance.Attempt {
	now := start.Add(at)
	t := p.trackers[node]
	choice, refusal := t.ChoosePlain(now, []*fleet.Endpoint{desk("needy", "a", 6)}, nil, balance.Request{Zone: "a", Service: fleet.Service{Name: "desk"}, Objective: time.Hour})
	if refusal != nil {
		return nil
	}
	if !choice.Permitted {
		rank := 0
		if p.issuers != nil {
			rank = p.issuers(node, at)
		}
		permit := p.trackers[rank].IssuePermit(now, t.Limit(now, "needy"), balance.PermitShare(rank))
		if !permit.Given {
			t.RecordPermitDenied(now, "needy", permit.Wait)
			choice.Attempt.Cancel()
			return nil
		}
	}
	p.arrived = append(p.arrived, at)
	return choice.Attempt
}

// most returns the most requests in any limitWindow after limitHoldsFrom.
func (p *limitSimulation) most() int {
	most, first := 0, 0
	for i, at := range p.arrived {
		for p.arrived[first] < limitHoldsFrom || at-p.arrived[first] >= limitWindow {
			if first++; first > i {
				break
			}
		}
		most = max(most, i-first+1)
	}
	return most
}

// The limit holds for the sum over all nodes, for any number of nodes, and whichever
// nodes they ask for permits.
func TestLimitHoldsOverAllNodes(t *testing.T) {
	split := func(node int, _ time.Duration) int { return node % 2 }
	rotating := func(node int, at time.Duration) int { return (int(at/time.Second) + node) % 3 }
	for _, nodes := range []int{3, 8, 74, 300} {
		for _, perSecond := range []float64{0, 0.2, 1.9, 40} {
			for name, sim := range map[string]limitSimulation{
				"one issues": {}, "two issue": {issuers: split}, "the issuer changes": {issuers: rotating}, "the issuer restarts": {restartAt: 8 * time.Second},
			} {
				t.Run(fmt.Sprint(name, " ", nodes, " ", perSecond), func(t *testing.T) {
					sim.nodes, sim.perSecond, sim.load = nodes, perSecond, 500
					sim.run(1)
					require.LessOrEqual(t, float64(sim.most()), limitOvershoot*perSecond*limitWindow.Seconds()+limitSlack)
				})
			}
		}
	}
}

// The rate that an endpoint allows is used up, also by many nodes that share it.
func TestLimitIsUsed(t *testing.T) {
	for _, nodes := range []int{3, 300} {
		sim := limitSimulation{nodes: nodes, perSecond: 2, load: 500}
		sim.run(1)
		served := 0
		for _, at := range sim.arrived {
			if at >= limitHoldsFrom {
				served++
			}
		}
		require.Greater(t, served, int(0.7*2*(limitRunLength-limitHoldsFrom).Seconds()))
	}
}

func TestPermitSharesAddUpToOne(t *testing.T) {
	const rounding = 1e-9
	sum := 0.0
	for rank := range 50 {
		sum += balance.PermitShare(rank)
		require.LessOrEqual(t, sum, 1+rounding)
	}
}

func desk(id, zone string, slots int) *fleet.Endpoint {
	return &fleet.Endpoint{ID: id, Service: "desk", Zone: zone, State: fleet.EndpointReady, Slots: slots}
}

func limitedAttempt(t *testing.T, tracker *balance.Tracker, now time.Time) *balance.Attempt {
	t.Helper()
	choice, refusal := tracker.ChoosePlain(now, []*fleet.Endpoint{desk("needy", "a", 6)}, nil, balance.Request{Zone: "a", Objective: time.Second})
	require.Nil(t, refusal)
	return choice.Attempt
}

// Answers may arrive out of order. A limit ends only by the answer to a request that
// ran and was sent after the limit was named.
func TestLateAnswerDoesNotEndALimit(t *testing.T) {
	tracker := balance.NewTracker()
	early := limitedAttempt(t, tracker, start)
	early2 := limitedAttempt(t, tracker, start)
	named := fleet.RateLimit{Named: true, PerSecond: 2}
	early.RecordLimit(start.Add(time.Second), named, true)
	early2.RecordLimit(start.Add(2*time.Second), fleet.RateLimit{}, true)
	now := start.Add(3 * time.Second)
	require.Equal(t, named, tracker.Limit(now, "needy").Limit)
	later := limitedAttempt(t, tracker, now)
	later.RecordLimit(now, fleet.RateLimit{}, false)
	require.Equal(t, named, tracker.Limit(now, "needy").Limit, "a rejection doesn't end the limit")
	later.RecordLimit(now, fleet.RateLimit{}, true)
	require.Equal(t, fleet.RateLimit{}, tracker.Limit(now, "needy").Limit)
}

// An old report that another node forwards late must not restore a limit, and a
// report must not get younger by being forwarded in a circle.
func TestNewestLimitReportWins(t *testing.T) {
	tracker := balance.NewTracker()
	one, two := fleet.RateLimit{Named: true, PerSecond: 1}, fleet.RateLimit{Named: true, PerSecond: 2}
	tracker.MergeLimits(start, []balance.LimitReport{{Endpoint: "needy", Limit: one, Age: time.Second}})
	tracker.MergeLimits(start, []balance.LimitReport{{Endpoint: "needy", Limit: two, Age: 2 * time.Second}})
	require.Equal(t, one, tracker.Limit(start, "needy").Limit)
	now := start
	for range 100 {
		now = now.Add(10 * time.Millisecond)
		report := tracker.Limit(now, "needy")
		report.Age -= 5 * time.Millisecond
		tracker.MergeLimits(now, []balance.LimitReport{report})
	}
	require.GreaterOrEqual(t, tracker.Limit(now, "needy").Age, 2*time.Second)
	tracker.MergeLimits(now, []balance.LimitReport{{Endpoint: "needy", Age: time.Millisecond}})
	require.False(t, tracker.Limit(now, "needy").Limit.Named)
}

// A stream isn't ended if only an endpoint with a rate limit could take it over: the
// permit may be denied.
func TestLimitedEndpointIsNoAlternative(t *testing.T) {
	tracker := balance.NewTracker()
	heads := []*fleet.Endpoint{head("needy", "a", "small")}
	request := balance.Request{Service: fleet.Service{Engine: zoneEngine()}, Model: zoneEngine().Models[0], Zone: "a", Objective: time.Second}
	require.True(t, tracker.HasAlternative(start, heads, nil, request))
	tracker.MergeLimits(start, []balance.LimitReport{{Endpoint: "needy", Limit: fleet.RateLimit{Named: true, PerSecond: 2}}})
	require.False(t, tracker.HasAlternative(start, heads, nil, request))
}

// The dispatcher of a zone may not have received a limit yet that the requesting
// node has. Its choice must not count as a permit.
func TestDispatcherThatKnowsNoLimitPermitsNothing(t *testing.T) {
	dispatcher, tracker := balance.NewTracker(), balance.NewTracker()
	needy := head("needy", "a", "small")
	request := balance.Request{Service: fleet.Service{Engine: zoneEngine()}, Model: zoneEngine().Models[0], Zone: "a", Objective: time.Second, PermitShare: 0.8}
	tracker.MergeLimits(start, []balance.LimitReport{{Endpoint: "needy", Limit: fleet.RateLimit{Named: true, PerSecond: 1}}})
	choice, refusal := dispatcher.Reserve(start, []*fleet.Endpoint{needy}, nil, request, balance.Requester{Node: "n1"})
	require.Nil(t, refusal)
	require.False(t, choice.Permitted)
	require.False(t, tracker.AcceptChoice(start, needy, request, choice.Predicted).Permitted)
}

// A limit outlasts a minute without requests, but is dropped after an hour, when the
// endpoint is gone.
func TestUnusedLimitIsDropped(t *testing.T) {
	tracker := balance.NewTracker()
	tracker.MergeLimits(start, []balance.LimitReport{{Endpoint: "needy", Limit: fleet.RateLimit{Named: true, PerSecond: 1}}})
	tracker.Forget(start.Add(time.Minute))
	require.Len(t, tracker.Limits(start), 1)
	tracker.Forget(start.Add(time.Hour))
	require.Empty(t, tracker.Limits(start))
}

// The dispatcher of a zone uses a permit for each stream that it places. Its refusal
// names the time until there is another one.
func TestDispatcherKeepsLimits(t *testing.T) {
	tracker := balance.NewTracker()
	heads := []*fleet.Endpoint{head("needy", "a", "small")}
	request := balance.Request{Service: fleet.Service{Engine: zoneEngine()}, Model: zoneEngine().Models[0], Zone: "a", Objective: time.Second, PermitShare: 0.5}
	tracker.MergeLimits(start, []balance.LimitReport{{Endpoint: "needy", Limit: fleet.RateLimit{Named: true, PerSecond: 1}}})
	_, refusal := tracker.Reserve(start, heads, nil, request, balance.Requester{Node: "n1"})
	require.Equal(t, balance.Limited, refusal.Reason)
	require.Equal(t, 2*time.Second, refusal.RetryAfter)
	now := start.Add(2 * time.Second)
	choice, refusal := tracker.Reserve(now, heads, nil, request, balance.Requester{Node: "n1"})
	require.Nil(t, refusal)
	require.True(t, choice.Permitted)
	_, refusal = tracker.Reserve(now, heads, nil, request, balance.Requester{Node: "n2"})
	require.Equal(t, balance.Limited, refusal.Reason)
}
