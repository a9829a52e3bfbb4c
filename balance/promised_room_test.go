package balance_test

import (
	"fmt"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"redwinghall/balance"
	"redwinghall/fleet"
	"redwinghall/promise"
)

const (
	// impatientRetry is after what time callers return that don't wait.
	impatientRetry = 50 * time.Millisecond
	// heldInterval is how often a caller that is held back is looked at, heldAtLeast the
	// time that is left when it is refused.
	heldInterval = 5 * time.Millisecond
	heldAtLeast  = 70 * time.Millisecond
	// playAccounts is the number of client accounts in the play.
	playAccounts = 20
)

// returns counts the callers that returned after a refusal, by whether they were promised
// a place, and those of them that were refused again.
type returns struct {
	promised, promisedAgain   int
	others, othersAgain       int
	impatient, impatientAgain int
}

func (r *returns) count(c caller, accepted bool) {
	if !c.again {
		return
	}
	all, again := &r.others, &r.othersAgain
	switch {
	case c.impatient:
		all, again = &r.impatient, &r.impatientAgain
	case c.promised:
		all, again = &r.promised, &r.promisedAgain
	}
	*all++
	if !accepted {
		*again++
	}
}

// countReturn counts a caller that returned.
func (p *zoneSimulation) countReturn(c caller, accepted bool) {
	p.returned.count(c, accepted)
	if p.fault != "" && c.refusedAt.Sub(start) > p.faultAt+orderHoldsAgainIn {
		p.afterFault.count(c, accepted)
	}
}

// With returns the sum of two counts.
func (r returns) With(more returns) returns {
	return returns{
		promised: r.promised + more.promised, promisedAgain: r.promisedAgain + more.promisedAgain, others: r.others + more.others,
		othersAgain: r.othersAgain + more.othersAgain, impatient: r.impatient + more.impatient, impatientAgain: r.impatientAgain + more.impatientAgain,
	}
}

func (r returns) String() string {
	return fmt.Sprintf("refused again: promised %d of %d, others %d of %d, impatient %d of %d", r.promisedAgain, r.promised, r.othersAgain, r.others,
		r.impatientAgain, r.impatient)
}

// holds reports whether the dispatcher holds a caller back instead of refusing it.
func (p *zoneSimulation) holds(c caller) bool {
	return p.waits && p.now.Sub(c.arrived) < zoneObjective-heldAtLeast
}

// reserve is Reserve at the dispatcher, with promises if it gives them.
func (p *zoneSimulation) reserve(d *dispatcher, c *caller, request balance.Request, requester balance.Requester) (balance.Choice, *balance.Refusal) {
	if c.arrived != p.now && p.waits && !c.again {
		request.Objective -= p.now.Sub(c.arrived)
	}
	if !p.promises {
		return d.tracker.Reserve(p.now, p.heads, nil, request, requester)
	}
	model, who := promise.Model{Service: "llm", Name: "small"}, promise.Caller{Account: c.account, Prompt: c.prompt}
	request.Kept, request.Promised = d.schedule.Kept(p.now, model, who)
	choice, refusal := d.tracker.Reserve(p.now, p.heads, nil, request, requester)
	if refusal == nil {
		d.schedule.Take(p.now, model, who)
		return choice, nil
	}
	if p.holds(*c) {
		return choice, refusal
	}
	if wait, ok := d.schedule.Give(p.now, model, who, request.PlaceInterval(p.now, p.heads, nil), promise.Latest); ok && !c.again {
		refusal.RetryAfter, c.promised = wait, true
	}
	return choice, refusal
}

// promisedCase is a burst at 2.5 times the usual load, with a tenth of callers that return
// at once.
func promisedCase(lasts time.Duration) zoneScenario {
	return zoneScenario{
		nodes: 40, groups: 20, perSecond: usualLoad, shareInterval: shareIntervalFor(40), changedInterval: shareIntervalFor(0), dispatched: true,
		length: 20 * time.Second, burst: 2.5, burstFrom: 4 * time.Second, burstUntil: 4*time.Second + lasts, retriesRefused: true, carriesLoads: true,
		impatient: 0.1,
	}
}

// comparedSeeds is the number of plays of each way.
const comparedSeeds = 6

// play runs a scenario with several seeds and adds up what callers got.
func (l zoneScenario) play() (outcome, returns) {
	var all outcome
	var back returns
	plays := make([]*zoneSimulation, comparedSeeds)
	var done sync.WaitGroup
	for seed := range plays {
		done.Go(func() { plays[seed] = l.run(uint64(seed)) }) //nolint:gosec // a small number
	}
	done.Wait()
	for _, p := range plays {
		all.requests, all.inTime, all.late, all.refused = all.requests+p.requests, all.inTime+p.inTime, all.late+p.late, all.refused+p.refused
		back = back.With(p.returned)
	}
	return all, back
}

// shares says what became of callers.
func (o outcome) shares() string {
	return fmt.Sprintf("in time %.3f, late %.3f, refused %.3f", o.share(o.inTime), o.share(o.late), o.share(o.refused))
}

// inTimeMargin is the part of callers by which a way of refusing may serve fewer in time
// than another one.
const inTimeMargin = 0.02

// Callers that are refused and come back when they are told find their place, callers that
// return at once gain nothing by it, and no fewer are served in time than with times at
// random.
func TestRefusedCallersComeBackToTheirPlaces(t *testing.T) {
	for _, lasts := range []time.Duration{time.Second, 3 * time.Second, 8 * time.Second} {
		atRandom, heldBack, promised := promisedCase(lasts), promisedCase(lasts), promisedCase(lasts)
		heldBack.waits, promised.promises = true, true
		before, returnedBefore := atRandom.play()
		held, returnedHeld := heldBack.play()
		with, back := promised.play()
		t.Logf("burst of %s, told times at random: %s; %s", lasts, before.shares(), returnedBefore)
		t.Logf("burst of %s, held back: %s; %s", lasts, held.shares(), returnedHeld)
		t.Logf("burst of %s, promised: %s; %s", lasts, with.shares(), back)
		t.Run(fmt.Sprintf("burst of %s", lasts), func(t *testing.T) {
			require.LessOrEqual(t, float64(back.promisedAgain), refusedAgainAtMost*float64(back.promised), "were promised a place")
			require.GreaterOrEqual(t, with.share(with.inTime), before.share(before.inTime)-inTimeMargin)
			require.LessOrEqual(t, with.share(with.refused), before.share(before.refused)+0.01)
			require.Greater(t, float64(back.impatientAgain)/float64(back.impatient),
				float64(back.promisedAgain+back.othersAgain)/float64(back.promised+back.others), "return at once")
		})
		t.Run(fmt.Sprintf("burst of %s, all who obey", lasts), func(t *testing.T) {
			require.LessOrEqual(t, float64(back.promisedAgain+back.othersAgain), refusedAgainAtMost*float64(back.promised+back.others))
		})
	}
}

// Without promises the dispatcher refuses as it always did: no place is kept, and the
// prediction alone decides.
func TestNoPlaceIsKeptWithoutPromises(t *testing.T) {
	heads := []*fleet.Endpoint{head("one", "a", "large")}
	fill := func(kept int) (n int) {
		tracker, request := balance.NewTracker(), newRequest()
		request.Kept, request.Prompt = kept, 1
		for {
			if _, refusal := tracker.Reserve(start, heads, nil, request, balance.Requester{Node: "n2", Ticket: 1}); refusal != nil {
				require.Equal(t, balance.Overloaded, refusal.Reason)
				return n
			}
			n++
		}
	}
	require.Greater(t, fill(0), 3)
	require.Less(t, fill(3), fill(0))
}
