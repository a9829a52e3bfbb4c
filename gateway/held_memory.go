package gateway

import (
	"net/http"
	"sync/atomic"
)

// heldKind says for what a request holds memory.
type heldKind int

const (
	// heldRequest is what each request takes: its headers, connections and goroutines, and a small body.
	heldRequest heldKind = iota
	// heldBody is what a body takes beyond freeBodyBytes.
	heldBody
	// heldAnswer is what was read of an answer that its caller hasn't taken yet.
	heldAnswer
	heldKinds
)

func (k heldKind) String() string { return [heldKinds]string{"requests", "bodies", "answers"}[k] }

const (
	// heldShare is the part of the VM's memory that all requests may hold together. The rest is for the process
	// itself and for what the collector hasn't freed yet, which may be as much again.
	heldShare = 0.25
	// requestBytes is what a request takes beside its headers, as long as it is in progress.
	requestBytes = 16 << 10
	// freeBodyBytes is the part of a body that is counted in requestBytes.
	freeBodyBytes = 8 << 10

	// Bodies end below new requests, so that callers with small ones are served beside them. Answers that
	// have begun have a part of their own.
	bodyCeiling    = 0.5
	requestCeiling = 0.8
	answerCeiling  = 0.12
	// urgencyCeiling is by how much less may be held for each step of urgency.
	urgencyCeiling = 0.03
	maxUrgency     = 9
	// pressedShare is the part of the limit from which slow bodies have to make room.
	pressedShare = 0.4
)

// heldLimit returns how many bytes all requests may hold on a VM, 0 for any number.
func heldLimit(vmMemory int64) int64 { return int64(heldShare * float64(vmMemory)) }

// heldCeiling returns up to how many bytes of a limit may be held if one more piece of a kind is taken for a request:
// of all kinds together, or of answers alone.
//
// It answers callers that hold much at once and give nothing back. What would be refused anyhow is new
// work, the least urgent first, and not whatever comes next.
func heldCeiling(limit int64, kind heldKind, urgency int) int64 {
	less := urgencyCeiling * float64(max(0, min(urgency, maxUrgency)))
	switch kind {
	case heldBody:
		return int64((bodyCeiling - less) * float64(limit))
	case heldRequest:
		return int64((requestCeiling - less) * float64(limit))
	}
	return int64(answerCeiling * float64(limit))
}

// heldMemory counts what all requests hold.
type heldMemory struct {
	total  atomic.Int64
	byKind [heldKinds]atomic.Int64
}

func (h *heldMemory) add(kind heldKind, n int64) {
	h.total.Add(n)
	h.byKind[kind].Add(n)
}

// requestMemory is what one request holds. Its zero value holds nothing and has no bound.
type requestMemory struct {
	all     *heldMemory
	limit   int64 // of all requests together, 0 if there is none
	urgency int
	held    [heldKinds]atomic.Int64
}

// take reports whether n more bytes may be held, and counts them if so.
func (m *requestMemory) take(kind heldKind, n int64) bool {
	if m.all == nil {
		return true
	}
	m.all.add(kind, n)
	used := m.all.total.Load()
	if kind == heldAnswer {
		used = m.all.byKind[kind].Load()
	}
	if m.limit > 0 && used > heldCeiling(m.limit, kind, m.urgency) {
		m.all.add(kind, -n)
		return false
	}
	m.held[kind].Add(n)
	return true
}

// giveBack ends the holding of n bytes.
func (m *requestMemory) giveBack(kind heldKind, n int64) {
	if m.all != nil && n > 0 {
		m.held[kind].Add(-n)
		m.all.add(kind, -n)
	}
}

// giveBackAll ends the holding of all bytes of a kind.
func (m *requestMemory) giveBackAll(kind heldKind) { m.giveBack(kind, m.held[kind].Load()) }

// release ends the holding of everything.
func (m *requestMemory) release() {
	for kind := range heldKinds {
		m.giveBackAll(kind)
	}
}

// bounded reports whether there is a limit.
func (m *requestMemory) bounded() bool { return m.all != nil && m.limit > 0 }

// pressed reports whether so much is held that slow bodies have to make room.
func (m *requestMemory) pressed() bool {
	return m.bounded() && float64(m.all.total.Load()) > pressedShare*float64(m.limit)
}

// headerBytes returns how much a request's headers take.
func headerBytes(h http.Header) int64 {
	n := 0
	for name, values := range h {
		n += len(name)
		for _, value := range values {
			n += len(value)
		}
	}
	return int64(n)
}

// beginMemory prepares what a request may hold, and reports whether it may be accepted.
func (g *Gateway) beginMemory(r *Request) bool {
	r.memory.all, r.memory.limit, r.memory.urgency = &g.memory, heldLimit(g.Settings().MemoryBytes), r.Priority()
	return r.memory.take(heldRequest, requestBytes+headerBytes(r.Header))
}

// beginControlMemory does the same for a control call of another node, which is as urgent as any request.
func (g *Gateway) beginControlMemory(r *Request) bool {
	r.memory.all, r.memory.limit = &g.memory, heldLimit(g.Settings().MemoryBytes)
	return r.memory.take(heldRequest, requestBytes)
}

// HeldMemory returns how many bytes requests hold, by what they hold them for, and how many they may hold together,
// 0 for any number.
func (g *Gateway) HeldMemory() (held map[string]int64, limit int64) {
	held = map[string]int64{"events": g.eventBytes.used.Load(), "buffered_answers": g.answerBytes.used.Load()}
	for kind := range heldKinds {
		held[kind.String()] = g.memory.byKind[kind].Load()
	}
	return held, heldLimit(g.Settings().MemoryBytes)
}
