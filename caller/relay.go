package caller

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"slices"
	"strconv"
	"time"

	"k8s.io/klog/v2"

	"redwinghall"
	"redwinghall/kernel"
	"redwinghall/route"
)

// lingerTime is how long an endpoint may take to end its HTTP answer after
// the end mark. Only a connection that was read to its end can be used again;
// without it each request would open a new one.
const lingerTime = 50 * time.Millisecond

// backoffStep is the first pause before a try that follows two that brought
// nothing: the first retry goes to another group at once, later ones give a
// short disturbance time to pass.
const backoffStep = 25 * time.Millisecond

// backoff doubles with each fruitless try; half of it is random, so that
// requests that failed together do not come back together.
func backoff(fruitless int) time.Duration {
	full := backoffStep << (fruitless - 2)
	return full/2 + rand.N(full/2)
}

// avoidAfterFailure keeps a group that failed a request out of the first
// choice for a while, so that retries do not meet the same straggler again.
const avoidAfterFailure = 2 * time.Second

// relay brings one answer from the endpoints to the caller, over as many
// tries as it takes, so that the caller sees one answer.
type relay struct {
	server   *Server
	request  *request
	model    *route.ModelView
	body     []byte
	sink     sink
	sequence *sequence

	failed *route.Slot
	tried  map[string]bool // gateways that failed this request
}

var (
	// errSinkGone means that the caller no longer reads.
	errSinkGone = errors.New("the caller is gone")
	// errAnswered means that the answer has begun, so that no refusal can
	// take its place.
	errAnswered = errors.New("the answer has begun")
)

// target is where one try goes.
type target struct {
	address string
	slot    *route.Slot // nil: another router
}

// run tries until the answer is complete, the deadline passes, the budget is
// spent, or several tries in a row bring nothing. A try that brought chunks
// does not count: an answer that advances is worth going on with.
func (l *relay) run(ctx context.Context, prefix uint64) error {
	var last error
	fruitless := 0 // tries in a row that brought no chunk
	for try := 0; fruitless < l.server.config.MaxAttempts; try++ {
		if try > 0 && !l.server.budget.Spend() {
			break
		}
		from := l.sequence.next
		where, err := l.choose(ctx, prefix, try)
		if err != nil {
			if last == nil {
				last = err
			}
			break
		}
		last = l.try(ctx, where)
		if last == nil {
			return nil
		}
		if errors.Is(last, errSinkGone) || ctx.Err() != nil {
			break
		}
		klog.V(1).InfoS("try_failed", "request_id", l.request.id, "address", where.address,
			"position", l.sequence.next, "cause", last.Error())
		l.noteFailure(where)
		fruitless++
		if l.sequence.next > from {
			fruitless = 0
		}
		if fruitless > 1 && !kernel.Sleep(ctx, backoff(fruitless)) {
			break
		}
	}
	return l.giveUp(ctx, last)
}

func (l *relay) noteFailure(where target) {
	if where.slot != nil {
		where.slot.Avoid(time.Now().Add(avoidAfterFailure))
		l.failed = where.slot
		return
	}
	if l.tried == nil {
		l.tried = map[string]bool{}
	}
	l.tried[where.address] = true
}

// giveUp ends an answer that cannot be completed, at once.
func (l *relay) giveUp(ctx context.Context, cause error) error {
	if errors.Is(cause, errSinkGone) || l.sink.abort(redwinghall.CodeAnswerIncomplete) {
		return redwinghall.NewOpError("relay.giveUp", redwinghall.CodeAnswerIncomplete, errAnswered)
	}
	if redwinghall.KindOf[redwinghall.Code](cause) != "" || codeOf(cause) != redwinghall.CodeEndpointFailed {
		return cause
	}
	if ctx.Err() != nil {
		return redwinghall.NewOpError("relay.giveUp", redwinghall.CodeAnswerIncomplete, cause)
	}
	return redwinghall.NewOpError("relay.giveUp", redwinghall.CodeEndpointFailed, cause)
}

// choose returns where to try next: a group of this zone; the router that
// feeds the zone's cold groups when all are cold and none is fed from here; or
// a router of another zone when this one is out of service or has no usable
// group.
func (l *relay) choose(ctx context.Context, prefix uint64, try int) (target, error) {
	s := l.server
	out := s.board.View().ZoneOut(s.config.AvailabilityZone)
	if !out && l.request.hops == 0 {
		if owner := s.board.ColdOwner(l.model.Model.ID, time.Now(), l.tried); owner != "" {
			return target{address: owner}, nil
		}
	}
	if !out {
		slot, err := l.chooseSlot(ctx, prefix, try)
		if err == nil {
			return target{address: slot.Group().Leader().Address, slot: slot}, nil
		}
		if codeOf(err) != redwinghall.CodeNoCapacity {
			return target{}, err
		}
	}
	if l.request.hops == 0 {
		if where, ok := s.gateway(l.tried, func(g route.Gateway) bool { return slices.Contains(g.Models, l.model.Model.ID) }); ok {
			return where, nil
		}
	}
	if !out && s.board.Whole(l.model.Model.ID, time.Now()) > 0 {
		return l.waitForGrant(ctx)
	}
	return target{}, redwinghall.NewOpError("relay.choose", redwinghall.CodeNoCapacity, nil)
}

// waitForGrant waits for a group that is whole but cold, which nobody may feed
// yet: its owner asks for it within moments.
func (l *relay) waitForGrant(ctx context.Context) (target, error) {
	slot, err := l.model.Gate.Enter(ctx, time.Now(), l.request.account)
	if err != nil {
		return target{}, err
	}
	return target{address: slot.Group().Leader().Address, slot: slot}, nil
}

func (l *relay) chooseSlot(ctx context.Context, prefix uint64, try int) (*route.Slot, error) {
	if try > 0 {
		if slot := l.server.board.PickOther(l.model.Model.ID, time.Now(), l.failed); slot != nil {
			return slot, nil
		}
	}
	return l.server.enter(ctx, l.request, l.model, prefix)
}

// gateway returns a router of another zone that is in service and serves what
// is wanted. Zones are tried in a random order.
func (s *Server) gateway(tried map[string]bool, serves func(route.Gateway) bool) (target, bool) {
	view := s.board.View()
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

// try asks one target for the rest of the answer.
func (l *relay) try(ctx context.Context, where target) error {
	if where.slot != nil {
		defer func() {
			where.slot.Release()
			l.model.Gate.Wake(time.Now())
		}()
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	// Guard: a connection that something in between has lost track of stays
	// silent for good, and so does an endpoint that is frozen. The caller
	// would wait until its deadline. Each chunk must follow the one before
	// within the bound, or the try ends, its connection is closed, and another
	// group goes on from the same position.
	stall := time.AfterFunc(l.server.config.StallTimeout, cancel)
	defer stall.Stop()

	answer, err := l.send(ctx, where)
	if err != nil {
		return err
	}
	defer func() { _ = answer.Body.Close() }()
	if answer.StatusCode != http.StatusOK {
		return fmt.Errorf("endpoint answered with status %d", answer.StatusCode)
	}
	return l.copy(NewEventReader(answer.Body), stall)
}

func (l *relay) send(ctx context.Context, where target) (*http.Response, error) {
	out, err := http.NewRequestWithContext(ctx, http.MethodPost,
		"http://"+where.address+"/v1/chat/completions", bytes.NewReader(l.body))
	if err != nil {
		return nil, err
	}
	out.Header.Set("Content-Type", "application/json")
	out.Header.Set(HeaderRequestID, l.request.id)
	if l.sequence.next > 0 {
		out.Header.Set(HeaderLastEvent, EventID(l.request.id, l.sequence.next-1))
	}
	if where.slot == nil {
		s := l.request
		out.Header.Set("Authorization", s.http.Header.Get("Authorization"))
		out.Header.Set(HeaderHops, strconv.Itoa(s.hops+1))
		setRemaining(ctx, out)
	}
	return l.server.streams.RoundTrip(out)
}

// setRemaining hands on how much time the request has left.
func setRemaining(ctx context.Context, out *http.Request) {
	if deadline, ok := ctx.Deadline(); ok {
		out.Header.Set(HeaderTimeout, time.Until(deadline).Round(time.Millisecond).String())
	}
}

// copy passes the events on until the end mark, which has its place in the
// order like any chunk.
func (l *relay) copy(events *EventReader, stall *time.Timer) error {
	complete := false
	deliver := func(position int, data []byte) error {
		if bytes.Equal(data, doneData) {
			complete = true
			return l.sink.done(position)
		}
		return l.sink.chunk(position, data, events.More())
	}
	for !complete {
		event, err := events.Next()
		if err != nil {
			return fmt.Errorf("stream ended before its end mark: %w", endOf(err))
		}
		stall.Reset(l.server.config.StallTimeout)
		trusted, err := l.sequence.offer(event, deliver)
		if err != nil {
			return err
		}
		if !trusted {
			return errBadStream
		}
	}
	stall.Reset(lingerTime)
	events.drain()
	return nil
}

func endOf(err error) error {
	if errors.Is(err, io.EOF) {
		return io.ErrUnexpectedEOF
	}
	return err
}
