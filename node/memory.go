package node

import (
	"context"
	"runtime"
	"runtime/metrics"
	"time"

	"redwinghall/kernel"
)

const (
	// memoryInterval is how often the process's memory is compared with the VM's.
	memoryInterval = time.Second
	// nearLimit is the fraction of the VM's memory from which the process is near its end, and
	// clearOfLimit the one below which it no longer is.
	nearLimit    = 0.8
	clearOfLimit = 0.7
)

// MemoryWatch tells when a process comes near the limit of its memory. The zero value is that of a
// process that is not near it.
type MemoryWatch struct{ near bool }

// Note records how many bytes are used of a limit, and reports whether the process has just come near
// it. A limit of 0 is unknown.
func (w *MemoryWatch) Note(used, limit int64) bool {
	if limit <= 0 {
		return false
	}
	share := float64(used) / float64(limit)
	was := w.near
	w.near = share >= nearLimit || (was && share >= clearOfLimit)
	return w.near && !was
}

// runtimeMemory returns how many bytes the Go runtime holds and has not returned to the VM.
func runtimeMemory() int64 {
	samples := []metrics.Sample{{Name: "/memory/classes/total:bytes"}, {Name: "/memory/classes/heap/released:bytes"}}
	metrics.Read(samples)
	return int64(samples[0].Value.Uint64() - samples[1].Value.Uint64())
}

// startMemoryWatch logs when the process comes near the limit of the VM's memory, where the kernel ends it
// without notice.
func (n *Node) startMemoryWatch(g *kernel.Group) {
	var watch MemoryWatch
	g.Every("memory", memoryInterval, func(context.Context, time.Time) {
		used, peak := processMemory()
		limit := n.currentSettings().MemoryBytes
		if !watch.Note(used, limit) {
			return
		}
		connections, requests := n.conns.counts()
		kernel.WarningS(nil, "memory_near_limit", "used", used, "peak", peak, "limit", limit, "runtime", runtimeMemory(), "goroutines", runtime.NumGoroutine(),
			"connections", connections, "requests", requests, "forwards", n.gateway.Forwards())
	})
}

// updateGauges sets the metrics of what is in use now.
func (n *Node) updateGauges() {
	used, peak := processMemory()
	connections, requests := n.conns.counts()
	for name, value := range map[string]int64{
		"memory.used": used, "memory.peak": peak, "memory.limit": n.currentSettings().MemoryBytes, "memory.runtime": runtimeMemory(),
		"goroutines": int64(runtime.NumGoroutine()), "connections.open": int64(connections), "requests.in_progress": int64(requests),
		"streams.in_progress": int64(n.gateway.Streams()), "forwards.in_progress": int64(n.gateway.Forwards()),
		"room.unclaimed": n.promises.Counts().Unclaimed,
	} {
		n.metrics.SetGauge(name, value)
	}
	for name, value := range n.guards.gauges() {
		n.metrics.SetGauge(name, value)
	}
	held, limit := n.gateway.HeldMemory()
	n.metrics.SetGauge("memory.held_limit", limit)
	for kind, bytes := range held {
		n.metrics.SetGauge("memory.held."+kind, bytes)
	}
}
