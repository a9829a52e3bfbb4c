package node

import (
	"context"
	"errors"
	"io"
	"math/rand/v2"
	"net/http"
	"net/url"
	"sync"
	"time"

	"k8s.io/klog/v2"

	"redwinghall"
	"redwinghall/fleet"
	"redwinghall/gateway"
	"redwinghall/kernel"
	"redwinghall/neighbor"
	"redwinghall/reach"
	"redwinghall/relay"
)

const (
	// verifyRounds is how often further nodes are asked whether they reach an endpoint.
	verifyRounds = 4
	// quickRefusal is how long the nodes asked so far may have taken if another one is asked:
	// one that needs longer has waited for a connection itself.
	quickRefusal = 50 * time.Millisecond
	// checkTimeout bounds the wait for a node that is asked whether it reaches an endpoint. It
	// covers the timeout of a connection there.
	checkTimeout = 250 * time.Millisecond
	// pathProbeInterval is how often paths to endpoints are probed, with at most
	// pathProbesAtOnce endpoints each time: a connection costs the endpoint something.
	pathProbeInterval = 100 * time.Millisecond
	pathProbesAtOnce  = 2
	// recheckInterval is how often this node tries endpoints of services whose endpoints are
	// all in backoff, at most pathProbesAtOnce each time.
	recheckInterval = 500 * time.Millisecond
	// progressAge is how recently another node must have had something from an endpoint that
	// is silent here to show that only this node's connections are dead.
	progressAge = 400 * time.Millisecond
)

// forwarder makes calls to endpoints by way of other nodes.
type forwarder struct {
	node      *Node
	client    *neighbor.ForwardClient
	peers     *reach.Peers
	mu        sync.Mutex
	verifying map[string]bool // by endpoint
}

var _ gateway.Forwarder = (*forwarder)(nil)

func newForwarder(n *Node) *forwarder {
	return &forwarder{node: n, client: neighbor.NewForwardClient(), peers: reach.NewPeers(), verifying: map[string]bool{}}
}

var errNoResponse = errors.New("the endpoint gave the forwarding node no response")

var errNotForwarded = errors.New("no other node could send the request to the endpoint")

// zonePeers returns the other nodes of this node's own zone, and those of the other zones.
func (f *forwarder) zonePeers() (own reach.ZonePeers, zones []reach.ZonePeers) {
	own = reach.ZonePeers{Zone: f.node.settings.Zone, Peers: f.others(f.node.peers())}
	for _, zone := range f.node.settings.Zones {
		if zone != own.Zone {
			zones = append(zones, reach.ZonePeers{Zone: zone, Peers: f.node.peersOf(zone)})
		}
	}
	return own, zones
}

func (f *forwarder) others(peers []relay.Peer) []relay.Peer {
	var others []relay.Peer
	for _, one := range peers {
		if one.Name != f.node.settings.Node {
			others = append(others, one)
		}
	}
	return others
}

// Forward implements gateway.Forwarder.
func (f *forwarder) Forward(ctx context.Context, e *fleet.Endpoint, newRequest func() (neighbor.Forward, *http.Request)) (*http.Response, string, neighbor.ForwardOutcome, error) {
	const op = "forwarder.Forward"
	begun := time.Now()
	// Others reach an endpoint whose path is lost here, so one that doesn't is parted too.
	alive := !f.node.paths.Direct(begun, e.Service, e.ID)
	var asked, unreached []reach.Peer
	var last neighbor.ForwardOutcome
	for len(asked) < reach.MaxPeersAsked && ctx.Err() == nil {
		now := time.Now()
		if len(unreached) > 0 && !alive && kernel.RunTime(begun, now) > quickRefusal {
			break
		}
		own, zones := f.zonePeers()
		peer, ok := f.peers.Choose(now, e.Service, own, zones, asked)
		if !ok {
			break
		}
		asked = append(asked, peer)
		response, outcome, err := f.forwardBy(ctx, now, e, peer, newRequest)
		if err != nil {
			return nil, "", outcome, err
		}
		if response != nil {
			f.recordReached(now, e, peer, unreached)
			return response, peer.Name, outcome, nil
		}
		last = outcome
		if outcome == neighbor.Unreached || outcome == neighbor.Refused {
			unreached = append(unreached, peer)
		}
		if alive && outcome == neighbor.Unreached {
			f.peers.FailedToForward(now, e.Service, peer)
		}
	}
	if len(asked) == 0 {
		return nil, "", "", redwinghall.NewOpError(op, gateway.NotSent, gateway.ErrNoPeer)
	}
	return nil, "", last, redwinghall.NewOpError(op, gateway.NotSent, errNotForwarded)
}

// forwardBy sends a request by way of one node. The response is nil if that node sent nothing to
// the endpoint; the kind of an error is Unknown.
func (f *forwarder) forwardBy(ctx context.Context, now time.Time, e *fleet.Endpoint, peer reach.Peer, newRequest func() (neighbor.Forward, *http.Request)) (*http.Response, neighbor.ForwardOutcome, error) {
	const op = "forwarder.forwardBy"
	call, request := newRequest()
	end := f.peers.Begin(peer.Name)
	response, outcome, err := f.client.Send(ctx, peer.Address, call, request)
	if err == nil && outcome == neighbor.Delivered {
		response.Body = &forwardedBody{ReadCloser: response.Body, end: func() {
			end()
			f.blameIfStalled(ctx, e, peer)
		}}
		return response, outcome, nil
	}
	end()
	if err == nil {
		closeBody(response)
	}
	klog.InfoS("peer_did_not_forward", "endpoint", e.ID, "peer", peer.Name, "outcome", outcome, "err", err)
	switch {
	case err != nil && ctx.Err() != nil:
		f.blameIfStalled(ctx, e, peer)
		return nil, outcome, redwinghall.NewOpError(op, gateway.Unknown, err)
	case outcome == neighbor.Lost:
		return nil, outcome, redwinghall.NewOpError(op, gateway.Unknown, errNoResponse)
	case outcome == neighbor.Unusable, outcome == neighbor.Unreached, outcome == neighbor.Refused:
		return nil, outcome, nil // it may carry requests to other endpoints
	}
	f.peers.FailedToForward(now, e.Service, peer)
	if redwinghall.KindOf[neighbor.ForwardErrorKind](err) == neighbor.PeerSilent {
		return nil, outcome, redwinghall.NewOpError(op, gateway.Unknown, err)
	}
	return nil, outcome, nil
}

// recordReached records that a node reaches an endpoint; those that don't are parted from it.
func (f *forwarder) recordReached(now time.Time, e *fleet.Endpoint, peer reach.Peer, unreached []reach.Peer) {
	f.peers.Succeeded(now, e.Service, peer)
	for _, one := range unreached {
		f.peers.FailedToForward(now, e.Service, one)
	}
}

func closeBody(response *http.Response) {
	if err := response.Body.Close(); err != nil {
		klog.V(1).InfoS("body_not_closed", "err", err)
	}
}

// blameIfStalled passes over a node for a while by way of which nothing came any more. It may be
// frozen, or cut off from the endpoint or from this node.
func (f *forwarder) blameIfStalled(ctx context.Context, e *fleet.Endpoint, peer reach.Peer) {
	if errors.Is(context.Cause(ctx), gateway.ErrStalled) {
		f.peers.FailedToForward(time.Now(), e.Service, peer)
	}
}

// forwardedBody calls end when the body of a forwarded response is closed.
type forwardedBody struct {
	io.ReadCloser
	end func()
}

// Close implements io.Closer.
func (b *forwardedBody) Close() error {
	b.end()
	return b.ReadCloser.Close()
}

// Verify implements gateway.Forwarder. It asks several nodes of different zones at the same
// time: some may be parted from the endpoint too.
func (f *forwarder) Verify(e *fleet.Endpoint, silent bool) {
	if !f.beginVerify(e.ID) {
		return
	}
	f.node.group.Task("verify_path", func(ctx context.Context) {
		defer f.endVerify(e.ID)
		seemsParted := f.node.paths.SeemsParted(time.Now()) || f.node.paths.Parted()
		reached, asked := f.askInRounds(ctx, e, silent, seemsParted)
		if asked > 0 || silent {
			f.node.gateway.RecordPath(time.Now(), e, reached, silent)
		}
		klog.InfoS("path_verified", "endpoint", e.ID, "asked", asked, "reached", reached, "silent", silent)
	})
}

func (f *forwarder) beginVerify(id string) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.verifying[id] || f.node.group == nil {
		return false
	}
	f.verifying[id] = true
	return true
}

func (f *forwarder) endVerify(id string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	delete(f.verifying, id)
}

// askInRounds asks several nodes and, while none reaches the endpoint and this node may be parted,
// further ones: those asked may be parted like this node.
func (f *forwarder) askInRounds(ctx context.Context, e *fleet.Endpoint, silent, mayBeParted bool) (reached bool, answered int) {
	var asked []reach.Peer
	for round := range verifyRounds {
		if round > 0 && !mayBeParted {
			break
		}
		before := len(asked)
		var n int
		reached, n, asked = f.ask(ctx, e, silent, asked)
		answered += n
		if reached || len(asked) == before {
			break
		}
	}
	return reached, answered
}

// ask asks several nodes that haven't been asked. It reports whether any of them reaches the
// endpoint, how many answered, and all that have been asked.
func (f *forwarder) ask(ctx context.Context, e *fleet.Endpoint, silent bool, asked []reach.Peer) (reached bool, answered int, all []reach.Peer) {
	ctx, cancel := kernel.WithTimeout(ctx, checkTimeout)
	defer cancel()
	type answer struct {
		peer     reach.Peer
		answered bool
		reached  bool
	}
	answers := make(chan answer, reach.MaxPeersAsked)
	own, zones := f.zonePeers()
	sent := 0
	for sent < reach.MaxPeersAsked {
		peer, ok := f.peers.ChooseToCheck(time.Now(), e.Service, own, zones, asked)
		if !ok {
			break
		}
		asked = append(asked, peer)
		sent++
		f.node.group.Task("check_endpoint", func(context.Context) {
			one := answer{peer: peer}
			defer func() { answers <- one }()
			one.reached, one.answered = f.check(ctx, e, peer, silent)
		})
	}
	for range sent {
		one := <-answers
		if one.answered {
			answered++
		}
		if one.reached {
			f.peers.Succeeded(time.Now(), e.Service, one.peer)
			return true, answered, asked // the others may still wait for a connection
		}
	}
	return false, answered, asked
}

// check asks one node whether it reaches an endpoint or, if the endpoint is silent here, whether
// it had something from it just now.
func (f *forwarder) check(ctx context.Context, e *fleet.Endpoint, peer reach.Peer, silent bool) (reached, ok bool) {
	call := neighbor.Forward{Kind: neighbor.ForwardCheck, Endpoint: e.ID, Node: f.node.settings.Node}
	response, outcome, err := f.client.Send(ctx, peer.Address, call, &http.Request{
		Method: http.MethodGet, URL: &url.URL{Path: "/"}, Header: http.Header{}, Proto: "HTTP/1.1", ProtoMajor: 1, ProtoMinor: 1,
	})
	if err != nil {
		klog.InfoS("endpoint_not_checked", "endpoint", e.ID, "peer", peer.Name, "err", err)
		return false, false
	}
	closeBody(response)
	if silent {
		age, known := neighbor.ForwardAnswered(response.Header)
		return known && age <= progressAge, true
	}
	// Indirect is no evidence: the nodes of a zone that is cut off would believe each other.
	reached = outcome == neighbor.Reached
	return reached, reached || outcome == neighbor.Unreached
}

// startPathProbes tries to connect to the endpoints that are reached through other nodes, until
// this node reaches them itself.
func (n *Node) startPathProbes(g *kernel.Group) {
	g.Every("path_probes", pathProbeInterval, func(_ context.Context, now time.Time) {
		for _, id := range n.paths.ProbesDue(now, pathProbesAtOnce) {
			e, ok := n.cache.View().Endpoints[id]
			if !ok {
				continue
			}
			g.Task("probe_path", func(ctx context.Context) { n.gateway.Connect(ctx, e) })
		}
	})
}

// startRechecks finds out whether services whose endpoints are all in backoff are reached again.
//
// All endpoints fail at the same time if this node is parted and no other one helps. Their callers
// would be refused until a backoff ends, though another node, or this one, reaches them by now.
func (n *Node) startRechecks(g *kernel.Group) {
	g.Every("rechecks", recheckInterval, func(_ context.Context, now time.Time) {
		unserved := n.gateway.Unserved(now)
		rand.Shuffle(len(unserved), func(i, j int) { unserved[i], unserved[j] = unserved[j], unserved[i] })
		for _, e := range unserved[:min(len(unserved), pathProbesAtOnce)] {
			g.Task("recheck", func(ctx context.Context) { n.gateway.Recheck(ctx, e) })
		}
	})
}
