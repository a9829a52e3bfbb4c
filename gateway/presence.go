package gateway

import (
	"context"

	"redwinghall/fleet"
)

// latestEntry returns the entry of the process that runs at an endpoint by now. The endpoint may have started again
// since it was chosen, or before: a request that was sent to it reached the next process then.
func (g *Gateway) latestEntry(e *fleet.Endpoint) *fleet.Endpoint {
	latest, listed := g.Cache.View().Endpoints[e.ID]
	if listed && latest.StartedMillis > e.StartedMillis && latest.Address == e.Address {
		return latest
	}
	return e
}

// presence finds out whether an endpoint's process still runs after its response broke off.
func (g *Gateway) presence(ctx context.Context, e *fleet.Endpoint) fleet.Presence {
	if g.Presence == nil {
		return fleet.PresenceUnknown
	}
	found := g.Presence(ctx, e)
	g.Metrics.BrokenOff(found)
	return found
}
