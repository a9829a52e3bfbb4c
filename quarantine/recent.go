package quarantine

import (
	"strings"
	"time"
)

// maxRecentParts bounds each of the two generations of recentParts: callers choose the ids of parts.
const maxRecentParts = 4096

// recentParts holds when endpoints last answered on parts, of those used last. The zero value is empty.
type recentParts struct {
	newer, older map[Part]time.Time
}

func (r *recentParts) set(part Part, at time.Time) {
	if _, known := r.newer[part]; !known {
		if len(r.newer) >= maxRecentParts || r.newer == nil {
			r.newer, r.older = make(map[Part]time.Time), r.newer
		}
		part.ID = strings.Clone(part.ID) // it is a piece of the request's headers
	}
	r.newer[part] = at
}

// at returns when an endpoint last answered on a part, zero if that isn't known.
func (r *recentParts) at(part Part) time.Time {
	if at, ok := r.newer[part]; ok {
		return at
	}
	return r.older[part]
}
