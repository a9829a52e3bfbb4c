package node

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net/http"
	"net/url"
	"time"

	"redwinghall"
	"redwinghall/fleet"
	"redwinghall/gateway"
	"redwinghall/kernel"
	"redwinghall/neighbor"
	"redwinghall/platform"
)

// maxForwardedControlBytes bounds an endpoint's response to an order or a question by way of another node, which
// bounds it too.
const maxForwardedControlBytes = 1 << 20

// controlPeers makes orders, reports and health checks by way of other nodes.
type controlPeers struct {
	node      *Node
	forwarder *forwarder
}

var _ platform.Peers = controlPeers{}

// Direct implements platform.Peers.
func (p controlPeers) Direct(e *fleet.Endpoint) bool {
	return p.node.paths.Reaches(time.Now(), e.Service, e.ID)
}

// Failed implements platform.Peers.
func (p controlPeers) Failed(e *fleet.Endpoint) { p.node.paths.Failed(time.Now(), e.Service, e.ID) }

// Call implements platform.Peers.
func (p controlPeers) Call(ctx context.Context, e *fleet.Endpoint, method, path string, body []byte, timeout time.Duration) (platform.ControlResponse, error) {
	const op = "controlPeers.Call"
	begun := time.Now()
	if _, listed := p.node.cache.View().Endpoints[e.ID]; !listed {
		// Other nodes don't know an endpoint without an entry.
		if p.node.paths.Parted() {
			return platform.ControlResponse{}, redwinghall.NewOpError(op, platform.Unclear, errNotListed)
		}
		return platform.ControlResponse{}, redwinghall.NewOpError(op, platform.NotReached, errNotListed)
	}
	response, _, outcome, err := p.forwarder.Forward(ctx, e, func() (neighbor.Forward, *http.Request) {
		call := neighbor.Forward{Kind: neighbor.ForwardControl, Endpoint: e.ID, Node: p.node.settings.Node, Timeout: timeout - kernel.RunTime(begun, time.Now())}
		return call, &http.Request{
			Method: method, URL: &url.URL{Path: path}, Header: http.Header{}, Proto: "HTTP/1.1", ProtoMajor: 1, ProtoMinor: 1,
			Body: io.NopCloser(bytes.NewReader(body)), ContentLength: int64(len(body)),
		}
	})
	switch {
	case redwinghall.KindOf[gateway.Kind](err) == gateway.Unknown:
		return platform.ControlResponse{}, redwinghall.NewOpError(op, platform.NoAnswer, err)
	case err != nil:
		return platform.ControlResponse{}, redwinghall.NewOpError(op, p.explain(e, outcome), err)
	}
	defer closeBody(response)
	p.node.gateway.RecordPath(time.Now(), e, true, false)
	data, err := io.ReadAll(io.LimitReader(response.Body, maxForwardedControlBytes))
	if err != nil {
		return platform.ControlResponse{}, redwinghall.NewOpError(op, platform.NoAnswer, err)
	}
	return platform.ControlResponse{Status: response.StatusCode, Header: response.Header, Body: data}, nil
}

var errNotListed = errors.New("the endpoint has no entry, so other nodes can't be asked")

// explain returns why a call could not be made, from what other nodes say.
//
// A holder that took its own silence for that of its members would close groups that serve.
func (p controlPeers) explain(e *fleet.Endpoint, last neighbor.ForwardOutcome) platform.Kind {
	parted := p.node.paths.Parted() || p.node.paths.SeemsParted(time.Now())
	// A refused connection counts at once, so a partition that refuses them must not look like
	// several members that ended: those asked so far may be parted too.
	several := p.node.paths.SeveralFailed(time.Now())
	switch {
	case last == neighbor.Refused && !parted && !several:
		return platform.Absent
	case last == neighbor.Unreached && !parted:
		return platform.NotReached
	}
	reached, answered := p.forwarder.askInRounds(p.node.group.Context(), e, false, parted || several)
	if answered > 0 || reached {
		p.node.gateway.RecordPath(time.Now(), e, reached, false)
	}
	switch {
	case reached, answered == 0 && p.node.paths.Parted():
		return platform.Unclear
	case last == neighbor.Refused:
		return platform.Absent
	}
	return platform.NotReached
}

// controlOf returns the function that makes control calls for other nodes.
func controlOf(client *platform.EndpointClient) func(context.Context, *fleet.Endpoint, string, string, []byte, time.Duration) (platform.ControlResponse, error) {
	return func(ctx context.Context, e *fleet.Endpoint, method, path string, body []byte, timeout time.Duration) (platform.ControlResponse, error) {
		return client.CallDirect(ctx, method, e, path, body, timeout)
	}
}
