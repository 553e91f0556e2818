package crplace

import (
	"math"
	"time"

	"crocusrack/core/crhash"
)

// The chance of an endpoint to be drawn falls by spreadGain for each request in flight by slot,
// between minSpread and maxSpread. It is 1 at spreadLoad requests by slot, where some requests
// queue. Counts of other instances are older than the requests that they count, and a larger
// gain would have all instances draw the same endpoint until the next report.
const (
	spreadGain = 0.1
	spreadLoad = 1.5
	minSpread  = 0.3
	maxSpread  = 1.45
)

// Load is the load of the endpoints of a service that may be used, apart from limits of their
// request rates. As candidates, ejected endpoints count if they are too many.
type Load struct {
	// InFlight is the number of requests in flight over all instances, and Own that of this
	// instance.
	InFlight, Own int
	// Slots is the number of requests that the endpoints serve at a time. It is zero if that
	// of any endpoint is unknown.
	Slots        int
	unknownSlots bool
}

// add adds an endpoint with the given number of requests in flight.
func (l *Load) add(e *Endpoint, inFlight int) {
	l.InFlight += inFlight
	l.Slots += e.Slots
	l.unknownSlots = l.unknownSlots || e.Slots <= 0
}

// sumLoad sums the load of healthy and of ejected endpoints.
func (p *Placer) sumLoad(healthy, ejected Load, withEjected bool) {
	if withEjected {
		healthy.InFlight += ejected.InFlight
		healthy.Slots += ejected.Slots
		healthy.unknownSlots = healthy.unknownSlots || ejected.unknownSlots
	}
	if healthy.unknownSlots {
		healthy.Slots = 0
	}
	p.load = healthy
}

// Load returns the load of a service.
func (p *Placer) Load(now time.Time, service string) Load {
	list, _ := p.candidates(now, Request{Service: service}, nil)
	l := p.load
	for i := range list {
		l.Own += p.Ledger.Own()[list[i].Key]
	}
	return l
}

// draw returns a random value by which endpoints are ordered for a request that is to be spread
// over them, lowest first. It is exponentially distributed.
func (p *Placer) draw(a Request, c *candidate) float64 {
	uniform := (float64(crhash.Mix(a.Random, uint64(c.Key))>>11) + 0.5) / (1 << 53)
	chance := max(1, float64(c.Slots)) / c.relativeTime() / (1 + failureLoad*c.excessFailureRate)
	if c.Slots > 0 {
		load := float64(c.inFlight) / float64(c.Slots)
		chance *= min(max(1-spreadGain*(load-spreadLoad), minSpread), maxSpread)
	}
	return -math.Log(uniform) / chance
}

// mayTake reports whether a candidate may be chosen for a request below the bound. The queue of
// an endpoint isn't looked at for a request that is to be spread, since it is shorter or longer
// than counted by now.
func (c *candidate) mayTake(a Request) bool { return c.available() || a.Spread && !c.cold }
