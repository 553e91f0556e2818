// Package crevidence keeps how old an instance's knowledge of a version is.
//
// Evidence is the reading of the local clock at a moment at which the version
// was certainly the newest: the start of a read of the store, or an exchange
// with a peer that has evidence itself. Readings are of a clock that counts
// suspension, so that an instance that was frozen knows that its evidence has
// aged.
package crevidence

import (
	"sync"
	"time"
)

// Evidence is the newest proof that a version was in force. The zero value has
// none. It is safe for concurrent use.
type Evidence struct {
	mu  sync.Mutex
	set bool
	at  time.Duration
}

// Read notes a read of the store that began at the reading start.
func (e *Evidence) Read(start time.Duration) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if !e.set || start > e.at {
		e.set, e.at = true, start
	}
}

// Heard notes a peer's evidence. The peer made its report after it had got the
// local reading echo, and its evidence was age old then: the version was in
// force at echo less age at the latest.
func (e *Evidence) Heard(echo, age time.Duration) { e.Read(echo - age) }

// Age returns the age at the reading now; false when there is no evidence.
func (e *Evidence) Age(now time.Duration) (time.Duration, bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	return now - e.at, e.set
}
