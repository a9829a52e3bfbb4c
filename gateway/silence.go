package gateway

import (
	"sync"
	"time"

	"redwinghall/balance"
)

// watch calls end once nothing has moved in the group for too long and the
// stream may go on elsewhere. The returned function stops it.
//
// Guard: a group that lost a member moves nothing for seconds, and its callers
// leave after two. But an answer is never ended only because it is slow: where
// no other group can go on with it, the stream waits.
func (c *streamCall) watch(choice balance.Choice, end func()) func() {
	w := &silenceWatch{call: c, choice: choice, end: end, limit: c.silenceOf()}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.timer = time.AfterFunc(w.limit, w.look)
	return w.stop
}

// silenceWatch is the timer of one attempt.
type silenceWatch struct {
	mu      sync.Mutex
	call    *streamCall
	choice  balance.Choice
	end     func()
	limit   time.Duration
	timer   *time.Timer
	stopped bool
	told    bool
}

func (w *silenceWatch) look() {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.stopped {
		return
	}
	now := time.Now()
	if silent := w.choice.Attempt.TimeWithoutEvent(now); silent < w.limit {
		w.timer.Reset(max(silenceCheck, w.limit-silent))
		return
	}
	if !w.told {
		w.told = true
		w.call.g.Tracker.MarkUnreachable(now, w.choice.Endpoint.ID)
		w.call.g.Stalled(w.choice.Endpoint.ID)
	}
	if w.call.mayMove(now) {
		w.end()
		return
	}
	w.timer.Reset(silenceCheck)
}

func (w *silenceWatch) stop() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.stopped = true
	w.timer.Stop()
}

// mayMove reports whether the stream may go on at another group now, and
// spends the retry for it.
func (c *streamCall) mayMove(now time.Time) bool {
	if !c.r.Idempotent() || c.sent.Load() >= int64(c.r.Route.MaxAttempts) {
		return false
	}
	view := c.g.Book.View()
	others := view.ByService[c.r.Service.Name]
	if c.r.Service.Engine != nil {
		others = view.Heads(c.r.Service.Name, c.r.Ask.Model)
	}
	if !c.g.Tracker.HasAlternative(now, others, view.ZonesOut, c.g.ask(c.r, c.tried)) {
		return false
	}
	return c.g.mayRetry(c.r, int(c.sent.Load()), now)
}
