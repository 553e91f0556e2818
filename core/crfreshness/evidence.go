// Package crfreshness tracks how long ago an instance last knew that its version of the
// data in a store was the newest.
//
// Evidence is a reading of the local clock at a time at which the version was
// certainly the newest: the start of a read of the store, or an exchange with a peer
// that has evidence itself. The clock must count the time in which the machine is
// suspended, so that an instance that was frozen knows that its evidence has aged.
package crfreshness

import (
	"sync"
	"time"
)

// Evidence holds the newest proof that a version was in force. The zero value holds
// none. It is safe for concurrent use.
type Evidence struct {
	mu  sync.Mutex
	set bool
	at  time.Duration
}

// Read records a read of the store. start is the reading of the local clock at the
// beginning of the read.
func (e *Evidence) Read(start time.Duration) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if !e.set || start > e.at {
		e.set, e.at = true, start
	}
}

// Heard records a peer's evidence. echo is a reading of the local clock that the peer had
// received before it made its report. age is the age of the peer's evidence at the time of
// the report. The version was thus in force at echo minus age or later.
func (e *Evidence) Heard(echo, age time.Duration) { e.Read(echo - age) }

// Age returns the age of the evidence at the clock reading now, and false if there is
// no evidence.
func (e *Evidence) Age(now time.Duration) (time.Duration, bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	return now - e.at, e.set
}
