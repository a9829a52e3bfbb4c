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
	callers      = 12
	callerPause  = 20 * time.Millisecond
	callerGiveUp = 6 * time.Second
	// callerPatience is what callers say that they wait.
	callerPatience = 5 * time.Second
	answerTokens   = 70
)

// attempt is what became of one request.
type attempt struct {
	id     string
	kind   string
	events int // of the whole answer, of a stream
	status int // 0 if there was no answer
	body   string
	broken bool // the answer ended early
}

// tally gathers attempts and what was wrong with them.
type tally struct {
	mu         sync.Mutex
	made       int
	served     int
	unanswered int
	refused    []attempt // that say that they have not run
	booked     []string
	mistakes   []string
}

// add judges one attempt.
func (t *tally) add(a attempt) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.made++
	if a.kind == "book" {
		t.booked = append(t.booked, a.id)
	}
	switch a.status {
	case 0:
		t.unanswered++
	case http.StatusServiceUnavailable, http.StatusTooManyRequests:
		t.refused = append(t.refused, a)
	case http.StatusNotFound, http.StatusUnauthorized:
		t.mistakes = append(t.mistakes, fmt.Sprintf("%s was denied with %d", a.id, a.status))
	case http.StatusOK:
		t.judgeAnswer(a)
	}
}

func (t *tally) judgeAnswer(a attempt) {
	want := "done " + a.id
	if a.kind == "stream" {
		want = platformtest.FullResponse(a.id, a.events)
	}
	switch {
	case !a.broken && a.body == want:
		t.served++
	case !a.broken:
		t.mistakes = append(t.mistakes, fmt.Sprintf("%s got an answer that isn't its own, whole: %q", a.id, a.body))
	case !strings.HasPrefix(want, a.body):
		t.mistakes = append(t.mistakes, fmt.Sprintf("%s got pieces that are not its own: %q", a.id, a.body))
	}
}

// close checks what can only be told at the end: what the endpoints ran.
func (t *tally) close(ledger *platformtest.RunCounter) []string {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, id := range t.booked {
		if n := ledger.Runs(id); n > 1 {
			t.mistakes = append(t.mistakes, fmt.Sprintf("%s ran %d times", id, n))
		}
	}
	for _, a := range t.refused {
		if a.kind == "book" && ledger.Runs(a.id) > 0 {
			t.mistakes = append(t.mistakes, fmt.Sprintf("%s was refused with %d and ran", a.id, a.status))
		}
	}
	return t.mistakes
}

// fill reports what was counted.
func (t *tally) fill(report *Report) {
	t.mu.Lock()
	defer t.mu.Unlock()
	report.Made, report.Served, report.Refused, report.Unanswered = t.made, t.served, len(t.refused), t.unanswered
}

func (t *tally) counts() (made, served int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.made, t.served
}

// call lets several callers ask until ctx ends. Each keeps its connection open
// as long as its node answers.
func (w *world) call(ctx context.Context, t *tally, name string) error {
	g := kernel.NewGroup(ctx)
	for i := range callers {
		c := &caller{world: w, tally: t, name: fmt.Sprintf("%s-%d", name, i), node: i % len(w.nodes)}
		c.client = &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 2}, Timeout: callerGiveUp}
		g.Go(c.name, c.run)
	}
	return g.Wait()
}

type caller struct {
	world  *world
	tally  *tally
	name   string
	node   int
	client *http.Client
}

func (c *caller) run(ctx context.Context) error {
	kinds := []string{"stream", "stream", "book", "look"}
	for n := 0; ctx.Err() == nil; n++ {
		a := attempt{id: fmt.Sprintf("%s-%d", c.name, n), kind: kinds[n%len(kinds)], events: answerEvents}
		c.ask(ctx, &a, stableKey)
		if ctx.Err() == nil || a.status != 0 {
			c.tally.add(a)
		}
		if a.status != http.StatusOK {
			c.node = (c.node + 1) % len(c.world.nodes) // as a balancer would send it elsewhere
		}
		kernel.Sleep(ctx, callerPause)
	}
	return nil
}

// ask sends one request and reads its answer.
func (c *caller) ask(ctx context.Context, a *attempt, key string) {
	method := http.MethodPost
	if a.kind == "look" {
		method = http.MethodGet
	}
	address := c.world.nodes[c.node].settings.CallerAddress
	r, err := platformtest.NewRequest(ctx, method, address, "/"+a.kind+"/x", nil, platformtest.RequestInfo{
		ID: a.id, Key: key, Model: "m0", Timeout: callerPatience, Prompt: 100, Answer: answerTokens,
	})
	if err != nil {
		a.broken = true
		return
	}
	answer, err := c.client.Do(r)
	if err != nil {
		return
	}
	defer func() { _ = answer.Body.Close() }() // it was read or failed
	body, err := io.ReadAll(answer.Body)
	a.status, a.body, a.broken = answer.StatusCode, string(body), err != nil
}
