package crplace

import (
	"time"

	"golang.org/x/time/rate"

	"crocusrack/core/crhash"
	"crocusrack/core/crledger"
	"crocusrack/core/crliveness"
)

// coldSenders is the largest number of instances that send to one cold endpoint.
// Each of them may send a burst of one request. The requirement allows an endpoint's
// rate to be exceeded by half of it plus five requests in any second.
const coldSenders = 8

// ColdGate limits the rate of requests to cold endpoints over the whole fleet. For
// each endpoint coldSenders instances are chosen by its key, and each of them sends
// an equal part of the rate. Set the exported fields before first use. A ColdGate is
// not safe for concurrent use.
type ColdGate struct {
	// Roster lists the instances of the fleet.
	Roster *crliveness.Roster

	limits map[crledger.Key]*rate.Limiter
}

// Admit reports whether this instance may send a request to a cold endpoint now, and
// if so counts the request. perSecond is the rate that the endpoint accepts from all
// instances together, in requests per second.
func (g *ColdGate) Admit(now time.Time, e *Endpoint, perSecond float64) bool {
	if !g.Roster.Chosen(now, crhash.Mix(uint64(e.Key), crhash.Of("cold")), coldSenders) {
		return false
	}
	if g.limits == nil {
		g.limits = make(map[crledger.Key]*rate.Limiter)
	}
	l := g.limits[e.Key]
	if l == nil {
		l = rate.NewLimiter(rate.Limit(perSecond/coldSenders), 1)
		g.limits[e.Key] = l
	}
	return l.AllowN(now, 1)
}

// Forget removes the endpoints for which keep returns false.
func (g *ColdGate) Forget(keep func(crledger.Key) bool) {
	for k := range g.limits {
		if !keep(k) {
			delete(g.limits, k)
		}
	}
}
