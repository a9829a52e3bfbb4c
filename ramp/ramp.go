// Package ramp implements slow start: it limits the requests that each router
// may have in progress at a group, so that a group that has just started isn't
// overloaded. It does no I/O.
package ramp

import (
	"redwinghall"
)

// Input holds what determines a router's share of a group's limit.
type Input struct {
	Group     redwinghall.Group
	Completed uint64 // requests completed by the leader since it started
	Owner     bool   // whether this is the only router that sends to the group while it is cold
	Routers   int    // live routers of the zone, including this one
}

// Ramp limits the requests that a router may have in progress at a group.
type Ramp interface {
	// Share returns the most requests that the router may have in progress.
	Share(in Input) int
}

// SingleOwner is the ramp used in production. While a group is cold only its owner
// sends to it, and the owner's limit rises with completed requests, not with time.
//
// After a cold start an engine fails under a load that it can handle once warm.
// If each router had a small limit of its own, N routers together would send N
// times as much, and the group would fail again after each restart.
type SingleOwner struct{}

// Share implements Ramp.
func (SingleOwner) Share(in Input) int {
	g := in.Group
	if int(in.Completed) < g.WarmAfter {
		if !in.Owner {
			return 0
		}
		return coldLimit(g, in.Completed)
	}
	return max(1, g.MaxInFlight/max(1, in.Routers))
}

// coldLimit rises linearly from ColdInFlight to MaxInFlight while the first
// WarmAfter requests complete.
func coldLimit(g redwinghall.Group, completed uint64) int {
	rise := (g.MaxInFlight - g.ColdInFlight) * int(completed) / max(1, g.WarmAfter)
	return g.ColdInFlight + rise
}
