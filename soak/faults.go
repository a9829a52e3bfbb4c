package soak

import (
	"context"
	"net/http"
	"os"
	"time"

	"redwinghall/kernel"
	"redwinghall/platform/platformtest"
	"redwinghall/standin/link"
)

// fault disturbs one part of the deployment for a while and then restores it.
type fault struct {
	name string
	run  func(ctx context.Context, d *deployment, duration time.Duration) error
}

// Times of the faults. A fault may start before earlier ones have ended.
const (
	minFaultInterval = 200
	maxFaultInterval = 1200 // milliseconds between the starts of faults
	minFaultDuration = 300
	maxFaultDuration = 4000 // milliseconds
)

var faults = []fault{
	{"kill node", killNode},
	{"kill node again", killNode},
	{"stop node", stopNode},
	{"freeze node", freezeNode},
	{"send SIGHUP to node", reloadNode},
	{"cut node from store", nodeLink(link.Cut, 0)},
	{"drop traffic of node's open store connections", nodeLink(link.Blackhole, 0)},
	{"drop the store's responses to node", nodeLink(link.OneWay, 0)},
	{"delay between node and store", nodeLink(link.Pass, 80*time.Millisecond)},
	{"reset endpoint's connections", endpointLink(link.Reset, 0)},
	{"drop traffic of endpoint's open connections", endpointLink(link.Blackhole, 0)},
	{"drop endpoint's responses", endpointLink(link.OneWay, 0)},
	{"delay to endpoint", endpointLink(link.Pass, 60*time.Millisecond)},
	{"cut endpoint's link", endpointLink(link.Cut, 0)},
	{"part nodes from all endpoints", partNodes},
	{"part nodes from all endpoints again", partNodes},
	{"endpoint stalls", stallEndpoint},
	{"replace endpoint", replaceEndpoint},
	{"endpoint sends a rate limit", limitEndpoint},
	{"endpoint rejects requests", rejectRequests},
	{"endpoint leaves", leaveEndpoint},
	{"store responds 503", storeFault(platformtest.Faults{Refuse: http.StatusServiceUnavailable})},
	{"store responds 429", storeFault(platformtest.Faults{Refuse: http.StatusTooManyRequests})},
	{"store does not respond", storeFault(platformtest.Faults{Silent: true})},
	{"store slow", storeFault(platformtest.Faults{Slow: 150 * time.Millisecond})},
	{"store loses responses", storeFault(platformtest.Faults{LoseWrites: true})},
	{"store drops its history", dropStoreHistory},
	{"restore store from a snapshot", restoreStore},
	{"configuration changes", changeConfiguration},
}

// partitionFaults are the faults of PlanPartitions.
var partitionFaults = []fault{
	{"part nodes from all endpoints", partNodes},
	{"part nodes from all endpoints again", partNodes},
	{"part nodes from all endpoints once more", partNodes},
	{"stop node", stopNode},
	{"freeze node", freezeNode},
	{"reset endpoint's connections", endpointLink(link.Reset, 0)},
	{"endpoint stalls", stallEndpoint},
	{"replace endpoint", replaceEndpoint},
	{"cut node from store", nodeLink(link.Cut, 0)},
}

// injectFaults starts random faults for the configured length and waits until all have
// ended.
func (d *deployment) injectFaults(ctx context.Context) error {
	if d.config.Plan == PlanPauses {
		return d.pauseNodes(ctx)
	}
	if d.config.Plan == PlanRemovals {
		return d.removeAfterCuts(ctx)
	}
	g := kernel.NewGroup(ctx)
	from := faults
	switch d.config.Plan {
	case PlanPartitions:
		from = partitionFaults
	case PlanHalves:
		from = halfAnswerFaults
		d.unframeAll()
	}
	end := time.Now().Add(d.config.Length)
	for time.Now().Before(end) && ctx.Err() == nil {
		f := from[d.randomInt(len(from))]
		duration := time.Duration(minFaultDuration+d.randomInt(maxFaultDuration-minFaultDuration)) * time.Millisecond
		g.Go(f.name, func(ctx context.Context) error { return f.run(ctx, d, duration) })
		kernel.Sleep(ctx, time.Duration(minFaultInterval+d.randomInt(maxFaultInterval-minFaultInterval))*time.Millisecond)
	}
	return g.Wait()
}

// reserveNode chooses a random node and reserves it for one fault. It returns false if
// another fault has reserved the node.
func (d *deployment) reserveNode() (*nodeProcess, bool) {
	i := d.randomInt(len(d.nodes))
	d.mu.Lock()
	defer d.mu.Unlock()
	n := d.nodes[i]
	if n.reserved {
		return nil, false
	}
	n.reserved = true
	return n, true
}

func (d *deployment) releaseNode(n *nodeProcess) {
	d.mu.Lock()
	defer d.mu.Unlock()
	n.reserved = false
	d.lastNodeFault = time.Now()
}

// excuse begins a restart or freeze of a node, after which it need not know what endpoints
// told it. The returned function ends it.
func (d *deployment) excuse(n *nodeProcess) func() {
	d.mu.Lock()
	defer d.mu.Unlock()
	n.faults.begin(time.Now())
	return func() {
		d.mu.Lock()
		defer d.mu.Unlock()
		n.faults.end(time.Now())
	}
}

func killNode(ctx context.Context, d *deployment, duration time.Duration) error {
	n, ok := d.reserveNode()
	if !ok {
		return nil
	}
	defer d.releaseNode(n)
	d.recordFault("kill %s for %s", n.settings.Node, duration)
	defer d.excuse(n)()
	d.processes.Kill(n.proc)
	kernel.Sleep(ctx, duration)
	return d.restart(n)
}

// restart starts a node again. Its settings tell it that the deployment was started before.
func (d *deployment) restart(n *nodeProcess) error {
	d.mu.Lock()
	defer d.mu.Unlock()
	if !n.settings.Restarted {
		n.settings.Restarted = true
		if err := os.WriteFile(n.path, []byte(n.settings.Text()), settingsMode); err != nil {
			return err
		}
	}
	return d.startNode(n)
}

func stopNode(ctx context.Context, d *deployment, duration time.Duration) error {
	n, ok := d.reserveNode()
	if !ok {
		return nil
	}
	defer d.releaseNode(n)
	d.recordFault("stop %s", n.settings.Node)
	defer d.excuse(n)()
	if err := d.processes.Stop(n.proc); err != nil {
		return err
	}
	kernel.Sleep(ctx, duration/4)
	return d.restart(n)
}

func freezeNode(ctx context.Context, d *deployment, duration time.Duration) error {
	n, ok := d.reserveNode()
	if !ok {
		return nil
	}
	defer d.releaseNode(n)
	d.recordFault("freeze %s for %s", n.settings.Node, duration)
	defer d.excuse(n)()
	if err := n.proc.Freeze(); err != nil {
		return err
	}
	kernel.Sleep(ctx, duration)
	return n.proc.Thaw()
}

func reloadNode(_ context.Context, d *deployment, _ time.Duration) error {
	n, ok := d.reserveNode()
	if !ok {
		return nil
	}
	defer d.releaseNode(n)
	d.recordFault("send SIGHUP to %s", n.settings.Node)
	return n.proc.HangUp()
}

func nodeLink(mode link.Mode, delay time.Duration) func(context.Context, *deployment, time.Duration) error {
	return func(ctx context.Context, d *deployment, duration time.Duration) error {
		n := d.nodes[d.randomInt(len(d.nodes))]
		d.recordFault("link of %s to the store: %s %s for %s", n.settings.Node, mode, delay, duration)
		n.storeLink.Set(mode, delay)
		end := d.excuseStore(&n.storeFaults)
		defer end()
		kernel.Sleep(ctx, duration)
		n.storeLink.Set(link.Pass, 0)
		return nil
	}
}

func (d *deployment) pickEndpoint() *linkedEndpoint {
	i := d.randomInt(1 << 20)
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.endpoints[i%len(d.endpoints)]
}

func endpointLink(mode link.Mode, delay time.Duration) func(context.Context, *deployment, time.Duration) error {
	return func(ctx context.Context, d *deployment, duration time.Duration) error {
		e := d.pickEndpoint()
		d.recordFault("link of %s: %s %s for %s", e.config.ID, mode, delay, duration)
		d.disturbLink(e, mode, delay)
		kernel.Sleep(ctx, duration)
		d.restoreLink(e)
		return nil
	}
}

func (d *deployment) disturbLink(e *linkedEndpoint, mode link.Mode, delay time.Duration) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if mode != link.Pass { // a delay keeps no response from a node
		e.faults.begin(time.Now())
	}
	e.link.Set(mode, delay)
}

func (d *deployment) restoreLink(e *linkedEndpoint) {
	d.mu.Lock()
	defer d.mu.Unlock()
	e.link.Set(link.Pass, 0)
	e.faults.end(time.Now())
}

func stallEndpoint(ctx context.Context, d *deployment, duration time.Duration) error {
	e := d.pickEndpoint()
	d.recordFault("%s stalls for %s", e.config.ID, duration)
	e.endpoint.Stall(true)
	kernel.Sleep(ctx, duration)
	e.endpoint.Stall(false)
	return nil
}

// replaceEndpoint stops an endpoint, removes its entry after the duration, as if
// it had expired, and starts another endpoint in its place.
func replaceEndpoint(ctx context.Context, d *deployment, duration time.Duration) error {
	e := d.pickEndpoint()
	d.recordFault("stop %s, replace it after %s", e.config.ID, duration)
	e.endpoint.Close()
	kernel.Sleep(ctx, duration)
	return d.replace(e)
}

// replace ends an endpoint, unless it has ended, removes its entry and starts another one
// in its place.
func (d *deployment) replace(e *linkedEndpoint) error {
	e.endpoint.Close()
	e.endpoint.Unregister()
	d.mu.Lock()
	for i, other := range d.endpoints {
		if other == e {
			d.endpoints = append(d.endpoints[:i:i], d.endpoints[i+1:]...)
			d.closedEndpoints = append(d.closedEndpoints, e)
			d.mu.Unlock()
			return d.addEndpoint(e.config.Service, e.config.Zone)
		}
	}
	d.mu.Unlock()
	return nil // another fault has replaced it in the meantime
}

func storeFault(f platformtest.Faults) func(context.Context, *deployment, time.Duration) error {
	return func(ctx context.Context, d *deployment, duration time.Duration) error {
		d.recordFault("store: %+v for %s", f, duration)
		d.store.SetFaults(f)
		end := d.excuseStore(&d.storeFaults)
		defer end()
		kernel.Sleep(ctx, duration)
		d.store.SetFaults(platformtest.Faults{})
		return nil
	}
}

func dropStoreHistory(_ context.Context, d *deployment, _ time.Duration) error {
	d.recordFault("store drops its history")
	d.store.DropHistory()
	return nil
}

func changeConfiguration(_ context.Context, d *deployment, _ time.Duration) error {
	d.mu.Lock()
	d.configVersion++
	version := d.configVersion
	d.mu.Unlock()
	d.recordFault("configuration %d", version)
	return d.store.PutConfiguration(platformtest.Configuration(version, stableKey, withdrawnKey))
}
