// Package crhealth tracks the health of endpoints by the outcomes of requests
// (passive health checking). It ejects endpoints that fail, which means that they
// are out of use for a while, and computes failure rates over all instances.
package crhealth

import (
	"time"

	"crocusrack/core/crledger"
	"crocusrack/core/crrecent"
)

const (
	// baseEjection is the duration of the first ejection. It doubles with each
	// further ejection without a good outcome in between.
	baseEjection = time.Second
	// refusalBackoff is how long an endpoint isn't used after a refusal. It refuses a
	// request if it is full, is leaving, or isn't the intended endpoint.
	refusalBackoff = 400 * time.Millisecond
	// maxEjection bounds the duration of an ejection, and with it how long an
	// endpoint that works again stays unused.
	maxEjection = 8 * time.Second
	// maxConsecutiveBroken is the number of Broken outcomes without a good outcome in
	// between at which an endpoint is ejected. Fewer of them may be chance.
	maxConsecutiveBroken = 3
	// minSamples is the number of outcomes that an endpoint must have before its
	// failure rate is compared with that of the others.
	minSamples = 6
	// maxExcessRate is how far the failure rate of an endpoint may exceed that of the
	// service's other endpoints before it is ejected.
	maxExcessRate = 0.3
	// newestWeight is the weight of the newest outcome in the moving average of
	// failures.
	newestWeight = 0.15
)

// Outcome is the outcome of a request as far as it shows the health of the endpoint.
type Outcome uint8

const (
	// Good is every outcome that isn't listed below.
	Good Outcome = iota
	// Failed means that the endpoint answered with a failure.
	Failed
	// Broken means that the answer was truncated, corrupt or never came.
	Broken
	// Unreachable means that the connection was refused or not accepted.
	Unreachable
	// Refused means that the endpoint didn't run the request.
	Refused
)

// endpointState is the health of one endpoint.
type endpointState struct {
	rate              float64
	samples           int
	consecutiveBroken int
	ejections         int
	// ejectedUntil is when an ejection, or the back-off after a refusal, ends.
	ejectedUntil   time.Time
	peerReportedAt time.Time
	// pausedUntil is when the pause ends that the endpoint asked of this instance.
	pausedUntil time.Time
}

// Table holds the health of endpoints. In the zero value all are healthy. It is not
// safe for concurrent use.
type Table struct {
	// Lenient limits ejection to unreachable endpoints. An endpoint that refuses a
	// request is out of use for refusalBackoff nevertheless.
	Lenient bool

	endpoints map[crledger.Key]*endpointState
	// leaving holds when each leaving endpoint announced that it leaves. Entries are
	// kept when the endpoint is missing from the list of endpoints, because an older
	// list may contain it again.
	leaving crrecent.Map[crledger.Key, time.Time]
}

func (t *Table) state(k crledger.Key) *endpointState {
	if t.endpoints == nil {
		t.endpoints = make(map[crledger.Key]*endpointState)
	}
	s := t.endpoints[k]
	if s == nil {
		s = &endpointState{}
		t.endpoints[k] = s
	}
	return s
}

// Record records an outcome of a request to an endpoint. The parameter usual is the
// failure rate of the service's other endpoints. Record reports whether it has
// ejected the endpoint.
func (t *Table) Record(now time.Time, k crledger.Key, o Outcome, usual float64) bool {
	s := t.state(k)
	failed := 0.0
	if o != Good {
		failed = 1
	}
	s.rate += newestWeight * (failed - s.rate)
	s.samples++
	switch o {
	case Good:
		s.consecutiveBroken, s.ejections, s.ejectedUntil = 0, 0, time.Time{}
		return false
	case Unreachable:
		return s.eject(now)
	case Refused:
		s.ejectedUntil = later(s.ejectedUntil, now.Add(refusalBackoff))
	case Broken:
		s.consecutiveBroken++
	case Failed:
	}
	if t.Lenient {
		return false
	}
	if s.consecutiveBroken >= maxConsecutiveBroken || s.samples >= minSamples && s.rate > usual+maxExcessRate {
		return s.eject(now)
	}
	return false
}

// later returns the later of two times.
func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// eject ejects the endpoint, with exponential backoff, and reports whether it was
// in use before.
func (s *endpointState) eject(now time.Time) bool {
	if now.Before(s.ejectedUntil) {
		return false
	}
	s.ejectedUntil = now.Add(min(baseEjection<<min(s.ejections, 4), maxEjection))
	s.ejections++
	s.consecutiveBroken, s.samples, s.rate = 0, 0, 0
	return true
}

// RecordPeerReport records that another instance has reported an endpoint as unreachable.
func (t *Table) RecordPeerReport(now time.Time, k crledger.Key) {
	t.state(k).peerReportedAt = now
}

// peerReportLifetime is how long a report by another instance counts. Instances
// repeat the report while the endpoint is unreachable for them.
const peerReportLifetime = 700 * time.Millisecond

// Usable reports whether an endpoint may be used: it isn't ejected, and no other
// instance has recently reported it as unreachable.
func (t *Table) Usable(now time.Time, k crledger.Key) bool {
	s := t.endpoints[k]
	return s == nil || !now.Before(s.ejectedUntil) && now.Sub(s.peerReportedAt) > peerReportLifetime
}

const (
	// minLeavingKept is the minimum number of leaving endpoints that stay recorded.
	// If more have announced that they leave, older entries may be dropped.
	minLeavingKept = 4096
	// MaxPause bounds the duration of a pause that an endpoint asks for.
	MaxPause = 10 * time.Minute
)

// MarkLeaving records that an endpoint has announced that it leaves, so that this
// incarnation gets no new requests. It reports whether that was not known before.
func (t *Table) MarkLeaving(now time.Time, k crledger.Key) bool {
	t.leaving.Limit = minLeavingKept
	if _, known := t.leaving.Get(k); known {
		return false
	}
	t.leaving.Put(k, now)
	return true
}

// IsLeaving reports whether an endpoint has announced that it leaves.
func (t *Table) IsLeaving(k crledger.Key) bool {
	_, leaving := t.leaving.Get(k)
	return leaving
}

// Leaving returns the endpoints that have announced after the given time that they
// leave.
func (t *Table) Leaving(since time.Time) []crledger.Key {
	var list []crledger.Key
	for k, at := range t.leaving.All() {
		if at.After(since) {
			list = append(list, k)
		}
	}
	return list
}

// Pause records that an endpoint has asked this instance to send no requests for
// the duration d. A longer duration than MaxPause is cut to MaxPause, and an
// earlier pause that ends later stays.
func (t *Table) Pause(now time.Time, k crledger.Key, d time.Duration) {
	s := t.state(k)
	s.pausedUntil = later(s.pausedUntil, now.Add(min(d, MaxPause)))
}

// PausedUntil returns when the pause of an endpoint ends, or the zero time if the
// endpoint isn't paused.
func (t *Table) PausedUntil(now time.Time, k crledger.Key) time.Time {
	if s := t.endpoints[k]; s != nil && now.Before(s.pausedUntil) {
		return s.pausedUntil
	}
	return time.Time{}
}

// FailureRate returns the moving average of the failures of an endpoint, from 0 to 1.
func (t *Table) FailureRate(k crledger.Key) float64 {
	if s := t.endpoints[k]; s != nil {
		return s.rate
	}
	return 0
}

// Ejected returns the endpoints that this instance has ejected or that have refused
// its requests. It leaves out those that only other instances have reported.
func (t *Table) Ejected(now time.Time) []crledger.Key {
	var list []crledger.Key
	for k, s := range t.endpoints {
		if now.Before(s.ejectedUntil) {
			list = append(list, k)
		}
	}
	return list
}

// Retain drops the state of the endpoints for which keep returns false. Leaving
// endpoints stay recorded.
func (t *Table) Retain(keep func(crledger.Key) bool) {
	for k := range t.endpoints {
		if !keep(k) {
			delete(t.endpoints, k)
		}
	}
}

var outcomeNames = [...]string{Good: "good", Failed: "failed", Broken: "broken", Unreachable: "unreachable", Refused: "refused"}

// String returns the name of the outcome in lower case.
func (o Outcome) String() string {
	if int(o) < len(outcomeNames) {
		return outcomeNames[o]
	}
	return "unknown"
}
