// Package ramp decides how much work each router may send to a group, so that
// a group that has just started gets no more than it bears. It does no I/O.
package ramp

import (
	"redwinghall"
)

// Input is what a router knows when it asks for its share.
type Input struct {
	Group     redwinghall.Group
	Completed uint64 // by the leader since it started
	Owner     bool   // this router alone feeds the group while it is cold
	Routers   int    // live routers of the zone, this one included
}

// Ramp returns how many requests this router may have in progress in a group.
type Ramp interface {
	Share(in Input) int
}

// SingleOwner is the ramp of the product.
//
// Guard: after a cold start an engine falls over under a load that it later
// bears with ease. If each router had a small start limit of its own, N
// routers together would send N times as much; callers would see the group
// fall over again and again. While the group is cold only its owner sends,
// and its limit rises with completed work, never with time.
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

// coldLimit rises in a straight line from ColdInFlight to MaxInFlight while
// the first WarmAfter requests complete.
func coldLimit(g redwinghall.Group, completed uint64) int {
	rise := (g.MaxInFlight - g.ColdInFlight) * int(completed) / max(1, g.WarmAfter)
	return g.ColdInFlight + rise
}
