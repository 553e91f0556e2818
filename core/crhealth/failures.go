package crhealth

import (
	"math"
	"time"

	"crocusrack/core/crledger"
)

const (
	// tallyTime is the time over which outcomes count: an endpoint that has begun to
	// fail is known for it, and one that has stopped is used again, within seconds.
	tallyTime = 4 * time.Second
	// tallyUnit is the part of an outcome that is told as one.
	tallyUnit = 0.1
	// leastFailed is the count of failures from which on an instance tells of them.
	leastFailed = 0.5
	// goodBefore is for how many good outcomes an endpoint counts before any was
	// seen.
	goodBefore = 3.0
)

// Failures are the rates at which requests failed at endpoints lately, of all
// instances: each sees few of them. The zero value has none. It is not safe for
// concurrent use.
type Failures struct {
	own           map[crledger.Key]*tally
	failed, ended crledger.Reported
}

// tally counts outcomes, those of long ago less.
type tally struct {
	failed, ended float64
	at            time.Time
}

func (t *tally) fade(now time.Time) {
	kept := math.Exp(-float64(now.Sub(t.at)) / float64(tallyTime))
	t.failed, t.ended, t.at = t.failed*kept, t.ended*kept, now
}

// Note counts an outcome. A refusal is none: the request may run elsewhere.
func (f *Failures) Note(now time.Time, k crledger.Key, o Outcome) {
	if o == Refused {
		return
	}
	if f.own == nil {
		f.own = make(map[crledger.Key]*tally)
	}
	t := f.own[k]
	if t == nil {
		t = &tally{at: now}
		f.own[k] = t
	}
	t.fade(now)
	t.ended++
	if o != Good {
		t.failed++
	}
}

// Rate returns the part of the requests to an endpoint that failed lately.
func (f *Failures) Rate(now time.Time, k crledger.Key) float64 {
	failed, ended := tallyUnit*float64(f.failed.Count(k)), tallyUnit*float64(f.ended.Count(k))
	if t := f.own[k]; t != nil {
		t.fade(now)
		failed, ended = failed+t.failed, ended+t.ended
	}
	return failed / (ended + goodBefore)
}

// Any reports whether the rate of any endpoint may be above a limit.
func (f *Failures) Any(now time.Time, limit float64) bool {
	for k, t := range f.own {
		if t.failed > 0 && f.Rate(now, k) > limit {
			return true
		}
	}
	for k := range f.failed.Keys() {
		if f.Rate(now, k) > limit {
			return true
		}
	}
	return false
}

// Counts are outcomes at endpoints as instances tell them, in tenths.
type Counts struct {
	Failed, Ended map[crledger.Key]int
}

// Own returns what this instance tells: of the endpoints that failed it, and of
// those that failed others and were used here.
func (f *Failures) Own(now time.Time) Counts {
	c := Counts{Failed: make(map[crledger.Key]int), Ended: make(map[crledger.Key]int)}
	for k, t := range f.own {
		t.fade(now)
		if t.failed < leastFailed && (f.failed.Count(k) == 0 || t.ended < leastFailed) {
			continue
		}
		c.Failed[k] = int(math.Round(t.failed / tallyUnit))
		c.Ended[k] = int(math.Round(t.ended / tallyUnit))
	}
	return c
}

// Sums returns what this instance tells, with what the others do whose reports are
// wanted.
func (f *Failures) Sums(now time.Time, want func(instance string) bool) Counts {
	own := f.Own(now)
	return Counts{f.failed.Sums(own.Failed, want), f.ended.Sums(own.Ended, want)}
}

// Report replaces what another instance told.
func (f *Failures) Report(now time.Time, instance string, c Counts) {
	f.failed.Report(now, instance, c.Failed)
	f.ended.Report(now, instance, c.Ended)
}

// Lapse drops what instances told that have been silent since a time.
func (f *Failures) Lapse(since time.Time) {
	f.failed.Lapse(since)
	f.ended.Lapse(since)
}

// Forget drops the endpoints that keep doesn't want.
func (f *Failures) Forget(keep func(crledger.Key) bool) {
	for k := range f.own {
		if !keep(k) {
			delete(f.own, k)
		}
	}
}
