package node

import (
	"context"
	"errors"
	"net"
	"net/http"
	"time"

	"k8s.io/klog/v2"

	"redwinghall/clienthttp"
	"redwinghall/gateway"
	"redwinghall/kernel"
)

// Timing of a node's last moment, in which it answers the requests that are still running.
const (
	// answerCost is the processor time that ends one request, with its call, its lines and its answer.
	answerCost = 400 * time.Microsecond
	// minAnswerTime is the least that the last moment is given. The listener may take drainTime of it to close.
	minAnswerTime = 250 * time.Millisecond
	// leastAnswerTime is what it gets of the margin for the exit if its time is over, as after a pause of the process.
	leastAnswerTime = exitMargin / 4
	// maxAnswerShare bounds what it takes of the time that a node has to end.
	maxAnswerShare = 0.25
	// cutShare is the last part of the grace period, in which answers that have begun may be cut. The time for the
	// exit is a part of it.
	cutShare = 1.0 / 6
	// maxFailedTime is the most that it takes at a node of which a part has failed.
	maxFailedTime = 2 * time.Second
	// failedDrainTime is how much of that the listener gets to take what waits there, which is all that a slow node hasn't
	// come to: no load balancer has noticed the end.
	failedDrainTime = maxFailedTime / 2
)

// errNodeEnds is the cause of the end of requests that this node ends in its last moment.
var errNodeEnds = errors.New("this node ends")

// answerTime returns how long the last moment of a node with a share of a processor (0 if unknown) is, of the time
// that it has to end. What doesn't fit in and hasn't begun is answered before.
func answerTime(requests int, processor float64, lasts time.Duration) time.Duration {
	needed := time.Duration(requests) * newAnswerPace(processor).each
	most := min(time.Duration(maxAnswerShare*float64(lasts)), max(minAnswerTime, time.Duration(cutShare*float64(lasts+exitMargin))-exitMargin))
	return min(max(minAnswerTime, needed), most)
}

// lastMoment ends the requests that are still running when a node ends, so that each gets a status that says whether
// it may have run.
type lastMoment struct {
	// requests is the parent of the contexts of all requests, which end ends, and forwarded of those of other nodes.
	requests, forwarded context.Context
	end, endForwarded   context.CancelCauseFunc
	// answers is how long a planned stop keeps for it.
	answers time.Duration
	// servers are those whose requests get an answer before they are closed.
	servers []*http.Server
}

func newLastMoment() lastMoment {
	ctx, end := context.WithCancelCause(context.Background())
	forwarded, endForwarded := context.WithCancelCause(ctx)
	return lastMoment{requests: ctx, end: end, forwarded: forwarded, endForwarded: endForwarded}
}

// serve runs a server until close. requests is the parent of the contexts of its requests.
func (l *lastMoment) serve(requests context.Context, g *kernel.Group, server *http.Server, guard *clienthttp.Guard) (*kernel.ReopenedListener, error) {
	listener, err := kernel.Listen(func() (net.Listener, error) { return net.Listen("tcp", server.Addr) })
	if err != nil {
		return nil, err
	}
	server.BaseContext = func(net.Listener) context.Context { return requests }
	l.servers = append(l.servers, server)
	guard.Protect(server)
	g.Accept("serve "+server.Addr, server, guard.Listen(listener))
	return listener, nil
}

// close closes the servers and their connections.
func (l *lastMoment) close() {
	l.end(errNodeEnds)
	for _, server := range l.servers {
		_ = server.Close() // its listener may be closed already
	}
}

// ended reports whether this node ends the request with a context.
func (n *Node) ended(request context.Context) bool {
	if state := connectionOf(request); state != nil {
		return state.ended.Load() || n.last.requests.Err() != nil
	}
	return n.last.forwarded.Err() != nil
}

// answerRunning ends the requests that are still running, and waits until their answers are sent, until a time or for
// leastAnswerTime at most. What may have run comes first, as nobody else can tell its caller; what has begun is cut last.
func (n *Node) answerRunning(until time.Time, reason string) {
	given, each := n.answers.counts()
	klog.InfoS("last_moment", "left", time.Until(until), "answered_before", given, "each", each)
	n.ending.interrupt(given+n.conns.logInterrupted(time.Now(), reason), reason == cutByGrace)
	n.last.endForwarded(errNodeEnds)
	begun := time.Now()
	for now := begun; now.Before(until) || kernel.RunTime(begun, now) < leastAnswerTime; now = time.Now() {
		if n.answers.last(now) {
			n.last.end(errNodeEnds)
			n.conns.endReads(now)
		}
		kernel.Sleep(context.Background(), answerPollInterval)
		if !n.conns.active(time.Now()) && n.gateway.Forwards() == 0 { // a request on a new connection may not have been read yet
			break
		}
	}
	n.ending.leave(n.conns.unanswered())
}

// fail answers the running requests of a node of which a part has failed.
func (n *Node) fail() {
	now := time.Now()
	n.ending.begin(now, endedByFailure, nil)
	if n.stopping.Load() == nil {
		n.stopping.Store(&gateway.Stop{Begun: now, Boot: kernel.BootTime(), Noticed: now, End: now}) // nothing is accepted any more
	}
	n.conns.closeAfterResponses()
	n.closeListener(context.Background(), failedDrainTime)
	n.answerRunning(now.Add(maxFailedTime), endedByFailure)
}
