package gateway

import "sync/atomic"

// maxEventBytes bounds what the streams hold together of events that are larger than usual.
const maxEventBytes = 512 << 10

// byteBudget bounds the memory of what all requests hold together. It implements eventstream.Budget.
type byteBudget struct {
	limit int64
	used  atomic.Int64
}

// Take reports whether n more bytes may be held, and counts them if so.
func (b *byteBudget) Take(n int64) bool {
	if b.used.Add(n) <= b.limit {
		return true
	}
	b.used.Add(-n)
	return false
}

// GiveBack ends the holding of n bytes.
func (b *byteBudget) GiveBack(n int64) { b.used.Add(-n) }
