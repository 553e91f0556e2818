// Package crhealth takes endpoints out of use for a while by what requests to
// them show. A Table is not safe for concurrent use.
package crhealth

import (
	"time"

	"crocusrack/core/crledger"
	"crocusrack/core/crrecent"
)

const (
	// ejectBase is the first time out of use; it doubles with each ejection in
	// a row.
	ejectBase = time.Second
	// refusedFor is the time out of use after a refusal: the endpoint is full,
	// leaves, or isn't the one that is meant.
	refusedFor = 400 * time.Millisecond
	// ejectMax bounds the time out of use: an endpoint that works again is
	// missed no longer.
	ejectMax = 8 * time.Second
	// failuresInRow ejects an endpoint that may only be unlucky.
	failuresInRow = 3
	// minSamples is how many outcomes the rate of failures is judged by.
	minSamples = 6
	// excessRate is how far the rate of failures may lie over that of the
	// service's other endpoints.
	excessRate = 0.3
	// decay is the weight of the newest outcome in the rates.
	decay = 0.15
)

// Outcome is what a request showed of an endpoint.
type Outcome uint8

// The outcomes. Unreachable is a connection that was refused or not taken,
// Broken an answer that was cut, spoilt or never came, Failed a failure that the
// endpoint answered, Refused a request that it didn't run, and Good all else.
const (
	Good Outcome = iota
	Failed
	Broken
	Unreachable
	Refused
)

type state struct {
	rate    float64
	samples int
	row     int
	times   int
	until   time.Time
	heard   time.Time
	// paused is until when the endpoint wants no requests from this instance.
	paused time.Time
}

// Table is the health of endpoints. Its zero value holds all for healthy.
type Table struct {
	// Lenient leaves out only endpoints that can't be reached or refuse.
	Lenient bool

	endpoints map[crledger.Key]*state
	// left are when endpoints said that they leave. They are kept when the list of
	// endpoints lacks them: an older list may name them again.
	left crrecent.Map[crledger.Key, time.Time]
}

func (t *Table) state(k crledger.Key) *state {
	if t.endpoints == nil {
		t.endpoints = make(map[crledger.Key]*state)
	}
	s := t.endpoints[k]
	if s == nil {
		s = &state{}
		t.endpoints[k] = s
	}
	return s
}

// Note notes an outcome. The rate of failures of the service's other endpoints
// is usual; the return value is true when the endpoint was put out of use.
func (t *Table) Note(now time.Time, k crledger.Key, o Outcome, usual float64) bool {
	s := t.state(k)
	failed := 0.0
	if o != Good {
		failed = 1
	}
	s.rate += decay * (failed - s.rate)
	s.samples++
	switch o {
	case Good:
		s.row, s.times, s.until = 0, 0, time.Time{}
		return false
	case Unreachable:
		return s.eject(now)
	case Refused:
		s.until = later(s.until, now.Add(refusedFor))
	case Broken:
		s.row++
	case Failed:
	}
	if t.Lenient {
		return false
	}
	if s.row >= failuresInRow || s.samples >= minSamples && s.rate > usual+excessRate {
		return s.eject(now)
	}
	return false
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

func (s *state) eject(now time.Time) bool {
	if now.Before(s.until) {
		return false
	}
	s.until = now.Add(min(ejectBase<<min(s.times, 4), ejectMax))
	s.times++
	s.row, s.samples, s.rate = 0, 0, 0
	return true
}

// Heard notes that another instance couldn't reach an endpoint lately.
func (t *Table) Heard(now time.Time, k crledger.Key) {
	t.state(k).heard = now
}

// heardFor is how long a peer's word counts; peers repeat it while it holds.
const heardFor = 700 * time.Millisecond

// Usable reports whether an endpoint may be used.
func (t *Table) Usable(now time.Time, k crledger.Key) bool {
	s := t.endpoints[k]
	return s == nil || !now.Before(s.until) && now.Sub(s.heard) > heardFor
}

const (
	// maxLeft is how many endpoints that leave are remembered at least.
	maxLeft = 4096
	// MaxPause bounds the time for which an endpoint may ask for no requests.
	MaxPause = 10 * time.Minute
)

// Leave notes that an endpoint said that it leaves: this incarnation gets no new
// requests. It reports whether that is new.
func (t *Table) Leave(now time.Time, k crledger.Key) bool {
	t.left.Limit = maxLeft
	if _, known := t.left.Get(k); known {
		return false
	}
	t.left.Put(k, now)
	return true
}

// Left reports whether an endpoint said that it leaves.
func (t *Table) Left(k crledger.Key) bool {
	_, left := t.left.Get(k)
	return left
}

// Leaving returns the endpoints that said since a time that they leave.
func (t *Table) Leaving(since time.Time) []crledger.Key {
	var list []crledger.Key
	for k, at := range t.left.All() {
		if at.After(since) {
			list = append(list, k)
		}
	}
	return list
}

// Pause notes that an endpoint wants no requests from this instance for a time,
// MaxPause at most.
func (t *Table) Pause(now time.Time, k crledger.Key, d time.Duration) {
	s := t.state(k)
	s.paused = later(s.paused, now.Add(min(d, MaxPause)))
}

// Paused returns until when an endpoint wants no requests from this instance; the
// zero time when it takes some.
func (t *Table) Paused(now time.Time, k crledger.Key) time.Time {
	if s := t.endpoints[k]; s != nil && now.Before(s.paused) {
		return s.paused
	}
	return time.Time{}
}

// Rate returns the rate of failures of an endpoint, from 0 to 1.
func (t *Table) Rate(k crledger.Key) float64 {
	if s := t.endpoints[k]; s != nil {
		return s.rate
	}
	return 0
}

// Ejected returns the endpoints that this instance has put out of use itself.
func (t *Table) Ejected(now time.Time) []crledger.Key {
	var list []crledger.Key
	for k, s := range t.endpoints {
		if now.Before(s.until) {
			list = append(list, k)
		}
	}
	return list
}

// Forget drops all endpoints but those that keep wants.
func (t *Table) Forget(keep func(crledger.Key) bool) {
	for k := range t.endpoints {
		if !keep(k) {
			delete(t.endpoints, k)
		}
	}
}

var outcomeNames = [...]string{Good: "good", Failed: "failed", Broken: "broken", Unreachable: "unreachable", Refused: "refused"}

// String returns the outcome in lower case.
func (o Outcome) String() string {
	if int(o) < len(outcomeNames) {
		return outcomeNames[o]
	}
	return "unknown"
}
