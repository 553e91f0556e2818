package crforward_test

import (
	"net/http"
	"testing"
	"time"
)

// TestPlannedStop: an instance stops in 3 s and gets requests all the while. None
// that it takes is cut off; what may last longer is refused at once, and hasn't run.
func TestPlannedStop(t *testing.T) {
	play(t, func(r *rig) {
		stop := time.Now().Add(3 * time.Second)
		r.forwarder.StopAt = func() time.Time { return stop }
		for _, c := range []struct {
			timeout time.Duration
			want    int
		}{
			{10 * time.Second, http.StatusServiceUnavailable},
			{2 * time.Second, http.StatusOK},
			{1100 * time.Millisecond, http.StatusOK},
			{time.Second, http.StatusServiceUnavailable},
			{100 * time.Millisecond, http.StatusGatewayTimeout},
		} {
			got, header := r.send(r.t.Context(), "/book/", "", "Deadline", c.timeout.String())
			if got.Status != c.want {
				t.Errorf("%s before the stop, within %s: status %d, want %d", time.Until(stop), c.timeout, got.Status, c.want)
			}
			if got.Status == http.StatusServiceUnavailable && header.Get("Retry-After") == "" {
				t.Error("a refusal does not say when to come back")
			}
		}
		// The last endpoint notices that its caller has left.
		defer time.Sleep(time.Second)
		if time.Now().After(stop) || r.arrived() != 3 {
			t.Errorf("arrivals %q, the last at %s before the stop", r.arrivals, time.Until(stop))
		}
	}, func(w http.ResponseWriter, q *http.Request) {
		time.Sleep(time.Second)
		good(w, q)
	})
}
