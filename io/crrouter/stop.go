package crrouter

import (
	"context"
	"net/http"
	"time"

	"crocusrack/core/crbackoff"
)

const (
	// stopPollInterval is how often a server that stops is looked at.
	stopPollInterval = 10 * time.Millisecond
	// stopIdleTime is how long no request may be served before the remaining connections,
	// on which none was read, are closed.
	stopIdleTime = 100 * time.Millisecond
)

// stopServing ends a server: it accepts no more connections and closes those without a
// request. The others are closed once inFlight has returned zero for stopIdleTime, or when
// the context ends.
func stopServing(ctx context.Context, s *http.Server, inFlight func() int64) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	go func() {
		defer cancel()
		idleSince := time.Now()
		for time.Since(idleSince) < stopIdleTime {
			if crbackoff.Sleep(ctx, stopPollInterval) != nil {
				return
			}
			if inFlight() > 0 {
				idleSince = time.Now()
			}
		}
	}()
	if s.Shutdown(ctx) != nil {
		s.Close()
	}
}
