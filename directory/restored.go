package directory

import (
	"time"

	"k8s.io/klog/v2"

	"redwinghall/fleet"
)

const (
	// RestoredGrace is how long the entry of an endpoint that had left is held back after the
	// store was restored from an older copy. By then the entry has expired, unless the
	// endpoint is alive and has written it again.
	RestoredGrace = 4500 * time.Millisecond
	// goneRetention is how long endpoints that left are remembered. It is longer than the age
	// of any copy.
	goneRetention = time.Minute
	// OlderGrace is how long an entry is held back that its endpoint wrote before the known one. A live endpoint writes
	// again within it, even if the store delays several of its writes.
	OlderGrace = 15 * time.Second
)

// restored reconciles entries that are older than the known state with it: those of a store that was restored from an
// older copy, and writes that are done late, after newer ones.
//
// State that the store acknowledged must not be undone by an older copy. Otherwise a draining
// endpoint would be ready again, an endpoint that is gone would get requests, and a zone that
// was taken out would be back, until each is written again. A late write would undo what its endpoint said since: a
// group that serves would have no members, and they would be joined to another one.
type restored struct {
	gone map[string]goneEndpoint
	held map[string]heldEndpoint
	// zonesIn holds the zones that the copy doesn't take out of service, and when each is
	// in service again.
	zonesIn map[string]time.Time
}

type goneEndpoint struct {
	startedMillis int64
	at            time.Time
}

type heldEndpoint struct {
	endpoint *fleet.Endpoint
	until    time.Time
}

func newRestored() restored {
	return restored{gone: map[string]goneEndpoint{}, held: map[string]heldEndpoint{}, zonesIn: map[string]time.Time{}}
}

// keepsKnown reports whether the known state of an endpoint takes precedence over an entry, which is held back then.
// An endpoint that goes on writing such entries was started with a clock that had been put back.
func (r *restored) keepsKnown(now time.Time, known, entry *fleet.Endpoint) bool {
	if known == nil || !isOlder(entry, known) {
		return false
	}
	held, ok := r.held[entry.ID]
	if !ok {
		klog.InfoS("older_entry_held", "endpoint", entry.ID, "state", entry.State, "known", known.State,
			"sequence", entry.Sequence, "known_sequence", known.Sequence, "started", entry.StartedMillis, "known_started", known.StartedMillis)
		held.until = now.Add(OlderGrace)
	}
	held.endpoint = entry
	r.held[entry.ID] = held
	return true
}

// isOlder reports whether an endpoint wrote an entry before a known one. Sequence numbers start anew with each process,
// so they tell nothing without its start.
func isOlder(entry, known *fleet.Endpoint) bool {
	if entry.StartedMillis == 0 || known.StartedMillis == 0 {
		return false
	}
	return entry.StartedMillis < known.StartedMillis || (entry.StartedMillis == known.StartedMillis && entry.Sequence < known.Sequence)
}

// keepsGone reports whether a restored entry of an unknown endpoint is held back, as the endpoint had left.
func (r *restored) keepsGone(now time.Time, entry *fleet.Endpoint) bool {
	left, ok := r.gone[entry.ID]
	if !ok || entry.StartedMillis > left.startedMillis {
		return false
	}
	if _, held := r.held[entry.ID]; !held {
		klog.InfoS("restored_entry_held", "endpoint", entry.ID, "state", entry.State, "left", now.Sub(left.at))
		r.held[entry.ID] = heldEndpoint{endpoint: entry, until: now.Add(RestoredGrace)}
	}
	return true
}

// noteGone records that an endpoint is gone.
func (r *restored) noteGone(now time.Time, e *fleet.Endpoint) {
	r.gone[e.ID] = goneEndpoint{startedMillis: e.StartedMillis, at: now}
}

func (r *restored) forget(id string) {
	delete(r.gone, id)
	delete(r.held, id)
}

// due returns the held-back endpoints whose grace is over, and forgets endpoints that left
// longer than goneRetention ago.
func (r *restored) due(now time.Time) []*fleet.Endpoint {
	for id, left := range r.gone {
		if now.Sub(left.at) > goneRetention {
			delete(r.gone, id)
		}
	}
	var due []*fleet.Endpoint
	for _, one := range r.held {
		if !now.Before(one.until) {
			due = append(due, one.endpoint)
		}
	}
	return due
}
