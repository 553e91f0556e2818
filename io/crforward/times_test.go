package crforward_test

import (
	"net/http"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"go.uber.org/zap"
	"go.uber.org/zap/zaptest/observer"

	"crocusrack/core/crgauge"
)

// eventsAt returns the handler of an endpoint that sends one event after each pause.
func eventsAt(pauses ...time.Duration) http.HandlerFunc {
	return func(w http.ResponseWriter, _ *http.Request) {
		for i, pause := range pauses {
			time.Sleep(pause)
			_, _ = w.Write([]byte(eventText(i+1, i+1)))
			_ = http.NewResponseController(w).Flush()
		}
	}
}

// TestStreamLog guards against log lines that call a stream good although its caller doesn't:
// one that is late for its pauses or its end has a first event in time.
func TestStreamLog(t *testing.T) {
	const ms = time.Millisecond
	for _, c := range []struct {
		name   string
		path   string
		pauses []time.Duration
		want   map[string]any
	}{
		{"in time", "/short/", []time.Duration{10 * ms, 100 * ms, 150 * ms}, map[string]any{
			"events": int64(3), "longest-pause-ms": 150 * ms, "pauses-over-gap": int64(0), "endpoint-pauses-over-gap": int64(0), "gap-ms": 200 * ms}},
		{"pauses", "/short/", []time.Duration{10 * ms, 300 * ms, 50 * ms, 250 * ms}, map[string]any{
			"events": int64(4), "longest-pause-ms": 300 * ms, "pauses-over-gap": int64(2), "endpoint-pauses-over-gap": int64(2),
			"gap-ms": 200 * ms, "late": "pauses", "late-at": "endpoint"}},
		{"end", "/short/", []time.Duration{10 * ms, 150 * ms, 2 * time.Second}, map[string]any{
			"events": int64(2), "longest-pause-ms": 824 * ms, "pauses-over-gap": int64(1), "endpoint-pauses-over-gap": int64(1),
			"gap-ms": 200 * ms, "late": "pauses,end", "late-at": "endpoint"}},
		{"first event", "/reply/", []time.Duration{150 * ms, 50 * ms}, map[string]any{
			"events": int64(2), "longest-pause-ms": 50 * ms, "pauses-over-gap": int64(0), "endpoint-pauses-over-gap": int64(0), "late": "first-event"}},
	} {
		t.Run(c.name, func(t *testing.T) {
			runFixture(t, func(r *fixture) {
				core, logs := observer.New(zap.InfoLevel)
				r.forwarder.Log = zap.New(core)
				r.send(r.t.Context(), c.path, "", "Deadline", "1s")
				time.Sleep(3 * time.Second)
				got := make(map[string]any)
				for k, v := range logs.FilterMessage("entry: request ended").All()[0].ContextMap() {
					switch k {
					case "events", "longest-pause-ms", "pauses-over-gap", "endpoint-pauses-over-gap", "gap-ms", "late", "late-at":
						got[k] = v
					}
				}
				if diff := cmp.Diff(c.want, got); diff != "" {
					t.Errorf("(-want +got):\n%s", diff)
				}
				late := int64(0)
				if c.want["late"] != nil {
					late = c.want["pauses-over-gap"].(int64)
				}
				if over := r.forwarder.Metrics.PausesOverGap.Value(); over != late || r.forwarder.Metrics.Streams.Value() != 1 {
					t.Errorf("%d streams with %d pauses over the gap are counted, want 1 with %d", r.forwarder.Metrics.Streams.Value(), over, late)
				}
			}, eventsAt(c.pauses...))
		})
	}
}

// TestStatedLoad checks that statements in answers of any kind are recorded, but not those of
// a 421, which may come from another server.
func TestStatedLoad(t *testing.T) {
	for _, c := range []struct {
		name   string
		answer http.HandlerFunc
		want   *crgauge.Statement
	}{
		{"answered", good, &crgauge.Statement{Running: 7, Slots: 8}},
		{"refused", refuse, &crgauge.Statement{Running: 7, Slots: 8}},
		{"failed", fail, &crgauge.Statement{Running: 7, Slots: 8}},
		{"misdirected", func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusMisdirectedRequest) }, nil},
	} {
		t.Run(c.name, func(t *testing.T) {
			runFixture(t, func(r *fixture) {
				r.forwarder.Codec.Gauge = func(h http.Header) (crgauge.Statement, bool) {
					return crgauge.Statement{Running: 7, Slots: 8}, h.Get("Load") != ""
				}
				r.send(r.t.Context(), "/book/", "")
				if diff := cmp.Diff(c.want, r.state.Dump(time.Now()).Endpoints[0].Stated); diff != "" {
					t.Errorf("(-want +got):\n%s", diff)
				}
			}, func(w http.ResponseWriter, q *http.Request) {
				w.Header().Set("Load", "7")
				c.answer(w, q)
			})
		})
	}
}

// TestStatedLoadIsLogged checks that the log has the load that an endpoint stated beside the
// count that it was chosen by.
func TestStatedLoadIsLogged(t *testing.T) {
	runFixture(t, func(r *fixture) {
		core, logs := observer.New(zap.InfoLevel)
		r.forwarder.Log = zap.New(core)
		r.forwarder.Codec.Gauge = func(http.Header) (crgauge.Statement, bool) {
			return crgauge.Statement{Running: 6, Waiting: 3, Slots: 8}, true
		}
		r.send(r.t.Context(), "/book/", "")
		got := logs.FilterMessage("entry: request ended").All()[0].ContextMap()
		if got["in-flight"] != int64(0) || got["stated-in-flight"] != int64(9) {
			t.Errorf("in-flight %v and stated-in-flight %v are logged, want 0 and 9", got["in-flight"], got["stated-in-flight"])
		}
	}, good)
}
