package crretry

import "time"

// ReturnScheduler schedules the retries of refused requests. Each refused request gets a delay after
// which a place is expected to become free, one request after the other, so that requests
// refused together in a burst don't return together. A place is what a request in flight
// holds until it ends. The schedule is meant for bursts that end within seconds; under a
// lasting overload each delay is MaxReturnDelay plus a random part. The random part is at most
// the mean time between two places that become free for this instance, and at most
// MaxReturnDelay. Each instance has one ReturnScheduler per service. A ReturnScheduler is not safe for concurrent
// use. Its zero value is ready to use.
type ReturnScheduler struct {
	// meanHoldTime is a moving average of the time for which a request holds its place.
	meanHoldTime time.Duration
	// lastReturn is the latest scheduled time of a retry, before the random part is added.
	lastReturn time.Time
}

const (
	// MinReturnDelay is the minimum delay before a return. A shorter delay would be below the
	// round-trip time to the caller.
	MinReturnDelay = 20 * time.Millisecond
	// MaxReturnDelay bounds the scheduled delays, before the random part is added. Callers
	// are assumed to wait at most a third of the time that they have left for the request,
	// which isn't known here.
	MaxReturnDelay = 1500 * time.Millisecond
	// initialHoldTime is the assumed hold time before any request has ended.
	initialHoldTime = 300 * time.Millisecond
	// holdTimeWeight is the weight of the newest request in the moving average.
	holdTimeWeight = 0.1
)

// Ended records for how long a request that has ended held its place.
func (r *ReturnScheduler) Ended(held time.Duration) {
	if r.meanHoldTime == 0 {
		r.meanHoldTime = held
	}
	r.meanHoldTime += time.Duration(holdTimeWeight * float64(held-r.meanHoldTime))
}

// HoldTime returns the mean time for which a request holds its place.
func (r *ReturnScheduler) HoldTime() time.Duration {
	if r.meanHoldTime == 0 {
		return initialHoldTime
	}
	return r.meanHoldTime
}

// After returns the delay after which a refused request may return. inFlight is the number
// of requests that hold places, over all instances, and instances is the number of
// instances that share the places that become free. random, between 0 and 1, keeps the
// instances from scheduling the same times.
func (r *ReturnScheduler) After(now time.Time, inFlight, instances int, random float64) time.Duration {
	// step is the mean time between two places that become free for this instance. Of all
	// places that become free, each instance gets an equal share.
	step := r.HoldTime() * time.Duration(max(instances, 1)) / time.Duration(max(inFlight, 1))
	return r.schedule(now, step, random)
}

// AfterAtRate returns the delay after which a request may return that was refused because the
// endpoints limit their request rates to perSecond, from all instances together. The other
// parameters are those of After.
func (r *ReturnScheduler) AfterAtRate(now time.Time, perSecond float64, instances int, random float64) time.Duration {
	step := min(float64(max(instances, 1))/perSecond, MaxReturnDelay.Seconds())
	return r.schedule(now, time.Duration(step*float64(time.Second)), random)
}

// schedule schedules the return of a request by the mean time between two requests that this
// instance can serve.
func (r *ReturnScheduler) schedule(now time.Time, step time.Duration, random float64) time.Duration {
	if r.lastReturn.Before(now) {
		r.lastReturn = now
	}
	r.lastReturn = r.lastReturn.Add(step)
	if last := now.Add(MaxReturnDelay); r.lastReturn.After(last) {
		r.lastReturn = last
	}
	return max(r.lastReturn.Sub(now)+time.Duration(random*float64(min(step, MaxReturnDelay))), MinReturnDelay)
}
