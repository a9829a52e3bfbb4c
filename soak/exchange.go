package soak

import (
	"fmt"
	"net/http"
	"time"

	"redwinghall/platform/platformtest"
)

// exchange is an attempt over the connection of its session.
type exchange struct {
	attempt
	node             *nodeProcess
	reused           bool // the connection had carried an earlier request
	deadlineExceeded bool // the caller's timeout expired
	connectionClose  bool // the response closes the connection
	retryAfter       time.Duration
	connectedAt      time.Time
	sent             time.Time // zero if there was no connection
	ended            time.Time
	stoppedAt        time.Time // when the node last got SIGTERM
	// onHead is called with the status when the response begins, unless it is nil.
	onHead func(status int)
}

func (x *exchange) served() bool { return x.status == http.StatusOK && !x.incomplete }

// timedOut reports whether the attempt reached the timeout, which is the same for the
// caller and the route.
func (x *exchange) timedOut() bool {
	return x.deadlineExceeded || x.ended.Sub(x.sent) >= platformtest.RouteTimeout
}

// describe returns a message about the attempt, with its times relative to the last
// SIGTERM of its node.
func (x *exchange) describe(what string) string {
	connection := "new"
	if x.reused {
		connection = "kept"
	}
	if x.stoppedAt.IsZero() {
		return fmt.Sprintf("%s (%s) %s, on a %s connection to %s, which was not stopped", x.id, x.kind, what, connection, x.node.settings.Node)
	}
	return fmt.Sprintf("%s (%s) %s, on a %s connection to %s: sent %.3f s after its SIGTERM, ended %.3f s after it",
		x.id, x.kind, what, connection, x.node.settings.Node, x.sent.Sub(x.stoppedAt).Seconds(), x.ended.Sub(x.stoppedAt).Seconds())
}

// stopChecker checks that planned stops are graceful: no request in progress is cut
// off, and requests are served with at most one retry.
type stopChecker struct {
	results
	requests            int
	servedRequests      int // by the first attempt or by the retry
	unansweredExchanges []exchange
}

// begin does nothing: only whether a request is served with its retry counts.
func (c *stopChecker) begin(*exchange) {}

// add counts one attempt and checks its response.
func (c *stopChecker) add(x exchange) {
	c.results.add(x.attempt)
	c.mu.Lock()
	defer c.mu.Unlock()
	switch {
	case x.sent.IsZero() || x.timedOut():
	case x.status != 0 && x.incomplete:
		c.violations = append(c.violations, x.describe("got a truncated response"))
	case x.status == 0:
		c.unansweredExchanges = append(c.unansweredExchanges, x)
	}
}

// recordKilled records that a node did not exit within its grace period.
func (c *stopChecker) recordKilled(n *nodeProcess) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.violations = append(c.violations, n.settings.Node+" did not exit within its grace period and was killed")
}

// recordRequest records whether a request was served, by its first attempt or its retry.
func (c *stopChecker) recordRequest(served bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.requests++
	if served {
		c.servedRequests++
	}
}

// finish checks whether the endpoints executed unanswered or refused requests, which is
// final only after the run, and fills in the report.
func (c *stopChecker) finish(runs *platformtest.RunCounter, report *Report) {
	for _, x := range c.unansweredExchanges {
		if runs.Runs(x.id) > 0 {
			c.violations = append(c.violations, x.describe("ran and got no response"))
		}
	}
	report.Violations = c.results.finish(runs)
	c.fillReport(report)
	report.Requests, report.Served = c.requests, c.servedRequests
	if c.requests == 0 || float64(c.servedRequests) < minServedRatio*float64(c.requests) {
		report.Violations = append(report.Violations, fmt.Sprintf("during the stops %d of %d requests were served", c.servedRequests, c.requests))
	}
}
