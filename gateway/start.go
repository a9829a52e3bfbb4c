package gateway

import (
	"context"
	"time"

	"redwinghall/balance"
)

// startupWait is how long after its start a node lets callers wait for what it
// serves by: longer than the first reads take where the store answers.
const startupWait = time.Second

// awaitStartup waits until what is awaited is known, while this node has just started.
// It reports whether it is.
//
// Guard: when all nodes start again at once, those who come first were mostly
// turned away or cut off before, and have no try left. Refused for what the node
// knows a moment later, they get no answer at all.
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

// awaitEndpoints waits for the endpoints' entries where none was chosen because
// this node has read none yet. It reports whether a choice may come out otherwise now.
func (g *Gateway) awaitEndpoints(ctx context.Context, now time.Time, refused *balance.Refusal) bool {
	return refused.Reason == balance.NoEndpoint && !isClosed(g.Book.Listed()) && g.awaitStartup(ctx, now, g.Book.Listed())
}
