package gateway

import (
	"net/http"

	"k8s.io/klog/v2"

	"redwinghall/heldmemory"
)

const (
	// maxEventBytes bounds what the streams hold together of events that are larger than usual.
	maxEventBytes = 512 << 10
	// memoryRetryAfter is when a request that found no memory may return: slow bodies have made room by then.
	memoryRetryAfter = heldmemory.BodyPressedTime
)

// beginMemory prepares what a request may hold, and reports whether it may be accepted.
func (g *Gateway) beginMemory(r *Request) bool {
	r.memory.Begin(&g.memory, heldmemory.Limit(g.Settings().MemoryBytes), r.Priority())
	return r.memory.Take(heldmemory.Requests, heldmemory.RequestBytes+heldmemory.HeaderBytes(r.Header))
}

// beginControlMemory does the same for a control call of another node, which is as urgent as any request.
func (g *Gateway) beginControlMemory(r *Request) bool {
	r.memory.Begin(&g.memory, heldmemory.Limit(g.Settings().MemoryBytes), 0)
	return r.memory.Take(heldmemory.Requests, heldmemory.RequestBytes)
}

// HeldMemory returns how many bytes requests hold, by what they hold them for, and how many they may hold together,
// 0 for any number.
func (g *Gateway) HeldMemory() (held map[string]int64, limit int64) {
	held = map[string]int64{"events": g.eventBytes.Used(), "buffered_answers": g.answerBytes.Used()}
	for kind := range heldmemory.Kinds {
		held[kind.String()] = g.memory.HeldFor(kind)
	}
	return held, heldmemory.Limit(g.Settings().MemoryBytes)
}

// readBody reads the body of a request within the bounds of what all requests may hold.
func (g *Gateway) readBody(w http.ResponseWriter, in *http.Request, limit int64, r *Request) ([]byte, error) {
	return heldmemory.ReadBody(w, in, limit, heldmemory.BodyBounds{Memory: &r.memory, Deadline: r.Deadline, IsEnded: r.isEnded})
}

// refuseMemory refuses a request for which no memory is left.
func (g *Gateway) refuseMemory(w http.ResponseWriter, r *Request, why heldmemory.Kind, read int) {
	g.logMemoryRefused(r, why, read)
	g.refuse(w, r, refusal{status: http.StatusServiceUnavailable, reason: "memory", retryAfter: memoryRetryAfter})
}

func (g *Gateway) logMemoryRefused(r *Request, why heldmemory.Kind, read int) {
	m := &g.memory
	klog.InfoS("memory_refused", "request", r.Info.ID, "for", why, "urgency", r.memory.Urgency(), "read", read, "held", m.Held(), "limit", r.memory.Limit(),
		"requests", m.HeldFor(heldmemory.Requests), "bodies", m.HeldFor(heldmemory.Bodies), "answers", m.HeldFor(heldmemory.Answers))
	g.Metrics.MemoryRefused(why.String())
}
