package soak

import (
	"context"
	"net/http"
	"time"

	"redwinghall/kernel"
	"redwinghall/platform/platformtest"
	"redwinghall/standin/link"
)

// fault does one thing to the world for a while, and undoes it.
type fault struct {
	name string
	run  func(ctx context.Context, w *world, lasts time.Duration) error
}

// Times of the faults. They come in series and overlap.
const (
	shortestPause = 200
	longestPause  = 1200 // milliseconds between faults
	shortestFault = 300
	longestFault  = 4000 // milliseconds
)

var faults = []fault{
	{"kill node", killNode},
	{"kill node again", killNode},
	{"stop node", stopNode},
	{"freeze node", freezeNode},
	{"hang up node", hangUpNode},
	{"cut node from store", nodeLink(link.Cut, 0)},
	{"silence node's store connections", nodeLink(link.Blackhole, 0)},
	{"node hears nothing from the store", nodeLink(link.OneWay, 0)},
	{"slow node's way to the store", nodeLink(link.Pass, 80*time.Millisecond)},
	{"reset endpoint's connections", endpointLink(link.Reset, 0)},
	{"silence endpoint's connections", endpointLink(link.Blackhole, 0)},
	{"endpoint's answers are lost", endpointLink(link.OneWay, 0)},
	{"slow way to endpoint", endpointLink(link.Pass, 60*time.Millisecond)},
	{"cut endpoint off", endpointLink(link.Cut, 0)},
	{"endpoint stalls", stallEndpoint},
	{"endpoint ends and another comes", replaceEndpoint},
	{"endpoint names a limit", limitEndpoint},
	{"store busy", storeFault(platformtest.Faults{Refuse: http.StatusServiceUnavailable})},
	{"store turns away", storeFault(platformtest.Faults{Refuse: http.StatusTooManyRequests})},
	{"store silent", storeFault(platformtest.Faults{Silent: true})},
	{"store slow", storeFault(platformtest.Faults{Slow: 150 * time.Millisecond})},
	{"store loses answers", storeFault(platformtest.Faults{LoseWrites: true})},
	{"store forgets", forget},
	{"store comes back older", storeComesBackOlder},
	{"configuration changes", changeConfiguration},
}

// inject runs faults until the run's length is over, and waits for their ends.
func (w *world) inject(ctx context.Context) error {
	g := kernel.NewGroup(ctx)
	end := time.Now().Add(w.config.Length)
	for time.Now().Before(end) && ctx.Err() == nil {
		f := faults[w.pick(len(faults))]
		lasts := time.Duration(shortestFault+w.pick(longestFault-shortestFault)) * time.Millisecond
		g.Go(f.name, func(ctx context.Context) error { return f.run(ctx, w, lasts) })
		kernel.Sleep(ctx, time.Duration(shortestPause+w.pick(longestPause-shortestPause))*time.Millisecond)
	}
	return g.Wait()
}

// claim picks a node that no other fault ends or starts.
func (w *world) claim() (*nodeProcess, bool) {
	i := w.pick(len(w.nodes))
	w.mu.Lock()
	defer w.mu.Unlock()
	n := w.nodes[i]
	if n.busy {
		return nil, false
	}
	n.busy = true
	return n, true
}

func (w *world) unclaim(n *nodeProcess) {
	w.mu.Lock()
	defer w.mu.Unlock()
	n.busy = false
	w.disturbed = time.Now()
}

func killNode(ctx context.Context, w *world, lasts time.Duration) error {
	n, ok := w.claim()
	if !ok {
		return nil
	}
	defer w.unclaim(n)
	w.note("kill %s for %s", n.settings.Node, lasts)
	w.set.Kill(n.running)
	kernel.Sleep(ctx, lasts)
	return w.restart(n)
}

func (w *world) restart(n *nodeProcess) error {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.startNode(n)
}

func stopNode(ctx context.Context, w *world, lasts time.Duration) error {
	n, ok := w.claim()
	if !ok {
		return nil
	}
	defer w.unclaim(n)
	w.note("stop %s", n.settings.Node)
	if err := w.set.Stop(n.running); err != nil {
		return err
	}
	kernel.Sleep(ctx, lasts/4)
	return w.restart(n)
}

func freezeNode(ctx context.Context, w *world, lasts time.Duration) error {
	n, ok := w.claim()
	if !ok {
		return nil
	}
	defer w.unclaim(n)
	w.note("freeze %s for %s", n.settings.Node, lasts)
	if err := n.running.Freeze(); err != nil {
		return err
	}
	kernel.Sleep(ctx, lasts)
	return n.running.Thaw()
}

func hangUpNode(_ context.Context, w *world, _ time.Duration) error {
	n, ok := w.claim()
	if !ok {
		return nil
	}
	defer w.unclaim(n)
	w.note("hang up %s", n.settings.Node)
	return n.running.HangUp()
}

func nodeLink(mode link.Mode, delay time.Duration) func(context.Context, *world, time.Duration) error {
	return func(ctx context.Context, w *world, lasts time.Duration) error {
		n := w.nodes[w.pick(len(w.nodes))]
		w.note("link of %s to the store: %s %s for %s", n.settings.Node, mode, delay, lasts)
		n.toStore.Set(mode, delay)
		kernel.Sleep(ctx, lasts)
		n.toStore.Set(link.Pass, 0)
		return nil
	}
}

func (w *world) pickEndpoint() *liveEndpoint {
	i := w.pick(1 << 20)
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.endpoints[i%len(w.endpoints)]
}

func endpointLink(mode link.Mode, delay time.Duration) func(context.Context, *world, time.Duration) error {
	return func(ctx context.Context, w *world, lasts time.Duration) error {
		e := w.pickEndpoint()
		w.note("link of %s: %s %s for %s", e.config.ID, mode, delay, lasts)
		e.link.Set(mode, delay)
		kernel.Sleep(ctx, lasts)
		e.link.Set(link.Pass, 0)
		return nil
	}
}

func stallEndpoint(ctx context.Context, w *world, lasts time.Duration) error {
	e := w.pickEndpoint()
	w.note("%s stalls for %s", e.config.ID, lasts)
	e.endpoint.Stall(true)
	kernel.Sleep(ctx, lasts)
	e.endpoint.Stall(false)
	return nil
}

// replaceEndpoint ends an endpoint. Its entry lapses a while later, and
// another process takes its place.
func replaceEndpoint(ctx context.Context, w *world, lasts time.Duration) error {
	e := w.pickEndpoint()
	w.note("%s ends for %s", e.config.ID, lasts)
	e.endpoint.Close()
	kernel.Sleep(ctx, lasts)
	e.endpoint.Unregister()
	w.mu.Lock()
	for i, one := range w.endpoints {
		if one == e {
			w.endpoints = append(w.endpoints[:i:i], w.endpoints[i+1:]...)
			w.ended = append(w.ended, e)
			w.mu.Unlock()
			return w.addEndpoint(e.config.Service, e.config.Zone)
		}
	}
	w.mu.Unlock()
	return nil // another fault replaced it meanwhile
}

func storeFault(f platformtest.Faults) func(context.Context, *world, time.Duration) error {
	return func(ctx context.Context, w *world, lasts time.Duration) error {
		w.note("store: %+v for %s", f, lasts)
		w.store.SetFaults(f)
		kernel.Sleep(ctx, lasts)
		w.store.SetFaults(platformtest.Faults{})
		return nil
	}
}

func forget(_ context.Context, w *world, _ time.Duration) error {
	w.note("store forgets")
	w.store.DropHistory()
	return nil
}

func changeConfiguration(_ context.Context, w *world, _ time.Duration) error {
	w.mu.Lock()
	w.version++
	version := w.version
	w.mu.Unlock()
	w.note("configuration %d", version)
	return w.store.Put("op", "config", platformtest.Configuration(version, stableKey, withdrawnKey))
}
