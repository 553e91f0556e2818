package crlimit

import (
	"time"

	"crocusrack/core/crhash"
	"crocusrack/core/crledger"
	"crocusrack/core/crliveness"
)

const (
	// minSenders is the number of instances that send to an endpoint with a low limit, if
	// there are as many. One more sends for each request per second that it takes. Each of
	// them may send one request in addition to its part of the rate. The requirement allows
	// half of the limit and five requests in addition, in 4 s; the difference covers
	// instances that disagree on who sends.
	minSenders = 3
	// MinPerSecond is the rate at which requests are sent to an endpoint whose limit is
	// lower, since only its answers show that the limit has ended.
	MinPerSecond = 0.1
	// chosenLifetime is how long an instance relies on being one of an endpoint's senders or
	// not, because a look at the whole fleet for each endpoint and request takes long.
	chosenLifetime = 300 * time.Millisecond
)

// Never is the waiting time of an instance that isn't one of the senders.
const Never = time.Duration(1<<63 - 1)

// Gate divides the limits of endpoints among the instances of the fleet. For each endpoint some
// instances are chosen by its key, and each of them sends an equal part of the rate. Set the
// exported fields before first use. A Gate is not safe for concurrent use.
type Gate struct {
	// Roster lists the instances of the fleet.
	Roster *crliveness.Roster

	buckets map[crledger.Key]*bucket
}

// bucket is this instance's part of the limit of one endpoint.
type bucket struct {
	// chosen is true if this instance is one of the senders, as of chosenAt.
	chosen   bool
	chosenAt time.Time
	// tokens is the number of requests that may be sent as of filledAt, at most 1.
	tokens   float64
	filledAt time.Time
}

// Wait returns the time until this instance may send a request to an endpoint with the given
// limit, or Never. Zero means that it may send one now.
func (g *Gate) Wait(now time.Time, k crledger.Key, perSecond float64) time.Duration {
	perSecond = max(perSecond, MinPerSecond)
	senders := min(g.Roster.Size(now), minSenders+int(min(perSecond, float64(g.Roster.Size(now)))))
	b := g.bucket(now, k)
	if now.Sub(b.chosenAt) >= chosenLifetime {
		chosen := g.Roster.Chosen(now, crhash.Mix(uint64(k), crhash.Of("limit")), senders)
		if chosen && !b.chosen {
			b.filledAt = now
		}
		b.chosen, b.chosenAt = chosen, now
	}
	if !b.chosen {
		return Never
	}
	rate := perSecond / float64(senders)
	b.tokens = min(1, b.tokens+rate*now.Sub(b.filledAt).Seconds())
	b.filledAt = now
	return time.Duration((1 - b.tokens) / rate * float64(time.Second))
}

// bucket returns the bucket of an endpoint. A new one is filled to an extent that differs
// between instances, so that they don't all send at the same time.
func (g *Gate) bucket(now time.Time, k crledger.Key) *bucket {
	b := g.buckets[k]
	if b == nil {
		if g.buckets == nil {
			g.buckets = make(map[crledger.Key]*bucket)
		}
		full := float64(crhash.Mix(uint64(k), crhash.Of(g.Roster.Self.Name))>>11) / (1 << 53)
		b = &bucket{tokens: full, filledAt: now}
		g.buckets[k] = b
	}
	return b
}

// Take counts a request that is sent to an endpoint.
func (g *Gate) Take(now time.Time, k crledger.Key) {
	b := g.bucket(now, k)
	b.tokens = max(0, b.tokens-1)
}

// Forget removes the endpoints for which keep returns false.
func (g *Gate) Forget(keep func(crledger.Key) bool) {
	for k := range g.buckets {
		if !keep(k) {
			delete(g.buckets, k)
		}
	}
}
