package crplace

import (
	"iter"

	"crocusrack/core/crlatency"
	"crocusrack/core/crledger"
)

// StatedLoad is the load of an endpoint by its own statements and the requests in flight.
type StatedLoad struct {
	// InFlight is the number of requests there, running and waiting.
	InFlight int
	// Pace is how long work takes there now, in multiples of the usual time. Zero means
	// that the endpoint doesn't state it.
	Pace float64
}

// applyLoad sets what is known of a candidate's load by its statements, for requests without a
// prompt: those with one wait for reads rather than for slots. The bound and the mean
// go on with the requests in flight alone.
func (p *Placer) applyLoad(c *candidate) {
	l := p.StatedLoad(c.Endpoint, c.inFlight)
	c.unknown = int32(l.InFlight - c.inFlight)
	if l.Pace > 0 {
		c.slowness, c.statesPace = l.Pace, true
	}
}

// queue returns the number of requests that are estimated to run or wait at the endpoint.
func (c *candidate) queue() int { return c.inFlight + int(c.unknown) }

// relativeTime returns how long a request takes at an endpoint, in multiples of the usual time:
// the stated pace or, without one, the learned slowness.
func (c *candidate) relativeTime() float64 {
	if c.statesPace {
		return c.slowness
	}
	return crlatency.SignificantSlowness(c.slowness)
}

// Keys returns the keys of a service's endpoints.
func (p *Placer) Keys(service string) iter.Seq[crledger.Key] {
	return func(yield func(crledger.Key) bool) {
		for _, e := range p.services[service] {
			if !yield(e.Key) {
				return
			}
		}
	}
}
