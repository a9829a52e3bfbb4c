package neighbor

import (
	"maps"
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
	// sum is the sum of the loads in nodes. It is kept rather than computed: in a zone of
	// many nodes, reports come faster than the loads of all nodes can be added up.
	sum map[string]balance.Load
}

// reportedLoads are the loads that one node or zone last reported.
type reportedLoads struct {
	at    time.Time
	loads map[string]balance.Load
	// ticket is the highest one of the requests whose loads were merged since a report.
	ticket uint64
}

// StreamReport is what a node's request to its dispatcher says about the node's streams.
type StreamReport struct {
	// Loads holds the node's loads at those heads of the model where they differ from
	// the last report that the dispatcher confirmed.
	Loads map[string]balance.Load
	// Settled tells which of the node's tickets are settled; Below is 0 if the node says
	// nothing about its streams.
	Settled balance.Settled
}

// NewLoadTable returns an empty table.
func NewLoadTable() *LoadTable {
	return &LoadTable{nodes: map[string]reportedLoads{}, zones: map[string]reportedLoads{}, sum: map[string]balance.Load{}}
}

// SetNode stores the loads reported by a node of this zone, and returns by how much the
// loads of the zone change.
func (t *LoadTable) SetNode(now time.Time, node string, loads map[string]balance.Load) map[string]balance.Load {
	t.mu.Lock()
	defer t.mu.Unlock()
	changes := map[string]balance.Load{}
	before := t.nodes[node].loads
	for id, load := range loads {
		if change := load.Without(before[id]); change != (balance.Load{}) {
			changes[id] = change
		}
	}
	for id, load := range before {
		if _, kept := loads[id]; !kept {
			changes[id] = balance.Load{}.Without(load)
		}
	}
	t.nodes[node] = reportedLoads{at: now, loads: loads}
	t.add(changes)
	return changes
}

// MergeNode stores loads that a node sent with its request of a ticket, and returns by
// how much the loads of its zone change. A request that was overtaken by a later one
// changes nothing. Tickets count from the node's last report, as they begin anew when its
// process does.
//
// Of a node that hasn't told its loads lately nothing is known to change: a node that has
// just become the dispatcher has the sum of their loads from the last one, and would count
// them twice.
func (t *LoadTable) MergeNode(now time.Time, node string, ticket uint64, loads map[string]balance.Load) map[string]balance.Load {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.expire(now)
	before, known := t.nodes[node]
	if ticket < before.ticket {
		return nil
	}
	merged, changes := maps.Clone(before.loads), map[string]balance.Load{}
	if merged == nil {
		merged = map[string]balance.Load{}
	}
	for id, load := range loads {
		if change := load.Without(merged[id]); change != (balance.Load{}) {
			merged[id], changes[id] = load, change
		}
	}
	t.nodes[node] = reportedLoads{at: now, loads: merged, ticket: ticket}
	t.add(changes)
	if !known {
		return nil
	}
	return changes
}

// add adds changes of a node's loads to the sum. The lock is held.
func (t *LoadTable) add(changes map[string]balance.Load) {
	for id, change := range changes {
		next := t.sum[id].With(change)
		if next == (balance.Load{}) {
			delete(t.sum, id)
			continue
		}
		t.sum[id] = next
	}
}

// expire drops the reports of nodes that are older than loadMaxAge. The lock is held.
func (t *LoadTable) expire(now time.Time) {
	for node, entry := range t.nodes {
		if now.Sub(entry.at) > loadMaxAge {
			delete(t.nodes, node)
			t.subtract(t.sum, entry.loads)
		}
	}
}

// subtract takes loads from a sum that includes them.
func (t *LoadTable) subtract(sum, loads map[string]balance.Load) {
	for id, load := range loads {
		next := sum[id].Without(load)
		if next == (balance.Load{}) {
			delete(sum, id)
			continue
		}
		sum[id] = next
	}
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
	t.expire(now)
	sum := maps.Clone(t.sum)
	t.subtract(sum, t.nodes[except].loads)
	return sum
}

// SumOfZone returns the total load from the nodes of this zone.
func (t *LoadTable) SumOfZone(now time.Time) map[string]balance.Load { return t.SumOfOthers(now, "") }

// SumOfOtherZones returns the total load from the other zones. Reports older than
// loadMaxAge are left out.
func (t *LoadTable) SumOfOtherZones(now time.Time) map[string]balance.Load {
	t.mu.Lock()
	defer t.mu.Unlock()
	sum := map[string]balance.Load{}
	for zone, entry := range t.zones {
		if now.Sub(entry.at) > loadMaxAge {
			delete(t.zones, zone)
			continue
		}
		for id, load := range entry.loads {
			sum[id] = sum[id].With(load)
		}
	}
	return sum
}
