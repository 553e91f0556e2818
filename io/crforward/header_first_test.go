package crforward_test

import (
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
)

// TestHeaderAloneDoesNotEndSuccessor checks a stream whose silent endpoint sends a header, and
// no event, while its successor is at work, and then breaks off.
func TestHeaderAloneDoesNotEndSuccessor(t *testing.T) {
	first := func(w http.ResponseWriter, _ *http.Request) {
		time.Sleep(3500 * time.Millisecond)
		_ = http.NewResponseController(w).Flush()
		time.Sleep(500 * time.Millisecond)
		panic(http.ErrAbortHandler)
	}
	var arrived atomic.Int64
	either := func(w http.ResponseWriter, q *http.Request) {
		if arrived.Add(1) == 1 {
			first(w, q)
			return
		}
		time.Sleep(1500 * time.Millisecond)
		events(4, true)(w, q)
	}
	runFixture(t, func(r *fixture) {
		r.forwarder.MaxKeyAge = time.Hour
		got, _ := r.send(r.t.Context(), "/draft/", "", "Deadline", "20s")
		if diff := cmp.Diff(answer{200, eventText(1, 4), false}, got); diff != "" {
			t.Errorf("arrivals %q (-want +got):\n%s", r.arrivals, diff)
		}
		time.Sleep(5 * time.Second)
	}, either, either)
}

// TestHeaderOfSuccessorDoesNotEndFirstAttempt checks an idempotent request whose successor
// sends only a header while the first endpoint is still at work.
func TestHeaderOfSuccessorDoesNotEndFirstAttempt(t *testing.T) {
	for _, successor := range []http.HandlerFunc{headerOnly, breaksAfterHeader} {
		var arrived atomic.Int64
		either := func(w http.ResponseWriter, q *http.Request) {
			if arrived.Add(1) > 1 {
				successor(w, q)
				return
			}
			time.Sleep(600 * time.Millisecond)
			good(w, q)
		}
		runFixture(t, func(r *fixture) {
			got, _ := r.send(r.t.Context(), "/read/", "")
			if diff := cmp.Diff(answer{200, "ok", false}, got); diff != "" || r.arrived() != 2 {
				t.Errorf("arrivals %q (-want +got):\n%s", r.arrivals, diff)
			}
			// Wait until the endpoints' handlers have ended.
			time.Sleep(time.Second)
		}, either, either)
	}
}
