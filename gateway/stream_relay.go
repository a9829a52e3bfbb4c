package gateway

import (
	"errors"
	"io"
	"time"

	"redwinghall/balance"
	"redwinghall/eventstream"
	"redwinghall/fleet"
	"redwinghall/platform"
)

// sendHeaders sends the response headers of the first endpoint; those of later
// endpoints are dropped.
func (c *streamCall) sendHeaders(response *Response) {
	if c.headersSent.Swap(true) {
		return
	}
	platform.CopyResponseHeaders(c.w.Header(), response.Header)
	c.w.WriteHeader(response.Status)
}

// relay forwards events until the response ends. The error is nil only if the
// response was complete.
func (c *streamCall) relay(run *streamRun) error {
	choice, response := run.choice, run.response
	c.blank = nil
	c.unread.Store(false)
	ahead := c.g.newAheadBody(c.w, c.r, run.body, aheadEvents{unread: &c.unread, onEnd: choice.Attempt.Cancel, onBytes: func(now time.Time) {
		choice.Attempt.RecordEvent(now, nil)
		c.g.recordResponded(now, choice.Endpoint, response)
	}})
	defer ahead.close()
	c.ahead.Store(ahead)
	events := eventstream.NewSplitter(ahead, &c.g.eventBytes)
	defer events.Close()
	pace := c.predictedPause()
	for {
		event, err := events.Next()
		if (err == nil || errors.Is(err, io.EOF)) && !c.admit(run, event) {
			return ErrStalled
		}
		if errors.Is(err, io.EOF) {
			return c.endRelay(run)
		}
		if err != nil {
			return err
		}
		if err := events.CheckBlank(event); err != nil {
			return err
		}
		if events.InBlank() {
			if err := c.writeBlank(choice.Endpoint, response, event); err != nil {
				return err
			}
			continue
		}
		now := time.Now()
		c.recordArrival(now, run, pace)
		if c.alreadySent(event) {
			continue
		}
		c.recordEventTime(now)
		c.sendHeaders(response)
		if err := c.write(event); err != nil {
			return err
		}
		if !events.Buffered() {
			if err := c.flushEvents(); err != nil {
				return err
			}
		}
	}
}

// endRelay passes on what is left at the end of a complete response.
func (c *streamCall) endRelay(run *streamRun) error {
	if run.response.endsSoundly() {
		run.gate.recordProven(time.Now())
	}
	c.sendHeaders(run.response)
	if len(c.blank) > 0 {
		if err := c.write(nil); err != nil {
			return errors.Join(err, c.flushEvents())
		}
	}
	return c.flushEvents()
}

// recordArrival records that an event came. One that was read on was recorded then.
func (c *streamCall) recordArrival(now time.Time, run *streamRun, pace func(int) time.Duration) {
	choice := run.choice
	if !c.ahead.Load().isOld() {
		choice.Attempt.RecordEvent(now, pace)
	}
	c.g.recordResponded(now, choice.Endpoint, run.response)
	if !run.gate.proven && choice.Attempt.SinceFirstEvent(now) >= provenAfter {
		run.gate.recordProven(now)
	}
}

func (c *streamCall) flushEvents() error {
	ahead := c.ahead.Load()
	ahead.beginWrite(time.Now())
	defer ahead.endWrite()
	return c.flush.Flush()
}

func (c *streamCall) write(event []byte) error {
	if len(c.blank) > 0 {
		event = append(c.blank, event...)
		c.blank = nil
	}
	n, err := aheadWriter{c.w, c.ahead.Load()}.Write(event)
	c.bytes += int64(n)
	return err
}

// writeBlank passes blank lines and comments on, behind the first event only: they may come without end, and don't
// show that the endpoint answers.
func (c *streamCall) writeBlank(e *fleet.Endpoint, response *Response, event []byte) error {
	c.g.recordResponded(time.Now(), e, response)
	if !c.headersSent.Load() {
		c.blank = append(c.blank, event...)
		return nil
	}
	if err := c.write(event); err != nil {
		return err
	}
	return c.flushEvents()
}

// alreadySent reports whether the caller already has an event. If not, it records the
// id of the event as the last one sent.
func (c *streamCall) alreadySent(event []byte) bool {
	id, ok := eventstream.ID(event)
	if !ok {
		return false
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.hasID && id <= c.lastID {
		return true
	}
	c.lastID, c.hasID = id, true
	return false
}

func (c *streamCall) recordEventTime(now time.Time) {
	if c.firstEventAt.IsZero() {
		c.firstEventAt = now
	} else {
		c.longestPause = max(c.longestPause, now.Sub(c.lastEventAt))
	}
	c.lastEventAt = now
}

// predictedPause returns a function that predicts the pause between events for a
// number of running requests from the engine's parameters. It is nil if the service
// has no engine or the model is unknown.
func (c *streamCall) predictedPause() func(int) time.Duration {
	if c.r.Service.Engine == nil {
		return nil
	}
	model, ok := c.r.Service.Engine.Model(c.r.Info.Model)
	if !ok {
		return nil
	}
	pace := balance.NewPace(c.r.Service.Engine, model, 1)
	return func(running int) time.Duration { return pace.Pass(running, 0) }
}
