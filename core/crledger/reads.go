package crledger

import "time"

// Reads estimates until when each endpoint is busy with reading prompts. Its
// zero value is empty; it is not safe for concurrent use.
type Reads struct {
	until map[Key]time.Time
}

// Add notes that an endpoint is to read for so long in addition, and returns when it
// will have done so.
func (r *Reads) Add(now time.Time, k Key, d time.Duration) time.Time {
	start := now
	if u := r.until[k]; u.After(now) {
		start = u
	}
	end := start.Add(d)
	r.Until(k, end)
	return end
}

// Until notes that an endpoint reads until a time at least.
func (r *Reads) Until(k Key, at time.Time) {
	if r.until == nil {
		r.until = make(map[Key]time.Time)
	}
	if at.After(r.until[k]) {
		r.until[k] = at
	}
}

// Backlog returns how long an endpoint will still be reading.
func (r *Reads) Backlog(now time.Time, k Key) time.Duration {
	return max(0, r.until[k].Sub(now))
}

// Forget drops the endpoints that keep doesn't want.
func (r *Reads) Forget(keep func(Key) bool) {
	for k := range r.until {
		if !keep(k) {
			delete(r.until, k)
		}
	}
}
