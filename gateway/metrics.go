package gateway

import (
	"strconv"
	"sync"
	"time"

	metrics "github.com/rcrowley/go-metrics"

	"redwinghall/fleet"
	"redwinghall/platform"
)

// The registry never drops a series, so their number is bounded.
const (
	maxSeries   = 200
	sampleSize  = 512
	otherSeries = "other"
)

// Metrics are the gateway's counters and histograms.
type Metrics struct {
	registry metrics.Registry
	mu       sync.Mutex
	names    map[string]bool
}

// NewMetrics returns empty metrics.
func NewMetrics() *Metrics {
	return &Metrics{registry: metrics.NewRegistry(), names: map[string]bool{}}
}

// Registry returns the registry that holds the metrics.
func (m *Metrics) Registry() metrics.Registry { return m.registry }

// series returns the name of the request's series. Beyond maxSeries all new ones
// share otherSeries.
func (m *Metrics) series(r *Request) string {
	name := otherSeries
	if r.Route != nil {
		name = r.account() + "." + string(r.Route.Kind) + "." + r.Service.Name
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.names[name] {
		return name
	}
	if len(m.names) >= maxSeries {
		return otherSeries
	}
	m.names[name] = true
	return name
}

func (m *Metrics) count(name string) {
	metrics.GetOrRegisterCounter(name, m.registry).Inc(1)
}

// GroupStill counts the questions whether a still group lost a member.
func (m *Metrics) GroupStill() { m.count("groups.still_asked") }

// StreamsMoved counts streams that left a group which lost a member.
func (m *Metrics) StreamsMoved(n int) {
	metrics.GetOrRegisterCounter("streams.moved_from_lost_group", m.registry).Inc(int64(n))
}

// SetGauge sets the current value of something that rises and falls.
func (m *Metrics) SetGauge(name string, value int64) {
	metrics.GetOrRegisterGauge(name, m.registry).Update(value)
}

func (m *Metrics) observe(name string, d time.Duration) {
	h := m.registry.GetOrRegister(name, func() metrics.Histogram {
		return metrics.NewHistogram(metrics.NewExpDecaySample(sampleSize, 0.015))
	})
	if histogram, ok := h.(metrics.Histogram); ok {
		histogram.Update(d.Microseconds())
	}
}

// Refused counts a response that the gateway generated itself.
func (m *Metrics) Refused(r *Request, why refusal) {
	m.count("refused." + strconv.Itoa(why.status) + "." + why.reason)
	m.count("requests.refused." + m.series(r))
}

// RoomRefused counts a stream of another node that this node refused although a group would
// serve it in time.
func (m *Metrics) RoomRefused(reason string) { m.count("room.refused." + reason) }

// Answered counts a response of an endpoint that was forwarded.
func (m *Metrics) Answered(r *Request, status int, took time.Duration) {
	m.count("answered." + strconv.Itoa(status))
	m.observe("answer_us."+m.series(r), took)
}

// Streamed records the timings of a completed stream.
func (m *Metrics) Streamed(r *Request, first, slowest, took time.Duration) {
	name := m.series(r)
	m.observe("first_event_us."+name, first)
	m.observe("longest_pause_us."+name, slowest)
	m.observe("stream_us."+name, took)
}

// CallerGone counts a caller that disconnected before its response.
func (m *Metrics) CallerGone(r *Request) { m.count("caller_gone." + m.series(r)) }

// AttemptFailed counts an attempt that brought no usable response.
func (m *Metrics) AttemptFailed(kind Kind) {
	name := string(kind)
	if name == "" {
		name = "not_run"
	}
	m.count("attempt_failed." + name)
}

// BrokenOff counts a response that its endpoint broke off, by whether its process still runs.
func (m *Metrics) BrokenOff(found fleet.Presence) { m.count("broken_off." + string(found)) }

// EndedUnder counts an endpoint's process that ended while it had a request, without a proven answer.
func (m *Metrics) EndedUnder() { m.count("quarantine.ends") }

// Trial counts a request with a suspected part that was sent alone.
func (m *Metrics) Trial() { m.count("quarantine.trials") }

// ConnectionUnread counts a new connection that was closed unread, since this node gets more of them than it can serve.
func (m *Metrics) ConnectionUnread() { m.count("connections.unread") }

// RoomPromised counts a refused caller, by whether room was promised to it.
func (m *Metrics) RoomPromised(given bool) {
	if given {
		m.count("room.promised")
		return
	}
	m.count("room.not_promised")
}

// RoomTaken counts a caller that came back and got the room that was promised to it.
func (m *Metrics) RoomTaken() { m.count("room.taken") }

// MemoryRefused counts a request that was turned away as too little memory was left, by what it needed it for.
func (m *Metrics) MemoryRefused(kind string) { m.count("memory.refused." + kind) }

// CallerSlow counts that an answer was read on while its caller took nothing.
func (m *Metrics) CallerSlow() { m.count("callers.slow") }

// Forwarded counts a request that another node sent to its endpoint for this node.
func (m *Metrics) Forwarded() { m.count("paths.forwarded") }

// PathChanged counts that this node lost its own path to an endpoint, or has it again.
func (m *Metrics) PathChanged(returned bool) {
	if returned {
		m.count("paths.returned")
		return
	}
	m.count("paths.lost")
}

// LimitChanged counts that an endpoint announced a new or different rate limit, or
// withdrew it.
func (m *Metrics) LimitChanged(named bool) {
	if named {
		m.count("limits.named")
		return
	}
	m.count("limits.ended")
}

// NotPermitted counts a choice of an endpoint that was dropped because the endpoint's
// rate limit did not allow the request.
func (m *Metrics) NotPermitted() { m.count("limits.not_permitted") }

// RetryAfterReceived counts a response in which an endpoint asked this node to send
// nothing for a while.
func (m *Metrics) RetryAfterReceived() { m.count("retry_after.received") }

// ChoiceDropped counts a choice of an endpoint that was dropped because the endpoint had
// said that it leaves or asked this node to send nothing.
func (m *Metrics) ChoiceDropped() { m.count("choice_dropped") }

// RoomAsked counts a message by which this node's zone asked another one for room.
func (m *Metrics) RoomAsked() { m.count("room.asked") }

// RoomWished counts a wish of another zone for room, by whether anything was lent.
func (m *Metrics) RoomWished(lent bool) {
	if lent {
		m.count("room.lent")
		return
	}
	m.count("room.not_lent")
}

// LeftZone counts a stream that found no room in its zone, by how it left, if it did.
func (m *Metrics) LeftZone(exit string) { m.count("left_zone." + exit) }

// EndpointLeaving counts an endpoint that stated in a response that it leaves.
func (m *Metrics) EndpointLeaving() { m.count("endpoint_leaving") }

// HeaderUnreadable counts a response with a header that could not be parsed.
func (m *Metrics) HeaderUnreadable(field platform.ResponseField) {
	m.count("header_unreadable." + string(field))
}
