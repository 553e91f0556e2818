package crretry

import "time"

// Returns tells refused requests when to come back: each when a place gets free by
// the forecast, one after the other, so that those that a flood turns away together
// don't return together. It answers floods that end within seconds; under a lasting
// overload all are told MaxReturn or a little more. There is one Returns per service
// in each instance; it is not safe for concurrent use. Its zero value is ready.
type Returns struct {
	// hold is how long a request holds its place, as a moving mean.
	hold time.Duration
	// promised is the time of the last return that was told.
	promised time.Time
}

const (
	// MinReturn is the least time after which a request is told to come back: less
	// is shorter than the way to the caller and back.
	MinReturn = 20 * time.Millisecond
	// MaxReturn bounds the returns that are told one after the other. Callers wait
	// no longer than a third of the time that they have left.
	MaxReturn = 1500 * time.Millisecond
	// firstHold is how long a request is taken to hold its place before one ended.
	firstHold = 300 * time.Millisecond
	// holdWeight is the weight of the newest request in the mean.
	holdWeight = 0.1
)

// Ended notes how long a request held its place.
func (r *Returns) Ended(held time.Duration) {
	if r.hold == 0 {
		r.hold = held
	}
	r.hold += time.Duration(holdWeight * float64(held-r.hold))
}

// After returns when a refused request may come back. There are inFlight requests
// that hold places, over all instances, and so many instances that share what gets
// free. Random, from 0 to 1, keeps the instances apart.
func (r *Returns) After(now time.Time, inFlight, instances int, random float64) time.Duration {
	hold := r.hold
	if hold == 0 {
		hold = firstHold
	}
	// A place of this instance's part gets free each step.
	step := hold * time.Duration(max(instances, 1)) / time.Duration(max(inFlight, 1))
	if r.promised.Before(now) {
		r.promised = now
	}
	r.promised = r.promised.Add(step)
	if last := now.Add(MaxReturn); r.promised.After(last) {
		r.promised = last
	}
	return max(r.promised.Sub(now)+time.Duration(random*float64(min(step, MaxReturn))), MinReturn)
}
