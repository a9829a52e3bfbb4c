package neighbor

import (
	"sync"
	"time"

	"redwinghall/balance"
)

// loadMaxAge is how long reported loads are used.
const loadMaxAge = time.Second

// LoadTable collects the loads of the endpoints as reported by the nodes of this zone, and by
// the other zones.
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

// NewLoadTable returns an empty table.
func NewLoadTable() *LoadTable {
	return &LoadTable{nodes: map[string]reportedLoads{}, zones: map[string]reportedLoads{}}
}

// SetNode stores the loads reported by a node of this zone.
func (t *LoadTable) SetNode(now time.Time, node string, loads map[string]balance.Load) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.nodes[node] = reportedLoads{at: now, loads: loads}
}

// SetZone stores the loads reported by another zone.
func (t *LoadTable) SetZone(now time.Time, zone string, loads map[string]balance.Load) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.zones[zone] = reportedLoads{at: now, loads: loads}
}

// SumOfOthers returns the total load from all nodes of this zone except one. Reports older
// than loadMaxAge are left out.
func (t *LoadTable) SumOfOthers(now time.Time, except string) map[string]balance.Load {
	t.mu.Lock()
	defer t.mu.Unlock()
	return sumOf(now, t.nodes, except)
}

// SumOfZone returns the total load from the nodes of this zone.
func (t *LoadTable) SumOfZone(now time.Time) map[string]balance.Load { return t.SumOfOthers(now, "") }

// SumOfOtherZones returns the total load from the other zones.
func (t *LoadTable) SumOfOtherZones(now time.Time) map[string]balance.Load {
	t.mu.Lock()
	defer t.mu.Unlock()
	return sumOf(now, t.zones, "")
}

func sumOf(now time.Time, entries map[string]reportedLoads, except string) map[string]balance.Load {
	sum := map[string]balance.Load{}
	for name, entry := range entries {
		if now.Sub(entry.at) > loadMaxAge {
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
