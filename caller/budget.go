package caller

import "sync/atomic"

// Budget bounds retries to a share of the requests.
//
// Guard: when a zone is lost, every request fails at first, and a router that
// retries each of them doubles the load on what is left; the remaining groups
// then fail too. Each request earns a fraction of a retry, a retry spends a
// whole one, so the load that endpoints see stays within the share.
type Budget struct {
	percent int64
	tokens  atomic.Int64 // hundredths of a retry
	spent   atomic.Int64
	denied  atomic.Int64
}

const (
	retryCost   = 100
	maxRetries  = 50 // that can be saved up
	firstTokens = 10
)

// NewBudget returns a budget of percent retries for 100 requests.
func NewBudget(percent int) *Budget {
	b := &Budget{percent: int64(percent)}
	b.tokens.Store(firstTokens * retryCost)
	return b
}

// RecordRequest counts a request.
func (b *Budget) RecordRequest() {
	if b.tokens.Add(b.percent) > maxRetries*retryCost {
		b.tokens.Store(maxRetries * retryCost)
	}
}

// Spend reports whether a retry may be sent.
func (b *Budget) Spend() bool {
	for {
		held := b.tokens.Load()
		if held < retryCost {
			b.denied.Add(1)
			return false
		}
		if b.tokens.CompareAndSwap(held, held-retryCost) {
			b.spent.Add(1)
			return true
		}
	}
}

// Spent returns how many retries were sent, and Denied how many were not.
func (b *Budget) Spent() int64 { return b.spent.Load() }

// Denied returns how many retries the budget stopped.
func (b *Budget) Denied() int64 { return b.denied.Load() }
