package soak

import (
	"fmt"
	"time"
)

const (
	// cutBound is how much later than the end of a process its connections may be seen to end.
	cutBound = 500 * time.Millisecond
	// lostTime is how long after a request was sent a stopping node may close its connection
	// without having read it.
	lostTime = 200 * time.Millisecond
	// maxListed bounds the violations of one kind that a report lists.
	maxListed = 20
	// answerTime is longer than a calm node takes to begin its answer.
	answerTime = 500 * time.Millisecond
)

// cutChecker checks that each attempt that ends without a complete response was cut off by
// what the run did to the process that held its connection.
type cutChecker struct {
	results
	deployment *deployment
	firstTries firstTries
	cuts       []exchange
	timedOut   int
	// alone are the times in which only the configuration changed.
	alone intervals
	// exchanges and living are kept for checkAlive in PlanEnds.
	exchanges []exchange
	living    []livingNode
}

func (c *cutChecker) begin(x *exchange) { c.firstTries.begin(x) }

func (c *cutChecker) recordRequest(bool) {}

// add counts one attempt and checks its response.
func (c *cutChecker) add(x exchange) {
	c.results.add(x.attempt)
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.deployment.config.Plan == PlanEnds {
		c.exchanges = append(c.exchanges, x)
	}
	switch {
	case x.sent.IsZero():
	case x.status != 0 && !x.incomplete:
	case x.timedOut():
		c.timedOut++
	default:
		c.cuts = append(c.cuts, x)
	}
}

// cause is why an attempt ended without a complete response.
type cause string

const (
	causeKill   cause = "the process was killed"
	causeClose  cause = "it crossed the close of a stopping node"
	causeOwnEnd cause = "the process ended by itself"
	causeNone   cause = "nothing explains it"
)

// cause returns why an exchange was cut off. The deployment's lock is held.
func (c *cutChecker) cause(x *exchange) cause {
	l := x.node.lifetimeAt(x.connectedAt)
	if l == nil {
		return causeNone
	}
	latest := l.endedAt
	if x.sent.After(latest) {
		latest = x.sent // on a connection whose process had ended
	}
	late := l.endedAt.IsZero() || x.ended.After(latest.Add(cutBound))
	switch {
	case !l.killedAt.IsZero() && !x.ended.Before(l.killedAt) && !late:
		return causeKill
	case l.unasked && !late && x.ended.After(l.endedAt.Add(-cutBound)):
		return causeOwnEnd
	case !l.terminatedAt.IsZero() && x.ended.After(l.terminatedAt) && x.status == 0 && c.deployment.runs.Runs(x.id) == 0 && x.ended.Sub(x.sent) <= lostTime:
		return causeClose
	}
	return causeNone
}

// lifetimeAt returns the process of a node that took connections at a time, nil if there was
// none. The lock is held.
func (n *nodeProcess) lifetimeAt(at time.Time) *lifetime {
	var found *lifetime
	for _, l := range n.lifetimes {
		if !l.startedAt.After(at) {
			found = l
		}
	}
	return found
}

// finish checks all cuts, which is final only after the run, and fills in the report.
func (c *cutChecker) finish(report *Report) {
	counts := map[cause]int{}
	var unexplained []string
	c.deployment.mu.Lock()
	for _, x := range c.cuts {
		why := c.cause(&x)
		counts[why]++
		if why == causeNone && len(unexplained) < maxListed {
			unexplained = append(unexplained, c.describe(&x))
		}
	}
	c.deployment.mu.Unlock()
	report.Violations = append(report.Violations, c.results.finish(c.deployment.runs)...)
	report.Violations = append(report.Violations, unexplained...)
	if n := counts[causeNone]; n > len(unexplained) {
		report.Violations = append(report.Violations, fmt.Sprintf("%d attempts in all ended without a complete response and nothing explains it", n))
	}
	if n := counts[causeOwnEnd]; n > 0 {
		report.Violations = append(report.Violations, fmt.Sprintf("%d attempts were cut off as their process ended by itself", n))
	}
	c.fillReport(report)
	c.checkAlone(report)
	report.note("attempts without a complete response: %d in kills of the run, %d crossed the close of a stopping node, %d reached their timeout",
		counts[causeKill], counts[causeClose], c.timedOut)
}

// describe returns a message about a cut attempt. The deployment's lock is held.
func (c *cutChecker) describe(x *exchange) string {
	v := c.deployment.versionBefore(x.ended)
	message := fmt.Sprintf("%s (%s) got no complete response from %s (status %d, ran %d times): connected %s, sent %s, ended %s",
		x.id, x.kind, x.node.settings.Node, x.status, c.deployment.runs.Runs(x.id), clock(x.connectedAt), clock(x.sent), clock(x.ended))
	message += fmt.Sprintf("; %s after version %d (%s)", x.ended.Sub(v.ackedAt).Round(time.Millisecond), v.number, v.kind)
	if l := x.node.lifetimeAt(x.connectedAt); l != nil {
		message += fmt.Sprintf("; its process (pid %d): started %s, SIGTERM %s, SIGKILL %s, ended %s",
			l.process.PID(), clock(l.startedAt), clock(l.terminatedAt), clock(l.killedAt), clock(l.endedAt))
	}
	return message
}

// clock returns a time of the day for a message.
func clock(at time.Time) string {
	if at.IsZero() {
		return "never"
	}
	return at.Format("15:04:05.000")
}

// checkAlone checks that versions alone keep no node from serving. Requests sent within
// answerTime of the end of such a time may have met what came next.
func (c *cutChecker) checkAlone(report *Report) {
	for _, one := range c.alone {
		sent, served := c.firstTries.count(one.from, one.to.Add(-answerTime))
		if sent == 0 || float64(served) < minServedRatio*float64(sent) {
			report.violate("while only the configuration changed, from %s to %s, %d of %d first tries were served", clock(one.from), clock(one.to), served, sent)
		}
		report.note("while only the configuration changed, from %s to %s, %d of %d first tries were served", clock(one.from), clock(one.to), served, sent)
	}
}
