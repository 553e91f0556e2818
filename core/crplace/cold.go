package crplace

import (
	"time"

	"golang.org/x/time/rate"

	"crocusrack/core/crhash"
	"crocusrack/core/crledger"
	"crocusrack/core/crroster"
)

// coldSenders is how many instances send to one cold endpoint at most. Each may
// send one request at once; the users allow half of the rate and five requests
// over what an endpoint bears in a second.
const coldSenders = 8

// ColdGate shares out what cold endpoints bear: a few instances, chosen by the
// endpoint, send a part each. Set the fields before first use. It is not safe
// for concurrent use.
type ColdGate struct {
	Roster *crroster.Roster

	limits map[crledger.Key]*rate.Limiter
}

// Admit reports whether a cold endpoint that bears perSecond requests of all
// instances bears one more from this one, and counts it.
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

// Forget drops the endpoints that keep doesn't want.
func (g *ColdGate) Forget(keep func(crledger.Key) bool) {
	for k := range g.limits {
		if !keep(k) {
			delete(g.limits, k)
		}
	}
}
