package crhealth

import (
	"math"
	"time"

	"crocusrack/core/crledger"
)

const (
	// decayTime is the time constant of the exponential decay of counts. It is a few
	// seconds, so that an endpoint that begins to fail, or stops, shows within
	// seconds.
	decayTime = 4 * time.Second
	// countUnit is the fraction of an outcome that is reported as 1.
	countUnit = 0.1
	// minReportedCount is the decayed count of failures from which on an instance
	// reports an endpoint. If other instances have reported failures of the endpoint,
	// the same decayed count of outcomes of any kind is enough.
	minReportedCount = 0.5
	// priorGood is the number of good outcomes that are assumed of every endpoint, in
	// addition to the observed ones.
	priorGood = 3.0
)

// Failures holds the recent failure rates of endpoints. It combines the counts of
// all instances, because each of them sees few outcomes. The zero value is empty
// and ready for use. It is not safe for concurrent use.
type Failures struct {
	own           map[crledger.Key]*decayingCounts
	failed, ended crledger.Reported
}

// decayingCounts counts the outcomes at one endpoint, with exponential decay.
type decayingCounts struct {
	failed, ended float64
	at            time.Time
}

// decayTo applies the decay since the last call.
func (t *decayingCounts) decayTo(now time.Time) {
	kept := math.Exp(-float64(now.Sub(t.at)) / float64(decayTime))
	t.failed, t.ended, t.at = t.failed*kept, t.ended*kept, now
}

// Record counts an outcome of this instance's requests. A refusal isn't counted: the
// request may run at another endpoint.
func (f *Failures) Record(now time.Time, k crledger.Key, o Outcome) {
	if o == Refused {
		return
	}
	if f.own == nil {
		f.own = make(map[crledger.Key]*decayingCounts)
	}
	t := f.own[k]
	if t == nil {
		t = &decayingCounts{at: now}
		f.own[k] = t
	}
	t.decayTo(now)
	t.ended++
	if o != Good {
		t.failed++
	}
}

// FailureRate returns the recent failure rate of an endpoint over all instances, from 0
// to 1. It is lowered by priorGood assumed good outcomes.
func (f *Failures) FailureRate(now time.Time, k crledger.Key) float64 {
	failed, ended := countUnit*float64(f.failed.Count(k)), countUnit*float64(f.ended.Count(k))
	if t := f.own[k]; t != nil {
		t.decayTo(now)
		failed, ended = failed+t.failed, ended+t.ended
	}
	return failed / (ended + priorGood)
}

// AnyAbove reports whether the failure rate of any endpoint is above a limit.
func (f *Failures) AnyAbove(now time.Time, limit float64) bool {
	for k, t := range f.own {
		if t.failed > 0 && f.FailureRate(now, k) > limit {
			return true
		}
	}
	for k := range f.failed.Keys() {
		if f.FailureRate(now, k) > limit {
			return true
		}
	}
	return false
}

// Counts holds outcomes by endpoint as instances report them, in tenths of an
// outcome.
type Counts struct {
	Failed, Ended map[crledger.Key]int
}

// OwnCounts returns the counts that this instance reports: those of endpoints that have
// failed requests of this instance, and of endpoints that have failed requests of
// other instances and were used by this one.
func (f *Failures) OwnCounts(now time.Time) Counts {
	c := Counts{Failed: make(map[crledger.Key]int), Ended: make(map[crledger.Key]int)}
	for k, t := range f.own {
		t.decayTo(now)
		if t.failed < minReportedCount && (f.failed.Count(k) == 0 || t.ended < minReportedCount) {
			continue
		}
		c.Failed[k] = int(math.Round(t.failed / countUnit))
		c.Ended[k] = int(math.Round(t.ended / countUnit))
	}
	return c
}

// Sums returns the sum of this instance's own counts and the reported counts of the
// instances for which want returns true.
func (f *Failures) Sums(now time.Time, want func(instance string) bool) Counts {
	own := f.OwnCounts(now)
	return Counts{f.failed.Sums(own.Failed, want), f.ended.Sums(own.Ended, want)}
}

// SetPeerCounts replaces the counts of another instance.
func (f *Failures) SetPeerCounts(now time.Time, instance string, c Counts) {
	f.failed.Report(now, instance, c.Failed)
	f.ended.Report(now, instance, c.Ended)
}

// DropReportsBefore drops the counts of the instances that have not reported since the
// given time.
func (f *Failures) DropReportsBefore(since time.Time) {
	f.failed.Expire(since)
	f.ended.Expire(since)
}

// Retain drops this instance's own counts of the endpoints for which keep returns
// false.
func (f *Failures) Retain(keep func(crledger.Key) bool) {
	for k := range f.own {
		if !keep(k) {
			delete(f.own, k)
		}
	}
}
