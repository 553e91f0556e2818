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
	// closingShare is the part of the stop timeout after which answers say that their
	// connection closes, and requests that may outlast the process are refused: by then
	// callers have heard of other addresses. maxClosingDelay bounds it, since callers expect
	// an answer to what they send three seconds after the signal.
	closingShare    = 0.3
	maxClosingDelay = 2500 * time.Millisecond
)

// closingDelay returns how long a planned stop goes on before kept connections are closed,
// for the given stop timeout.
func closingDelay(limit time.Duration) time.Duration {
	return min(time.Duration(closingShare*float64(limit)), maxClosingDelay)
}

// stopServing ends a server: it accepts no more connections and closes those without a
// request. The others are closed once inFlight has returned zero for stopIdleTime, or when
// the context ends.
func stopServing(ctx context.Context, s *http.Server, inFlight func() int) {
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
