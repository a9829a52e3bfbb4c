package claim

import "sync/atomic"

// Latch decides once whether an attempt's call is sent or refused.
//
// Guard: a deadline that passes while the call is being sent could tell the
// caller "not run" although the bytes leave a moment later; the caller books
// again and pays twice. Sending and refusing are one compare-and-set, so
// exactly one of them happens.
type Latch struct {
	state atomic.Int32
}

const (
	latchOpen int32 = iota
	latchSent
	latchRefused
)

// Dispatch reports whether the call may be sent. Only the first of Dispatch
// and Refuse succeeds.
func (l *Latch) Dispatch() bool { return l.state.CompareAndSwap(latchOpen, latchSent) }

// Refuse reports whether the request may be refused as not run.
func (l *Latch) Refuse() bool {
	return l.state.CompareAndSwap(latchOpen, latchRefused) || l.state.Load() == latchRefused
}
