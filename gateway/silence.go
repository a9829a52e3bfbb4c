package gateway

import (
	"sync"
	"time"

	"redwinghall/balance"
)

// watchStall calls end once nothing has moved in the group for too long and the
// stream may go on elsewhere. The returned function stops it.
//
// Guard: a group that lost a member moves nothing for seconds, and its callers
// leave after two. But an answer is never ended only because it is slow: where
// no other group can go on with it, the stream waits.
func (c *streamCall) watchStall(choice balance.Choice, cancel func()) func() {
	w := &stallWatch{call: c, choice: choice, cancel: cancel, limit: c.stallTimeout()}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.timer = time.AfterFunc(w.limit, w.check)
	return w.stop
}

// stallWatch is the timer of one attempt.
type stallWatch struct {
	mu       sync.Mutex
	call     *streamCall
	choice   balance.Choice
	cancel   func()
	limit    time.Duration
	timer    *time.Timer
	stopped  bool
	reported bool
}

func (w *stallWatch) check() {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.stopped {
		return
	}
	now := time.Now()
	if silent := w.choice.Visit.Silent(now); silent < w.limit {
		w.timer.Reset(max(stallCheckInterval, w.limit-silent))
		return
	}
	if !w.reported {
		w.reported = true
		w.call.g.Tracker.Unreachable(now, w.choice.Endpoint.ID)
		w.call.g.ReportStall(w.choice.Endpoint.ID)
	}
	if w.call.mayResumeElsewhere(now) {
		w.cancel()
		return
	}
	w.timer.Reset(stallCheckInterval)
}

func (w *stallWatch) stop() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.stopped = true
	w.timer.Stop()
}

// mayResumeElsewhere reports whether the stream may go on at another group now, and
// spends the retry for it.
func (c *streamCall) mayResumeElsewhere(now time.Time) bool {
	if !c.r.Idempotent() || c.sent.Load() >= int64(c.r.Route.MaxAttempts) {
		return false
	}
	view := c.g.Book.View()
	others := view.ByService[c.r.Service.Name]
	if c.r.Service.Engine != nil {
		others = view.Heads(c.r.Service.Name, c.r.Ask.Model)
	}
	if !c.g.Tracker.EndpointLeft(now, others, view.ZonesOut, c.g.ask(c.r, c.tried)) {
		return false
	}
	return c.g.mayRetry(c.r, int(c.sent.Load()), now)
}
