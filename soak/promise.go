package soak

import (
	"fmt"
	"net/http"
	"time"

	"redwinghall/platform/platformtest"
)

// exchange is an attempt over a connection of its session's own.
type exchange struct {
	attempt
	node    *nodeProcess
	kept    bool // the connection had served before
	late    bool // the caller's time was over
	last    bool // the node ends the connection with its answer
	retryIn time.Duration
	sent    time.Time // zero if there was no connection
	ended   time.Time
	stopped time.Time // when the node last got SIGTERM
}

func (x *exchange) served() bool { return x.status == http.StatusOK && !x.broken }

// timedOut reports whether the attempt used all the time that its caller and
// its route give.
func (x *exchange) timedOut() bool {
	return x.late || x.ended.Sub(x.sent) >= platformtest.RouteTimeout
}

// story tells how the attempt lies to its node's stop.
func (x *exchange) story(what string) string {
	connection := "new"
	if x.kept {
		connection = "kept"
	}
	if x.stopped.IsZero() {
		return fmt.Sprintf("%s (%s) %s, on a %s connection to %s, which was not stopped", x.id, x.kind, what, connection, x.node.settings.Node)
	}
	return fmt.Sprintf("%s (%s) %s, on a %s connection to %s: sent %.3f s after its SIGTERM, ended %.3f s after it",
		x.id, x.kind, what, connection, x.node.settings.Node, x.sent.Sub(x.stopped).Seconds(), x.ended.Sub(x.stopped).Seconds())
}

// promise checks that planned stops are graceful: they cut off no request in
// progress, and callers still get served, with one retry.
type promise struct {
	tally
	requests int
	done     int // requests that were served in the end
	silent   []exchange
}

// add judges one attempt.
func (p *promise) add(x exchange) {
	p.tally.add(x.attempt)
	p.mu.Lock()
	defer p.mu.Unlock()
	switch {
	case x.sent.IsZero() || x.timedOut():
	case x.status != 0 && x.broken:
		p.mistakes = append(p.mistakes, x.story("got an answer that ends early"))
	case x.status == 0:
		p.silent = append(p.silent, x)
	}
}

// outlasted notes that a node didn't end within its grace.
func (p *promise) outlasted(n *nodeProcess) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.mistakes = append(p.mistakes, n.settings.Node+" outlasted its grace and was killed")
}

// end notes that a request and its retry are over.
func (p *promise) end(served bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.requests++
	if served {
		p.done++
	}
}

// close checks what can only be told at the end, and reports.
func (p *promise) close(ledger *platformtest.RunCounter, report *Report) {
	for _, x := range p.silent {
		if ledger.Runs(x.id) > 0 {
			p.mistakes = append(p.mistakes, x.story("ran and got no answer"))
		}
	}
	report.Mistakes = p.tally.close(ledger)
	p.fill(report)
	report.Made, report.Served = p.requests, p.done
	if p.requests == 0 || float64(p.done) < leastServed*float64(p.requests) {
		report.Mistakes = append(report.Mistakes, fmt.Sprintf("during the stops %d of %d requests were served", p.done, p.requests))
	}
}
