package crshare

import (
	"math"
	"time"
)

// rateTime is the time constant of moving rates. A shorter one is too noisy for accounts of
// which an instance sees a few requests per second; a longer one delays the response to a
// flood.
const rateTime = 500 * time.Millisecond

// minCountTime is the shortest time over which a rate is meaningful.
const minCountTime = 100 * time.Millisecond

// rate is an exponentially weighted sum of events per second.
type rate struct {
	value float64
	at    time.Time
	// since is when the events began to be counted.
	since time.Time
}

// add adds n events.
func (r *rate) add(now time.Time, n float64) {
	if now.Sub(r.at) > 8*rateTime {
		r.value, r.since = 0, now
	}
	r.value = r.get(now) + n/rateTime.Seconds()
	r.at = now
}

// get returns the sum per second.
func (r *rate) get(now time.Time) float64 {
	if r.value == 0 {
		return 0
	}
	elapsed := max(0, now.Sub(r.at))
	return r.value * math.Exp(-float64(elapsed)/float64(rateTime))
}

// early returns the factor by which a sum is too low because its events haven't been counted for
// long.
func (r *rate) early(now time.Time) float64 {
	counted := max(minCountTime, now.Sub(r.since))
	return 1 / (1 - math.Exp(-float64(counted)/float64(rateTime)))
}
