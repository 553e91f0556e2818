// Package crlimit keeps the request rates that endpoints have named as their limits. It
// performs no I/O and takes the time from its caller.
package crlimit

import (
	"math"
	"time"

	"crocusrack/core/crledger"
)

// None is the rate of an endpoint that names no limit.
var None = math.Inf(1)

// reorderWindow is the largest difference between the times of two statements of one endpoint
// whose order is uncertain, because answers overtake each other and messages between instances
// take time. Of two such statements the one with the lower rate is kept.
const reorderWindow = 100 * time.Millisecond

// Statement is what an endpoint said about its limit.
type Statement struct {
	Endpoint crledger.Key
	// PerSecond is the number of requests per second that the endpoint takes from all
	// instances together, or None.
	PerSecond float64
	// At is when the endpoint said so. It is a reading of a clock that keeps running while
	// the machine is suspended.
	At time.Duration
}

// supersedes reports whether s is kept rather than an earlier known statement of the same
// endpoint.
func (s Statement) supersedes(o Statement) bool {
	switch difference := s.At - o.At; {
	case difference > reorderWindow:
		return true
	case difference < -reorderWindow:
		return false
	}
	return s.PerSecond < o.PerSecond
}

// Table holds the newest statement of each endpoint that has named a limit. Its zero value is
// empty. It is not safe for concurrent use.
type Table struct {
	statements map[crledger.Key]*Statement
}

// Record records a statement that an answer contained. It reports whether the known rate of the
// endpoint changed.
func (t *Table) Record(s Statement) bool {
	known := t.statements[s.Endpoint]
	switch {
	case known == nil && s.PerSecond == None:
		return false
	case known == nil:
		if t.statements == nil {
			t.statements = make(map[crledger.Key]*Statement)
		}
		t.statements[s.Endpoint] = &s
		return true
	case s.PerSecond == known.PerSecond:
		known.At = max(known.At, s.At)
		return false
	case !s.supersedes(*known):
		return false
	}
	*known = s
	return true
}

// PerSecond returns the rate that the endpoint named last, or None.
func (t *Table) PerSecond(k crledger.Key) float64 {
	if s := t.statements[k]; s != nil {
		return s.PerSecond
	}
	return None
}
