package crforward_test

import (
	"errors"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"google.golang.org/protobuf/types/known/durationpb"
)

// TestSuccessorsAnswerIsUsed checks requests whose first endpoint is silent or breaks off
// while their successor is pending: the caller gets the successor's answer.
func TestSuccessorsAnswerIsUsed(t *testing.T) {
	after := func(d time.Duration, h http.HandlerFunc) http.HandlerFunc {
		return func(w http.ResponseWriter, q *http.Request) {
			time.Sleep(d)
			h(w, q)
		}
	}
	breaksLate := func(w http.ResponseWriter, q *http.Request) {
		events(1, true)(w, q)
		time.Sleep(2800 * time.Millisecond)
		panic(http.ErrAbortHandler)
	}
	for _, c := range []struct {
		name            string
		path            string
		first           http.HandlerFunc
		successor       http.HandlerFunc
		want            answer
		connectionFails bool
	}{
		{"stream breaks off", "/draft/", breaksLate, after(800*time.Millisecond, events(4, true)), answer{200, eventText(1, 4), false}, false},
		{"slower than the first may be", "/read/", silentHandler, after(1800*time.Millisecond, good), answer{200, "ok", false}, true},
		{"not found", "/read/", silentHandler, http.NotFound, answer{404, "404 page not found\n", false}, true},
		{"failure", "/read/", silentHandler, fail, answer{500, "", false}, true},
	} {
		t.Run(c.name, func(t *testing.T) {
			var arrived atomic.Int64
			either := func(w http.ResponseWriter, q *http.Request) {
				if arrived.Add(1) == 1 {
					c.first(w, q)
					return
				}
				c.successor(w, q)
			}
			runFixture(t, func(r *fixture) {
				routing := testRouting()
				routing.Version = 2
				for _, route := range routing.Routes {
					route.Target = durationpb.New(time.Second)
				}
				r.state.SetRouting(routing)
				r.forwarder.MaxKeyAge = time.Hour
				var dials atomic.Int64
				r.dialing = func() error {
					if dials.Add(1) == 2 && c.connectionFails {
						return errors.New("the endpoint has no room for connections")
					}
					return nil
				}
				got, _ := r.send(r.t.Context(), c.path, "")
				if diff := cmp.Diff(c.want, got); diff != "" || r.arrived() != 2 {
					t.Errorf("arrivals %q (-want +got):\n%s", r.arrivals, diff)
				}
				// Wait until the endpoints notice that their callers have disconnected.
				time.Sleep(5 * time.Second)
			}, either, either)
		})
	}
}

// TestLongAnswerIsNotCutByEarlyRepeat checks an idempotent request whose answer has begun
// when the wait for its first answer would be over.
func TestLongAnswerIsNotCutByEarlyRepeat(t *testing.T) {
	const part, parts = 100_000, 4
	slow := func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Length", "400000")
		for range parts {
			_, _ = w.Write([]byte(strings.Repeat("x", part)))
			_ = http.NewResponseController(w).Flush()
			time.Sleep(100 * time.Millisecond)
		}
	}
	runFixture(t, func(r *fixture) {
		got, _ := r.send(r.t.Context(), "/read/", "")
		if got.Status != 200 || got.Cut || len(got.Body) != part*parts || r.arrived() != 1 {
			t.Errorf("status %d, %d bytes, cut %t, arrivals %q", got.Status, len(got.Body), got.Cut, r.arrivals)
		}
		// Wait until the endpoint's handler has ended.
		time.Sleep(time.Second)
	}, slow, slow)
}

// TestEarlyRepeatDoesNotEndTheFirstAttempt checks idempotent requests that take longer than
// the wait for their first answer while no other endpoint takes them.
func TestEarlyRepeatDoesNotEndTheFirstAttempt(t *testing.T) {
	for _, endpoints := range []int{1, 2} {
		var arrived atomic.Int64
		either := func(w http.ResponseWriter, q *http.Request) {
			if arrived.Add(1) > 1 {
				refuse(w, q)
				return
			}
			time.Sleep(300 * time.Millisecond)
			good(w, q)
		}
		runFixture(t, func(r *fixture) {
			got, _ := r.send(r.t.Context(), "/read/", "")
			if diff := cmp.Diff(answer{200, "ok", false}, got); diff != "" || r.arrived() != endpoints {
				t.Errorf("%d endpoints: arrivals %q (-want +got):\n%s", endpoints, r.arrivals, diff)
			}
			// Wait until the endpoint's handler has ended.
			time.Sleep(time.Second)
		}, []http.HandlerFunc{either, either}[:endpoints]...)
	}
}
