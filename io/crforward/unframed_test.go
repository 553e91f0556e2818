package crforward_test

import (
	"fmt"
	"net/http"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
)

// TestUnframedStreamThatEndsInsideAnEventIsNotComplete sends answers that end with their
// connection.
func TestUnframedStreamThatEndsInsideAnEventIsNotComplete(t *testing.T) {
	const inside = "id: 3\nda"
	for _, c := range []struct {
		name, path, body string
		want             answer
		arrivals         int
	}{
		{"whole", "/reply/", eventText(1, 2), answer{200, eventText(1, 2), false}, 1},
		{"inside an event", "/reply/", eventText(1, 2) + inside, answer{200, eventText(1, 2), true}, 1},
		{"before the first event", "/reply/", "", answer{502, "answer-lost\n", false}, 1},
		{"inside an event, resumable", "/draft/", eventText(1, 2) + inside, answer{200, eventText(1, 4), false}, 2},
		{"before the first event, resumable", "/draft/", "", answer{200, eventText(1, 4), false}, 2},
		{"a plain answer", "/read/", "ok", answer{200, "ok", false}, 1},
	} {
		t.Run(c.name, func(t *testing.T) {
			arrived := 0
			either := func(w http.ResponseWriter, q *http.Request) {
				arrived++
				if arrived > 1 {
					events(4, true)(w, q)
					return
				}
				conn, _, err := http.NewResponseController(w).Hijack()
				if err != nil {
					t.Error(err)
					return
				}
				fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nId: %s\r\nConnection: close\r\n\r\n", q.Header.Get("Id"))
				if _, err := conn.Write([]byte(c.body)); err != nil {
					t.Error(err)
				}
				time.Sleep(50 * time.Millisecond)
				conn.Close()
			}
			runFixture(t, func(r *fixture) {
				got, _ := r.send(r.t.Context(), c.path, "")
				if diff := cmp.Diff(c.want, got); diff != "" || r.arrived() != c.arrivals {
					t.Errorf("arrivals %q (-want +got):\n%s", r.arrivals, diff)
				}
			}, either, either)
		})
	}
}
