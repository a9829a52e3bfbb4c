package endpointhttp

import (
	"context"
	"net"
	"net/http"
	"sync/atomic"
	"time"

	"redwinghall/fleet"
	"redwinghall/httpanswer"
	"redwinghall/kernel"
	"redwinghall/platform"
)

// maxOpeningStandstill is for how long this process may have stood still between the sending of a request and the opening of a
// witness, well below what a process takes to start again.
const maxOpeningStandstill = 50 * time.Millisecond

// maxWitnesses bounds the witnesses at a time. Callers that read slowly would have answers, and so witnesses, last; each takes memory here
// and one of the connections that the endpoint accepts.
const maxWitnesses = 64

// Witness is a connection to an endpoint that was opened while its answer came, and on which nothing is sent until that has ended.
//
// The process that answers has accepted it, or its kernel for it, and it ends with the process. So only this process answers there: the
// servers of plain services name no start, and on a connection that is opened behind the end their next process would pass for the one before.
type Witness struct {
	upstream *Upstream
	endpoint *fleet.Endpoint
	sent     time.Time
	ready    chan struct{} // closed when the connection is open, or won't be
	stop     context.CancelFunc

	// Set before ready is closed.
	conn   net.Conn // nil if it isn't open
	opened time.Time
}

// OpenWitness begins to open a witness of the process that got a request at sent. It must be closed.
func (u *Upstream) OpenWitness(ctx context.Context, e *fleet.Endpoint, sent time.Time) *Witness {
	ctx, stop := context.WithCancel(ctx)
	w := &Witness{upstream: u, endpoint: e, sent: sent, ready: make(chan struct{}), stop: stop}
	kernel.NewGroup(ctx).Task("open_witness", w.open) // ends with ctx
	return w
}

// open opens the connection, which is closed when ctx ends.
func (w *Witness) open(ctx context.Context) {
	defer close(w.ready)
	if w.upstream.witnesses.Add(1) > maxWitnesses {
		w.upstream.witnesses.Add(-1)
		return
	}
	conn, err := httpanswer.TrueEnds(w.upstream.open)(ctx, "tcp", w.endpoint.Address)
	if err != nil {
		w.upstream.witnesses.Add(-1)
		return
	}
	w.conn, w.opened = conn, time.Now()
	context.AfterFunc(ctx, func() {
		_ = conn.Close() // the question may have closed it
		w.upstream.witnesses.Add(-1)
	})
}

// Close closes the connection.
func (w *Witness) Close() { w.stop() }

// IsOpen reports whether the connection was opened. It waits until that is clear.
func (w *Witness) IsOpen(ctx context.Context) bool {
	select {
	case <-w.ready:
		return w.conn != nil
	case <-ctx.Done():
		return false
	}
}

// Ask asks once whether the process that got the request runs, over the connection, which must be open. Unknown tells nothing: the
// endpoint may have closed it.
func (w *Witness) Ask(ctx context.Context, timeout time.Duration) fleet.Presence {
	found := platform.PresenceOver(ctx, askedOnce{w.transport()}, w.endpoint, timeout)
	if found == fleet.PresenceAnswered && w.provesProcess() {
		return fleet.PresenceAlive
	}
	return found
}

// provesProcess reports whether no other process than that which got the request can have accepted the connection.
//
// One may have, if this process stood still before it opened the connection, or if the end of idle connections shows that the
// process ended since the request was sent.
func (w *Witness) provesProcess() bool {
	stoodStill := w.opened.Sub(w.sent) - kernel.RunTime(w.sent, w.opened)
	return stoodStill <= maxOpeningStandstill && !w.upstream.endedSince(w.endpoint.Address, w.sent)
}

// transport returns a transport for one request over the connection.
func (w *Witness) transport() *http.Transport {
	var taken atomic.Bool
	return &http.Transport{
		DialContext: func(_ context.Context, network, _ string) (net.Conn, error) {
			if taken.Swap(true) {
				return nil, &net.OpError{Op: "dial", Net: network, Err: errNoneOpen}
			}
			return w.conn, nil
		},
		DisableCompression: true, ReadBufferSize: connBufferSize, WriteBufferSize: connBufferSize, MaxResponseHeaderBytes: maxHeadBytes,
	}
}
