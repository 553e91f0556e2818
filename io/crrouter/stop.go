package crrouter

import (
	"context"
	"net/http"
	"time"
)

// stopServing ends a server. Connections without a request are closed at once, the others
// when their requests have been answered, or at the given time.
func stopServing(s *http.Server, until time.Time) {
	ctx, cancel := context.WithDeadline(context.Background(), until)
	defer cancel()
	if s.Shutdown(ctx) != nil {
		s.Close()
	}
}
