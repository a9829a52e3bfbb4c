package balance

import (
	"time"

	"github.com/cespare/xxhash/v2"

	"redwinghall/fleet"
)

// admitsCold reports whether the rate limit for cold endpoints allows another
// request to an endpoint now.
//
// A cold endpoint fails under full load, and all nodes start sending when it
// appears. So each node sends only its own share of the rate.
func (r Request) admitsCold(now time.Time, s *State, e *fleet.Endpoint) bool {
	if r.Service.ColdPerSecond <= 0 || !e.ColdAt(now) {
		return true
	}
	share := r.coldShare(e)
	return share > 0 && s.cold.has(now, share/2, share/2)
}

// minColdShare is the share below which only some nodes send: a token bucket of
// size 1 that refills at 1 per second allows 2 requests in one second.
const minColdShare = 2

// coldShare returns the most requests that this node sends to a cold endpoint in
// any second. Half of it is the burst and half the refill rate per second. Which
// nodes send when the share is below minColdShare is decided by a hash.
func (r Request) coldShare(e *fleet.Endpoint) float64 {
	share := r.ColdRateOtherZones
	if e.Zone == r.Zone {
		share = r.ColdRateOwnZone
	}
	if share >= minColdShare {
		return share
	}
	const parts = 1 << 16
	if float64(xxhash.Sum64String(r.Node+"|"+e.ID)%parts) < share/minColdShare*parts {
		return minColdShare
	}
	return 0
}
