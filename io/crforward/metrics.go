package crforward

import (
	"encoding/json"
	"expvar"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

const (
	// maxLatency is the longest latency that the histogram tells apart.
	maxLatency = 2 * time.Minute
	// latencyDigits is the precision of the histogram, in decimal digits.
	latencyDigits = 2
)

// Metrics counts what becomes of requests. Its zero value is ready; it is safe
// for concurrent use.
type Metrics struct {
	InFlight expvar.Int
	// Outcomes counts requests by how they ended.
	Outcomes expvar.Map
	// Connections counts connections opened to endpoints.
	Connections expvar.Int
	// Ejected counts the times an endpoint was put out of use.
	Ejected expvar.Int
	// Resumed counts streams that went on at another endpoint.
	Resumed expvar.Int

	mu      sync.Mutex
	latency *hdrhistogram.Histogram
}

func (m *Metrics) end(outcome string, took time.Duration) {
	if outcome == "" {
		outcome = "aborted"
	}
	m.Outcomes.Add(outcome, 1)
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.latency == nil {
		m.latency = hdrhistogram.New(1, maxLatency.Microseconds(), latencyDigits)
	}
	// Longer ones are counted as the longest.
	_ = m.latency.RecordValue(min(took, maxLatency).Microseconds())
}

// Map returns the metrics as one value for expvar. Latencies are in
// milliseconds.
func (m *Metrics) Map() *expvar.Map {
	out := &expvar.Map{}
	out.Set("requests-in-flight", &m.InFlight)
	out.Set("requests-by-outcome", &m.Outcomes)
	out.Set("endpoint-connections-opened", &m.Connections)
	out.Set("endpoints-ejected", &m.Ejected)
	out.Set("streams-resumed", &m.Resumed)
	out.Set("request-latency-ms", expvar.Func(m.latencies))
	return out
}

// latencies returns a histogram: the count of requests and their quantiles.
func (m *Metrics) latencies() any {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.latency == nil {
		return json.RawMessage("{}")
	}
	ms := func(q float64) float64 { return float64(m.latency.ValueAtQuantile(q)) / 1000 }
	return map[string]float64{
		"count": float64(m.latency.TotalCount()),
		"p50":   ms(50), "p90": ms(90), "p99": ms(99), "max": float64(m.latency.Max()) / 1000,
	}
}
