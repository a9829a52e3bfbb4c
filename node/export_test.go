package node

import (
	"context"
	"errors"
	"net"
	"net/http"
	"time"

	"redwinghall/fleet"
	"redwinghall/gateway"
	"redwinghall/quarantine"
)

// FailPart makes a part of a running node fail.
func (n *Node) FailPart(err error) {
	n.group.Go("failing", func(context.Context) error { return err })
}

// IsFirst reports whether the node is the first of its zone.
func (n *Node) IsFirst() bool { return n.collectsLoads(time.Now()) }

// MissFirst makes a node believe that the first one of its zone didn't respond to it.
func (n *Node) MissFirst() { n.noteSilent(time.Now(), n.settings.Zone, n.peers()[0], errMissed) }

var errMissed = errors.New("no response")

// Serving returns how many endpoints of a service the node knows to serve.
func (n *Node) Serving(service string) (count int) {
	for _, e := range n.cache.View().ByService[service] {
		if e.Serves() {
			count++
		}
	}
	return count
}

// RecordEnd makes a node find that an endpoint's process ended under a request.
func (n *Node) RecordEnd(s quarantine.Suspect) { n.quarantine.RecordEnd(s) }

// ExceedsConnectionRate returns a function that counts a new connection at a node with that many cores, and reports
// whether it is one too many.
func ExceedsConnectionRate(processor float64) func(now time.Time) bool {
	return newConnectionRate(processor).exceeded
}

// ServicesWithOrder returns the services for which a configuration calls for admission.
func ServicesWithOrder(config *fleet.Configuration) map[string]bool { return servicesWithOrder(config) }

// CallerConnections tracks connections that are served by a handler.
type CallerConnections struct{ conns *connections }

// NewCallerConnections returns connections of which leavesUnread tells which new ones are too many.
func NewCallerConnections(leavesUnread func(now time.Time) bool) CallerConnections {
	c := CallerConnections{newConnections()}
	c.conns.leavesUnread = leavesUnread
	return c
}

// Server returns a server of callers with the handler.
func (c CallerConnections) Server(next http.Handler) *http.Server {
	return &http.Server{
		Handler:   c.conns.wrap(next, func() gateway.Stop { return gateway.Stop{} }),
		ConnState: c.conns.connState, ConnContext: c.conns.connContext, ReadHeaderTimeout: callerHeaderTimeout,
	}
}

// CloseIdle closes the connections that have been idle for longer than limit.
func (c CallerConnections) CloseIdle(now time.Time, limit time.Duration) {
	c.conns.closeIdle(now, limit)
}

// CloseIfInactive closes all connections if none is active, and reports whether it did.
func (c CallerConnections) CloseIfInactive(now time.Time) bool { return c.conns.closeIfInactive(now) }

// CloseAfterResponses makes every connection close after its current or next response.
func (c CallerConnections) CloseAfterResponses() { c.conns.closeAfterResponses() }

// LongestStop returns how long after the signal a node with a share of a processor begins to answer so many running requests.
func LongestStop(grace time.Duration, processor float64, requests int) time.Duration {
	n := &Node{settings: fleet.Settings{Processor: processor}}
	now := time.Now()
	stop, _ := n.newStop(now, now, grace, requests)
	return stop.End.Sub(now)
}

// Suspend makes a stopping node believe that its VM was suspended.
func (n *Node) Suspend(d time.Duration) {
	stop := *n.stopping.Load()
	stop.Boot = stop.Boot.Add(-d)
	n.stopping.Store(&stop)
}

// EndedEarly returns how many requests that haven't begun a node with a share of a processor ends at a time before the last
// moment, beside others whose answers have begun.
func EndedEarly(processor float64, notBegun, begun int, left time.Duration) int {
	conns := newConnections()
	for i := range notBegun + begun {
		conn, _ := net.Pipe()
		c := &connection{busy: true, requests: 1, end: func(error) {}}
		c.reach(requestSent)
		if i >= notBegun {
			c.reach(requestBegun)
		}
		conns.all[conn] = c
	}
	a := &answering{conns: conns, pace: newAnswerPace(processor)}
	now := time.Now()
	a.early(now, now.Add(left), 0)
	given, _ := a.counts()
	return given
}
