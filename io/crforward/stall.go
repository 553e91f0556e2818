package crforward

import (
	"context"
	"errors"
	"fmt"
	"sync/atomic"
	"time"

	"crocusrack/core/crgrant"
	"crocusrack/io/crhop"
)

// errStalled means that the attempt was given up because its endpoint was silent. check
// wraps it if the endpoint took no connections either.
var errStalled = errors.New("the stream stalled")

// sendWatched sends a request and cancels the wait for its answer by the same rules as
// for a stream without events (see check).
func (x *exchange) sendWatched(ctx context.Context, g *crgrant.Grant, lastEvent string) (*crhop.Answer, error) {
	monitor := x.newStallMonitor(g, x.sent+1)
	ctx, cancel := context.WithCancelCause(ctx)
	var answered atomic.Bool
	done := make(chan struct{})
	go func() {
		timer := time.NewTimer(firstStallCheck)
		defer timer.Stop()
		for {
			select {
			case <-done:
				return
			case <-timer.C:
			}
			next, err := monitor.check(ctx)
			if err != nil && !answered.Load() {
				cancel(err)
				return
			}
			timer.Reset(max(next, stallCheckInterval))
		}
	}()
	answer, err := x.send(ctx, g, lastEvent)
	answered.Store(true)
	close(done)
	if err != nil {
		cancel(nil)
	}
	return answer, err
}

// newStallMonitor returns a stallMonitor for the endpoint of a grant. The number of
// attempts includes this one.
func (x *exchange) newStallMonitor(g *crgrant.Grant, attempts int) *stallMonitor {
	return &stallMonitor{exchange: x, endpoint: crhop.Endpoint{Key: g.Endpoint.Key, Address: g.Endpoint.Address}, attempts: attempts}
}

// stallMonitor decides when to give up an attempt whose endpoint is silent.
type stallMonitor struct {
	*exchange
	endpoint crhop.Endpoint
	// attempts counts the attempts of the request, including the monitored one.
	attempts int
	// silence approximates the time since the last complete event: each call of check
	// adds stallCheckInterval.
	silence time.Duration
	// probed is true if the endpoint was probed since the last complete event.
	probed bool
}

// reset records a complete event. Parts of an event don't count, because bytes alone
// don't show progress.
func (m *stallMonitor) reset() { m.silence, m.probed = 0, false }

// check is called after each interval of silence. It returns the time until the next
// call, or an error if the attempt is to be given up. That is the case if the endpoint
// accepts no connections, or, on a resumable route only, if it sent no complete event
// for too long. In both cases the route must be repeatable, and its attempt limit, the
// deadline and the retry budget must allow another attempt. A request that may run only
// once is never given up because of silence.
func (m *stallMonitor) check(ctx context.Context) (time.Duration, error) {
	if !m.route.Repeatable() {
		return stallCheckInterval, nil
	}
	m.silence += stallCheckInterval
	if !m.probed {
		m.probed = true
		if err := m.Client.Probe(ctx, m.endpoint); err != nil && ctx.Err() == nil && m.reserveRepeat(m.attempts) {
			return 0, fmt.Errorf("%w, and its endpoint takes no connections: %w", errStalled, err)
		}
	}
	if m.silence >= max(minStallTimeout, stallTimeoutGaps*m.route.MaxEventGap) && m.route.Resumable && m.reserveRepeat(m.attempts) {
		return 0, errStalled
	}
	return stallCheckInterval, nil
}
