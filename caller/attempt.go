package caller

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"net/http"
	"time"

	"k8s.io/klog/v2"

	"redwinghall/kernel"
)

// errSilent means that the endpoint has sent nothing for StallTimeout.
var errSilent = errors.New("the endpoint is silent")

// errTakenOver means that another attempt goes on with the response.
var errTakenOver = errors.New("another attempt goes on with the response")

// attempt is a request of the rest of the response from one target.
//
// If the endpoint hangs, or a device on the path has lost the state of the connection, the
// connection stays silent forever and the caller would wait until its deadline. So if the next
// chunk does not arrive within StallTimeout, another group continues from the same position. The
// endpoint may be sound all the same, and the other one may fail the request: the silent
// attempt stays open until the other one has brought a chunk. Whichever brings one first goes on,
// and the other one ends.
type attempt struct {
	relay  *relay
	where  target
	prefix uint64
	parent context.Context // of this attempt and of its takeover
	ctx    context.Context
	cancel context.CancelFunc
	stall  *kernel.Timer

	// The rest is guarded by relay.mu.
	silent   *attempt  // this attempt is made as that one is silent; nil once one of the two goes on
	takeover *takeover // is made as this one is silent
	complete bool      // only the end of the HTTP response is to come
	ended    bool
}

// takeover is the attempts that are made while another one is silent.
type takeover struct {
	cancel context.CancelFunc
	done   chan struct{} // closed once they have ended
	err    error         // set before done is closed
}

// attempt makes one attempt. taken reports that others were made as it was silent, and that err is their result.
func (l *relay) attempt(ctx context.Context, prefix uint64, where target, silent *attempt) (taken bool, err error) {
	if where.group != nil {
		defer func() {
			where.group.Release()
			l.model.Gate.Wake(time.Now())
		}()
	}
	a := &attempt{relay: l, where: where, prefix: prefix, parent: ctx, silent: silent}
	a.ctx, a.cancel = context.WithCancel(ctx)
	defer a.cancel()
	a.stall = kernel.AfterFunc(l.server.config.StallTimeout, a.onSilence)
	defer a.stall.Stop()
	err = a.exchange()
	t := a.end(err)
	if t == nil {
		return false, err
	}
	<-t.done
	if err == nil || errors.Is(err, errCallerGone) {
		return false, err
	}
	return true, t.err
}

func (a *attempt) exchange() error {
	response, err := a.relay.send(a.ctx, a.where)
	if err != nil {
		return err
	}
	defer func() { _ = response.Body.Close() }()
	if response.StatusCode != http.StatusOK {
		return fmt.Errorf("endpoint responded with HTTP status %d", response.StatusCode)
	}
	return a.copy(NewEventReader(response.Body))
}

// end records that the attempt has ended, and returns its takeover, which goes on if the response isn't complete.
func (a *attempt) end(err error) *takeover {
	a.relay.mu.Lock()
	defer a.relay.mu.Unlock()
	a.ended = true
	if a.takeover != nil && (err == nil || errors.Is(err, errCallerGone)) {
		a.takeover.cancel()
	}
	return a.takeover
}

// onSilence starts the takeover, or ends an attempt that has had its time: it is part of a takeover itself, or its own
// has failed.
func (a *attempt) onSilence() {
	a.relay.mu.Lock()
	defer a.relay.mu.Unlock()
	switch {
	case a.ended:
	case a.complete, a.takeover != nil, a.silent != nil && !a.silent.ended:
		a.cancel()
	default:
		a.startTakeover()
	}
}

// startTakeover makes further attempts beside this one. The caller holds relay.mu.
func (a *attempt) startTakeover() {
	klog.InfoS("attempt_silent", "request_id", a.relay.request.id, "address", a.where.address, "position", a.relay.sequence.next)
	g := kernel.NewGroup(a.parent)
	t := &takeover{cancel: g.Stop, done: make(chan struct{}), err: errTakenOver}
	a.takeover = t
	g.Task("takeover", func(ctx context.Context) {
		defer g.Stop()
		defer close(t.done)
		a.relay.recordFailure(a.where)
		t.err = a.relay.complete(ctx, a.prefix, a)
		a.stall.Reset(a.relay.server.config.StallTimeout) // it may still go on
	})
}

// goOn makes this attempt the one that goes on, and returns what has ended thereby and must be waited for. The caller
// holds relay.mu.
func (a *attempt) goOn() (dropped *takeover) {
	if a.silent != nil {
		a.silent.cancel()
		a.silent = nil
	}
	if dropped = a.takeover; dropped != nil {
		dropped.cancel()
		a.takeover = nil
	}
	return dropped
}

// copy sends events to the sink until the end mark, which has a position in the
// sequence like any chunk.
func (a *attempt) copy(events *EventReader) error {
	deliver := func(position int, data []byte) error { // with relay.mu held
		if bytes.Equal(data, doneData) {
			a.complete = true
			return a.relay.sink.done(position)
		}
		return a.relay.sink.chunk(position, data, events.More())
	}
	for !a.complete { // set by this goroutine
		event, err := events.Next()
		if err != nil {
			return fmt.Errorf("stream ended before its end mark: %w", unexpectedEOF(err))
		}
		a.stall.Reset(a.relay.server.config.StallTimeout)
		dropped, err := a.add(event, deliver)
		if dropped != nil {
			<-dropped.done // it uses the relay's state until then
		}
		if err != nil {
			return err
		}
	}
	a.stall.Reset(streamEndTimeout)
	events.drain()
	return nil
}

// add adds an event to the response unless another attempt goes on with that.
func (a *attempt) add(event Event, deliver func(position int, data []byte) error) (dropped *takeover, err error) {
	a.relay.mu.Lock()
	defer a.relay.mu.Unlock()
	if a.ctx.Err() != nil {
		return nil, errTakenOver
	}
	before := a.relay.sequence.received()
	valid, err := a.relay.sequence.add(event, deliver)
	if a.relay.sequence.received() > before {
		dropped = a.goOn()
	}
	if err == nil && !valid {
		err = errBadStream
	}
	return dropped, err
}
