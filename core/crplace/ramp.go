package crplace

import "crocusrack/core/crhash"

const (
	// consideredFactor is the ratio of the requests without a prompt that consider an endpoint
	// in a ramp to those that its level grants it. Some of them go elsewhere.
	consideredFactor = 2.0
	// minPacedMean is the mean number of requests in flight from which endpoints in ramps are
	// passed by. Below it an endpoint gets few requests at a time anyway.
	minPacedMean = 1.5
)

// pace marks the candidates that the request passes by because of their ramps. Instances learn
// of each other's requests with a delay, in which all of them could choose the endpoint that
// has the fewest. So each request considers an endpoint by chance, such that it gets in
// proportion to its level at any number of instances. Requests with a prompt are spread over
// all endpoints that suit equally, others go to the one with the lowest load. An endpoint with a
// limit is paced by that.
func (p *Placer) pace(a Request, mean float64) {
	if p.Ramping == nil || mean < minPacedMean || !p.Ramping() {
		return
	}
	considered := 1.0
	if len(a.Links) == 0 {
		considered = consideredFactor / float64(len(p.healthy))
	}
	for i := range p.healthy {
		c := &p.healthy[i]
		if c.limited {
			continue
		}
		if c.level = p.RampLevel(c.Key); c.level >= 1 {
			continue
		}
		// One request at a time is little for any endpoint, and without answers no level grows.
		c.level = min(1, max(c.level, 1/(mean+1)))
		draw := float64(crhash.Mix(a.Random, crhash.Mix(uint64(c.Key), rampSeed))>>11) / (1 << 53)
		// An endpoint above the mean gets its part from instances that don't pace it, such as
		// those of earlier releases. It goes on getting requests that raise its level.
		load := float64(c.inFlight)
		c.paced = draw >= considered*c.level || load >= c.level*(mean+1) && load < mean
	}
}

// rampSeed separates the random numbers of ramps from others of the same request.
var rampSeed = crhash.Of("ramp")

// leastPaced returns the candidate below the bound that has the fewest requests in flight for
// its level, among those that the request passed by because of their ramps. It is used when no
// other is left, since a ramp must not cause a refusal.
func leastPaced(list []candidate, mean float64) *candidate {
	var least *candidate
	for i := range list {
		c := &list[i]
		if c.paced && c.available() && !c.overBound(mean) && (least == nil || c.relativeLoad() < least.relativeLoad()) {
			least = c
		}
	}
	return least
}

// relativeLoad returns the requests in flight with one more, in relation to the level.
func (c *candidate) relativeLoad() float64 { return float64(c.inFlight+1) / c.level }
