package crforward_test

import (
	"context"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	pb "crocusrack/schema/crrouter"
)

// TestCallerLeavesDuringSuccession checks that the attempt at a silent endpoint and its
// successor end within half a second of the caller's leaving, and that nothing is sent then.
func TestCallerLeavesDuringSuccession(t *testing.T) {
	for _, path := range []string{"/read/", "/draft/"} {
		for _, successor := range []http.HandlerFunc{silentHandler, headerOnly} {
			var rigged *fixture
			var n atomic.Int64
			either := func(w http.ResponseWriter, q *http.Request) {
				if n.Add(1) == 1 {
					silentHandler(w, q)
				} else {
					successor(w, q)
				}
				rigged.canceled <- time.Now()
			}
			runFixture(t, func(r *fixture) {
				rigged = r
				r.forwarder.MaxKeyAge = time.Hour
				ctx, cancel := context.WithTimeout(r.t.Context(), 4*time.Second)
				defer cancel()
				left := time.Now().Add(4 * time.Second)
				r.send(ctx, path, "")
				for range 2 {
					if late := (<-r.canceled).Sub(left); late < 0 || late > 500*time.Millisecond {
						t.Errorf("%s: an endpoint noticed %s after the caller had left", path, late)
					}
				}
				time.Sleep(2 * time.Second)
				if r.arrived() != 2 {
					t.Errorf("%s: arrivals %q, want 2", path, r.arrivals)
				}
			}, either, either)
		}
	}
}

// TestRequestsInProgressOutlastTheirConfiguration removes the route, the key and the endpoint
// of requests in progress.
func TestRequestsInProgressOutlastTheirConfiguration(t *testing.T) {
	slow := func(w http.ResponseWriter, q *http.Request) {
		time.Sleep(2 * time.Second)
		events(4, true)(w, q)
	}
	for _, path := range []string{"/read/", "/book/", "/draft/", "/reply/"} {
		runFixture(t, func(r *fixture) {
			time.AfterFunc(time.Second, func() {
				r.state.SetEndpoints(time.Now(), 2, nil)
				r.state.SetRouting(&pb.Routing{Version: 2, Accounts: []*pb.Account{{Name: "other", Keys: []string{"y"}}}})
			})
			got, _ := r.send(r.t.Context(), path, "")
			if diff := cmp.Diff(answer{200, eventText(1, 4), false}, got); diff != "" {
				t.Errorf("%s (-want +got):\n%s", path, diff)
			}
		}, slow)
	}
}
