package crwatch

import (
	"context"
	"sync"
	"time"

	"go.uber.org/zap"

	"crocusrack/core/crgrant"
	"crocusrack/core/crliveness"
)

// outageMemory is the time since the last failure after which an outage counts as over. An
// instance that has stopped reading the store doesn't notice the end by itself.
const outageMemory = 4 * time.Second

// failuresOfOutage is the number of consecutive failed calls that make an outage. A single
// call may fail because its connection broke.
const failuresOfOutage = 2

// outage tracks whether the store can be reached.
type outage struct {
	mu       sync.Mutex
	failures int
	lost     bool
	since    time.Time
	// last is the time of the last failed call. returned is the end of the last outage that
	// no other instance saw end earlier.
	last     time.Time
	returned time.Time
	// era is the newest era of the store that was read.
	era uint64
}

// failed records a failed call.
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

// succeeded records an answered call. If the evidence is recent, other instances reached the
// store in the meantime, so that the outage was this instance's own.
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

// noteEra records the era of a position that was read, and returns the position. An answer that
// names no era belongs to the newest known one. If the store came back from a copy, live
// endpoints have to write again what the copy lacks, as after an outage.
func (w *Watcher) noteEra(at crgrant.Position) crgrant.Position {
	o := &w.outage
	o.mu.Lock()
	defer o.mu.Unlock()
	if at.Era() == 0 {
		return crgrant.NewPosition(o.era, at.Revision())
	}
	if at.Era() > o.era {
		known, _ := w.State.StoreEra()
		if known > 0 && at.Era() > known {
			o.returned = time.Now()
			w.Log.Warn("watch: the store came back from a copy", zap.Uint64("store-era", at.Era()), zap.Uint64("revision", at.Revision()))
		}
		o.era = at.Era()
	}
	return at
}

// cameBack reports whether the store has come back from a copy since the last call with the
// same variable. What this instance wrote to the store may then be gone.
func (w *Watcher) cameBack(era *uint64) bool {
	last := *era
	*era, _ = w.State.StoreEra()
	return last > 0 && *era > last
}

// idle ends an outage whose last failure is older than outageMemory.
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

// settling reports whether entries of live endpoints may be missing: during an outage and
// for returnGrace after it, or after the store came back from a copy.
func (w *Watcher) settling(now time.Time) bool {
	_, restored := w.State.StoreEra()
	o := &w.outage
	o.mu.Lock()
	defer o.mu.Unlock()
	recent := func(t time.Time) bool { return !t.IsZero() && now.Sub(t) < returnGrace }
	return o.lost || o.failures > 0 || recent(o.returned) || recent(restored)
}
