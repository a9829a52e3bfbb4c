package gateway

import (
	"context"
	"errors"
	"io"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"k8s.io/klog/v2"

	"redwinghall/heldmemory"
	"redwinghall/kernel"
)

const (
	// SlowCallerInterval is how often WatchCallers is to be called. A caller that has gone while it was written to
	// is noticed within two of them.
	SlowCallerInterval = 200 * time.Millisecond
	// slowWriteTime is how long a write to a caller may take before the answer is read on without it.
	slowWriteTime = 200 * time.Millisecond
	// stoppedCallerTime is how long a caller whose time is over may take nothing.
	stoppedCallerTime = 30 * time.Second
	// aheadStep is the least that is allocated to read an answer on, and aheadShare the most that one answer may
	// take, as a fraction of what all answers may.
	aheadStep  = 4 << 10
	aheadShare = 0.25
)

// aheadBody is the body of an endpoint's answer, which is read on while its caller takes nothing.
//
// An endpoint cuts off an answer that remains unread for some seconds, and a group whose answer isn't read looks
// stalled. What was read on is kept until the caller takes it. Only the goroutine of the request calls Read and
// write. A caller that keeps up costs two stores for each write.
type aheadBody struct {
	g      *Gateway
	r      *Request
	body   io.Reader
	caller *http.ResponseController
	events aheadEvents
	// writingSince is when the present write to the caller began, in Unix nanoseconds, 0 if there is none.
	writingSince atomic.Int64

	mu      sync.Mutex
	changed sync.Cond // signals that reading has ended or that bytes were read
	reading bool      // a goroutine reads the body on
	closed  bool
	ahead   []byte // what was read on
	taken   int    // how much of it was passed on
	err     error  // the end of what was read on
	fromOld bool   // the last Read returned what had been read on
}

// aheadEvents tell what happens to an answer that is read on. They are not used once its body is closed.
type aheadEvents struct {
	// onBytes is called for what was read on, and onEnd once all was; they may be nil.
	onBytes func(now time.Time)
	onEnd   func()
	// unread is set while no more is read, for lack of memory or as all was.
	unread *atomic.Bool
}

// newAheadBody returns the body of an answer; close must be called once the answer has ended.
func (g *Gateway) newAheadBody(w http.ResponseWriter, r *Request, body io.Reader, events aheadEvents) *aheadBody {
	a := &aheadBody{g: g, r: r, body: body, caller: http.NewResponseController(w), events: events}
	a.changed.L = &a.mu
	if events.unread == nil {
		a.events.unread = new(atomic.Bool)
	}
	if r.memory.Bounded() {
		g.callers.add(a)
	}
	return a
}

// close ends the reading on. The body itself must be closed by whoever opened it.
func (a *aheadBody) close() {
	a.g.callers.remove(a)
	a.mu.Lock()
	defer a.mu.Unlock()
	a.closed = true
	a.drop()
}

// drop gives back what is held. The caller holds a.mu.
func (a *aheadBody) drop() {
	a.r.memory.GiveBack(heldmemory.Answers, int64(cap(a.ahead)))
	a.ahead, a.taken = nil, 0
}

// Read implements io.Reader.
func (a *aheadBody) Read(p []byte) (int, error) {
	a.mu.Lock()
	for a.taken == len(a.ahead) && a.reading {
		a.changed.Wait()
	}
	a.fromOld = a.taken < len(a.ahead)
	if a.fromOld {
		defer a.mu.Unlock()
		n := copy(p, a.ahead[a.taken:])
		if a.taken += n; a.taken == len(a.ahead) && !a.reading {
			a.drop()
		}
		return n, nil
	}
	err := a.err
	a.mu.Unlock()
	if err != nil {
		return 0, err
	}
	return a.body.Read(p)
}

// isOld reports whether what the last Read returned was told of as it was read on.
func (a *aheadBody) isOld() bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.fromOld || a.err != nil
}

// beginWrite records that the caller is written to. endWrite must be called afterwards.
func (a *aheadBody) beginWrite(now time.Time) { a.writingSince.Store(now.UnixNano()) }

func (a *aheadBody) endWrite() {
	a.writingSince.Store(0)
	if a.events.unread.Load() && !a.isEnded() {
		a.events.unread.Store(false)
	}
}

// isEnded reports whether the answer was read on to its end.
func (a *aheadBody) isEnded() bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.err != nil
}

// aheadWriter writes to the caller of an answer.
type aheadWriter struct {
	io.Writer
	ahead *aheadBody
}

// Write implements io.Writer.
func (w aheadWriter) Write(p []byte) (int, error) {
	w.ahead.beginWrite(time.Now())
	defer w.ahead.endWrite()
	return w.Writer.Write(p)
}

// writeTime returns for how long the present write has taken, 0 if there is none.
func (a *aheadBody) writeTime(now time.Time) time.Duration {
	since := a.writingSince.Load()
	if since == 0 {
		return 0
	}
	return kernel.RunTime(time.Unix(0, since), now)
}

// callerIsBehind reports whether the caller has yet to take something that has arrived.
func (a *aheadBody) callerIsBehind(now time.Time) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.taken < len(a.ahead) || a.writeTime(now) >= slowWriteTime
}

// watch reads the answer on if its caller takes nothing, and ends the write to one that has gone or stopped.
func (a *aheadBody) watch(now time.Time) {
	took := a.writeTime(now)
	if took < slowWriteTime {
		return
	}
	stopped := callerStopped(now, a.r.Deadline, took)
	if stopped || (a.r.callerLeft() && !a.r.isEnded()) { // the end of the node is not the caller's, and soon ends the write
		klog.InfoS("write_ended", "request", a.r.Info.ID, "took", took, "left", a.r.Left(now), "stopped", stopped)
		a.endWriteAt(now)
		return
	}
	if a.beginReading() {
		klog.InfoS("caller_slow", "request", a.r.Info.ID, "route", routeName(a.r), "took", took, "left", a.r.Left(now))
		a.g.Metrics.CallerSlow()
		a.g.Background("read_ahead", func(context.Context) { a.readOn() })
	}
}

// endWriteAt makes the present write fail. After the end of the request the connection may carry another one, whose
// answer would be cut.
func (a *aheadBody) endWriteAt(now time.Time) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if !a.closed && a.writingSince.Load() != 0 {
		_ = a.caller.SetWriteDeadline(now) // fails only if the connection is closed
	}
}

// callerStopped reports whether a caller that has taken nothing for some time counts as stopped. Before its time is
// over it never does.
func callerStopped(now, deadline time.Time, took time.Duration) bool {
	return now.After(deadline) && took >= stoppedCallerTime
}

// beginReading reports whether the answer is to be read on by a goroutine of its own from now on.
func (a *aheadBody) beginReading() bool {
	if a.g.Background == nil {
		return false
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	// A write that has ended may have been followed by a read of the request's own goroutine.
	if a.reading || a.closed || a.err != nil || a.events.unread.Load() || a.writingSince.Load() == 0 {
		return false
	}
	a.reading = true
	return true
}

// readOn reads until the caller takes something again, the answer ends or no memory is left.
func (a *aheadBody) readOn() {
	for {
		space := a.space()
		if space == nil {
			return
		}
		n, err := a.body.Read(space)
		if !a.store(time.Now(), n, err) {
			return
		}
	}
}

// space returns where the next bytes go, nil if there are to be none.
func (a *aheadBody) space() []byte {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.closed {
		a.endReading()
		return nil
	}
	if a.taken > 0 {
		a.ahead = a.ahead[:copy(a.ahead, a.ahead[a.taken:])]
		a.taken = 0
	}
	if len(a.ahead) == cap(a.ahead) && !a.grow() {
		a.recordUnread()
		a.endReading()
		a.g.logMemoryRefused(a.r, heldmemory.Answers, len(a.ahead))
		return nil
	}
	return a.ahead[len(a.ahead):cap(a.ahead)]
}

// recordUnread records that nothing is read while the caller is written to. A write that ends meanwhile may not have seen
// the record, which would hide a stalled endpoint from then on.
func (a *aheadBody) recordUnread() {
	a.events.unread.Store(true)
	if a.writingSince.Load() == 0 {
		a.events.unread.Store(false)
	}
}

// store keeps the n bytes that were read into the space, and reports whether to read on.
func (a *aheadBody) store(now time.Time, n int, err error) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.closed {
		a.endReading()
		return false
	}
	a.ahead = a.ahead[:len(a.ahead)+n]
	if n > 0 && a.events.onBytes != nil {
		a.events.onBytes(now)
	}
	if err != nil {
		a.end(err)
	}
	if err != nil || a.writingSince.Load() == 0 {
		a.endReading()
		return false
	}
	a.changed.Broadcast()
	return true
}

// end records the end of the answer. The caller holds a.mu.
func (a *aheadBody) end(err error) {
	a.err = err
	a.events.unread.Store(true)
	if errors.Is(err, io.EOF) && a.events.onEnd != nil {
		a.events.onEnd()
	}
}

// endReading ends the goroutine's reading. The caller holds a.mu.
func (a *aheadBody) endReading() {
	a.reading = false
	a.changed.Broadcast()
}

// grow makes room for more bytes, and reports whether it could. The caller holds a.mu.
func (a *aheadBody) grow() bool {
	size := max(aheadStep, 2*cap(a.ahead))
	most := aheadShare * float64(heldmemory.Ceiling(a.r.memory.Limit(), heldmemory.Answers, a.r.memory.Urgency()))
	if float64(size) > most || !a.r.memory.Take(heldmemory.Answers, int64(size)) {
		return false
	}
	larger := make([]byte, len(a.ahead), size)
	copy(larger, a.ahead)
	a.drop()
	a.ahead = larger
	return true
}

// callers holds the answers that are being passed on. The zero value is empty.
type callers struct {
	mu  sync.Mutex
	all map[*aheadBody]bool
}

func (c *callers) add(a *aheadBody) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.all == nil {
		c.all = map[*aheadBody]bool{}
	}
	c.all[a] = true
}

func (c *callers) remove(a *aheadBody) {
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.all, a)
}

// slow returns the answers whose callers take nothing.
func (c *callers) slow(now time.Time) (slow []*aheadBody) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for a := range c.all {
		if a.writeTime(now) >= slowWriteTime {
			slow = append(slow, a)
		}
	}
	return slow
}

// WatchCallers looks after the callers that take their answers slowly.
func (g *Gateway) WatchCallers(now time.Time) {
	for _, a := range g.callers.slow(now) {
		a.watch(now)
	}
}
