package crwatch

import (
	"context"
	"sync"
	"time"

	"go.uber.org/zap"

	"crocusrack/core/crliveness"
)

// outageMemory is how long ago the last failure may be for the outage to go on.
// An instance that stops reading the store doesn't see its return.
const outageMemory = 4 * time.Second

// failuresOfOutage is how many calls in a row fail in an outage: a single one
// may have lost its connection.
const failuresOfOutage = 2

// outage tells whether the store can be reached.
type outage struct {
	mu       sync.Mutex
	failures int
	lost     bool
	since    time.Time
	// last is when a call failed last.
	last     time.Time
	returned time.Time
}

// failed notes a failed call.
func (w *Watcher) failed(ctx context.Context, err error) {
	if ctx.Err() != nil {
		return
	}
	o := &w.outage
	o.mu.Lock()
	defer o.mu.Unlock()
	o.failures++
	o.last = time.Now()
	if o.lost || o.failures < failuresOfOutage {
		return
	}
	o.lost, o.since = true, time.Now()
	w.State.SetSelf(func(s *crliveness.Status) { s.StoreLost = true })
	w.Log.Warn("watch: the store is lost", zap.Error(err))
}

// succeeded notes a call that was answered. The store has come back only if
// nobody else in the fleet had reached it meanwhile.
func (w *Watcher) succeeded() {
	o := &w.outage
	o.mu.Lock()
	defer o.mu.Unlock()
	o.failures = 0
	if !o.lost {
		return
	}
	o.lost = false
	age, ok := w.State.Evidence.Age(w.State.Elapsed())
	if time.Since(o.last) < outageMemory && (!ok || age > ownAge) {
		o.returned = time.Now()
	}
	w.State.SetSelf(func(s *crliveness.Status) { s.StoreLost = false })
	w.Log.Info("watch: the store is back", zap.Duration("after-ms", time.Since(o.since)))
}

// idle forgets an outage of which nothing was seen for a while.
func (w *Watcher) idle() {
	o := &w.outage
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.failures == 0 || time.Since(o.last) < outageMemory {
		return
	}
	o.failures, o.lost = 0, false
	w.State.SetSelf(func(s *crliveness.Status) { s.StoreLost = false })
}

func (o *outage) isLost() bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.lost
}

// settling reports whether the store is lost or has been back for so short a
// time that live endpoints may still be missing.
func (o *outage) settling(now time.Time) bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.lost || o.failures > 0 || !o.returned.IsZero() && now.Sub(o.returned) < returnGrace
}
