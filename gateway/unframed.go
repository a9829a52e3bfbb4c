package gateway

import (
	"context"
	"errors"
	"io"
	"net/http"
	"time"

	"redwinghall/endpointhttp"
	"redwinghall/fleet"
	"redwinghall/kernel"
)

// lastProofShare is the share of the time left that the end of a response may be asked about if the request can't run
// again. The rest is for a status.
const lastProofShare = 0.8

// maxStandstill is for how long this process may have stood still in a response, if a process that names no start is to
// prove its end: another one may have started meanwhile, and be slow no more.
const maxStandstill = 300 * time.Millisecond

// errUnprovenEnd is the end of a response of which nothing shows that it is complete.
var errUnprovenEnd = errors.New("nothing shows that the response is complete")

// unframedBody is the body of a response that ends with its connection.
//
// The connections of a process that ends are closed like those after a complete response, and a part of the
// response would pass for all of it. So the response is complete only if the same process answers a question that was
// asked after the end, over a connection that was opened before it or by its start. If no such connection could be opened, one
// that names no start may answer at once, unless one of its connections was seen to end.
type unframedBody struct {
	io.ReadCloser
	witness *endpointhttp.Witness
	// presence finds out whether the process still runs, and found is its answer, "" before the end.
	presence func() fleet.Presence
	found    fleet.Presence
	// mayBeEmpty is false for a stream from its beginning: it has at least one event.
	mayBeEmpty bool
	hasBytes   bool
	begun      time.Time
}

// stoodStill reports whether this process stood still for so long that it can't tell what became of the endpoint meanwhile.
func (b *unframedBody) stoodStill(now time.Time) bool {
	return now.Sub(b.begun)-kernel.RunTime(b.begun, now) > maxStandstill
}

// Read implements io.Reader.
func (b *unframedBody) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	b.hasBytes = b.hasBytes || n > 0
	if !errors.Is(err, io.EOF) {
		return n, err
	}
	if !b.hasBytes && !b.mayBeEmpty {
		return n, io.ErrUnexpectedEOF
	}
	if b.found == "" {
		b.found = b.presence()
	}
	switch {
	case b.found == fleet.PresenceAlive, b.found == fleet.PresenceAnswered && !b.stoodStill(time.Now()):
		return n, err
	case b.found == fleet.PresenceGone:
		return n, io.ErrUnexpectedEOF
	}
	return n, errUnprovenEnd
}

// Close implements io.Closer.
func (b *unframedBody) Close() error {
	b.witness.Close()
	return b.ReadCloser.Close()
}

// endsSoundly reports whether the end of a response shows that its endpoint lived on. What another node passed on shows
// it only if that node knew.
func (r *Response) endsSoundly() bool { return r.Peer == "" }

// checkUnframed makes the body of an unframed response end with an error unless its endpoint lives on. A rejection needs
// no proof, as nobody gets its body.
func (g *Gateway) checkUnframed(ctx context.Context, r *Request, e *fleet.Endpoint, response *Response, lastEvent string, mayRunAgain func() bool) {
	if !response.Unframed || response.Info.NotRun {
		return
	}
	witness := g.Upstream.OpenWitness(ctx, e, response.SentAt)
	response.Body = &unframedBody{
		ReadCloser: response.Body,
		witness:    witness,
		presence: func() fleet.Presence {
			now := time.Now()
			// The caller's deadline goes by the clock, also while this process stands still.
			ctx, cancel := context.WithDeadline(ctx, now.Add(proofTime(now, r, false)))
			defer cancel()
			found := g.awaitPresence(ctx, e, proofTime(now, r, mayRunAgain()), response.SentAt, witness)
			g.Metrics.BrokenOff(found)
			return found
		},
		begun:      time.Now(),
		mayBeEmpty: r.Route.Kind != fleet.Streaming || response.Status != http.StatusOK || lastEvent != "",
	}
}

// proofTime returns for how long the end of a response may be asked about. A request that may run again has to do so
// while its caller still waits; another one gets no better answer than that of the question.
func proofTime(now time.Time, r *Request, mayRunAgain bool) time.Duration {
	left := float64(r.Left(now))
	if mayRunAgain {
		return min(silenceTolerance, time.Duration(attemptTimeShare*left))
	}
	return time.Duration(lastProofShare * left)
}
