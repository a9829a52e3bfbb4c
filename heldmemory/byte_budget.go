package heldmemory

import "sync/atomic"

// Budget bounds the memory of what all requests hold together. It implements eventstream.Budget.
type Budget struct {
	Limit int64 // in bytes
	used  atomic.Int64
}

// Take reports whether n more bytes may be held, and counts them if so.
func (b *Budget) Take(n int64) bool {
	if b.used.Add(n) <= b.Limit {
		return true
	}
	b.used.Add(-n)
	return false
}

// GiveBack releases n bytes that were held.
func (b *Budget) GiveBack(n int64) { b.used.Add(-n) }

// Used returns how many bytes are held.
func (b *Budget) Used() int64 { return b.used.Load() }
