package balance_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"redwinghall/balance"
	"redwinghall/fleet"
)

func plainRequest() balance.Request {
	return balance.Request{Service: fleet.Service{Name: "desk"}, Zone: "a", Objective: 500 * time.Millisecond, Nodes: 1, ZoneNodes: 1, Node: "n1"}
}

func plainEndpoints(n int) []*fleet.Endpoint {
	var all []*fleet.Endpoint
	for i := range n {
		all = append(all, &fleet.Endpoint{ID: fmt.Sprint("e", i), Service: "desk", Zone: "a", State: fleet.EndpointReady, Slots: 6})
	}
	return all
}

// playPlain sends a request each 20 ms and answers it after the endpoints' response time. It returns
// how many were sent, and the most in progress at a time.
func playPlain(t *testing.T, tracker *balance.Tracker, all []*fleet.Endpoint, from time.Time, d, responseTime time.Duration) (sent, most int) {
	t.Helper()
	type running struct {
		attempt *balance.Attempt
		until   time.Time
	}
	var inProgress []running
	for now := from; now.Before(from.Add(d)); now = now.Add(20 * time.Millisecond) {
		for len(inProgress) > 0 && !inProgress[0].until.After(now) {
			inProgress[0].attempt.Done(inProgress[0].until, true)
			inProgress = inProgress[1:]
		}
		if choice, refusal := tracker.ChoosePlain(now, all, nil, plainRequest()); refusal == nil {
			sent++
			inProgress = append(inProgress, running{choice.Attempt, now.Add(responseTime)})
			most = max(most, len(inProgress))
		}
	}
	for _, one := range inProgress {
		one.attempt.Done(one.until, true)
	}
	return sent, most
}

// Each endpoint of a service answers once after seconds, as all stood still, and is fast again. Callers
// must not be refused for ever for answers that they would get at once.
func TestSlowAnswersAreForgotten(t *testing.T) {
	for _, slow := range []time.Duration{4 * time.Second, 30 * time.Second} {
		tracker, all := balance.NewTracker(), plainEndpoints(4)
		for _, e := range all {
			choice, refusal := tracker.ChoosePlain(start, []*fleet.Endpoint{e}, nil, plainRequest())
			require.Nil(t, refusal)
			choice.Attempt.Done(start.Add(slow), true)
		}
		awake := start.Add(slow)
		_, refusal := tracker.ChoosePlain(awake, all, nil, plainRequest())
		require.NotNil(t, refusal, "right after that, they are slow")
		playPlain(t, tracker, all, awake, 5*time.Second, time.Millisecond)
		sent, _ := playPlain(t, tracker, all, awake.Add(5*time.Second), time.Second, time.Millisecond)
		require.Equal(t, 50, sent)
	}
}

// The endpoints of a service are slow and stay slow. Requests must be refused, but for one at a time at
// an endpoint.
func TestSlowEndpointsGetOneRequestAtATime(t *testing.T) {
	tracker, all := balance.NewTracker(), plainEndpoints(2)
	for now := start; now.Before(start.Add(30 * time.Second)); now = now.Add(2 * time.Second) {
		for _, e := range all {
			if choice, refusal := tracker.ChoosePlain(now, []*fleet.Endpoint{e}, nil, plainRequest()); refusal == nil {
				choice.Attempt.Done(now.Add(2*time.Second), true)
			}
		}
	}
	sent, most := playPlain(t, tracker, all, start.Add(32*time.Second), 20*time.Second, 2*time.Second)
	require.LessOrEqual(t, most, 2)
	require.Positive(t, sent)
}

// Streams of all groups paused and began late, and all have ended. Later streams must not be refused
// for ever for that, neither those of this node's callers nor those that it places for others.
func TestSlowStreamsAreForgotten(t *testing.T) {
	for name, choose := range map[string]func(*balance.Tracker, time.Time, []*fleet.Endpoint, balance.Request) (balance.Choice, *balance.Refusal){
		"own": func(tracker *balance.Tracker, now time.Time, all []*fleet.Endpoint, r balance.Request) (balance.Choice, *balance.Refusal) {
			return tracker.ChooseGroup(now, all, nil, r)
		},
		"for others": func(tracker *balance.Tracker, now time.Time, all []*fleet.Endpoint, r balance.Request) (balance.Choice, *balance.Refusal) {
			return tracker.Reserve(now, all, nil, r, balance.Requester{Node: "n2"})
		},
	} {
		t.Run(name, func(t *testing.T) {
			tracker, request := balance.NewTracker(), newRequest()
			all := []*fleet.Endpoint{head("g1", "a", "large"), head("g2", "a", "large")}
			now := start
			pause := func(int) time.Duration { return 10 * time.Millisecond }
			for range 40 {
				var attempts []*balance.Attempt
				for _, e := range all {
					r := request
					r.Resumed = true // it is sent however slow the group seems
					choice, refusal := tracker.ChooseGroup(now, []*fleet.Endpoint{e}, nil, r)
					require.Nil(t, refusal)
					attempts = append(attempts, choice.Attempt)
				}
				now = now.Add(2 * time.Second)
				for range 4 {
					now = now.Add(80 * time.Millisecond)
					for _, one := range attempts {
						one.RecordEvent(now, pause)
					}
				}
				for _, one := range attempts {
					one.Done(now, true)
				}
			}
			_, refusal := choose(tracker, now, all, request)
			require.NotNil(t, refusal, "right after that, they are slow")
			refused := 0
			for end := now.Add(10 * time.Second); now.Before(end); now = now.Add(100 * time.Millisecond) {
				choice, refusal := choose(tracker, now, all, request)
				if refusal != nil && end.Sub(now) <= 2*time.Second {
					refused++
				}
				if refusal == nil && choice.Attempt != nil {
					choice.Attempt.RecordEvent(now.Add(50*time.Millisecond), pause)
					choice.Attempt.Done(now.Add(60*time.Millisecond), true)
				}
			}
			require.Zero(t, refused, "in the last two seconds")
		})
	}
}
