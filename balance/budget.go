package balance

import (
	"sync"
	"time"
)

// budgetSlices is the number of steps in which the window slides.
const budgetSlices = 20

// budgetMargin is the part of the budget that is used: nodes may disagree on how
// many nodes there are, and their windows slide by different clocks.
const budgetMargin = 0.75

// RetryBudget limits how many requests for a service are retried at another
// endpoint. A node may retry a share of its own requests, plus its part of the slack
// that all nodes have together.
//
// When a zone or a service fails, the first attempt of each request fails, and
// nodes that retry all of them would double the load on the remaining endpoints.
type RetryBudget struct {
	mu        sync.Mutex
	ratio     float64
	window    time.Duration
	byService map[string]*budgetWindow
}

type budgetWindow struct {
	requests, retries [budgetSlices]int
	slice             int64
}

// NewRetryBudget returns a budget of ratio retries per request within a sliding
// window of at least one second.
func NewRetryBudget(ratio float64, window time.Duration) *RetryBudget {
	return &RetryBudget{ratio: ratio, window: max(window, time.Second), byService: map[string]*budgetWindow{}}
}

// RecordRequest counts a request for a service.
func (b *RetryBudget) RecordRequest(now time.Time, service string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	w := b.at(now, service)
	w.requests[w.slice%budgetSlices]++
}

// Spend reports whether one more retry may be sent now, and counts it if so. slack
// is this node's part of the retries allowed beyond the ratio.
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

// at returns the window of a service, advanced to now.
func (b *RetryBudget) at(now time.Time, service string) *budgetWindow {
	slice := now.UnixNano() / int64(b.window/budgetSlices)
	w, ok := b.byService[service]
	if !ok {
		w = &budgetWindow{slice: slice}
		b.byService[service] = w
	}
	for steps := 0; w.slice < slice && steps < budgetSlices; steps++ {
		w.slice++
		w.requests[w.slice%budgetSlices], w.retries[w.slice%budgetSlices] = 0, 0
	}
	w.slice = max(w.slice, slice)
	return w
}
