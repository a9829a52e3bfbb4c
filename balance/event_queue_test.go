package balance_test

import (
	"math/rand/v2"
	"slices"
	"time"

	"redwinghall/balance"
)

// eventQueue holds the future events of a simulation in virtual time.
type eventQueue struct {
	now   time.Time
	queue []scheduled
}

// scheduled is a function to be called at a time.
type scheduled struct {
	at time.Time
	do func()
}

func (q *eventQueue) after(wait time.Duration, do func()) {
	at := q.now.Add(wait)
	i, _ := slices.BinarySearchFunc(q.queue, at, func(one scheduled, at time.Time) int { return one.at.Compare(at) })
	q.queue = slices.Insert(q.queue, i, scheduled{at, do})
}

// runUntil calls the events up to a time in order.
func (q *eventQueue) runUntil(end time.Time) {
	for len(q.queue) > 0 && !q.queue[0].at.After(end) {
		next := q.queue[0]
		q.queue = q.queue[1:]
		q.now = next.at
		next.do()
	}
}

// newTracker returns a node's tracker: what it decides at random follows from the seed.
func newTracker(seed uint64, node int) *balance.Tracker {
	tracker := balance.NewTrackerWithRunTime(func(from, to time.Time) time.Duration { return to.Sub(from) })
	tracker.Random = rand.New(rand.NewPCG(seed, 1_000+uint64(node)))
	return tracker
}
