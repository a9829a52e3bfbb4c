package gateway

import (
	"context"
	"net/http"
	"sync"
	"time"

	"redwinghall"
	"redwinghall/balance"
	"redwinghall/kernel"
)

const (
	// maxBufferedResponse is the size up to which a response is read completely
	// before it is forwarded, so that a truncated one can be replaced by a retry.
	maxBufferedResponse = 256 << 10
	// smallBufferedResponse is what is read of each response. More is read only while less than maxAnswerBytes
	// are held of all responses together: an endpoint may send responses without end to all requests.
	smallBufferedResponse = 4 << 10
	maxAnswerBytes        = 1 << 20
	copyBufferSize        = 4 << 10
	// maxDials bounds how many failed connection attempts to endpoints one request
	// may cause.
	maxDials = 3
	// attemptTimeShare is the fraction of the remaining time that one attempt is alone
	// while a retry is still possible.
	attemptTimeShare = 0.4
)

// plainCall is the state of one request to a plain service.
type plainCall struct {
	g *Gateway
	r *Request

	// mu guards the rest, which attempts in progress at the same time share.
	mu          sync.Mutex
	tried       map[string]bool
	sent        int // attempts whose request may have reached an endpoint
	failedDials int // failed connection attempts
	// mayHaveRun is true if an endpoint may have executed the request.
	mayHaveRun bool
	// answered is true once an attempt has the answer for the caller.
	answered bool
	// served is set once the caller has the whole response of a call that an endpoint has served.
	served  bool
	running []*plainRun
	// hedges runs all hedges of the call, nil before the first.
	hedges *kernel.Group
}

// servePlain handles a request whose response is a single body.
func (g *Gateway) servePlain(ctx context.Context, w http.ResponseWriter, r *Request) {
	call := &plainCall{g: g, r: r, tried: map[string]bool{}}
	if why := call.checkStop(time.Now()); why != nil {
		g.refuse(w, r, *why)
		return
	}
	defer call.recordCallTime()
	last := call.answer(ctx)
	defer last.close()
	if last.refused != nil {
		g.refuse(w, r, call.truthful(*last.refused))
		return
	}
	g.finishPlain(ctx, w, call, last)
	call.served = last.isServed()
}

// answer returns the result for the caller, after all other attempts have ended.
func (c *plainCall) answer(ctx context.Context) plainAttempt {
	defer c.endHedges()
	return c.tryEndpoints(ctx, false)
}

// tryEndpoints makes attempts until one has an answer, or no other may be made. It is called for the hedges of an
// attempt too.
func (c *plainCall) tryEndpoints(ctx context.Context, isHedge bool) plainAttempt {
	for {
		gate := &quarantineGate{g: c.g, r: c.r}
		if why := gate.pass(ctx); why != nil {
			return plainAttempt{refused: why}
		}
		choice, refused := c.g.choosePlain(ctx, c.r, c.g.balanceRequest(c.r, c.triedEndpoints()))
		if refused != nil {
			gate.endTrial()
			if c.g.awaitEndpoints(ctx, time.Now(), c.r, refused) {
				c.r.takeView(c.g.Cache)
				continue
			}
			why := c.g.noEndpointRefusal(refused)
			return plainAttempt{refused: &why}
		}
		// Time has passed if the call waited for a trial, a permit or the first endpoints.
		if why := c.checkStop(time.Now()); why != nil {
			choice.Attempt.Cancel()
			gate.endTrial()
			return plainAttempt{refused: why}
		}
		c.logAccepted(time.Now())
		run := c.beginRun(ctx, choice, gate)
		run.fresh = isHedge || c.ranSomewhere() // the connections to a silent endpoint may have broken with others
		last := c.attempt(run)
		if result, ok := c.join(run, last); ok {
			return result
		}
		if !c.shouldRetry(ctx, last) {
			return last
		}
		last.close()
		c.r.takeView(c.g.Cache)
	}
}

// choosePlain chooses the endpoint of a plain service.
func (g *Gateway) choosePlain(ctx context.Context, r *Request, req balance.Request) (balance.Choice, *balance.Refusal) {
	return g.withinLimits(ctx, r, func(now time.Time) (balance.Choice, *balance.Refusal) {
		return g.Tracker.ChoosePlain(now, r.view().ByService[r.Service.Name], r.view().ZonesOut, req)
	})
}

// checkStop refuses an attempt that would not end before a planned stop of this node. The estimate is
// kept per route, since calls of one service differ: it may answer look-ups immediately and
// take seconds for bookings.
func (c *plainCall) checkStop(now time.Time) *refusal {
	stop, expected := c.g.stop(), c.g.callTimes.longest(c.r.Route.Name)
	if stop.Accepts(now, c.r.ending(expected)) {
		return nil
	}
	why := stop.refusal(now, expected)
	return &why
}

// logAccepted writes the line of a call that is sent although this node stops.
func (c *plainCall) logAccepted(now time.Time) {
	c.g.stop().logAccepted(now, c.r, c.g.callTimes.longest(c.r.Route.Name))
}

// recordCallTime records the duration of the call for its route.
func (c *plainCall) recordCallTime() {
	if c.sentAttempts() > 0 {
		c.g.callTimes.record(c.r.Route.Name, kernel.RunTime(c.r.Arrived, time.Now()), c.served)
	}
}

// truthful returns a refusal with a status that guarantees that nothing was executed only if no endpoint may have
// run the request.
func (c *plainCall) truthful(why refusal) refusal {
	if c.ranSomewhere() {
		why.status = http.StatusBadGateway
	}
	return why
}

// mayRunAgain reports whether the call may be sent to another endpoint: not once its caller gets a part of an answer.
func (c *plainCall) mayRunAgain(now time.Time) bool {
	c.mu.Lock()
	answered := c.answered
	c.mu.Unlock()
	return !answered && c.r.Idempotent() && c.sentAttempts() < c.r.Route.MaxAttempts && c.g.hasAlternative(now, c.r, c.triedEndpoints())
}

// shouldRetry reports whether the request may be sent to another endpoint.
func (c *plainCall) shouldRetry(ctx context.Context, last plainAttempt) bool {
	now := time.Now()
	switch {
	case ctx.Err() != nil || c.checkStop(now) != nil:
		return false
	case redwinghall.KindOf[Kind](last.err) == NotSent:
		return c.dialsFailed() < maxDials && c.r.Left(now) > minRemaining
	case last.notRun:
		return c.g.mayRetry(c.r, c.sentAttempts(), now)
	case !c.r.Idempotent():
		return false
	case last.err != nil || last.response.Status >= http.StatusInternalServerError:
		return c.g.mayRetry(c.r, c.sentAttempts(), now)
	}
	return false
}
