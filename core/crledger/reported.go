package crledger

import (
	"iter"
	"maps"
	"time"
)

// Reported are counts by endpoint that other instances reported. What an instance
// reported lapses with it. Its zero value is empty; it is not safe for concurrent
// use.
type Reported struct {
	others map[string]report
	sums   map[Key]int
}

type report struct {
	at     time.Time
	counts map[Key]int
}

// Report replaces what another instance has counted.
func (r *Reported) Report(now time.Time, instance string, counts map[Key]int) {
	r.drop(instance)
	if r.others == nil {
		r.others = make(map[string]report)
	}
	r.others[instance] = report{at: now, counts: counts}
	for k, n := range counts {
		r.add(k, n)
	}
}

func (r *Reported) add(k Key, n int) {
	if r.sums == nil {
		r.sums = make(map[Key]int)
	}
	r.sums[k] += n
	if r.sums[k] <= 0 {
		delete(r.sums, k)
	}
}

func (r *Reported) drop(instance string) {
	for k, n := range r.others[instance].counts {
		r.add(k, -n)
	}
	delete(r.others, instance)
}

// Lapse drops what instances reported that have been silent since the time.
func (r *Reported) Lapse(since time.Time) {
	for name, o := range r.others {
		if o.at.Before(since) {
			r.drop(name)
		}
	}
}

// Count returns the sum of what all others counted at an endpoint.
func (r *Reported) Count(k Key) int { return r.sums[k] }

// Sums returns the sums of own counts and those of the others whose reports are
// wanted.
func (r *Reported) Sums(own map[Key]int, want func(instance string) bool) map[Key]int {
	sums := maps.Clone(own)
	if sums == nil {
		sums = make(map[Key]int)
	}
	for name, o := range r.others {
		if !want(name) {
			continue
		}
		for k, n := range o.counts {
			sums[k] += n
		}
	}
	return sums
}

// Keys returns the endpoints at which others counted something.
func (r *Reported) Keys() iter.Seq[Key] { return maps.Keys(r.sums) }
