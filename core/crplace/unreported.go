package crplace

import "crocusrack/core/crhash"

// unreportedSeed keeps the draws of unreported requests apart from others of a request.
const unreportedSeed = 0x756e7265706f7274

// drawUnreported draws the number of unreported requests at each candidate, for a service with the
// given mean of requests in flight. Counts of others are as old at all instances: if each of
// them relied on its counts, all would choose the same endpoint until the next report.
func (p *Placer) drawUnreported(a Request, mean float64) {
	if p.Unreported == nil {
		return
	}
	most := p.Unreported(a.Service, mean)
	if most <= 0 {
		return
	}
	seed := crhash.Mix(a.Random, unreportedSeed)
	for i := range p.healthy {
		c := &p.healthy[i]
		c.unreported = most * float64(crhash.Mix(seed, uint64(c.Key))>>11) / (1 << 53)
	}
}

// assumedInFlight returns the requests in flight at a candidate with those unreported.
func (c *candidate) assumedInFlight() float64 { return float64(c.inFlight) + c.unreported }
