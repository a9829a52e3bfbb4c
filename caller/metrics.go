package caller

import (
	"net/http"
	"sync"
	"time"

	metrics "github.com/rcrowley/go-metrics"

	"redwinghall"
)

// Limits of the metrics. The number of series is limited because go-metrics never
// removes one.
const (
	maxSeries     = 200
	sampleSize    = 1028
	otherAccounts = "other"
)

// series holds the histograms of one client account and class. Their values are in
// microseconds.
type series struct {
	firstToken metrics.Histogram
	nextToken  metrics.Histogram
	queue      metrics.Histogram
	total      metrics.Histogram
}

// Metrics holds the router's counters and histograms.
type Metrics struct {
	registry metrics.Registry
	mu       sync.RWMutex
	byKey    map[string]*series
}

// NewMetrics returns empty metrics.
func NewMetrics() *Metrics {
	return &Metrics{registry: metrics.NewRegistry(), byKey: map[string]*series{}}
}

// seriesOf returns the series of an account. Once there are maxSeries, all further
// accounts share one.
func (m *Metrics) seriesOf(a redwinghall.ClientAccount) *series {
	key := a.ID + "." + string(a.Class)
	m.mu.RLock()
	s, ok := m.byKey[key]
	full := len(m.byKey) >= maxSeries
	m.mu.RUnlock()
	if ok {
		return s
	}
	if full {
		key = otherAccounts
	}
	return m.add(key)
}

func (m *Metrics) add(key string) *series {
	m.mu.Lock()
	defer m.mu.Unlock()
	if s, ok := m.byKey[key]; ok {
		return s
	}
	s := &series{
		firstToken: m.histogram(key, "time_to_first_token_us"),
		nextToken:  m.histogram(key, "time_between_tokens_us"),
		queue:      m.histogram(key, "queue_time_us"),
		total:      m.histogram(key, "total_time_us"),
	}
	m.byKey[key] = s
	return s
}

func (m *Metrics) histogram(key, name string) metrics.Histogram {
	return metrics.NewRegisteredHistogram("account."+key+"."+name, m.registry, metrics.NewUniformSample(sampleSize))
}

// count increments the counter of an outcome. Outcomes are codes of a fixed table,
// so the number of counters is limited.
func (m *Metrics) count(code string) {
	metrics.GetOrRegisterCounter("outcomes."+code, m.registry).Inc(1)
}

// Gauge adds a gauge whose value is read each time the metrics are written.
func (m *Metrics) Gauge(name string, read func() int64) {
	metrics.NewRegisteredFunctionalGauge(name, m.registry, read)
}

func observe(h metrics.Histogram, d time.Duration) { h.Update(d.Microseconds()) }

// ServeHTTP writes all metrics as JSON.
func (m *Metrics) ServeHTTP(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Content-Type", "application/json")
	metrics.WriteJSONOnce(m.registry, w)
}
