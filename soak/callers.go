package soak

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"time"

	"redwinghall/kernel"
	"redwinghall/platform/platformtest"
)

const (
	callerCount    = 12
	callerInterval = 20 * time.Millisecond
	clientTimeout  = 6 * time.Second
	// requestTimeout is the timeout that callers send with their requests.
	requestTimeout = 5 * time.Second
	answerTokens   = 70
)

// attempt is one request and its result.
type attempt struct {
	id         string
	kind       string
	events     int // number of events of the complete response, for a stream
	status     int // 0 if there was no response
	body       string
	incomplete bool // the response ended early
	node       int
	sent       time.Time
}

// results collects the results of attempts and the violations that they show.
type results struct {
	mu         sync.Mutex
	attempts   int
	served     int
	unanswered int
	refused    []attempt // whose response states that the request was not executed
	bookings   []string
	violations []string
	// tries are the attempts of the callers.
	tries []try
}

// try is one attempt at a node.
type try struct {
	id     string
	node   int
	sent   time.Time
	served bool
	status int
}

// add counts one attempt and checks its response.
func (r *results) add(a attempt) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.attempts++
	r.tries = append(r.tries, try{id: a.id, node: a.node, sent: a.sent, served: a.status == http.StatusOK && !a.incomplete, status: a.status})
	if a.kind == "book" {
		r.bookings = append(r.bookings, a.id)
	}
	switch a.status {
	case 0:
		r.unanswered++
	case http.StatusServiceUnavailable, http.StatusTooManyRequests:
		r.refused = append(r.refused, a)
	case http.StatusNotFound, http.StatusUnauthorized:
		r.violations = append(r.violations, fmt.Sprintf("%s was rejected with status %d", a.id, a.status))
	case http.StatusOK:
		r.checkResponse(a)
	}
}

func (r *results) checkResponse(a attempt) {
	want := "done " + a.id
	if a.kind == "stream" {
		want = platformtest.FullResponse(a.id, a.events)
	}
	switch {
	case !a.incomplete && a.body == want:
		r.served++
	case !a.incomplete:
		r.violations = append(r.violations, fmt.Sprintf("%s got a complete response with the wrong content: %q", a.id, a.body))
	case !strings.HasPrefix(want, a.body):
		r.violations = append(r.violations, fmt.Sprintf("%s got a partial response with the wrong content: %q", a.id, a.body))
	}
}

// finish checks how often the endpoints executed each request, which is final only after
// the run, and returns all violations.
func (r *results) finish(runs *platformtest.RunCounter) []string {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, id := range r.bookings {
		if n := runs.Runs(id); n > 1 {
			r.violations = append(r.violations, fmt.Sprintf("%s ran %d times", id, n))
		}
	}
	for _, a := range r.refused {
		if a.kind == "book" && runs.Runs(a.id) > 0 {
			r.violations = append(r.violations, fmt.Sprintf("%s was refused with status %d and ran", a.id, a.status))
		}
	}
	return r.violations
}

// fillReport writes the counters to the report.
func (r *results) fillReport(report *Report) {
	r.mu.Lock()
	defer r.mu.Unlock()
	report.Requests, report.Served, report.Refused, report.Unanswered = r.attempts, r.served, len(r.refused), r.unanswered
}

func (r *results) counts() (attempts, served int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.attempts, r.served
}

// runCallers runs callers that send requests until ctx ends. Each reuses its connection
// as long as its node serves its requests.
func (d *deployment) runCallers(ctx context.Context, r *results, name string) error {
	g := kernel.NewGroup(ctx)
	for i := range callerCount {
		c := &caller{deployment: d, results: r, name: fmt.Sprintf("%s-%d", name, i), node: i % len(d.nodes)}
		c.client = &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 2}, Timeout: clientTimeout}
		g.Go(c.name, c.run)
	}
	return g.Wait()
}

type caller struct {
	deployment *deployment
	results    *results
	name       string
	node       int
	client     *http.Client
}

func (c *caller) run(ctx context.Context) error {
	kinds := []string{"stream", "stream", "book", "look"}
	for n := 0; ctx.Err() == nil; n++ {
		id := platformtest.RequestIDFor(c.deployment.nodeName(c.node), fmt.Sprintf("%s-%d", c.name, n))
		a := attempt{id: id, kind: kinds[n%len(kinds)], events: responseEvents, node: c.node, sent: time.Now()}
		c.send(ctx, &a, stableKey)
		if ctx.Err() == nil || a.status != 0 {
			c.results.add(a)
		}
		if plan := c.deployment.config.Plan; a.status != http.StatusOK && plan != PlanPartitions && plan != PlanPauses {
			c.node = (c.node + 1) % len(c.deployment.nodes) // a load balancer would choose another node too
		}
		kernel.Sleep(ctx, callerInterval)
	}
	return nil
}

// send sends one request and reads its response.
func (c *caller) send(ctx context.Context, a *attempt, key string) {
	method := http.MethodPost
	if a.kind == "look" {
		method = http.MethodGet
	}
	address := c.deployment.nodes[c.node].settings.CallerAddress
	r, err := platformtest.NewRequest(ctx, method, address, "/"+a.kind+"/x", nil, platformtest.RequestInfo{
		ID: a.id, Key: key, Model: "m0", Timeout: requestTimeout, Prompt: 100, Answer: answerTokens,
	})
	if err != nil {
		a.incomplete = true
		return
	}
	response, err := c.client.Do(r)
	if err != nil {
		return
	}
	defer func() { _ = response.Body.Close() }() // the body was read, or reading failed
	body, err := io.ReadAll(response.Body)
	a.status, a.body, a.incomplete = response.StatusCode, string(body), err != nil
}
