package balance_test

import (
	"strconv"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"redwinghall/balance"
	"redwinghall/fleet"
)

// preparation is what an endpoint spends on a request before it takes a place.
const preparation = 110 * time.Millisecond

// A request that its endpoint still prepares takes no place: with a tenth of their
// time spent so, callers were refused while a tenth of the places was free.
func TestRequestsWithoutAPlaceDoNotFillGroups(t *testing.T) {
	tracker := balance.NewTracker()
	engine := &fleet.Engine{
		Slots: 20, Step: 7800 * time.Microsecond, PerSequence: 95 * time.Microsecond, ReadPerSecond: 45900, Chunk: 2048, Stride: 6,
		MeanPromptTokens: 760, MeanAnswerTokens: 170, Models: []fleet.Model{{Name: "small", Size: 2, Share: 1, TimeFactor: 0.6}},
	}
	one := ask()
	one.Service, one.Model, one.Prompt, one.Objective = fleet.Service{Name: "llm", Engine: engine}, engine.Models[0], 674, 300*time.Millisecond
	pace := balance.NewPace(engine, one.Model, 1)
	usual := func(running int) time.Duration { return pace.Pass(running, 0) }
	for i := range 500 {
		heads := []*fleet.Endpoint{head("quiet-"+strconv.Itoa(i), "a", "small")}
		choice, none := tracker.Group(start, heads, nil, one)
		require.Nil(t, none)
		at := start.Add(pace.FirstEvent(0, 0, one.Prompt) + preparation)
		choice.Visit.Event(at, usual)
		choice.Visit.Done(at, true)
	}
	busy := []*fleet.Endpoint{head("busy", "a", "small")}
	refused := func(there int) *balance.Refusal {
		tracker.Settle("n2", 2)
		tracker.SetOthers(start, map[string]balance.Load{"busy": {Requests: there}})
		_, none := tracker.Reserve(start, busy, nil, one, balance.Claimant{Node: "n2", Ticket: 1})
		return none
	}
	for there := range engine.Slots + 1 {
		require.Nil(t, refused(there), "with %d requests there", there)
	}
	require.NotNil(t, refused(engine.Slots+5))
}
