package crforward

import (
	"encoding/json"
	"expvar"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

const (
	// maxLatency is the largest latency in the histogram; longer ones are recorded as
	// this.
	maxLatency = 2 * time.Minute
	// latencyDigits is the number of significant decimal digits of the histogram.
	latencyDigits = 2
)

// Metrics counts requests, connections and endpoint failures. Its zero value is ready to
// use; it is safe for concurrent use.
type Metrics struct {
	// InFlight is the number of requests that are being served.
	InFlight expvar.Int
	// Outcomes counts requests by outcome.
	Outcomes expvar.Map
	// Connections counts the connections opened to endpoints.
	Connections expvar.Int
	// Ejected counts how often an endpoint was ejected after failures.
	Ejected expvar.Int
	// Resumed counts the streams that were resumed at another endpoint.
	Resumed expvar.Int
	// Moved counts the streams that left an endpoint that would not complete them in time.
	Moved expvar.Int
	// RampsBegun and RampsEnded count the ramps of endpoints that start or recover, and
	// RampsHalved how often the level of one was halved, as of its end.
	RampsBegun, RampsEnded, RampsHalved expvar.Int
	// Kept counts the attempts at silent endpoints that went on because no other endpoint
	// took the request.
	Kept expvar.Int
	// Saturated counts how often each service became saturated, and Unusable how often each
	// had no usable endpoint, by cause.
	Saturated, Unusable expvar.Map
	// Streams counts the streams that were begun, LateStreams those that were late for
	// their callers, by reason, and PausesOverGap the pauses between their events that were
	// longer than the gap of their route.
	Streams       expvar.Int
	LateStreams   expvar.Map
	PausesOverGap expvar.Int

	// latency holds the times of requests, firstEvent those of the first events of streams,
	// longestPause the longest pause of each stream, and hold the longest time of each
	// stream from the arrival of an event to the end of its write.
	latency, firstEvent, longestPause, hold histogram
}

// record records the outcome and the latency of a request. An empty outcome counts as
// aborted.
func (m *Metrics) record(outcome string, took time.Duration) {
	if outcome == "" {
		outcome = "aborted"
	}
	m.Outcomes.Add(outcome, 1)
	m.latency.record(took)
}

// Map returns the metrics as one expvar value. Latencies are in milliseconds.
func (m *Metrics) Map() *expvar.Map {
	out := &expvar.Map{}
	out.Set("requests-in-flight", &m.InFlight)
	out.Set("requests-by-outcome", &m.Outcomes)
	out.Set("endpoint-connections-opened", &m.Connections)
	out.Set("endpoints-ejected", &m.Ejected)
	out.Set("streams-resumed", &m.Resumed)
	out.Set("streams-moved", &m.Moved)
	out.Set("silent-attempts-kept", &m.Kept)
	out.Set("service-saturations", &m.Saturated)
	out.Set("services-without-endpoint", &m.Unusable)
	out.Set("request-latency-ms", expvar.Func(m.latency.quantiles))
	out.Set("streams-begun", &m.Streams)
	out.Set("streams-late-by-reason", &m.LateStreams)
	out.Set("stream-pauses-over-gap", &m.PausesOverGap)
	out.Set("stream-first-event-ms", expvar.Func(m.firstEvent.quantiles))
	out.Set("stream-longest-pause-ms", expvar.Func(m.longestPause.quantiles))
	out.Set("stream-longest-hold-ms", expvar.Func(m.hold.quantiles))
	out.Set("endpoint-ramps-begun", &m.RampsBegun)
	out.Set("endpoint-ramps-ended", &m.RampsEnded)
	out.Set("endpoint-ramps-halved", &m.RampsHalved)
	return out
}

// histogram holds durations. Its zero value is ready to use; it is safe for concurrent use.
type histogram struct {
	mu     sync.Mutex
	values *hdrhistogram.Histogram
}

// record adds a duration. Those above maxLatency are recorded as maxLatency.
func (h *histogram) record(d time.Duration) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.values == nil {
		h.values = hdrhistogram.New(1, maxLatency.Microseconds(), latencyDigits)
	}
	// The error is ignored because no value is out of range.
	_ = h.values.RecordValue(max(0, min(d, maxLatency)).Microseconds())
}

// quantiles returns the number of durations and their quantiles, in milliseconds.
func (h *histogram) quantiles() any {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.values == nil {
		return json.RawMessage("{}")
	}
	ms := func(q float64) float64 { return float64(h.values.ValueAtQuantile(q)) / 1000 }
	return map[string]float64{
		"count": float64(h.values.TotalCount()),
		"p50":   ms(50), "p90": ms(90), "p99": ms(99), "max": float64(h.values.Max()) / 1000,
	}
}
