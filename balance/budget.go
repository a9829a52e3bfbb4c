package balance

import (
	"sync"
	"time"
)

// budgetSlices divide the window, so that it slides in steps.
const budgetSlices = 20

// budgetMargin is the part of the shared budget that is used: nodes don't
// agree on how many they are, and windows slide on another clock.
const budgetMargin = 0.75

// RetryBudget bounds how often requests for one service go to a second
// endpoint, over all nodes: a share of this node's own requests, and this
// node's part of the slack.
//
// Guard: when a zone or a service fails, each request fails at first, and
// nodes that retry each of them double the load on what is left.
type RetryBudget struct {
	mu     sync.Mutex
	ratio  float64
	window time.Duration
	slices map[string]*budgetWindow
}

type budgetWindow struct {
	requests, retries [budgetSlices]int
	slice             int64
}

// NewRetryBudget returns a budget of ratio retries for each request in window.
func NewRetryBudget(ratio float64, window time.Duration) *RetryBudget {
	return &RetryBudget{ratio: ratio, window: max(window, time.Second), slices: map[string]*budgetWindow{}}
}

// RecordRequest counts a request for a service.
func (b *RetryBudget) RecordRequest(now time.Time, service string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	w := b.at(now, service)
	w.requests[w.slice%budgetSlices]++
}

// Spend reports whether one more retry may be sent now. slack is this node's
// part of the retries allowed beyond the ratio.
func (b *RetryBudget) Spend(now time.Time, service string, slack float64) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	w := b.at(now, service)
	requests, retries := 0, 0
	for i := range budgetSlices {
		requests += w.requests[i]
		retries += w.retries[i]
	}
	if float64(retries+1) > budgetMargin*(b.ratio*float64(requests)+slack) {
		return false
	}
	w.retries[w.slice%budgetSlices]++
	return true
}

// at returns a service's window, moved on to now.
func (b *RetryBudget) at(now time.Time, service string) *budgetWindow {
	slice := now.UnixNano() / int64(b.window/budgetSlices)
	w, ok := b.slices[service]
	if !ok {
		w = &budgetWindow{slice: slice}
		b.slices[service] = w
	}
	for steps := 0; w.slice < slice && steps < budgetSlices; steps++ {
		w.slice++
		w.requests[w.slice%budgetSlices], w.retries[w.slice%budgetSlices] = 0, 0
	}
	w.slice = max(w.slice, slice)
	return w
}
