package gateway

import (
	"maps"
	"time"

	"redwinghall/eventstream"
)

// admit reports whether an event, or with nil the end of a response, may be passed on to the caller: not if a takeover
// has won. One that hasn't is dropped, as the endpoint isn't silent any more; blank lines and comments don't show that.
func (c *streamCall) admit(run *streamRun, event []byte) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if run.abandoned {
		return false
	}
	isEvent := !eventstream.IsBlank(event)
	if _, ok := eventstream.ID(event); isEvent && !ok {
		c.unnumbered = true
	}
	if c.takeover != nil && (isEvent || event == nil) {
		c.takeover.dropLocked()
	}
	return true
}

// beginTrial records the gate of an attempt that is sent as the trial of a suspected part. Other attempts are not recorded.
func (c *streamCall) beginTrial(gate *quarantineGate) {
	if !gate.trial {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.trials == nil {
		c.trials = map[*quarantineGate]bool{}
	}
	c.trials[gate] = true
}

// endTrial ends the trial of the request with its last attempt.
func (c *streamCall) endTrial(gate *quarantineGate) {
	c.mu.Lock()
	delete(c.trials, gate)
	last := len(c.trials) == 0
	c.mu.Unlock()
	if last {
		gate.endTrial()
	}
}

// lastEvent returns the id of the last event that was passed on, or with which the caller came.
func (c *streamCall) lastEvent() (id int64, ok bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.lastID, c.hasID
}

// triedEndpoints returns the endpoints that got an attempt.
func (c *streamCall) triedEndpoints() map[string]bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return maps.Clone(c.tried)
}

// recordRefused records that no endpoint takes the stream over.
func (c *streamCall) recordRefused(now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.refusedAt = now
}

// isAbandoned reports whether another attempt goes on with the stream.
func (run *streamRun) isAbandoned() bool {
	run.call.mu.Lock()
	defer run.call.mu.Unlock()
	return run.abandoned
}
