package crforward

import (
	"context"
	"errors"
	"sync"
)

// errLeaving is the cause of contexts that end with EndWaits.
var errLeaving = errors.New("the process ends")

// waits holds the requests that wait for an answer. Its zero value is empty.
type waits struct {
	mu      sync.Mutex
	next    uint64
	cancels map[uint64]context.CancelCauseFunc
	ended   bool
}

// add registers a wait, which end ends, or ends it at once after endAll.
func (w *waits) add(cancel context.CancelCauseFunc) (end func()) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.ended {
		cancel(errLeaving)
		return func() {}
	}
	if w.cancels == nil {
		w.cancels = make(map[uint64]context.CancelCauseFunc)
	}
	w.next++
	id := w.next
	w.cancels[id] = cancel
	return func() {
		w.mu.Lock()
		defer w.mu.Unlock()
		delete(w.cancels, id)
	}
}

// endAll ends all waits, also those that are added later.
func (w *waits) endAll() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.ended = true
	for _, cancel := range w.cancels {
		cancel(errLeaving)
	}
	clear(w.cancels)
}

// EndWaits gives up the requests that wait for an answer, since the process is about to end.
// They are answered by 503 if they haven't been sent, and by 502 otherwise. Answers that are
// being passed on go on.
func (f *Forwarder) EndWaits() { f.waits.endAll() }
