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

var errStalled = errors.New("the stream stalled")

// sendWatched sends a request and gives up the wait for its answer as for the
// next event of a stream.
func (x *exchange) sendWatched(ctx context.Context, g *crgrant.Grant, lastEvent string) (*crhop.Answer, error) {
	watch := x.watcher(g, x.sent+1)
	ctx, cancel := context.WithCancelCause(ctx)
	var answered atomic.Bool
	done := make(chan struct{})
	go func() {
		timer := time.NewTimer(firstGap)
		defer timer.Stop()
		for {
			select {
			case <-done:
				return
			case <-timer.C:
			}
			next, err := watch.look(ctx)
			if err != nil && !answered.Load() {
				cancel(err)
				return
			}
			timer.Reset(max(next, stallGap))
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

func (x *exchange) watcher(g *crgrant.Grant, attempts int) *watcher {
	return &watcher{exchange: x, endpoint: crhop.Endpoint{Key: g.Endpoint.Key, Address: g.Endpoint.Address}, attempts: attempts}
}

// watcher looks at the endpoint of a silent request.
type watcher struct {
	*exchange
	endpoint crhop.Endpoint
	// attempts counts the request's attempts, with the one that is watched.
	attempts int
	silence  time.Duration
	probed   bool
}

// heard notes a whole event: bytes alone show nothing.
func (w *watcher) heard() { w.silence, w.probed = 0, false }

// look is called after each gap of silence. It returns the wait until the next
// look, or why the stream is given up: its endpoint takes no connections, or it
// had no event for too long. It is given up only when another endpoint can go on.
// Silence is no reason to end what may run once.
func (w *watcher) look(ctx context.Context) (time.Duration, error) {
	if !w.route.Repeatable() {
		return stallGap, nil
	}
	w.silence += stallGap
	if !w.probed {
		w.probed = true
		if err := w.Hop.Probe(ctx, w.endpoint); err != nil && ctx.Err() == nil && w.reserveRepeat(w.attempts) {
			return 0, fmt.Errorf("%w, and its endpoint takes no connections: %w", errStalled, err)
		}
	}
	if w.silence >= max(minStall, stallGaps*w.route.Gap) && w.route.Resumable && w.reserveRepeat(w.attempts) {
		return 0, errStalled
	}
	return stallGap, nil
}
