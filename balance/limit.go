package balance

import (
	"time"

	"redwinghall/fleet"
)

// limitWord is what an endpoint last said of its limit, as far as this node knows.
type limitWord struct {
	limit fleet.RateLimit
	at    time.Time // when it was said
}

// Limited takes in what an answer says of the endpoint's limit. It returns what
// was known before, and whether that has changed.
func (v *Visit) Limited(now time.Time, limit fleet.RateLimit) (before fleet.RateLimit, changed bool) {
	v.t.mu.Lock()
	defer v.t.mu.Unlock()
	before = v.s.limit.limit
	if !limit.Named && !before.Named {
		return before, false
	}
	v.s.limit = limitWord{limit: limit, at: now}
	return before, before != limit
}
