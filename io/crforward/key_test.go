package crforward_test

import (
	"net/http"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	pb "crocusrack/schema/crrouter"
)

// TestKeys: a key is believed only while the routing is fresh, also on an
// instance that was suspended.
func TestKeys(t *testing.T) {
	play(t, func(r *rig) {
		for _, c := range []struct {
			name   string
			change func()
			key    string
			want   int
		}{
			{"known", func() {}, "k", 200},
			{"unknown", func() {}, "x", 401},
			{"known, suspended for 10 s", func() { r.elapsed = 10 * time.Second }, "k", 503},
			{"unknown, suspended for 10 s", func() {}, "x", 503},
			{"fresh again", func() { r.state.Evidence.Read(r.state.Elapsed()) }, "k", 200},
			{"taken away", func() {
				r.state.SetRouting(&pb.Routing{
					Version: 2, Routes: testRouting().Routes, Accounts: []*pb.Account{{Name: "other", Keys: []string{"y"}}},
				})
			}, "k", 401},
		} {
			c.change()
			if got, _ := r.send(r.t.Context(), "/read/", "", "Key", c.key); got.Status != c.want {
				t.Errorf("%s: status %d, want %d", c.name, got.Status, c.want)
			}
		}
	}, good)
}

// TestSuspendedInDial: the instance is suspended while it opens a connection, and
// wakes when the key may have been taken away, or the grant is old. The request
// isn't sent by the old permission.
func TestSuspendedInDial(t *testing.T) {
	for _, c := range []struct {
		suspended time.Duration
		want      int
		arrivals  int
	}{
		{0, 200, 1},
		{2 * time.Second, 200, 1},
		{5 * time.Second, 503, 0},
		{60 * time.Second, 503, 0},
	} {
		play(t, func(r *rig) {
			r.dialing = func() error {
				r.elapsed += c.suspended
				r.dialing = nil
				return nil
			}
			got, _ := r.send(r.t.Context(), "/book/", "")
			if got.Status != c.want || r.arrived() != c.arrivals {
				t.Errorf("after %s: status %d and arrivals %q, want %d and %d", c.suspended, got.Status, r.arrivals, c.want, c.arrivals)
			}
		}, good)
	}
}

// TestChangedAfterARun: a key is taken away while the first endpoint works and
// loses its answer. The request isn't sent again, and the caller isn't told that
// it has not run.
func TestChangedAfterARun(t *testing.T) {
	var rigged *rig
	lose := func(http.ResponseWriter, *http.Request) {
		rigged.state.SetRouting(&pb.Routing{
			Version: 2, Routes: testRouting().Routes, Accounts: []*pb.Account{{Name: "other", Keys: []string{"y"}}},
		})
		panic(http.ErrAbortHandler)
	}
	play(t, func(r *rig) {
		rigged = r
		got, _ := r.send(r.t.Context(), "/read/", "")
		if diff := cmp.Diff(answer{502, "answer-lost\n", false}, got); diff != "" || r.arrived() != 1 {
			t.Errorf("arrivals %q (-want +got):\n%s", r.arrivals, diff)
		}
	}, lose, lose)
}

func TestKeyIsNotPassedOn(t *testing.T) {
	play(t, func(r *rig) {
		r.send(r.t.Context(), "/read/", "", "Account", "forged")
	}, func(w http.ResponseWriter, q *http.Request) {
		if got := q.Header.Get("Account"); got != "buyer" {
			t.Errorf("account %q, want buyer", got)
		}
		if got := q.Header.Get("Key"); got != "" {
			t.Errorf("the endpoint got the key %q", got)
		}
		good(w, q)
	})
}
