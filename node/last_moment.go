package node

import (
	"context"
	"errors"
	"net"
	"net/http"
	"time"

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
	// maxFailedTime is the most that it takes at a node of which a part has failed.
	maxFailedTime = 2 * time.Second
	// failedDrainTime is how much of that the listener gets to take what waits there, which is all that a slow node hasn't
	// come to: no load balancer has noticed the end.
	failedDrainTime = maxFailedTime / 2
	// answerPollInterval is how often it looks for requests that are still running.
	answerPollInterval = 25 * time.Millisecond
)

// errNodeEnds is the cause of the end of requests that this node ends in its last moment.
var errNodeEnds = errors.New("this node ends")

// answerTime returns how long a node with a share of a processor (0 if unknown) needs to answer requests, of the time
// that it has to end.
func answerTime(requests int, processor float64, lasts time.Duration) time.Duration {
	if processor <= 0 || processor > 1 {
		processor = 1 // the runtime uses no more
	}
	needed := time.Duration(float64(requests) * float64(answerCost) / processor)
	return min(max(minAnswerTime, needed), time.Duration(maxAnswerShare*float64(lasts)))
}

// lastMoment ends the requests that are still running when a node ends, so that each gets a status that says whether
// it may have run.
type lastMoment struct {
	// requests is the parent of the contexts of all requests, which end ends.
	requests context.Context
	end      context.CancelCauseFunc
	// answers is how long a planned stop keeps for it.
	answers time.Duration
	// servers are those whose requests get an answer before they are closed.
	servers []*http.Server
}

func newLastMoment() lastMoment {
	ctx, end := context.WithCancelCause(context.Background())
	return lastMoment{requests: ctx, end: end}
}

// serve runs a server until close.
func (l *lastMoment) serve(g *kernel.Group, server *http.Server) (*kernel.ReopenedListener, error) {
	listener, err := kernel.Listen(func() (net.Listener, error) { return net.Listen("tcp", server.Addr) })
	if err != nil {
		return nil, err
	}
	server.BaseContext = func(net.Listener) context.Context { return l.requests }
	l.servers = append(l.servers, server)
	g.Accept("serve "+server.Addr, server, listener)
	return listener, nil
}

// close closes the servers and their connections.
func (l *lastMoment) close() {
	l.end(errNodeEnds)
	for _, server := range l.servers {
		_ = server.Close() // its listener may be closed already
	}
}

// ended reports whether this node ends all requests.
func (n *Node) ended() bool { return n.last.requests.Err() != nil }

// answerRunning ends the requests that are still running, and waits until their answers are sent, until a time or for
// leastAnswerTime at most.
func (n *Node) answerRunning(until time.Time, reason string) {
	n.ending.interrupt(n.conns.logInterrupted(time.Now(), reason), reason == cutByGrace)
	n.last.end(errNodeEnds)
	begun := time.Now()
	for running := true; running && (time.Now().Before(until) || kernel.RunTime(begun, time.Now()) < leastAnswerTime); {
		n.conns.endReads(time.Now())
		kernel.Sleep(context.Background(), answerPollInterval)
		_, requests := n.conns.counts()
		running = (requests > 0 || n.conns.active(time.Now()) || n.gateway.Forwards() > 0) && time.Now().Before(until)
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
