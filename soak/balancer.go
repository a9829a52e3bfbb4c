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

// Readiness checks of the users' load balancer.
const (
	probeInterval      = time.Second
	unhealthyThreshold = 2 // consecutive failed checks that take a node out of rotation
)

// balancer chooses nodes for new connections as the users' load balancer does.
type balancer struct {
	nodes        []*nodeProcess
	client       *http.Client
	mu           sync.Mutex
	failedProbes map[*nodeProcess]int // consecutive
}

func newBalancer(nodes []*nodeProcess) *balancer {
	return &balancer{nodes: nodes, client: &http.Client{Timeout: probeInterval}, failedProbes: map[*nodeProcess]int{}}
}

// start checks the readiness of each node periodically until the group stops.
func (b *balancer) start(g *kernel.Group) {
	for _, n := range b.nodes {
		g.Every("readiness."+n.settings.Node, probeInterval, func(ctx context.Context, _ time.Time) { b.probe(ctx, n) })
	}
}

func (b *balancer) probe(ctx context.Context, n *nodeProcess) {
	ready := b.isReady(ctx, n)
	b.mu.Lock()
	defer b.mu.Unlock()
	b.failedProbes[n]++
	if ready {
		b.failedProbes[n] = 0
	}
}

func (b *balancer) isReady(ctx context.Context, n *nodeProcess) bool {
	r, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+n.settings.ReadinessAddress+platform.PathReadiness, nil)
	if err != nil {
		return false
	}
	response, err := b.client.Do(r)
	if err != nil {
		return false
	}
	return response.Body.Close() == nil && response.StatusCode == http.StatusOK
}

// pickNode returns the node for a new connection of a caller in a zone. It avoids
// the node at which the caller's last attempt failed unless there is no other.
func (b *balancer) pickNode(zone string, random *rand.Rand, failed *nodeProcess) *nodeProcess {
	b.mu.Lock()
	defer b.mu.Unlock()
	candidates := without(b.candidates(zone), failed)
	if len(candidates) == 0 {
		candidates = without(b.nodes, failed)
	}
	if len(candidates) == 0 {
		return failed // there is no other node
	}
	return candidates[random.IntN(len(candidates))]
}

// candidates returns the nodes that receive new connections of a zone's callers: the
// zone's nodes in rotation. If fewer than half of its nodes are in rotation, it returns
// all of them; if none is, the nodes in rotation of the other zones, if there are any.
func (b *balancer) candidates(zone string) []*nodeProcess {
	var all, inRotation, otherZones []*nodeProcess
	for _, n := range b.nodes {
		in := b.failedProbes[n] < unhealthyThreshold
		switch {
		case n.settings.Zone != zone && in:
			otherZones = append(otherZones, n)
		case n.settings.Zone == zone && in:
			inRotation = append(inRotation, n)
			all = append(all, n)
		case n.settings.Zone == zone:
			all = append(all, n)
		}
	}
	switch {
	case len(inRotation) == 0 && len(otherZones) > 0:
		return otherZones
	case 2*len(inRotation) < len(all):
		return all
	}
	return inRotation
}

func without(nodes []*nodeProcess, excluded *nodeProcess) []*nodeProcess {
	var rest []*nodeProcess
	for _, n := range nodes {
		if n != excluded {
			rest = append(rest, n)
		}
	}
	return rest
}
