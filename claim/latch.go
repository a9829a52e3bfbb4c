package claim

import "sync/atomic"

// Latch decides once whether an attempt's call is sent or refused.
//
// Without it, a deadline that passes while the call is being sent could make the
// router answer "not run" although the call is sent a moment later; a caller
// that sends the request again would then be charged twice. Both transitions compare and swap the
// same state, so exactly one of them succeeds.
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
