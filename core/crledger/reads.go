package crledger

import "time"

// PrefillBacklog estimates when each endpoint will have finished the prefill of the
// prompts that were sent to it. Its zero value is empty. It is not safe for concurrent
// use.
type PrefillBacklog struct {
	until map[Key]time.Time
}

// Add adds a prefill of duration d to an endpoint's backlog, and returns the time at which
// the endpoint will have finished it.
func (r *PrefillBacklog) Add(now time.Time, k Key, d time.Duration) time.Time {
	start := now
	if u := r.until[k]; u.After(now) {
		start = u
	}
	end := start.Add(d)
	r.Extend(k, end)
	return end
}

// Extend records that an endpoint is busy with prefill until the given time or later.
func (r *PrefillBacklog) Extend(k Key, at time.Time) {
	if r.until == nil {
		r.until = make(map[Key]time.Time)
	}
	if at.After(r.until[k]) {
		r.until[k] = at
	}
}

// Backlog returns how long an endpoint will still be busy with prefill.
func (r *PrefillBacklog) Backlog(now time.Time, k Key) time.Duration {
	return max(0, r.until[k].Sub(now))
}

// Forget removes the endpoints for which keep returns false.
func (r *PrefillBacklog) Forget(keep func(Key) bool) {
	for k := range r.until {
		if !keep(k) {
			delete(r.until, k)
		}
	}
}
