package balance

import (
	"slices"
	"time"

	"redwinghall/fleet"
)

// complaint is a node's word that an endpoint doesn't answer it.
type complaint struct {
	node string
	at   time.Time
}

// Complaints of so many nodes within complaintTrust count as this node's own
// failure. One node alone may itself be cut off.
const (
	complaintsNeeded = 2
	complaintTrust   = time.Second
)

// RecordFailureReport notes that an endpoint doesn't answer another node, for which this one chooses.
func (t *Tracker) RecordFailureReport(now time.Time, id, node string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	s := t.state(id, now)
	s.complaints = slices.DeleteFunc(s.complaints, func(c complaint) bool {
		return c.node == node || now.Sub(c.at) >= complaintTrust
	})
	s.complaints = append(s.complaints, complaint{node: node, at: now})
	if len(s.complaints) < complaintsNeeded {
		return
	}
	if now.Sub(s.backoffUntil) > backoffLongest {
		s.backoff = 0
	}
	s.backOff(now)
}

// BackedOff returns the endpoints among some that this node leaves alone.
func (t *Tracker) BackedOff(now time.Time, endpoints []*fleet.Endpoint) []string {
	t.mu.Lock()
	defer t.mu.Unlock()
	var shunned []string
	for _, e := range endpoints {
		if s, ok := t.states[e.ID]; ok && now.Before(s.backoffUntil) {
			shunned = append(shunned, e.ID)
		}
	}
	return shunned
}
