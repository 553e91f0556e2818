package crforward_test

import (
	"fmt"
	"net/http"
	"testing"

	"github.com/google/go-cmp/cmp"
)

// framings are the ways in which an endpoint can say that a body has ended.
var framings = []struct {
	name  string
	write func(body string) string
}{
	{"a length", func(body string) string { return fmt.Sprintf("Content-Length: %d\r\n\r\n%s", len(body), body) }},
	{"chunks", func(body string) string {
		text := "Transfer-Encoding: chunked\r\n\r\n"
		if body != "" {
			text += fmt.Sprintf("%x\r\n%s\r\n", len(body), body)
		}
		return text + "0\r\n\r\n"
	}},
}

// TestFramedStreamThatEndsInsideAnEventIsNotComplete guards against streams that an endpoint stops
// inside an event, but whose body it ends as usual, and that are passed on as complete.
func TestFramedStreamThatEndsInsideAnEventIsNotComplete(t *testing.T) {
	const inside, eventStream = "id: 3\nda", "Content-Type: text/event-stream\r\n"
	for _, c := range []struct {
		name, path, header, body string
		want                     answer
		arrivals                 int
	}{
		{"whole", "/reply/", eventStream, eventText(1, 2), answer{200, eventText(1, 2), false}, 1},
		{"no event", "/reply/", eventStream, "", answer{200, "", false}, 1},
		{"a comment after the last event", "/reply/", eventStream, eventText(1, 2) + ": end\n\n", answer{200, eventText(1, 2) + ": end\n\n", false}, 1},
		{"a comment line after the last event", "/reply/", eventStream, eventText(1, 2) + ": end\n", answer{200, eventText(1, 2) + ": end\n", false}, 1},
		{"inside an event", "/reply/", eventStream, eventText(1, 2) + inside, answer{200, eventText(1, 2), true}, 1},
		{"before the end of an event", "/reply/", eventStream, eventText(1, 2) + "id: 3\n", answer{200, eventText(1, 2), true}, 1},
		{"inside an event, no media type", "/reply/", "", eventText(1, 2) + inside, answer{200, eventText(1, 2), true}, 1},
		{"inside an event, parameters", "/reply/", "Content-Type: Text/Event-Stream; charset=utf-8\r\n", eventText(1, 2) + inside, answer{200, eventText(1, 2), true}, 1},
		{"inside the first event", "/reply/", eventStream, inside, answer{502, "answer-lost\n", false}, 1},
		{"inside an event, resumable", "/draft/", eventStream, eventText(1, 2) + inside, answer{200, eventText(1, 4), false}, 2},
		{"inside the first event, resumable", "/draft/", eventStream, inside, answer{200, eventText(1, 4), false}, 2},
		{"not a stream of events", "/reply/", "Content-Type: application/json\r\n", "{}", answer{200, "{}", false}, 1},
		{"a plain answer", "/read/", "", "ok", answer{200, "ok", false}, 1},
	} {
		for _, framing := range framings {
			t.Run(c.name+", "+framing.name, func(t *testing.T) {
				arrived := 0
				either := func(w http.ResponseWriter, q *http.Request) {
					arrived++
					if arrived > 1 {
						w.Header().Set("Content-Type", "text/event-stream")
						events(4, true)(w, q)
						return
					}
					conn, _, err := http.NewResponseController(w).Hijack()
					if err != nil {
						t.Error(err)
						return
					}
					defer conn.Close()
					if _, err := fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nId: %s\r\n%s%s", q.Header.Get("Id"), c.header, framing.write(c.body)); err != nil {
						t.Error(err)
					}
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
}
