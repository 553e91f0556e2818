package crforward_test

import (
	"fmt"
	"net/http"
	"testing"

	"github.com/google/go-cmp/cmp"
)

// TestErrorOfNextEndpointIsNotPartOfStream guards against a broken stream that goes on with
// what the next endpoint answers instead of events, or that looks complete after it.
func TestErrorOfNextEndpointIsNotPartOfStream(t *testing.T) {
	const text = "data: out of order\n\n"
	for _, c := range []struct {
		name      string
		status    int
		mediaType string
		notRun    bool
	}{
		{"bad request", 400, "text/plain", false},
		{"not found", 404, "text/event-stream", false},
		{"another endpoint", 421, "text/plain", true},
		{"failure", 500, "text/event-stream", false},
		{"full", 503, "text/plain", true},
		{"failure without a promise", 503, "text/plain", false},
		{"success that is no stream", 200, "text/plain", false},
	} {
		t.Run(c.name, func(t *testing.T) {
			broken, arrived := events(3, false), 0
			either := func(w http.ResponseWriter, q *http.Request) {
				if arrived++; arrived == 1 {
					broken(w, q)
					return
				}
				w.Header().Set("Content-Type", c.mediaType)
				if c.notRun {
					w.Header().Set("Not-Run", "1")
				}
				w.WriteHeader(c.status)
				_, _ = fmt.Fprint(w, text)
			}
			runFixture(t, func(r *fixture) {
				got, _ := r.send(r.t.Context(), "/draft/", "")
				if diff := cmp.Diff(answer{200, eventText(1, 3), true}, got); diff != "" || r.arrived() != 2 {
					t.Errorf("arrivals %q (-want +got):\n%s", r.arrivals, diff)
				}
			}, either, either)
		})
	}
}

// TestRefusalOfEarlierRequestProvesNothing guards against a caller who is told that its request
// hasn't run, and against a second run, because an endpoint writes an earlier refusal again.
func TestRefusalOfEarlierRequestProvesNothing(t *testing.T) {
	for _, withID := range []bool{true, false} {
		refusal := ""
		arrived := 0
		repeats := func(w http.ResponseWriter, q *http.Request) {
			arrived++
			conn, _, err := http.NewResponseController(w).Hijack()
			if err != nil {
				t.Error(err)
				return
			}
			defer conn.Close()
			if arrived == 1 {
				id := ""
				if withID {
					id = "Id: " + q.Header.Get("Id") + "\r\n"
				}
				refusal = "HTTP/1.1 503 Full\r\n" + id + "Not-Run: 1\r\nContent-Length: 0\r\n\r\n"
				fmt.Fprint(conn, refusal)
			}
			// The next request on the connection is read, and is running.
			request := make([]byte, 4096)
			if _, err := conn.Read(request); err != nil {
				return
			}
			fmt.Fprint(conn, refusal)
		}
		runFixture(t, func(r *fixture) {
			r.forwarder.Codec.MatchesRequest = func(_ int, h http.Header, id string, first bool) bool {
				return h.Get("Id") == id || h.Get("Id") == "" && first && h.Get("Not-Run") != ""
			}
			got, _ := r.send(r.t.Context(), "/book/", "")
			if got.Status != http.StatusServiceUnavailable {
				t.Fatalf("with id %t: the refused request got %d", withID, got.Status)
			}
			got, _ = r.send(r.t.Context(), "/book/", "", "Id", "q2")
			if got.Status != http.StatusBadGateway || arrived != 1 {
				t.Errorf("with id %t: the request that may run got %d, and %d connections were opened", withID, got.Status, arrived)
			}
		}, repeats)
	}
}
