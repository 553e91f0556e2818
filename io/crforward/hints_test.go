package crforward_test

import (
	"errors"
	"io"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"crocusrack/core/crgrant"
	"crocusrack/core/crlimit"
)

// TestLeavingEndpoint checks that an endpoint that says in an answer that it is about to
// stop gets no further requests, and that the other endpoint's answers are passed on.
func TestLeavingEndpoint(t *testing.T) {
	for _, path := range []string{"/read/", "/book/", "/draft/", "/reply/"} {
		leave := func(w http.ResponseWriter, q *http.Request) {
			w.Header().Set("Leaving", "1")
			good(w, q)
		}
		runFixture(t, func(r *fixture) {
			for range 20 {
				if got, _ := r.send(r.t.Context(), path, ""); got.Status != http.StatusOK {
					t.Errorf("%s: status %d", path, got.Status)
				}
			}
			if got := r.arrivalsWithPrefix("e1 "); got > 1 {
				t.Errorf("%s: %d requests arrived at the endpoint that is about to stop", path, got)
			}
		}, leave, good)
	}
}

// TestPausedEndpoint checks an endpoint that rejects requests and asks for a pause. It
// must get no requests during the pause, whether or not another endpoint can take them. A
// refused caller must get the rest of the pause as Retry-After.
func TestPausedEndpoint(t *testing.T) {
	pause := func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Not-Run", "1")
		w.Header().Set("Pause", "2s")
		w.WriteHeader(http.StatusServiceUnavailable)
	}
	runFixture(t, func(r *fixture) {
		begin := time.Now()
		for time.Since(begin) < 1900*time.Millisecond {
			got, header := r.send(r.t.Context(), "/book/", "")
			if got.Status != http.StatusServiceUnavailable {
				t.Fatalf("status %d, want a refusal", got.Status)
			}
			left := 2*time.Second - time.Since(begin)
			wait, err := time.ParseDuration(header.Get("Retry-After") + "s")
			if err != nil || wait < left-100*time.Millisecond || wait > left+500*time.Millisecond {
				t.Errorf("Retry-After is %s, want about %s", wait, left)
			}
			time.Sleep(100 * time.Millisecond)
		}
		if r.arrived() != 1 {
			t.Errorf("arrivals in the pause: %q", r.arrivals)
		}
		time.Sleep(time.Second)
		r.send(r.t.Context(), "/book/", "")
		if r.arrived() != 2 {
			t.Errorf("arrivals after the pause: %q", r.arrivals)
		}
	}, pause)
	runFixture(t, func(r *fixture) {
		for range 20 {
			if got, _ := r.send(r.t.Context(), "/book/", ""); got.Status != http.StatusOK {
				t.Errorf("status %d", got.Status)
			}
			time.Sleep(90 * time.Millisecond)
		}
		if got := r.arrivalsWithPrefix("e1 "); got > 1 {
			t.Errorf("%d requests arrived at the paused endpoint", got)
		}
	}, pause, good)
}

// limitOf is the Limit of the tests' codec.
func limitOf(_ int, h http.Header) (float64, bool) {
	if h.Get("Limit") == "" {
		return crlimit.None, true
	}
	perSecond, err := strconv.ParseFloat(h.Get("Limit"), 64)
	return perSecond, err == nil
}

// TestLimitedEndpoint checks that an endpoint gets no more requests than the limit in its
// answers allows until an answer names none, and that a caller who is refused learns when to
// return.
func TestLimitedEndpoint(t *testing.T) {
	const perSecond, length = 2, 5 * time.Second
	var unlimited atomic.Bool
	limited := func(w http.ResponseWriter, q *http.Request) {
		if !unlimited.Load() {
			w.Header().Set("Limit", strconv.Itoa(perSecond))
		}
		good(w, q)
	}
	runFixture(t, func(r *fixture) {
		send := func(length time.Duration) (refused int) {
			for begin := time.Now(); time.Since(begin) < length; time.Sleep(50 * time.Millisecond) {
				r.state.Evidence.Read(r.state.Elapsed())
				got, header := r.send(r.t.Context(), "/book/", "")
				if got.Status == http.StatusOK {
					continue
				}
				refused++
				wait, err := time.ParseDuration(header.Get("Retry-After") + "s")
				if got.Status != http.StatusServiceUnavailable || err != nil || wait <= 0 || wait > 3*time.Second {
					t.Fatalf("status %d with Retry-After %q", got.Status, header.Get("Retry-After"))
				}
			}
			return refused
		}
		send(length)
		if got, most := r.arrived(), int(perSecond*length.Seconds())+2; got > most || got < most/2 {
			t.Errorf("%d requests arrived in %v, want %d at most and at least half of it", got, length, most)
		}
		unlimited.Store(true)
		send(time.Second)
		if refused := send(time.Second); refused > 0 {
			t.Errorf("%d requests were refused after the limit had ended", refused)
		}
	}, limited)
}

// arrivalsWithPrefix returns the number of arrivals that begin with the prefix.
func (r *fixture) arrivalsWithPrefix(prefix string) int {
	r.mu.Lock()
	defer r.mu.Unlock()
	n := 0
	for _, a := range r.arrivals {
		if strings.HasPrefix(a, prefix) {
			n++
		}
	}
	return n
}

// TestEndlessBodies checks that answers and events without end are cut off within a
// bounded length, don't look complete to the caller, and leave no memory reserved.
func TestEndlessBodies(t *testing.T) {
	endless := func(text string) http.HandlerFunc {
		return func(w http.ResponseWriter, _ *http.Request) {
			chunk := strings.Repeat(text, 1+4096/len(text))
			for sum := 0; sum < 64<<20; sum += len(chunk) {
				if _, err := io.WriteString(w, chunk); err != nil {
					return
				}
			}
		}
	}
	for _, c := range []struct{ name, path, text string }{
		{"a body", "/read/", "x"},
		{"a body of a request that runs once", "/book/", "x"},
		{"an event", "/draft/", "data: x\n"},
		{"an event of a stream that runs once", "/reply/", "x"},
	} {
		runFixture(t, func(r *fixture) {
			got, _ := r.send(r.t.Context(), c.path, "")
			if !got.Cut && got.Status < 500 || len(got.Body) > 9<<20 {
				t.Errorf("%s: status %d, %d bytes, cut %t", c.name, got.Status, len(got.Body), got.Cut)
			}
			time.Sleep(time.Second)
			if used := r.forwarder.Memory.Used(); used != 0 {
				t.Errorf("%s: %d bytes are still reserved", c.name, used)
			}
		}, endless(c.text), endless(c.text))
	}
}

// TestAnswerMemoryLimit checks that the memory reserved for many concurrent long answers
// stays within the limit, and that all of them are passed on completely.
func TestAnswerMemoryLimit(t *testing.T) {
	const limit, size = 256 << 10, 200 << 10
	var rigged *fixture
	maxUsed := int64(0)
	long := func(w http.ResponseWriter, _ *http.Request) {
		for range size / 4096 {
			_, _ = io.WriteString(w, strings.Repeat("x", 4096))
			rigged.mu.Lock()
			maxUsed = max(maxUsed, rigged.forwarder.Memory.Used())
			rigged.mu.Unlock()
			time.Sleep(time.Millisecond)
		}
	}
	runFixture(t, func(r *fixture) {
		rigged = r
		r.forwarder.Memory.Limit = limit
		var callers sync.WaitGroup
		for range 8 {
			callers.Go(func() {
				if got, _ := r.send(r.t.Context(), "/book/", ""); got.Status != http.StatusOK || len(got.Body) != size || got.Cut {
					t.Errorf("status %d, %d bytes, cut %t", got.Status, len(got.Body), got.Cut)
				}
			})
		}
		callers.Wait()
		if maxUsed > limit || maxUsed < limit/2 {
			t.Errorf("%d bytes were reserved at most, want between half and all of the limit of %d", maxUsed, limit)
		}
	}, long)
}

// TestSlowStreams checks two streams with long pauses. One whose pauses are within three
// times the route's MaxEventGap must stay at its endpoint. One whose endpoint sends bytes but
// completes no event must be resumed at another endpoint.
func TestSlowStreams(t *testing.T) {
	flush := func(w http.ResponseWriter, text string) {
		_, _ = io.WriteString(w, text)
		_ = http.NewResponseController(w).Flush()
	}
	slow := func(w http.ResponseWriter, _ *http.Request) {
		for i := range 5 {
			flush(w, eventText(i+1, i+1))
			time.Sleep(3 * time.Second)
		}
	}
	var rigged *fixture
	first := true
	trickle := func(w http.ResponseWriter, q *http.Request) {
		if !first {
			events(5, true)(w, q)
			return
		}
		first = false
		flush(w, eventText(1, 2)+"id: 3\ndata: ")
		for q.Context().Err() == nil {
			rigged.state.Evidence.Read(rigged.state.Elapsed())
			flush(w, "x")
			time.Sleep(300 * time.Millisecond)
		}
	}
	for _, c := range []struct {
		name     string
		endpoint http.HandlerFunc
		arrivals int
		maxTime  time.Duration
	}{
		{"slow", slow, 1, 16 * time.Second},
		{"trickling", trickle, 2, 6 * time.Second},
	} {
		runFixture(t, func(r *fixture) {
			rigged = r
			begin := time.Now()
			got, _ := r.send(r.t.Context(), "/slow/", "")
			if diff := cmp.Diff(answer{200, eventText(1, 5), false}, got); diff != "" {
				t.Errorf("%s (-want +got):\n%s", c.name, diff)
			}
			if took := time.Since(begin); r.arrived() != c.arrivals || took > c.maxTime {
				t.Errorf("%s: arrivals %q in %s, want %d in %s", c.name, r.arrivals, took, c.arrivals, c.maxTime)
			}
			// Wait until the first endpoint notices that its caller has disconnected.
			time.Sleep(time.Second)
		}, c.endpoint, c.endpoint)
	}
}

// TestSilenceEndsNothing checks streams whose endpoint pauses before and between events
// while new connections to it fail. A stream must stay at its endpoint if it may run only
// once, if the retry budget is spent, or if its route allows no repeat.
func TestSilenceEndsNothing(t *testing.T) {
	for _, c := range []struct {
		path  string
		spent bool
	}{{"/reply/", false}, {"/draft/", true}, {"/single/", false}} {
		pausing := func(w http.ResponseWriter, _ *http.Request) {
			for i := range 4 {
				time.Sleep(1500 * time.Millisecond)
				_, _ = io.WriteString(w, eventText(i+1, i+1))
				_ = http.NewResponseController(w).Flush()
			}
		}
		runFixture(t, func(r *fixture) {
			var dials atomic.Int64
			r.dialing = func() error {
				if dials.Add(1) > 1 {
					return errors.New("the packet was lost")
				}
				return nil
			}
			r.forwarder.MaxKeyAge = time.Hour
			for c.spent && r.state.SpendRetry(time.Now(), "app") {
			}
			r.state.Retries = crgrant.RetryLimit{Window: 10 * time.Second}
			got, _ := r.send(r.t.Context(), c.path, "")
			if diff := cmp.Diff(answer{200, eventText(1, 4), false}, got); diff != "" || r.arrived() != 1 {
				t.Errorf("%s: arrivals %q (-want +got):\n%s", c.path, r.arrivals, diff)
			}
		}, pausing, pausing)
	}
}
