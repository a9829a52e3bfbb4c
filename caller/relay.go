package caller

import (
	"bytes"
	"context"
	"errors"
	"io"
	"math/rand/v2"
	"net/http"
	"slices"
	"strconv"
	"sync"
	"time"

	"k8s.io/klog/v2"

	"redwinghall"
	"redwinghall/kernel"
	"redwinghall/route"
)

// streamEndTimeout is how long an endpoint may take to end its HTTP response after the
// end mark. A connection can be reused only if the response was read to its end;
// otherwise each request would open a new connection.
const streamEndTimeout = 50 * time.Millisecond

// minBackoff is the backoff after two attempts in a row without a chunk. The first
// retry goes to another group at once; the delay of later ones lets a short
// disturbance pass.
const minBackoff = 25 * time.Millisecond

// backoff returns the delay after a number of attempts in a row without a chunk. It
// doubles with each attempt. Half of it is random, so that requests that failed
// together are not retried together.
func backoff(emptyAttempts int) time.Duration {
	full := minBackoff << (emptyAttempts - 2)
	return full/2 + rand.N(full/2)
}

// avoidTime is how long a group that failed a request is avoided while there are
// others, so that retries do not go to the same slow or broken group again.
const avoidTime = 2 * time.Second

// relay streams one response from the endpoints to the caller. It may take several
// attempts at different endpoints; the caller receives a single response.
type relay struct {
	server  *Server
	request *request
	model   *route.ModelView
	body    []byte
	sink    sink
	// mu guards sequence and sink while a silent attempt and its takeover are both in progress.
	mu       sync.Mutex
	sequence *sequence

	failedGroup   *route.TrackedGroup
	failedRouters map[string]bool // addresses of routers that failed this request

	attempts    int  // attempts that were made
	retryDenied bool // the retry budget allowed no further attempt
}

var (
	// errCallerGone means that the caller has disconnected.
	errCallerGone = errors.New("the caller has disconnected")
	// errResponseStarted means that the response has started, so that no refusal
	// can be sent instead.
	errResponseStarted = errors.New("the response has already started")
)

// target is the destination of one attempt.
type target struct {
	address string
	group   *route.TrackedGroup // nil if the target is another router
}

// run makes attempts until the response is complete or can't be completed.
func (l *relay) run(ctx context.Context, prefix uint64) error {
	if err := l.complete(ctx, prefix, nil); err != nil {
		return l.giveUp(ctx, err)
	}
	return nil
}

// complete makes attempts until the response is complete, the deadline passes, the retry
// budget is exhausted, or MaxAttempts attempts in a row bring no new chunk. An attempt
// that brought one resets the count, since the response is making progress, also if the
// chunk waits for an earlier one. They are those of the takeover of a silent attempt unless
// that is nil.
func (l *relay) complete(ctx context.Context, prefix uint64, silent *attempt) error {
	var last error
	emptyAttempts, attempt := 0, 0 // attempts in a row without a chunk, all attempts
	if silent != nil {
		emptyAttempts, attempt, last = 1, 1, errSilent
	}
	for ; emptyAttempts < l.server.config.MaxAttempts; attempt++ {
		if attempt > 0 && !l.server.budget.Spend() {
			l.retryDenied = true
			break
		}
		from, received := l.progress()
		where, err := l.choose(ctx, prefix, attempt)
		if err != nil {
			if last == nil {
				last = err
			}
			break
		}
		var taken bool
		taken, last = l.attempt(ctx, prefix, where, silent)
		l.attempts++
		if last == nil || taken {
			return last
		}
		if errors.Is(last, errCallerGone) || ctx.Err() != nil {
			break
		}
		position, total := l.progress()
		klog.InfoS("attempt_failed", "request_id", l.request.id, "address", where.address,
			"from", from, "position", position, "buffered", total-position, "cause", last.Error())
		l.recordFailure(where)
		emptyAttempts++
		if total > received {
			emptyAttempts = 0
		}
		if emptyAttempts > 1 && !kernel.Sleep(ctx, backoff(emptyAttempts)) {
			break
		}
	}
	return last
}

// progress returns which chunk is the next one, and how many have come.
func (l *relay) progress() (next, received int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.sequence.next, l.sequence.received()
}

func (l *relay) recordFailure(where target) {
	if where.group != nil {
		where.group.Avoid(time.Now().Add(avoidTime))
		l.failedGroup = where.group
		return
	}
	if l.failedRouters == nil {
		l.failedRouters = map[string]bool{}
	}
	l.failedRouters[where.address] = true
}

// giveUp ends a response that cannot be completed. If it has started, giveUp sends an
// error event to the caller; otherwise it returns the error for the refusal.
func (l *relay) giveUp(ctx context.Context, cause error) error {
	if l.attempts > 0 && !errors.Is(cause, errCallerGone) {
		klog.InfoS("stream_given_up", "request_id", l.request.id, "position", l.sequence.next, "attempts", l.attempts,
			"retry_denied", l.retryDenied, "after", time.Since(l.request.started), "deadline_passed", ctx.Err() != nil, "cause", cause)
	}
	if errors.Is(cause, errCallerGone) || l.sink.abort(redwinghall.CodeAnswerIncomplete) {
		return redwinghall.NewOpError("relay.giveUp", redwinghall.CodeAnswerIncomplete, errResponseStarted)
	}
	if redwinghall.KindOf[redwinghall.Code](cause) != "" || codeOf(cause) != redwinghall.CodeEndpointFailed {
		return cause
	}
	if ctx.Err() != nil {
		return redwinghall.NewOpError("relay.giveUp", redwinghall.CodeAnswerIncomplete, cause)
	}
	return redwinghall.NewOpError("relay.giveUp", redwinghall.CodeEndpointFailed, cause)
}

// choose returns the target of the next attempt, the first of these that exists:
//
//   - the router that owns a cold group of this zone, if this router may not send to
//     any usable group itself
//   - a group of this zone, after waiting for capacity
//   - a router of another zone
//   - a healthy cold group of this zone, after waiting for a grant
//
// Groups of this zone are left out while it is out of service. A request that another
// router forwarded is not forwarded again.
func (l *relay) choose(ctx context.Context, prefix uint64, attempt int) (target, error) {
	s := l.server
	out := s.selector.View().ZoneOut(s.config.AvailabilityZone)
	if !out && l.request.hops == 0 {
		if owner := s.selector.ColdOwner(l.model.Model.ID, time.Now(), l.failedRouters); owner != "" {
			return target{address: owner}, nil
		}
	}
	if !out {
		group, err := l.chooseGroup(ctx, prefix, attempt)
		if err == nil {
			return target{address: group.Group().Leader().Address, group: group}, nil
		}
		if codeOf(err) != redwinghall.CodeNoCapacity {
			return target{}, err
		}
	}
	if l.request.hops == 0 {
		if where, ok := s.chooseGateway(l.failedRouters, func(g route.Gateway) bool { return slices.Contains(g.Models, l.model.Model.ID) }); ok {
			return where, nil
		}
	}
	if !out && s.selector.CountHealthy(l.model.Model.ID, time.Now()) > 0 {
		return l.waitForGrant(ctx)
	}
	return target{}, redwinghall.NewOpError("relay.choose", redwinghall.CodeNoCapacity, nil)
}

// waitForGrant waits until this router may send to a group that is healthy but cold.
// The router that owns the group will request a grant for it.
func (l *relay) waitForGrant(ctx context.Context) (target, error) {
	group, err := l.model.Gate.Acquire(ctx, time.Now(), l.request.account)
	if err != nil {
		return target{}, err
	}
	return target{address: group.Group().Leader().Address, group: group}, nil
}

func (l *relay) chooseGroup(ctx context.Context, prefix uint64, attempt int) (*route.TrackedGroup, error) {
	if attempt > 0 {
		if group := l.server.selector.PickOther(l.model.Model.ID, time.Now(), l.failedGroup); group != nil {
			return group, nil
		}
	}
	return l.server.acquireGroup(ctx, l.request, l.model, prefix)
}

// chooseGateway returns a router that has not been tried, of another zone that is in
// service and for which serves returns true. Zones and their routers are considered in
// random order.
func (s *Server) chooseGateway(tried map[string]bool, serves func(route.Gateway) bool) (target, bool) {
	view := s.selector.View()
	for _, i := range rand.Perm(len(view.Gateways)) {
		g := view.Gateways[i]
		if view.ZoneOut(g.AvailabilityZone) || !serves(g) || len(g.Routers) == 0 {
			continue
		}
		for _, j := range rand.Perm(len(g.Routers)) {
			if !tried[g.Routers[j]] {
				return target{address: g.Routers[j]}, true
			}
		}
	}
	return target{}, false
}

func (l *relay) send(ctx context.Context, where target) (*http.Response, error) {
	out, err := http.NewRequestWithContext(ctx, http.MethodPost,
		"http://"+where.address+"/v1/chat/completions", bytes.NewReader(l.body))
	if err != nil {
		return nil, err
	}
	out.Header.Set("Content-Type", "application/json")
	out.Header.Set(HeaderRequestID, l.request.id)
	if next, _ := l.progress(); next > 0 {
		out.Header.Set(HeaderLastEvent, EventID(l.request.id, next-1))
	}
	if where.group == nil {
		s := l.request
		out.Header.Set("Authorization", s.http.Header.Get("Authorization"))
		out.Header.Set(HeaderHops, strconv.Itoa(s.hops+1))
		setRemaining(ctx, out)
	}
	return l.server.streams.RoundTrip(out)
}

// setRemaining sets the Request-Timeout header to the time left until the deadline.
func setRemaining(ctx context.Context, out *http.Request) {
	if deadline, ok := ctx.Deadline(); ok {
		out.Header.Set(HeaderTimeout, time.Until(deadline).Round(time.Millisecond).String())
	}
}

func unexpectedEOF(err error) error {
	if errors.Is(err, io.EOF) {
		return io.ErrUnexpectedEOF
	}
	return err
}
