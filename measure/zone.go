package main

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"redwinghall"
	"redwinghall/kernel"
	"redwinghall/operator"
	"redwinghall/standin/engine"
	"redwinghall/standin/layout"
	"redwinghall/standin/load"
)

// Parameters of the zone measurement: three zones with two groups each, of one
// VM that serves up to four concurrent requests.
const (
	zoneSeconds     = 24
	zoneOutAt       = 6
	zoneInAt        = 16
	zoneInFlight    = 4
	zoneGroups      = 2
	zoneTokens      = 24
	zoneLate        = 500 * time.Millisecond // a response that takes longer counts as late
	zoneDeadline    = 2 * time.Second
	zoneRequestTime = 150 * time.Millisecond // of one request: FirstToken and zoneTokens times TokenDelay
)

// measureZone sends a constant load while an operator takes one of three zones
// out of service and back. As a load balancer does, it sends only to routers that
// report ready. It counts the outcomes by second.
func measureZone(o options) ([]Series, error) {
	var out []Series
	for _, percent := range []int{70, 95} {
		r, err := runZoneLoad(o.Bin, percent)
		if err != nil {
			return nil, err
		}
		name := fmt.Sprintf("%d%% of two zones, out at %d s, in at %d s", percent, zoneOutAt, zoneInAt)
		out = append(out,
			newSeries(name+": sent", "second", "requests", points(r.sent[:])),
			newSeries(name+": whole in time", "second", "requests", points(r.inTime[:])),
			newSeries(name+": whole, late", "second", "requests", points(r.late[:])),
			newSeries(name+": refused", "second", "requests", points(r.refused[:])),
			newSeries(name+": failed", "second", "requests", points(r.failed[:])),
			newSeries(name+": begun in the zone", "second", "requests there", r.inZone))
	}
	return out, nil
}

// secondCounts counts the outcomes of requests by the second in which they were
// sent, and the requests that engines of the zone started in each second.
type secondCounts struct {
	sent, inTime, late, refused, failed [zoneSeconds]atomic.Int64
	inZone                              []Point
}

func points(counts []atomic.Int64) []Point {
	var out []Point
	for i := range counts {
		out = append(out, Point{float64(i), float64(counts[i].Load())})
	}
	return out
}

func zoneShape() shape {
	return shape{zones: 3, nodesPerZone: 2, groupsPerZone: zoneGroups, engine: engine.Config{
		FirstToken: redwinghall.Duration(30 * time.Millisecond), TokenDelay: redwinghall.Duration(5 * time.Millisecond),
		ColdInFlight: 1, WarmAfter: 10, MaxInFlight: zoneInFlight,
	}}
}

func runZoneLoad(bin string, percent int) (*secondCounts, error) {
	s := zoneShape()
	d, err := startServing(bin, s, func(l *layout.Layout) {
		l.VMsPerGroup = 1
		l.ModelLimits = redwinghall.Model{MaxInFlight: zoneInFlight, ColdInFlight: 1, WarmAfter: 10}
	})
	if err != nil {
		return nil, err
	}
	defer d.stop()
	if err := d.warmUp(); err != nil {
		return nil, err
	}
	capacity := float64(2*zoneGroups*zoneInFlight) / zoneRequestTime.Seconds()
	return d.steadyLoad(capacity * float64(percent) / 100)
}

// warmUp sends requests through every router, so that no group is cold.
func (d *deployment) warmUp() error {
	c := d.loadConfig()
	for i := range d.layout.Pairs() {
		c.Routers = []string{d.layout.CallerAddress(i)}
		c.Requests, c.Workers = 60, 3
		if r := load.Run(context.Background(), c); r.Correct == 0 {
			return errors.New(r.String())
		}
	}
	return nil
}

func (d *deployment) loadConfig() load.Config {
	return load.Config{Key: layout.DemoKey(measureAccount), Model: d.layout.Model, Tokens: zoneTokens, Timeout: zoneDeadline}
}

func (d *deployment) steadyLoad(rate float64) (*secondCounts, error) {
	out := &secondCounts{}
	var ready readyRouters
	d.updateReady(&ready)
	g := kernel.NewGroup(context.Background())
	started := time.Now()
	g.Go("balancer", func(context.Context) error {
		for time.Since(started) < zoneSeconds*time.Second {
			d.updateReady(&ready)
			time.Sleep(100 * time.Millisecond)
		}
		return nil
	})
	g.Go("operator", func(ctx context.Context) error { return d.takeZoneOutAndIn(ctx, started) })
	g.Go("engines", func(context.Context) error { return d.countRequestsInZone(started, out) })

	client := load.NewClient()
	requests := kernel.NewGroup(context.Background())
	for i := 0; ; i++ {
		due := started.Add(time.Duration(float64(i) / rate * float64(time.Second)))
		second := int(due.Sub(started).Seconds())
		if second >= zoneSeconds {
			break
		}
		time.Sleep(time.Until(due))
		c := d.loadConfig()
		c.Routers = []string{ready.next(i)}
		out.sent[second].Add(1)
		requests.Go("request", func(ctx context.Context) error {
			began := time.Now()
			out.add(second, load.Stream(ctx, client, c, i), time.Since(began))
			return nil
		})
	}
	return out, errors.Join(requests.Wait(), g.Wait())
}

func (c *secondCounts) add(second int, response load.Response, took time.Duration) {
	switch {
	case response.Code != "":
		c.refused[second].Add(1)
	case response.Err != nil || response.Text != response.Want:
		c.failed[second].Add(1)
	case took > zoneLate:
		c.late[second].Add(1)
	default:
		c.inTime[second].Add(1)
	}
}

// readyRouters contains the addresses of the routers that are ready, as a load
// balancer sees them.
type readyRouters struct {
	mu        sync.Mutex
	addresses []string
}

func (r *readyRouters) next(i int) string {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.addresses[i%len(r.addresses)]
}

func (d *deployment) updateReady(r *readyRouters) {
	var found []string
	for i := range d.layout.Pairs() {
		if status, _ := d.readyz(i); status == http.StatusOK {
			found = append(found, d.layout.CallerAddress(i))
		}
	}
	if len(found) == 0 {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.addresses = found
}

// takeZoneOutAndIn takes the second zone out of service and back.
func (d *deployment) takeZoneOutAndIn(ctx context.Context, started time.Time) error {
	zone := d.layout.Zones[1]
	for _, step := range []struct {
		at    time.Duration
		state redwinghall.ZoneState
		sub   operator.Submission
	}{
		{zoneOutAt * time.Second, redwinghall.ZoneOut, operator.Submission{SubmitID: "out"}},
		{zoneInAt * time.Second, redwinghall.ZoneIn, operator.Submission{SubmitID: "in", Replaces: 1}},
	} {
		time.Sleep(time.Until(started.Add(step.at)))
		if _, err := d.operatorClient(0).SetZone(ctx, step.sub, zone, step.state); err != nil {
			return err
		}
	}
	return nil
}

// countRequestsInZone records for each second the number of requests that the
// second zone's engines started.
func (d *deployment) countRequestsInZone(started time.Time, out *secondCounts) error {
	last := -1
	for second := range zoneSeconds + 1 {
		time.Sleep(time.Until(started.Add(time.Duration(second) * time.Second)))
		var record engine.Record
		if err := d.get(d.layout.EngineControlAddress()+engine.PathRecord, &record); err != nil {
			return err
		}
		total := 0
		for vm, n := range record.ByVM {
			if len(vm) > len(d.layout.Zones[1]) && vm[:len(d.layout.Zones[1])] == d.layout.Zones[1] {
				total += n
			}
		}
		if last >= 0 {
			out.inZone = append(out.inZone, Point{float64(second - 1), float64(total - last)})
		}
		last = total
	}
	return nil
}
