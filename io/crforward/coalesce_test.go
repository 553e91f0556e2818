package crforward_test

import (
	"bytes"
	"net/http"
	"strings"
	"testing"
	"time"

	"crocusrack/core/crswitch"
)

// TestEventsShareWrites sends a stream with an event every 20 ms. Events must be
// coalesced into few packets, since each packet may be lost, but none may arrive later
// than MaxEventDelay.
func TestEventsShareWrites(t *testing.T) {
	const count, spacing, delay = 60, 20 * time.Millisecond, 4 * time.Millisecond
	for _, c := range []struct {
		name     string
		path     string
		limit    time.Duration
		disabled crswitch.Set
		maxReads int
	}{
		{"usual", "/draft/", 120 * time.Millisecond, nil, 18},
		{"longer", "/draft/", 200 * time.Millisecond, nil, 12},
		{"short pauses", "/short/", 200 * time.Millisecond, nil, 32},
		{"switched off", "/draft/", 120 * time.Millisecond, crswitch.NewSet([]string{"event-coalescing"}), count},
	} {
		runFixture(t, func(r *fixture) {
			r.forwarder.MaxEventDelay, r.forwarder.Disabled = c.limit, c.disabled
			q, err := http.NewRequest(http.MethodPost, "http://"+entryAddr.String()+c.path, strings.NewReader(""))
			if err != nil {
				t.Fatal(err)
			}
			q.Host, q.Header = "desk.example", http.Header{"Id": {"q"}, "Key": {"k"}}
			begin := time.Now()
			a, err := r.client.Do(q)
			if err != nil {
				t.Fatal(err)
			}
			defer a.Body.Close()
			firstEvent := begin.Add(3 * delay)
			reads, events := 0, 0
			buffer := make([]byte, 4<<10)
			for err == nil {
				var n int
				n, err = a.Body.Read(buffer)
				for range bytes.Count(buffer[:n], []byte("\n\n")) {
					if late := time.Since(firstEvent.Add(time.Duration(events) * spacing)); late > c.limit {
						t.Errorf("%s: event %d came after %s", c.name, events, late)
					}
					events++
				}
				if n > 0 {
					reads++
				}
			}
			if events != count || reads > c.maxReads {
				t.Errorf("%s: %d of %d events in %d reads, want at most %d", c.name, events, count, reads, c.maxReads)
			}
		}, events(count, true))
	}
}
