package neighbor

import (
	"sync"
	"time"

	"redwinghall/balance"
)

// boardTrust is how long the loads that a node last reported are used.
const boardTrust = time.Second

// LoadTable gathers what the nodes of a zone, and the other zones, have at each endpoint.
type LoadTable struct {
	mu    sync.Mutex
	nodes map[string]reportedLoads
	zones map[string]reportedLoads
}

// reportedLoads are the loads that one node or zone last reported.
type reportedLoads struct {
	at    time.Time
	loads map[string]balance.Load
}

// NewLoadTable returns an empty board.
func NewLoadTable() *LoadTable {
	return &LoadTable{nodes: map[string]reportedLoads{}, zones: map[string]reportedLoads{}}
}

// SetNode notes a node's loads.
func (b *LoadTable) SetNode(now time.Time, node string, loads map[string]balance.Load) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.nodes[node] = reportedLoads{at: now, loads: loads}
}

// SetZone notes another zone's loads.
func (b *LoadTable) SetZone(now time.Time, zone string, loads map[string]balance.Load) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.zones[zone] = reportedLoads{at: now, loads: loads}
}

// SumOfOthers returns the sum of what all but one node of this zone have, as far as
// they said so lately.
func (b *LoadTable) SumOfOthers(now time.Time, except string) map[string]balance.Load {
	b.mu.Lock()
	defer b.mu.Unlock()
	return sumOf(now, b.nodes, except)
}

// SumOfZone returns the sum of what the nodes of this zone have.
func (b *LoadTable) SumOfZone(now time.Time) map[string]balance.Load { return b.SumOfOthers(now, "") }

// SumOfOtherZones returns the sum of what the nodes of the other zones have.
func (b *LoadTable) SumOfOtherZones(now time.Time) map[string]balance.Load {
	b.mu.Lock()
	defer b.mu.Unlock()
	return sumOf(now, b.zones, "")
}

func sumOf(now time.Time, entries map[string]reportedLoads, except string) map[string]balance.Load {
	sum := map[string]balance.Load{}
	for name, entry := range entries {
		if now.Sub(entry.at) > boardTrust {
			delete(entries, name)
			continue
		}
		if name == except {
			continue
		}
		for id, load := range entry.loads {
			sum[id] = sum[id].With(load)
		}
	}
	return sum
}
