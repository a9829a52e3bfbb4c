package node

import (
	"redwinghall/clienthttp"
	"redwinghall/fleet"
	"redwinghall/kernel"
)

// guards bound the connections of the listeners.
type guards struct {
	pool                                   *clienthttp.Pool
	callers, neighbors, readiness, metrics *clienthttp.Guard
}

// newGuards returns the guards of a node with some settings.
func newGuards(s fleet.Settings) guards {
	descriptors := kernel.MaxDescriptors()
	if s.FileDescriptors > 0 {
		descriptors = min(descriptors, s.FileDescriptors)
	}
	limits := clienthttp.LimitsOf(descriptors, s.MemoryBytes)
	pool := clienthttp.NewPool(limits.HeadBytes)
	return guards{
		pool: pool, callers: pool.Guard("callers", limits.Callers), neighbors: pool.Guard("neighbors", limits.Neighbors),
		readiness: pool.Guard("readiness", limits.Status), metrics: pool.Guard("metrics", limits.Status),
	}
}

// gauges returns the metrics of the guards.
func (g guards) gauges() map[string]int64 {
	gauges := map[string]int64{"memory.held.heads": g.pool.Held()}
	for _, guard := range []*clienthttp.Guard{g.callers, g.neighbors, g.readiness, g.metrics} {
		counts, prefix := guard.Counts(), "connections."+guard.Name()+"."
		gauges[prefix+"open"], gauges[prefix+"evicted"], gauges[prefix+"refused"] = int64(counts.Open), counts.Evicted, counts.Refused
	}
	return gauges
}
