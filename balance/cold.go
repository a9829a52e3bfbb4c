package balance

import (
	"time"

	"github.com/cespare/xxhash/v2"

	"redwinghall/fleet"
)

// admits reports whether an endpoint can take one more request now, as far as
// its being cold limits it.
//
// Guard: a cold endpoint falls over under full load, and all nodes send at
// once when it appears. Each node spends only its own part of the rate.
func (a Request) admits(now time.Time, s *State, e *fleet.Endpoint) bool {
	if a.Service.ColdPerSecond <= 0 || !e.ColdAt(now) {
		return true
	}
	share := a.coldShare(e)
	return share > 0 && s.cold.has(now, share/2, share/2)
}

// minColdShare is the share of a node below which only some nodes send: a
// bucket of one that gains one a second lets two through in a second.
const minColdShare = 2

// coldShare returns the most requests that this node sends to a cold endpoint
// in any second: half of it at once, and half of it a second.
func (a Request) coldShare(e *fleet.Endpoint) float64 {
	share := a.ColdRateOtherZones
	if e.Zone == a.Zone {
		share = a.ColdRateOwnZone
	}
	if share >= minColdShare {
		return share
	}
	const parts = 1 << 16
	if float64(xxhash.Sum64String(a.Node+"|"+e.ID)%parts) < share/minColdShare*parts {
		return minColdShare
	}
	return 0
}
