// Package crmetric holds the metrics of a daemon. A Set belongs to one daemon:
// nothing is published globally, so that several can run in one process. Table
// lists every metric with its unit and meaning.
package crmetric

import (
	"encoding/json"
	"expvar"
	"net/http"
	"strings"

	pb "crocusrack/schema/crcaller"
)

// Path is where an operator listener serves the metrics.
const Path = "/metrics"

// Gauge returns a value that is computed when it is read.
type Gauge func() float64

// String returns the value as JSON; null when the gauge is not set or not a
// finite number.
func (g Gauge) String() string {
	if g == nil {
		return "null"
	}
	return encode(g())
}

// GaugeBy returns values by label, computed when they are read.
type GaugeBy func() map[string]float64

// String returns the values as a JSON object, sorted by label.
func (g GaugeBy) String() string {
	if g == nil {
		return "{}"
	}
	return encode(g())
}

func encode(value any) string {
	data, err := json.Marshal(value)
	if err != nil {
		return "null"
	}
	return string(data)
}

// Set holds the metrics of one daemon. The zero value is ready for use. Gauges
// are set before Handler is served; counters may be used at any time.
type Set struct {
	AddressAnswers       expvar.Int
	CachedTokens         expvar.Int
	CatalogueAge         Gauge
	CatalogueVersion     Gauge
	ControlBytesReceived expvar.Map
	ControlBytesSent     expvar.Map
	CrossDomainBytes     expvar.Int
	Draining             Gauge
	EndpointBound        GaugeBy
	EndpointLimit        GaugeBy
	EndpointLoad         GaugeBy
	LateAnswers          expvar.Int
	LeasesHeld           Gauge
	Members              GaugeBy
	Orders               expvar.Map
	PromptTokens         expvar.Int
	QueueLength          GaugeBy
	Refusals             expvar.Map
	Requests             expvar.Map
	RequestsInFlight     Gauge
	Retries              expvar.Int
	StoreCalls           expvar.Map
	StoreFailures        expvar.Map
}

// End counts the end of a request, and its reason when there is one.
func (s *Set) End(outcome *pb.Outcome) {
	s.Requests.Add(Outcome(outcome.GetKind()), 1)
	if outcome.GetReason() != pb.Reason_REASON_UNSPECIFIED {
		s.Refusals.Add(Reason(outcome.GetReason()), 1)
	}
}

// Outcome returns the label of an outcome, such as not-run.
func Outcome(kind pb.OutcomeKind) string { return label(kind.String(), "OUTCOME_KIND_") }

// Reason returns the label of a reason, such as over-bound.
func Reason(reason pb.Reason) string { return label(reason.String(), "REASON_") }

func label(name, prefix string) string {
	return strings.ReplaceAll(strings.ToLower(strings.TrimPrefix(name, prefix)), "_", "-")
}

// Handler serves all metrics as one JSON object, sorted by name.
func (s *Set) Handler() http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Type", "application/json; charset=utf-8")
		// A reader that has gone away is no fault of the daemon.
		_, _ = w.Write([]byte(s.String()))
	})
}

// String returns all metrics as one JSON object, sorted by name.
func (s *Set) String() string {
	root := new(expvar.Map)
	for _, m := range Table() {
		root.Set(m.Name, m.Var(s))
	}
	return root.String()
}

// Calls returns the calls to the platform's store, of all kinds.
func (s *Set) Calls() float64 {
	sum := 0.0
	s.StoreCalls.Do(func(kv expvar.KeyValue) {
		if n, ok := kv.Value.(*expvar.Int); ok {
			sum += float64(n.Value())
		}
	})
	return sum
}

// ControlBytes returns the bytes of control traffic sent and received, by kind.
func (s *Set) ControlBytes() map[string]float64 {
	sums := make(map[string]float64)
	add := func(kv expvar.KeyValue) {
		if n, ok := kv.Value.(*expvar.Int); ok {
			sums[kv.Key] += float64(n.Value())
		}
	}
	s.ControlBytesSent.Do(add)
	s.ControlBytesReceived.Do(add)
	return sums
}
