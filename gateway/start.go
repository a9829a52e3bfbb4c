package gateway

import (
	"context"
	"time"

	"redwinghall/balance"
)

// startupWait is how long after the start of a node requests wait for its first
// reads of the store. While the store responds, these finish sooner.
const startupWait = time.Second

// awaitStartup waits until known is closed, but no longer than startupWait after the
// start of this node. It reports whether known is closed.
//
// After a simultaneous restart of all nodes, most of the first callers have already
// been refused or cut off and have no attempt left. Refusing them because of data
// that the node reads a moment later would leave them without any response.
func (g *Gateway) awaitStartup(ctx context.Context, now time.Time, known <-chan struct{}) bool {
	left := startupWait - now.Sub(g.started)
	if left <= 0 {
		return isClosed(known)
	}
	timer := time.NewTimer(left)
	defer timer.Stop()
	select {
	case <-known:
	case <-timer.C:
	case <-ctx.Done():
	}
	return isClosed(known)
}

func isClosed(c <-chan struct{}) bool {
	select {
	case <-c:
		return true
	default:
		return false
	}
}

// awaitEndpoints waits for the first read of the endpoint entries if no endpoint was
// chosen because the request's view is older than that read, which may have ended during
// the choice. It reports whether the choice should be repeated with a new view.
func (g *Gateway) awaitEndpoints(ctx context.Context, now time.Time, r *Request, refused *balance.Refusal) bool {
	return refused.Reason == balance.NoEndpoint && !r.endpointsRead.Load() && g.awaitStartup(ctx, now, g.Cache.Listed())
}
