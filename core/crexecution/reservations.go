package crexecution

import (
	"sort"
	"time"
)

// expiryResolution is the width of the buckets by which unstarted tokens are
// counted.
const expiryResolution = time.Second

// expiryCounts counts the issued tokens that haven't started, by the time of
// their expiry. It keeps one count per expiryResolution rather than per token.
type expiryCounts struct {
	total   int
	buckets []bucket // by expiry, soonest first
}

// bucket counts the tokens whose expiry divided by expiryResolution is unit.
type bucket struct {
	unit  int64
	count int
}

// find returns the index of the unit's bucket and true, or the index at which to
// insert the bucket and false.
func (r *expiryCounts) find(unit int64) (int, bool) {
	i := sort.Search(len(r.buckets), func(i int) bool { return r.buckets[i].unit >= unit })
	return i, i < len(r.buckets) && r.buckets[i].unit == unit
}

func (r *expiryCounts) add(expiry time.Duration) {
	unit := int64(expiry / expiryResolution)
	i, found := r.find(unit)
	if !found {
		r.buckets = append(r.buckets, bucket{})
		copy(r.buckets[i+1:], r.buckets[i:])
		r.buckets[i] = bucket{unit: unit}
	}
	r.buckets[i].count++
	r.total++
}

// remove subtracts one unexpired token with the given expiry.
func (r *expiryCounts) remove(expiry time.Duration) {
	i, found := r.find(int64(expiry / expiryResolution))
	if !found || r.buckets[i].count == 0 {
		return
	}
	r.buckets[i].count--
	r.total--
}

// expire removes the buckets whose time has fully passed.
func (r *expiryCounts) expire(elapsed time.Duration) {
	passed := 0
	for passed < len(r.buckets) && time.Duration(r.buckets[passed].unit+1)*expiryResolution <= elapsed {
		r.total -= r.buckets[passed].count
		passed++
	}
	r.buckets = append(r.buckets[:0], r.buckets[passed:]...)
}
