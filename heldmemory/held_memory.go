// Package heldmemory bounds the memory that requests hold on a VM: while they are in progress, for their bodies as these
// come, and for answers that their callers haven't taken yet.
package heldmemory

import (
	"net/http"
	"sync/atomic"
)

// Kind says for what a request holds memory.
type Kind int

// The kinds of held memory.
const (
	// Requests is what each request takes: its headers, connections and goroutines, and a small body.
	Requests Kind = iota
	// Bodies is what a body takes beyond freeBodyBytes.
	Bodies
	// Answers is what was read of an answer that its caller hasn't taken yet.
	Answers
	// Kinds is how many kinds there are.
	Kinds
)

// String returns the name of a kind in logs and metrics.
func (k Kind) String() string { return [Kinds]string{"requests", "bodies", "answers"}[k] }

const (
	// heldShare is the part of the VM's memory that all requests may hold together. The rest is for the process
	// itself and for what the collector hasn't freed yet, which may be as much again.
	heldShare = 0.25
	// RequestBytes is what a request takes beside its headers, as long as it is in progress.
	RequestBytes = 16 << 10
	// freeBodyBytes is the part of a body that is counted in RequestBytes.
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

// Limit returns how many bytes all requests may hold on a VM, 0 for any number.
func Limit(vmMemory int64) int64 { return int64(heldShare * float64(vmMemory)) }

// Ceiling returns up to how many bytes of a limit may be held if one more piece of a kind is taken for a request:
// of all kinds together, or of answers alone.
//
// It answers callers that hold much at once and give nothing back. What would be refused anyhow is new
// work, the least urgent first, and not whatever comes next.
func Ceiling(limit int64, kind Kind, urgency int) int64 {
	less := urgencyCeiling * float64(max(0, min(urgency, maxUrgency)))
	switch kind {
	case Bodies:
		return int64((bodyCeiling - less) * float64(limit))
	case Requests:
		return int64((requestCeiling - less) * float64(limit))
	}
	return int64(answerCeiling * float64(limit))
}

// Total counts what all requests hold.
type Total struct {
	total  atomic.Int64
	byKind [Kinds]atomic.Int64
}

// Held returns how many bytes are held of all kinds.
func (h *Total) Held() int64 { return h.total.Load() }

// HeldFor returns how many bytes of a kind are held.
func (h *Total) HeldFor(kind Kind) int64 { return h.byKind[kind].Load() }

func (h *Total) add(kind Kind, n int64) {
	h.total.Add(n)
	h.byKind[kind].Add(n)
}

// Share is what one request holds. Its zero value holds nothing and has no bound.
type Share struct {
	all     *Total
	limit   int64 // of all requests together, 0 if there is none
	urgency int
	held    [Kinds]atomic.Int64
}

// Begin prepares what a request of some urgency may hold beside all others, up to a limit of all together, 0 for none.
func (m *Share) Begin(all *Total, limit int64, urgency int) {
	m.all, m.limit, m.urgency = all, limit, urgency
}

// Limit returns how many bytes all requests may hold together, 0 for any number.
func (m *Share) Limit() int64 { return m.limit }

// Urgency returns the urgency of the request, 0 for the most urgent ones.
func (m *Share) Urgency() int { return m.urgency }

// Take reports whether n more bytes may be held, and counts them if so.
func (m *Share) Take(kind Kind, n int64) bool {
	if m.all == nil {
		return true
	}
	m.all.add(kind, n)
	used := m.all.total.Load()
	if kind == Answers {
		used = m.all.byKind[kind].Load()
	}
	if m.limit > 0 && used > Ceiling(m.limit, kind, m.urgency) {
		m.all.add(kind, -n)
		return false
	}
	m.held[kind].Add(n)
	return true
}

// GiveBack releases n bytes that were held.
func (m *Share) GiveBack(kind Kind, n int64) {
	if m.all != nil && n > 0 {
		m.held[kind].Add(-n)
		m.all.add(kind, -n)
	}
}

// GiveBackAll releases all bytes of a kind.
func (m *Share) GiveBackAll(kind Kind) { m.GiveBack(kind, m.held[kind].Load()) }

// Release releases everything.
func (m *Share) Release() {
	for kind := range Kinds {
		m.GiveBackAll(kind)
	}
}

// Bounded reports whether there is a limit.
func (m *Share) Bounded() bool { return m.all != nil && m.limit > 0 }

// Pressed reports whether so much is held that slow bodies have to make room.
func (m *Share) Pressed() bool {
	return m.Bounded() && float64(m.all.total.Load()) > pressedShare*float64(m.limit)
}

// HeaderBytes returns how much a request's headers take.
func HeaderBytes(h http.Header) int64 {
	n := 0
	for name, values := range h {
		n += len(name)
		for _, value := range values {
			n += len(value)
		}
	}
	return int64(n)
}
