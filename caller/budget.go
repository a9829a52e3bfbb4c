package caller

import "sync/atomic"

// Budget limits retries to a percentage of the requests.
//
// When a zone fails, every request to it fails at first. If a router retried each
// of them, it would double the load on the remaining groups, which would then fail
// too. Each request therefore adds a fraction of a retry to the budget and each retry
// takes a whole one, so that the load on endpoints grows by this percentage at most.
type Budget struct {
	percent int64
	tokens  atomic.Int64 // hundredths of a retry
	spent   atomic.Int64
	denied  atomic.Int64
}

const (
	retryCost       = 100
	maxSavedRetries = 50 // retries that can accumulate
	initialRetries  = 10
)

// NewBudget returns a budget of percent retries for each 100 requests.
func NewBudget(percent int) *Budget {
	b := &Budget{percent: int64(percent)}
	b.tokens.Store(initialRetries * retryCost)
	return b
}

// RecordRequest counts a request.
func (b *Budget) RecordRequest() {
	if b.tokens.Add(b.percent) > maxSavedRetries*retryCost {
		b.tokens.Store(maxSavedRetries * retryCost)
	}
}

// Spend takes one retry from the budget, and reports whether it may be sent.
func (b *Budget) Spend() bool {
	for {
		available := b.tokens.Load()
		if available < retryCost {
			b.denied.Add(1)
			return false
		}
		if b.tokens.CompareAndSwap(available, available-retryCost) {
			b.spent.Add(1)
			return true
		}
	}
}

// Spent returns how many retries were allowed.
func (b *Budget) Spent() int64 { return b.spent.Load() }

// Denied returns how many retries were not allowed.
func (b *Budget) Denied() int64 { return b.denied.Load() }
