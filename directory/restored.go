package directory

import (
	"time"

	"k8s.io/klog/v2"

	"redwinghall/fleet"
)

const (
	// RestoredGrace is how long an entry stays aside that a store which came back older
	// holds of an endpoint that has left: by then its silence has removed it, unless the
	// endpoint lives and has written again.
	RestoredGrace = 4500 * time.Millisecond
	// rememberLeft is how long endpoints that left are remembered, longer than a copy is old.
	rememberLeft = time.Minute
)

// restored holds what a store that came back from an older copy says against what is known.
//
// Guard: what the store acknowledged before must not come undone because a copy is older. An
// endpoint that leaves would be ready again, one that is gone would get requests, and a
// zone that was taken out would be back, until each is written again.
type restored struct {
	gone    map[string]leftEndpoint
	held    map[string]heldEndpoint
	zonesIn map[string]time.Time // when zones count as back that the copy doesn't take out
}

type leftEndpoint struct {
	born int64
	at   time.Time
}

type heldEndpoint struct {
	endpoint *fleet.Endpoint
	until    time.Time
}

func newRestored() restored {
	return restored{gone: map[string]leftEndpoint{}, held: map[string]heldEndpoint{}, zonesIn: map[string]time.Time{}}
}

// keeps reports whether what is known of an endpoint stays in force against a restored entry.
// known is nil if the endpoint isn't.
func (r *restored) keeps(now time.Time, known, entry *fleet.Endpoint) bool {
	if known != nil {
		older := entry.StartedMillis < known.StartedMillis || (entry.StartedMillis == known.StartedMillis && entry.Sequence < known.Sequence)
		if older {
			klog.InfoS("restored_entry_older", "endpoint", entry.ID, "state", entry.State, "known", known.State,
				"sequence", entry.Sequence, "known_sequence", known.Sequence)
		}
		return older
	}
	left, ok := r.gone[entry.ID]
	if !ok || entry.StartedMillis > left.born {
		return false
	}
	if _, held := r.held[entry.ID]; !held {
		klog.InfoS("restored_entry_held", "endpoint", entry.ID, "state", entry.State, "left", now.Sub(left.at))
		r.held[entry.ID] = heldEndpoint{endpoint: entry, until: now.Add(RestoredGrace)}
	}
	return true
}

// left notes that an endpoint is gone.
func (r *restored) left(now time.Time, e *fleet.Endpoint) {
	r.gone[e.ID] = leftEndpoint{born: e.StartedMillis, at: now}
}

func (r *restored) forget(id string) {
	delete(r.gone, id)
	delete(r.held, id)
}

// due returns the endpoints whose entries outlasted their grace, and forgets those that left
// long ago.
func (r *restored) due(now time.Time) []*fleet.Endpoint {
	for id, left := range r.gone {
		if now.Sub(left.at) > rememberLeft {
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
