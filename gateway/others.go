package gateway

import (
	"context"
	"math/rand/v2"
	"time"

	"redwinghall/fleet"
)

const (
	// askedAtOnce is how many endpoints are asked whether they answer while another one is silent, at
	// most once in askInterval.
	askedAtOnce = 2
	askInterval = 200 * time.Millisecond
)

// othersAnswer reports whether another endpoint has answered this node lately.
//
// If all endpoints fall silent together, this node or its link stands still. A stream that moved then would go to
// one that is as silent, and would have no attempt left.
func (g *Gateway) othersAnswer(now time.Time, silent *fleet.Endpoint) bool {
	return g.Presence == nil || g.Background == nil || g.Paths.HeardFromOther(now.Add(-minStallTimeout), silent.ID)
}

// askOthers asks in the background endpoints that could take a stream whether they answer.
func (c *streamCall) askOthers(now time.Time) {
	g := c.g
	if g.Presence == nil || g.Background == nil || !g.mayAskOthers(now) {
		return
	}
	candidates, tried := g.candidates(c.r), c.triedEndpoints()
	asked := 0
	for _, i := range rand.Perm(len(candidates)) {
		e := candidates[i]
		if tried[e.ID] {
			continue
		}
		if asked++; asked > askedAtOnce {
			return
		}
		g.Background("ask_endpoint", func(ctx context.Context) {
			if found := g.Presence(ctx, e, firstQuestion); found == fleet.PresenceAlive || found == fleet.PresenceAnswered {
				g.Paths.Responded(time.Now(), e.Service, e.ID)
			}
		})
	}
}

// mayAskOthers reports whether endpoints may be asked now, and takes note of it.
func (g *Gateway) mayAskOthers(now time.Time) bool {
	last := g.othersAskedAt.Load()
	return now.UnixNano()-last >= askInterval.Nanoseconds() && g.othersAskedAt.CompareAndSwap(last, now.UnixNano())
}

// candidates returns the endpoints that serve a request's service and model.
func (g *Gateway) candidates(r *Request) []*fleet.Endpoint {
	view := g.Cache.View()
	if r.Service.Engine != nil {
		return view.Heads(r.Service.Name, r.Info.Model)
	}
	return view.ByService[r.Service.Name]
}
