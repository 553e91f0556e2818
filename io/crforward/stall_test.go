package crforward_test

import (
	"errors"
	"io"
	"net/http"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"crocusrack/core/crgrant"
)

// TestSilentStreamIsNotCutWithoutSuccessor checks a stream whose endpoint pauses, before
// its first event or between events, while no other endpoint takes the request.
func TestSilentStreamIsNotCutWithoutSuccessor(t *testing.T) {
	pauses := func(before, between time.Duration) http.HandlerFunc {
		return func(w http.ResponseWriter, _ *http.Request) {
			for i := range 4 {
				time.Sleep(before)
				_, _ = io.WriteString(w, eventText(i+1, i+1))
				_ = http.NewResponseController(w).Flush()
				before = between
			}
		}
	}
	for _, c := range []struct {
		name      string
		endpoint  http.HandlerFunc
		successor http.HandlerFunc
		// probes is false if new connections to the first endpoint fail.
		probes bool
	}{
		{"pauses between events, refused elsewhere", pauses(0, 2800*time.Millisecond), refuse, true},
		{"pauses between events, silent elsewhere", pauses(0, 2800*time.Millisecond), silentHandler, true},
		{"pauses between events, only a header elsewhere", pauses(0, 2800*time.Millisecond), headerOnly, true},
		{"pauses between events, broken off elsewhere", pauses(0, 2800*time.Millisecond), breaksAfterHeader, true},
		{"takes no connections, refused elsewhere", pauses(0, 1200*time.Millisecond), refuse, false},
		{"pauses before its answer, refused elsewhere", pauses(4*time.Second, 0), refuse, true},
		{"takes no connections before its answer, refused elsewhere", pauses(1500*time.Millisecond, 0), refuse, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			var arrived atomic.Int64
			either := func(w http.ResponseWriter, q *http.Request) {
				if arrived.Add(1) == 1 {
					c.endpoint(w, q)
					return
				}
				c.successor(w, q)
			}
			runFixture(t, func(r *fixture) {
				var dials atomic.Int64
				r.dialing = func() error {
					if dials.Add(1) == 2 && !c.probes {
						return errors.New("the endpoint has no room for connections")
					}
					return nil
				}
				r.forwarder.MaxKeyAge = time.Hour
				got, _ := r.send(r.t.Context(), "/draft/", "", "Deadline", "20s")
				if diff := cmp.Diff(answer{200, eventText(1, 4), false}, got); diff != "" {
					t.Errorf("arrivals %q (-want +got):\n%s", r.arrivals, diff)
				}
				// Wait until the endpoints notice that their callers have disconnected.
				time.Sleep(5 * time.Second)
			}, either, either)
		})
	}
}

func silentHandler(_ http.ResponseWriter, q *http.Request) { <-q.Context().Done() }

func headerOnly(w http.ResponseWriter, q *http.Request) {
	_ = http.NewResponseController(w).Flush()
	<-q.Context().Done()
}

func breaksAfterHeader(w http.ResponseWriter, _ *http.Request) {
	_ = http.NewResponseController(w).Flush()
	time.Sleep(100 * time.Millisecond)
	panic(http.ErrAbortHandler)
}

// TestSilentStreamsLeaveRetryBudget checks that streams whose successors find no endpoint
// use at most one repeat each, however long they are silent.
func TestSilentStreamsLeaveRetryBudget(t *testing.T) {
	const streams = 6
	var left [2]int
	for i, count := range []int{0, streams} {
		runFixture(t, func(r *fixture) {
			r.forwarder.MaxKeyAge = time.Hour
			r.state.Retries = crgrant.RetryLimit{ExtraPerWindow: 60, Window: time.Minute}
			r.state.CountRequest(time.Now(), "app")
			begin := time.Now()
			var callers sync.WaitGroup
			for range count {
				callers.Go(func() { r.send(r.t.Context(), "/draft/", "", "Deadline", "9s") })
			}
			callers.Wait()
			time.Sleep(9*time.Second - time.Since(begin))
			for r.state.SpendRetry(time.Now(), "app") {
				left[i]++
			}
		}, silentHandler)
	}
	if left[1] < left[0]-streams {
		t.Errorf("%d repeats are left, want %d or more", left[1], left[0]-streams)
	}
}

// TestStreamIsNotCutBeforeItsDeadline checks a stream whose last event comes just before the
// caller's deadline, and that a request without an answer still gets its error before it.
func TestStreamIsNotCutBeforeItsDeadline(t *testing.T) {
	for _, path := range []string{"/draft/", "/reply/"} {
		late := func(w http.ResponseWriter, _ *http.Request) {
			_, _ = io.WriteString(w, eventText(1, 1))
			_ = http.NewResponseController(w).Flush()
			time.Sleep(980 * time.Millisecond)
			_, _ = io.WriteString(w, eventText(2, 2))
		}
		runFixture(t, func(r *fixture) {
			got, _ := r.send(r.t.Context(), path, "", "Deadline", "1s")
			if diff := cmp.Diff(answer{200, eventText(1, 2), false}, got); diff != "" {
				t.Errorf("%s (-want +got):\n%s", path, diff)
			}
		}, late)
		runFixture(t, func(r *fixture) {
			begin := time.Now()
			got, _ := r.send(r.t.Context(), path, "", "Deadline", "1s")
			if took := time.Since(begin); got.Status != http.StatusGatewayTimeout || took > 980*time.Millisecond {
				t.Errorf("%s: status %d after %s, want 504 before the deadline", path, got.Status, took)
			}
			// Wait until the endpoint notices that its caller has disconnected.
			time.Sleep(time.Second)
		}, silentHandler)
	}
}

// failsWithoutEnd sends the head of an answer that the endpoint failed, but no end.
func failsWithoutEnd(w http.ResponseWriter, q *http.Request) {
	w.WriteHeader(http.StatusInternalServerError)
	headerOnly(w, q)
}

// TestFailureWithoutEnd checks that an endless answer with a failure, for a stream, delays
// neither the error that its caller gets nor the answer of another endpoint.
func TestFailureWithoutEnd(t *testing.T) {
	for _, path := range []string{"/draft/", "/reply/"} {
		runFixture(t, func(r *fixture) {
			begin := time.Now()
			got, _ := r.send(r.t.Context(), path, "", "Deadline", "1s")
			if took := time.Since(begin); got.Status != http.StatusGatewayTimeout || took > 980*time.Millisecond {
				t.Errorf("%s: status %d after %s, want 504 before the deadline", path, got.Status, took)
			}
			// Wait until the endpoint notices that its caller has disconnected.
			time.Sleep(time.Second)
		}, failsWithoutEnd)
	}
	var arrived atomic.Int64
	either := func(w http.ResponseWriter, q *http.Request) {
		if arrived.Add(1) > 1 {
			failsWithoutEnd(w, q)
			return
		}
		time.Sleep(4 * time.Second)
		_, _ = io.WriteString(w, eventText(1, 1))
	}
	runFixture(t, func(r *fixture) {
		r.forwarder.MaxKeyAge = time.Hour
		begin := time.Now()
		got, _ := r.send(r.t.Context(), "/draft/", "", "Deadline", "20s")
		if diff := cmp.Diff(answer{200, eventText(1, 1), false}, got); diff != "" {
			t.Errorf("arrivals %q (-want +got):\n%s", r.arrivals, diff)
		}
		if took := time.Since(begin); took > 5*time.Second || arrived.Load() < 2 {
			t.Errorf("answered after %s with %d attempts, want 4 s and a successor", took, arrived.Load())
		}
		time.Sleep(5 * time.Second)
	}, either, either)
}
