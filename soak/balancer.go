package soak

import (
	"context"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"

	"redwinghall/kernel"
	"redwinghall/platform"
)

// How the users' balancer asks nodes whether they are ready.
const (
	probeInterval = time.Second
	missesOut     = 2 // in a row, which take a node out of rotation
)

// balancer picks nodes for new connections as the users' balancer does.
type balancer struct {
	nodes  []*nodeProcess
	client *http.Client
	mu     sync.Mutex
	misses map[*nodeProcess]int // in a row
}

func newBalancer(nodes []*nodeProcess) *balancer {
	return &balancer{nodes: nodes, client: &http.Client{Timeout: probeInterval}, misses: map[*nodeProcess]int{}}
}

// start asks each node for its readiness until the group stops.
func (b *balancer) start(g *kernel.Group) {
	for _, n := range b.nodes {
		g.Every("readiness."+n.settings.Node, probeInterval, func(ctx context.Context, _ time.Time) { b.probe(ctx, n) })
	}
}

func (b *balancer) probe(ctx context.Context, n *nodeProcess) {
	ready := b.askReady(ctx, n)
	b.mu.Lock()
	defer b.mu.Unlock()
	b.misses[n]++
	if ready {
		b.misses[n] = 0
	}
}

func (b *balancer) askReady(ctx context.Context, n *nodeProcess) bool {
	r, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+n.settings.ReadinessAddress+platform.PathReadiness, nil)
	if err != nil {
		return false
	}
	answer, err := b.client.Do(r)
	if err != nil {
		return false
	}
	return answer.Body.Close() == nil && answer.StatusCode == http.StatusOK
}

// pick returns the node for a new connection of a caller in a zone, other than
// the one where the caller's last attempt failed.
func (b *balancer) pick(zone string, random *rand.Rand, failed *nodeProcess) *nodeProcess {
	b.mu.Lock()
	defer b.mu.Unlock()
	choice := without(b.choice(zone), failed)
	if len(choice) == 0 {
		choice = without(b.nodes, failed)
	}
	if len(choice) == 0 {
		return failed // there is no other
	}
	return choice[random.IntN(len(choice))]
}

// choice returns the nodes that get a zone's new connections. With under half
// of the zone's nodes in rotation that is all of the zone, and with none the
// nodes of the other zones.
func (b *balancer) choice(zone string) []*nodeProcess {
	var all, rotation, elsewhere []*nodeProcess
	for _, n := range b.nodes {
		in := b.misses[n] < missesOut
		switch {
		case n.settings.Zone != zone && in:
			elsewhere = append(elsewhere, n)
		case n.settings.Zone == zone && in:
			rotation = append(rotation, n)
			all = append(all, n)
		case n.settings.Zone == zone:
			all = append(all, n)
		}
	}
	switch {
	case len(rotation) == 0 && len(elsewhere) > 0:
		return elsewhere
	case 2*len(rotation) < len(all):
		return all
	}
	return rotation
}

func without(nodes []*nodeProcess, one *nodeProcess) []*nodeProcess {
	var rest []*nodeProcess
	for _, n := range nodes {
		if n != one {
			rest = append(rest, n)
		}
	}
	return rest
}
