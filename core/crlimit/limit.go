// Package crlimit keeps the request rates that endpoints have named as their limits, and
// divides each of them among the instances of the fleet. It performs no I/O and takes the time
// from its caller.
package crlimit

import (
	"cmp"
	"maps"
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"crocusrack/core/crledger"
)

// None is the rate of an endpoint that names no limit.
var None = math.Inf(1)

const (
	// reorderWindow is the largest difference between the times of two statements of one
	// endpoint whose order is uncertain, because answers overtake each other and messages
	// between instances take time. Of two such statements the one with the lower rate is
	// kept.
	reorderWindow = 100 * time.Millisecond
	// newsDuration is how long a changed statement takes precedence in messages, which
	// covers several reports and digests.
	newsDuration = 3 * time.Second
	// repeatedShare is the fraction of a message that repeats statements which aren't news,
	// for instances that missed them.
	repeatedShare = 0.25
	// endedLifetime is how long the end of a limit is remembered, so that a late message
	// with the limit isn't believed. absentLifetime is the same for limits of endpoints that
	// aren't listed, which may be listed again.
	endedLifetime  = 2 * time.Minute
	absentLifetime = 10 * time.Minute
)

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

// entry is the newest statement of an endpoint.
type entry struct {
	Statement
	// newsAt is when the rate last changed, or another instance was last heard to know an
	// older one.
	newsAt time.Duration
}

// Table holds the newest statement of each endpoint that has named a limit. Its zero value is
// empty. It is not safe for concurrent use.
type Table struct {
	entries map[crledger.Key]*entry
}

// Record records a statement that an answer contained. It reports whether the known rate of the
// endpoint changed.
func (t *Table) Record(s Statement) bool {
	if t.entries[s.Endpoint] == nil && s.PerSecond == None {
		return false
	}
	return t.apply(s.At, s)
}

// Apply records a statement that another instance reported at the reading now. Negative rates
// are ignored.
func (t *Table) Apply(now time.Duration, s Statement) {
	if s.PerSecond >= 0 {
		t.apply(now, s)
	}
}

func (t *Table) apply(now time.Duration, s Statement) bool {
	known := t.entries[s.Endpoint]
	switch {
	case known == nil:
		if t.entries == nil {
			t.entries = make(map[crledger.Key]*entry)
		}
		t.entries[s.Endpoint] = &entry{s, now}
		return s.PerSecond != None
	case s.PerSecond == known.PerSecond:
		// Messages make a statement look later by the time that they take. Without the
		// window, instances would repeat it to each other as ever newer ones.
		if s.At > known.At+reorderWindow {
			known.At = s.At
		}
		return false
	case !s.supersedes(known.Statement):
		known.newsAt = now
		return false
	}
	*known = entry{s, now}
	return true
}

// PerSecond returns the rate that the endpoint named last, or None.
func (t *Table) PerSecond(k crledger.Key) float64 {
	if e := t.entries[k]; e != nil {
		return e.PerSecond
	}
	return None
}

// News returns up to max statements for a message to other instances: those that changed
// lately, and a random part of the others.
func (t *Table) News(now time.Duration, max int) []Statement {
	if len(t.entries) == 0 {
		return nil
	}
	var news, others []Statement
	for _, e := range t.entries {
		if now-e.newsAt <= newsDuration {
			news = append(news, e.Statement)
		} else {
			others = append(others, e.Statement)
		}
	}
	news, others = sample(news, max), sample(others, min(max, int(math.Ceil(repeatedShare*float64(max)))))
	return append(news, others[:min(len(others), max-len(news))]...)
}

// sample returns up to max random elements of a list, which it reorders.
func sample(list []Statement, max int) []Statement {
	rand.Shuffle(len(list), func(i, j int) { list[i], list[j] = list[j], list[i] })
	return list[:min(len(list), max)]
}

// All returns all statements, ordered by endpoint.
func (t *Table) All() []Statement {
	var list []Statement
	for _, e := range t.entries {
		list = append(list, e.Statement)
	}
	slices.SortFunc(list, func(a, b Statement) int { return cmp.Compare(a.Endpoint, b.Endpoint) })
	return list
}

// Expire drops limits that ended long ago, and those of endpoints that have long been absent
// from the list of endpoints.
func (t *Table) Expire(now time.Duration, listed func(crledger.Key) bool) {
	maps.DeleteFunc(t.entries, func(k crledger.Key, e *entry) bool {
		lifetime := absentLifetime
		if e.PerSecond == None {
			lifetime = endedLifetime
		}
		return now-e.At > lifetime && (e.PerSecond == None || !listed(k))
	})
}
