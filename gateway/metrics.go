package gateway

import (
	"strconv"
	"sync"
	"time"

	metrics "github.com/rcrowley/go-metrics"
)

// Bounds on how many series exist: the library keeps each for good.
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

// Registry returns where the metrics are kept.
func (m *Metrics) Registry() metrics.Registry { return m.registry }

// series bounds how many accounts and routes have series of their own.
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

func (m *Metrics) observe(name string, d time.Duration) {
	h := m.registry.GetOrRegister(name, func() metrics.Histogram {
		return metrics.NewHistogram(metrics.NewExpDecaySample(sampleSize, 0.015))
	})
	if histogram, ok := h.(metrics.Histogram); ok {
		histogram.Update(d.Microseconds())
	}
}

// Refused counts an answer of our own.
func (m *Metrics) Refused(r *Request, why refusal) {
	m.count("refused." + strconv.Itoa(why.status) + "." + why.reason)
	m.count("requests.refused." + m.series(r))
}

// Answered counts an endpoint's answer that was passed on.
func (m *Metrics) Answered(r *Request, status int, took time.Duration) {
	m.count("answered." + strconv.Itoa(status))
	m.observe("answer_us."+m.series(r), took)
}

// Streamed counts a whole stream.
func (m *Metrics) Streamed(r *Request, first, slowest, took time.Duration) {
	name := m.series(r)
	m.observe("first_event_us."+name, first)
	m.observe("longest_pause_us."+name, slowest)
	m.observe("stream_us."+name, took)
}

// CallerGone counts a caller that left before its answer.
func (m *Metrics) CallerGone(r *Request) { m.count("caller_gone." + m.series(r)) }

// LimitChanged counts that an endpoint named a limit, another one, or none any more.
func (m *Metrics) LimitChanged(named bool) {
	if named {
		m.count("limits.named")
		return
	}
	m.count("limits.ended")
}

// NotPermitted counts that a request had to go elsewhere, as its endpoint's limit didn't
// allow for it.
func (m *Metrics) NotPermitted() { m.count("limits.not_permitted") }
