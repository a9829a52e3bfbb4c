package main

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"time"

	"redwinghall"
	"redwinghall/operator"
	"redwinghall/standin/process"
	"redwinghall/standin/table"
)

const (
	idleTime      = 8 * time.Second
	submitRepeats = 4
)

var groupSizes = []int{5, 10, 20}

// measureNodes runs real processes, a router and a controller for each node, in
// three zones. It measures the resources that they use when idle, and the time
// until an operator's change is in effect everywhere. A second run in one zone
// varies the number of groups.
func measureNodes(o options) ([]Series, error) {
	var r nodesResult
	for _, perZone := range []int{2, 4, 8, 16} {
		if err := r.runNodes(o.Bin, shape{zones: 3, nodesPerZone: perZone, groupsPerZone: 5}); err != nil {
			return nil, err
		}
	}
	var byGroups nodesResult
	for _, groups := range groupSizes {
		if err := byGroups.runNodes(o.Bin, shape{zones: 1, nodesPerZone: 6, groupsPerZone: groups}); err != nil {
			return nil, err
		}
	}
	for i, groups := range groupSizes {
		byGroups.holder[i].X, byGroups.routerCPU[i].X = float64(groups), float64(groups)
	}
	return []Series{
		newSeries("manifest, slowest of several", "nodes", "milliseconds until in force in every router", r.manifest),
		newSeries("zone out, in its own routers", "nodes", "milliseconds until in force", r.zoneOut),
		newSeries("reads", "nodes", "table operations a second, all nodes", r.reads),
		newSeries("commits", "nodes", "table operations a second, all nodes", r.commits),
		newSeries("router at rest", "nodes", "percent of a core", r.routerCPU),
		newSeries("controller watching", "nodes", "percent of a core", r.watcher),
		newSeries("controller holding", "nodes", "percent of a core", r.holder),
		newSeries("router", "nodes", "MiB resident", r.routerMem),
		newSeries("controller", "nodes", "MiB resident", r.controllerMem),
		newSeries("router's exchange", "nodes", "bytes/s, in and out", r.bytes),
		newSeries("router at rest", "groups in a zone of 6 nodes", "percent of a core", byGroups.routerCPU),
		newSeries("controller holding", "groups in a zone of 6 nodes", "percent of a core", byGroups.holder),
	}, nil
}

// nodesResult collects one point of each series for each size.
type nodesResult struct {
	manifest, zoneOut, reads, commits []Point
	routerCPU, watcher, holder        []Point
	routerMem, controllerMem, bytes   []Point
}

func (r *nodesResult) runNodes(bin string, s shape) error {
	d, err := startServing(bin, s, unchanged)
	if err != nil {
		return err
	}
	defer d.stop()
	x := float64(d.layout.Pairs())
	time.Sleep(2 * time.Second)
	if err := r.measureIdle(d, x); err != nil {
		return err
	}
	var slowest time.Duration
	for i := range submitRepeats {
		took, err := d.submit(uint64(i + 1))
		if err != nil {
			return err
		}
		slowest = max(slowest, took)
	}
	r.manifest = append(r.manifest, Point{x, float64(slowest.Microseconds()) / 1e3})
	took, err := d.takeZoneOut()
	r.zoneOut = append(r.zoneOut, Point{x, float64(took.Microseconds()) / 1e3})
	return err
}

// takeZoneOut takes the last zone out of service through a controller of the
// first zone, and returns the time until its routers are not ready.
func (d *deployment) takeZoneOut() (time.Duration, error) {
	zone := d.layout.Zones[len(d.layout.Zones)-1]
	if _, err := d.operatorClient(0).SetZone(context.Background(), operator.Submission{SubmitID: "out"}, zone, redwinghall.ZoneOut); err != nil {
		return 0, err
	}
	started := time.Now()
	err := d.waitFor("the zone's routers are not ready", func() bool {
		for i := d.layout.Pairs() - d.layout.PairsPerZone; i < d.layout.Pairs(); i++ {
			if status, _ := d.readyz(i); status != http.StatusServiceUnavailable {
				return false
			}
		}
		return true
	})
	return time.Since(started), err
}

// sample contains the resources that all processes have used so far.
type sample struct {
	at            time.Time
	routers       []time.Duration
	controllers   []time.Duration
	counts        table.Counts
	bytes         float64
	routerMem     float64
	controllerMem float64
	leaseHolders  map[int]bool
}

func (d *deployment) sample() (sample, error) {
	out := sample{at: time.Now(), leaseHolders: map[int]bool{}}
	var err error
	if out.routers, out.routerMem, err = usageOf(d.routers); err != nil {
		return out, err
	}
	if out.controllers, out.controllerMem, err = usageOf(d.controllers); err != nil {
		return out, err
	}
	for i := range d.layout.Pairs() {
		status, err := d.operatorClient(i).Status(context.Background())
		if err != nil {
			return out, err
		}
		out.leaseHolders[i] = status.LeaseHolder == status.Controller
		bytes, err := d.exchangeBytes(i)
		if err != nil {
			return out, err
		}
		out.bytes += bytes
	}
	return out, d.get(d.layout.PlatformAddress()+table.PathCounts, &out.counts)
}

// exchangeBytes returns the bytes that a router has sent and received in
// exchanges. Its metrics count the exchanges that it starts; the factor 2 adds
// those that its peers start, which on average transfer as much.
func (d *deployment) exchangeBytes(i int) (float64, error) {
	var metrics map[string]struct {
		Value float64 `json:"value"`
	}
	err := d.get(d.layout.CallerAddress(i)+"/metrics", &metrics)
	return 2 * (metrics["peer.bytes_sent"].Value + metrics["peer.bytes_received"].Value), err
}

func (d *deployment) get(url string, out any) error {
	response, err := d.client.Get("http://" + url)
	if err != nil {
		return err
	}
	defer func() { _ = response.Body.Close() }()
	return json.NewDecoder(response.Body).Decode(out)
}

func usageOf(processes []*process.Process) (cpu []time.Duration, largest float64, err error) {
	for _, p := range processes {
		one, err := processCPU(p.PID())
		if err != nil {
			return nil, 0, fmt.Errorf("process %d: %w", p.PID(), err)
		}
		cpu = append(cpu, one)
		memory, err := processMemory(p.PID())
		if err != nil {
			return nil, 0, err
		}
		largest = max(largest, memory)
	}
	return cpu, largest, nil
}

func (r *nodesResult) measureIdle(d *deployment, x float64) error {
	before, err := d.sample()
	if err != nil {
		return err
	}
	time.Sleep(idleTime)
	after, err := d.sample()
	if err != nil {
		return err
	}
	seconds := after.at.Sub(before.at).Seconds()
	percent := func(d time.Duration) float64 { return 100 * d.Seconds() / seconds }
	var routers, watchers, holders float64
	var held int
	for i := range after.routers {
		routers += percent(after.routers[i] - before.routers[i])
		used := percent(after.controllers[i] - before.controllers[i])
		if after.leaseHolders[i] {
			holders += used
			held++
		} else {
			watchers += used
		}
	}
	r.routerCPU = append(r.routerCPU, Point{x, routers / x})
	r.holder = append(r.holder, Point{x, holders / float64(max(1, held))})
	r.watcher = append(r.watcher, Point{x, watchers / max(1, x-float64(held))})
	r.routerMem = append(r.routerMem, Point{x, after.routerMem})
	r.controllerMem = append(r.controllerMem, Point{x, after.controllerMem})
	r.bytes = append(r.bytes, Point{x, (after.bytes - before.bytes) / seconds / x})
	r.reads = append(r.reads, Point{x, float64(after.counts.Reads-before.counts.Reads) / seconds})
	r.commits = append(r.commits, Point{x, float64(after.counts.Commits-before.counts.Commits) / seconds})
	return nil
}
