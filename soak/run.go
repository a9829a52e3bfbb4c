package soak

import (
	"context"
	"fmt"
	"net/http"
	"time"

	"redwinghall/platform/platformtest"
)

// Times of a run around its faults.
const (
	formingTime = 25 * time.Second // until the first groups must serve
	quietTime   = 8 * time.Second  // after the last fault, before service must be whole again
	calmTime    = 3 * time.Second  // the rest of the run, whose share of served requests counts
	// leastServed is the share that must be served during planned stops, and
	// once all is quiet after faults.
	leastServed = 0.9
	// keyBound is how long a withdrawn key may still work.
	keyBound = 2500 * time.Millisecond
)

// Report is what a run saw.
type Report struct {
	Seed   uint64
	Made   int // requests
	Served int
	// Refused counts attempts that were refused with a promise that they have
	// not run, Unanswered those that got no answer at all.
	Refused, Unanswered int
	Mistakes            []string
	Faults              []string
}

// Run plays one seed. The error is about the run itself; what the nodes did
// wrong stands in the report.
func Run(ctx context.Context, config Config) (Report, error) {
	report := Report{Seed: config.Seed}
	w, err := newWorld(config)
	if err != nil {
		return report, err
	}
	defer w.close()
	if !w.waitServing(ctx) {
		report.Mistakes = append(report.Mistakes, "no node served before the first fault")
		return report, nil
	}
	play := w.playFaults
	if config.Plan == PlanStops {
		play = w.playStops
	}
	if err := play(ctx, &report); err != nil {
		return report, err
	}
	if err := w.set.UnexpectedExit(); err != nil {
		report.Mistakes = append(report.Mistakes, err.Error())
	}
	report.Faults = w.faults
	return report, nil
}

// playFaults injects faults while callers ask, and checks that all is well
// again after the last one.
func (w *world) playFaults(ctx context.Context, report *Report) error {
	t := &tally{}
	calling, stop := context.WithCancel(ctx)
	defer stop()
	called := make(chan error, 1)
	w.group.Go("callers", func(context.Context) error {
		called <- w.call(calling, t, fmt.Sprintf("s%d", w.config.Seed))
		return nil
	})
	if err := w.inject(ctx); err != nil {
		return err
	}
	time.Sleep(quietTime)
	made, served := t.counts()
	time.Sleep(calmTime)
	madeCalm, servedCalm := t.counts()
	stop()
	if err := <-called; err != nil {
		return err
	}
	report.Mistakes = append(t.close(w.ledger), w.mistakes...)
	t.fill(report)
	if calm := madeCalm - made; calm == 0 || float64(servedCalm-served) < leastServed*float64(calm) {
		report.Mistakes = append(report.Mistakes, fmt.Sprintf("after the faults %d of %d requests were served", servedCalm-served, calm))
	}
	report.Mistakes = append(report.Mistakes, w.checkWithdrawnKey(ctx)...)
	return nil
}

// waitServing waits until each node has served a stream.
func (w *world) waitServing(ctx context.Context) bool {
	end := time.Now().Add(formingTime)
	for i := range w.nodes {
		c := &caller{world: w, name: "warm", node: i, client: &http.Client{Timeout: callerGiveUp}}
		for {
			a := attempt{id: fmt.Sprintf("warm-%d-%d", i, time.Now().UnixNano()), kind: "stream"}
			c.ask(ctx, &a, stableKey)
			if a.status == http.StatusOK && !a.broken {
				break
			}
			if time.Now().After(end) || ctx.Err() != nil {
				return false
			}
			time.Sleep(50 * time.Millisecond)
		}
	}
	return true
}

// checkWithdrawnKey takes a key away and checks that it works at no node.
func (w *world) checkWithdrawnKey(ctx context.Context) []string {
	if err := w.store.Put("op", "config", platformtest.Configuration(w.version+1, stableKey)); err != nil {
		return []string{err.Error()}
	}
	time.Sleep(keyBound)
	var mistakes []string
	for i := range w.nodes {
		c := &caller{world: w, name: "withdrawn", node: i, client: &http.Client{Timeout: callerGiveUp}}
		a := attempt{id: fmt.Sprintf("withdrawn-%d", i), kind: "look"}
		c.ask(ctx, &a, withdrawnKey)
		if a.status != http.StatusUnauthorized {
			mistakes = append(mistakes, fmt.Sprintf("%s answered a withdrawn key with %d", w.nodeName(i), a.status))
		}
	}
	return mistakes
}
