package crledger

import (
	"iter"
	"maps"
	"time"
)

// Reported holds counts by endpoint that other instances reported, under the name of the
// instance or group of instances that they are for. They are used until the next report
// under that name, or until the caller drops them with Expire. Its zero value is empty. It
// is not safe for concurrent use.
type Reported struct {
	// reports holds the last report of each instance, and sums the sums of their counts.
	reports map[string]report
	sums    map[Key]int
}

// report is the last report of an instance.
type report struct {
	at     time.Time
	counts map[Key]int
}

// Report replaces the counts of another instance. It keeps the map, which the caller must
// not change.
func (r *Reported) Report(now time.Time, instance string, counts map[Key]int) {
	r.drop(instance)
	if r.reports == nil {
		r.reports = make(map[string]report)
	}
	r.reports[instance] = report{at: now, counts: counts}
	for k, n := range counts {
		r.add(k, n)
	}
}

// add adds n to the sum of an endpoint, and removes the sum when it becomes zero.
func (r *Reported) add(k Key, n int) {
	if r.sums == nil {
		r.sums = make(map[Key]int)
	}
	r.sums[k] += n
	if r.sums[k] <= 0 {
		delete(r.sums, k)
	}
}

// drop removes the report of an instance from reports and sums.
func (r *Reported) drop(instance string) {
	for k, n := range r.reports[instance].counts {
		r.add(k, -n)
	}
	delete(r.reports, instance)
}

// Expire drops the reports that were received before the given time.
func (r *Reported) Expire(since time.Time) {
	for name, o := range r.reports {
		if o.at.Before(since) {
			r.drop(name)
		}
	}
}

// Count returns the sum of the counts of all other instances at an endpoint.
func (r *Reported) Count(k Key) int { return r.sums[k] }

// Has reports whether counts under the name of an instance or group are in use.
func (r *Reported) Has(instance string) bool {
	_, ok := r.reports[instance]
	return ok
}

// Oldest returns the time of the oldest report with a count, or the zero time if there is none.
func (r *Reported) Oldest() time.Time {
	var oldest time.Time
	for _, o := range r.reports {
		if len(o.counts) == 0 {
			continue
		}
		if oldest.IsZero() || o.at.Before(oldest) {
			oldest = o.at
		}
	}
	return oldest
}

// Sums returns the sums of the counts in own and of those of the other instances for which
// want returns true. It doesn't change own.
func (r *Reported) Sums(own map[Key]int, want func(instance string) bool) map[Key]int {
	sums := maps.Clone(own)
	if sums == nil {
		sums = make(map[Key]int)
	}
	for name, o := range r.reports {
		if !want(name) {
			continue
		}
		for k, n := range o.counts {
			sums[k] += n
		}
	}
	return sums
}

// Keys returns the endpoints for which another instance reported a count.
func (r *Reported) Keys() iter.Seq[Key] { return maps.Keys(r.sums) }
