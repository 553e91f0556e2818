// Package crfreshness tracks the staleness of an instance's knowledge of a version.
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

// Read records a read of the store that began at the clock reading start.
func (e *Evidence) Read(start time.Duration) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if !e.set || start > e.at {
		e.set, e.at = true, start
	}
}

// Heard records a peer's evidence. The peer made its report after it had received the
// local clock reading echo, and its evidence had the given age then. The version was
// thus in force at echo minus age or later.
func (e *Evidence) Heard(echo, age time.Duration) { e.Read(echo - age) }

// Age returns the age of the evidence at the clock reading now, and false if there is
// no evidence.
func (e *Evidence) Age(now time.Duration) (time.Duration, bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	return now - e.at, e.set
}
