package balance_test

import (
	"strconv"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"redwinghall/balance"
	"redwinghall/fleet"
)

// preparation is the time that an endpoint spends on a request before it gets a slot.
const preparation = 110 * time.Millisecond

// A request that its endpoint is still preparing occupies no slot. If it counted as
// in one, and requests spent a tenth of their time in preparation, callers would be
// refused while a tenth of the slots are free.
func TestRequestsWithoutASlotDoNotFillGroups(t *testing.T) {
	tracker := balance.NewTracker()
	engine := &fleet.Engine{
		Slots: 20, Step: 7800 * time.Microsecond, PerSequence: 95 * time.Microsecond, ReadPerSecond: 45900, Chunk: 2048, Stride: 6,
		MeanPromptTokens: 760, MeanAnswerTokens: 170, Models: []fleet.Model{{Name: "small", Size: 2, Share: 1, TimeFactor: 0.6}},
	}
	one := newRequest()
	one.Service, one.Model, one.Prompt, one.Objective = fleet.Service{Name: "llm", Engine: engine}, engine.Models[0], 674, 300*time.Millisecond
	pace := balance.NewPace(engine, one.Model, 1)
	predictedPause := func(running int) time.Duration { return pace.Pass(running, 0) }
	for i := range 500 {
		heads := []*fleet.Endpoint{head("quiet-"+strconv.Itoa(i), "a", "small")}
		choice, refusal := tracker.ChooseGroup(start, heads, nil, one)
		require.Nil(t, refusal)
		at := start.Add(pace.FirstEvent(0, 0, one.Prompt) + preparation)
		choice.Attempt.RecordEvent(at, predictedPause)
		choice.Attempt.Done(at, true)
	}
	busy := []*fleet.Endpoint{head("busy", "a", "small")}
	refused := func(there int) *balance.Refusal {
		tracker.ReleaseReservations("n2", 2)
		tracker.SetOwnZoneLoads(start, map[string]balance.Load{"busy": {Requests: there}})
		_, refusal := tracker.Reserve(start, busy, nil, one, balance.Requester{Node: "n2", Ticket: 1})
		return refusal
	}
	for there := range engine.Slots + 1 {
		require.Nil(t, refused(there), "with %d requests there", there)
	}
	require.NotNil(t, refused(engine.Slots+5))
}
