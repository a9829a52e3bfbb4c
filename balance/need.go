package balance

import "time"

// How the connections that an endpoint accepts are divided between the nodes. Half of them in equal parts, so that
// each node can begin; the rest by need, that is, by what each has in progress there. One node may get most callers
// for some time, and equal parts alone would make it refuse them while the endpoint and the other nodes are idle.
const (
	equalShares = 1
	allShares   = 2
)

// EqualConnections returns how many connections each node may have open to an endpoint at any time, of those that
// the endpoint accepts from all nodes.
func EqualConnections(all, nodes int) int { return max(1, all*equalShares/allShares/max(1, nodes)) }

// connectionLimit returns how many connections this node may have open to an endpoint now, 0 if there is no limit.
// If the nodes know each other's loads, the sum over them is Connections at most.
func (r Request) connectionLimit(now time.Time, s *State) int {
	if r.Connections <= 0 {
		return 0
	}
	equal := EqualConnections(r.Connections, r.Nodes)
	byNeed := max(0, r.Connections-equal*max(1, r.Nodes))
	own := s.own + 1
	return equal + byNeed*own/(own+s.others(now).Requests)
}

// isFull reports whether this node may open no further connection to an endpoint.
func (r Request) isFull(now time.Time, s *State) bool {
	limit := r.connectionLimit(now, s)
	return limit > 0 && s.own >= limit
}

// totals are the requests in progress at all endpoints. The tracker's lock guards them.
type totals struct {
	own                    int
	ownZone, otherZones    int // of the other nodes of this zone, and of all nodes of the others
	ownZoneAt, otherZoneAt time.Time
}

// ownZoneTotal returns the requests of the other nodes of this zone, and whether that is known.
func (t *totals) ownZoneTotal(now time.Time) (requests int, known bool) {
	return t.ownZone, !t.ownZoneAt.IsZero() && now.Sub(t.ownZoneAt) <= ownZoneLoadTTL
}

// timesOwn estimates how many times what this node sends the other nodes of its zone send, or those of all zones:
// as many times as they have more in progress. If that isn't known, each is taken to send as much as this node.
func (t *totals) timesOwn(now time.Time, nodes int, allZones bool) float64 {
	most := float64(max(0, nodes-1))
	others, known := t.ownZoneTotal(now)
	if !known {
		return most
	}
	if allZones && now.Sub(t.otherZoneAt) <= otherZoneLoadTTL {
		others += t.otherZones
	} else if allZones {
		return most
	}
	// Without any requests all nodes count the same.
	return min(most, (float64(others)+most)/float64(t.own+1))
}

// prepare returns the request with the tracker's estimates of the other nodes' load. The lock is held.
func (t *Tracker) prepare(now time.Time, request Request) Request {
	request.bias, request.random = t.bias, t.Random
	request.timesOwnZone = t.totals.timesOwn(now, request.ZoneNodes, false)
	request.timesAllZones = t.totals.timesOwn(now, request.Nodes, true)
	return request
}

const (
	// gatherFactor is how many times the mean of its zone's other nodes a node has in progress if it gets most
	// callers, and gatherSlack a number of requests that are nothing out of the ordinary.
	gatherFactor = 3
	gatherSlack  = 8
)

// CarriesMost reports whether this node has far more requests in progress than the other nodes of its zone.
func (t *Tracker) CarriesMost(now time.Time, zoneNodes int) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	others, known := t.totals.ownZoneTotal(now)
	return known && zoneNodes > 1 && t.totals.own > gatherFactor*others/(zoneNodes-1)+gatherSlack
}
