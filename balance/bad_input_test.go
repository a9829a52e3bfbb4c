package balance_test

import (
	"fmt"
	"math"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"redwinghall/balance"
	"redwinghall/fleet"
	"redwinghall/platform"
	"redwinghall/platform/platformtest/badinput"
	_ "redwinghall/rwhtest/fixedseed"
)

// longestRetryAfter is above each time after which a refusal may tell callers to retry.
const longestRetryAfter = 5 * time.Second

// decodedEndpoints returns endpoints with generated entries, those that can be decoded.
func decodedEndpoints(t *rapid.T, service string) []*fleet.Endpoint {
	var endpoints []*fleet.Endpoint
	for i := range rapid.IntRange(0, 3).Draw(t, "endpoints") {
		row := fleet.Row{Key: fmt.Sprint("e", i), Value: []byte(badinput.Entry("127.0.0.1:1", service, fmt.Sprint("replica|m0|", i), 0).Draw(t, "entry"))}
		if e, err := platform.DecodeEndpoint(row, start); err == nil {
			endpoints = append(endpoints, e)
		}
	}
	return endpoints
}

// loads returns loads as other nodes may report them.
func loads(t *rapid.T) map[string]balance.Load {
	count := rapid.SampledFrom([]int{0, 1, 30, -1, math.MaxInt32, math.MinInt32})
	reported := map[string]balance.Load{}
	for i := range 3 {
		reported[fmt.Sprint("e", i)] = balance.Load{
			Requests: count.Draw(t, "requests"), Unstarted: count.Draw(t, "unstarted"), Unread: count.Draw(t, "unread"),
		}
	}
	return reported
}

// requestFor returns a request to a service of a configuration.
func requestFor(t *rapid.T, service fleet.Service) balance.Request {
	one := newRequest()
	one.Service, one.Model = service, fleet.Model{}
	if service.Engine != nil {
		one.Model, _ = service.Engine.Model("m0")
	}
	one.Prompt = rapid.SampledFrom([]int{0, 100, math.MaxInt}).Draw(t, "prompt")
	one.Answer = rapid.SampledFrom([]int{0, 100, math.MaxInt}).Draw(t, "answer")
	one.Objective = rapid.SampledFrom([]time.Duration{0, -1, time.Second, math.MaxInt64}).Draw(t, "objective")
	if rapid.Bool().Draw(t, "full") {
		one.ZonesFull = map[string]bool{"a": true}
	}
	return one
}

// All nodes read the same configuration and entries. A choice that panics would end each request
// to the service, at all nodes.
func TestChoiceEndsWithAnyConfigurationAndEntries(t *testing.T) {
	chosen, refused := 0, 0
	rapid.Check(t, func(t *rapid.T) {
		config, err := platform.DecodeConfiguration([]byte(badinput.Configuration().Draw(t, "configuration")))
		if err != nil {
			return
		}
		tracker := balance.NewTracker()
		for _, name := range []string{"llm", "desk"} {
			service, endpoints := config.Services[name], decodedEndpoints(t, name)
			one := requestFor(t, service)
			tracker.SetOwnZoneLoads(start, loads(t))
			for range 5 {
				choice, refusal := choose(tracker, endpoints, one)
				if refusal == nil {
					choice.Attempt.Done(start.Add(time.Second), true)
					chosen++
					continue
				}
				refused++
				if refusal.RetryAfter < 0 || refusal.RetryAfter > longestRetryAfter {
					t.Fatalf("refused %v with a retry after %v", refusal.Reason, refusal.RetryAfter)
				}
			}
			if service.Engine != nil {
				tracker.Reserve(start, endpoints, nil, one, balance.Requester{Node: "n2", Ticket: 1})
				tracker.AlternativeZone(start, endpoints, nil, one)
			}
		}
	})
	require.Positive(t, chosen)
	require.Positive(t, refused)
}

func choose(tracker *balance.Tracker, endpoints []*fleet.Endpoint, one balance.Request) (balance.Choice, *balance.Refusal) {
	if one.Service.Engine != nil {
		return tracker.ChooseGroup(start, endpoints, nil, one)
	}
	return tracker.ChoosePlain(start, endpoints, nil, one)
}

// The times of an engine may add up to less than nothing, or to more than a duration can hold. The
// refusal of a stream at a full zone must not panic then.
func TestRefusalWithUnusableEngineTimes(t *testing.T) {
	for name, engine := range map[string]*fleet.Engine{
		"negative context": {Slots: 20, Stride: 6, Step: 7 * time.Millisecond, PerThousandContext: -time.Second, MeanPromptTokens: 700, MeanAnswerTokens: 170},
		"negative answer":  {Slots: 20, Stride: 6, Step: 7 * time.Millisecond, MeanAnswerTokens: -1e9},
		"longest step":     {Slots: 20, Stride: 6, Step: math.MaxInt64, MeanAnswerTokens: 170},
		"no slots":         {Stride: 6, Step: 7 * time.Millisecond, MeanAnswerTokens: 170},
	} {
		t.Run(name, func(t *testing.T) {
			one := newRequest()
			one.Service.Engine, one.ZonesFull = engine, map[string]bool{"a": true}
			heads := []*fleet.Endpoint{head("one", "a", "large")}
			_, refusal := balance.NewTracker().ChooseGroup(start, heads, nil, one)
			require.Equal(t, balance.Overloaded, refusal.Reason)
			require.Positive(t, refusal.RetryAfter)
			require.LessOrEqual(t, refusal.RetryAfter, longestRetryAfter)
			one.ZonesFull = nil
			if choice, _ := balance.NewTracker().ChooseGroup(start, heads, nil, one); choice.Attempt != nil {
				require.GreaterOrEqual(t, choice.Predicted, time.Duration(0))
			}
		})
	}
}
