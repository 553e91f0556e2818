package crplace

import (
	"cmp"
	"math"
	"slices"
	"time"

	"crocusrack/core/crledger"
)

const (
	// boundFactor and boundSlack bound the requests in flight at an endpoint to
	// boundFactor times the service's mean plus boundSlack. The requirement is
	// twice the mean plus three; the margin covers requests that other instances
	// have placed and not yet reported.
	boundFactor = 1.6
	boundSlack  = 2.0
	// queueShare is the number of requests that may queue at an endpoint, as a
	// fraction of its slots.
	queueShare = 1.0
	// maxEjectedShare is the largest fraction of a service's candidates that may
	// be excluded because of failures.
	maxEjectedShare = 0.5
)

// candidate is an endpoint that may be chosen for the current request, with the
// values by which candidates are compared.
type candidate struct {
	*Endpoint
	// inFlight is the number of requests in flight, over all instances.
	inFlight int
	// held is the number of tokens of the prompt that the endpoint holds.
	held int
	// cold is true while the endpoint warms up and its request rate is limited.
	cold bool
	// level is the fraction of its fair part that the endpoint gets, 1 outside a ramp. paced is
	// true if this request passes the endpoint by for that reason.
	level float64
	paced bool
	// limited is true if the endpoint limits its request rate.
	limited bool
	// statesPace is true if the endpoint states how long work takes there. Its slowness is
	// then by its statements.
	statesPace bool
	// unknown is the number of requests that are estimated to run or wait there, by the
	// endpoint's statements, minus those in flight.
	unknown int32
	// unreported is the number of requests that other instances are assumed to have placed there
	// since they reported, drawn at random.
	unreported float64
	// backlog is how long the endpoint is busy with the prefill of other prompts.
	backlog time.Duration
	// excessFailureRate is how far the endpoint's recent failure rate exceeds the
	// baseline of the candidates. It is zero below failureRateSlack.
	excessFailureRate float64
	// slowness is the ratio of the endpoint's response times to the usual ones.
	slowness float64
	// firstTokenDelay is the estimated delay of the first token if this endpoint is
	// chosen. Only best sets it, for requests with a prompt.
	firstTokenDelay time.Duration
	// drawn is the value by which candidates of a request that is to be spread are ordered.
	// Only best sets it.
	drawn float64
}

// coldCandidates returns the cold candidates that are neither full nor over the bound,
// sorted by requests in flight.
func coldCandidates(list []candidate, mean float64) []*candidate {
	var cold []*candidate
	for i := range list {
		if c := &list[i]; c.cold && !c.full() && !c.overBound(mean) {
			cold = append(cold, c)
		}
	}
	slices.SortFunc(cold, func(a, b *candidate) int { return cmp.Compare(a.inFlight, b.inFlight) })
	return cold
}

// leastLoaded returns the available candidate with the fewest requests in flight and unreported,
// or nil if none is available.
func leastLoaded(list []candidate) *candidate {
	var least *candidate
	for i := range list {
		if c := &list[i]; c.available() && (least == nil || c.assumedInFlight() < least.assumedInFlight()) {
			least = c
		}
	}
	return least
}

// candidates returns the endpoints that may be used, and the mean load: the requests in
// flight at the endpoints of the service, divided by the number of endpoints that aren't
// draining. Endpoints that may not be used because of their limits count for neither.
// Endpoints that are ejected for failures are included only if they exceed maxEjectedShare.
// The returned slice is valid until the next call.
func (p *Placer) candidates(now time.Time, a Request, held map[crledger.Key]int) ([]candidate, float64) {
	p.healthy, p.ejected, p.pausedUntil = p.healthy[:0], p.ejected[:0], time.Time{}
	p.limitPerSecond = 0
	total, limitedWork, count := 0, 0, 0
	var healthy, ejected Load
	for _, e := range p.services[a.Service] {
		work := p.Ledger.InFlight(e.Key)
		total += work
		if p.draining(e) {
			continue
		}
		count++
		if p.DomainOutOfService(e.FailureDomain) {
			continue
		}
		if until := p.Health.PausedUntil(now, e.Key); !until.IsZero() {
			if p.pausedUntil.IsZero() || until.Before(p.pausedUntil) {
				p.pausedUntil = until
			}
			continue
		}
		usable := p.Health.Usable(now, e.Key)
		if usable {
			healthy.add(e, work)
		} else {
			ejected.add(e, work)
		}
		if slices.Contains(a.Tried, e.Key) || a.Allowed != nil && !a.Allowed(e.Key) {
			continue
		}
		perSecond, wait := p.Limit(e)
		if wait > 0 {
			p.limitPerSecond += perSecond
			limitedWork += work
			count--
			continue
		}
		c := candidate{
			Endpoint: e,
			inFlight: work,
			held:     held[e.Key],
			slowness: p.Latency.Slowness(now, e.Key),
			cold:     a.ColdPerSecond > 0 && now.Before(e.ColdUntil),
			level:    1,
			limited:  !math.IsInf(perSecond, 1),
		}
		// The endpoint of a request that is to be spread is drawn: statements are as old as counts,
		// and would have all instances prefer the same endpoint.
		if p.StatedLoad != nil && len(a.Links) == 0 && !a.Spread {
			p.applyLoad(&c)
		}
		if usable {
			p.healthy = append(p.healthy, c)
		} else {
			p.ejected = append(p.ejected, c)
		}
	}
	p.setExcessFailureRates(now)
	p.serviceInFlight = total
	mean := float64(total-limitedWork) / float64(max(count, 1))
	tooMany := float64(len(p.ejected)) > maxEjectedShare*float64(len(p.healthy)+len(p.ejected))
	if tooMany {
		p.healthy = append(p.healthy, p.ejected...)
	}
	p.sumLoad(healthy, ejected, tooMany)
	if !a.Spread {
		p.drawUnreported(a, mean)
		// While the slots of a service are short, no capacity is left unused for a ramp.
		p.pace(a, mean)
	}
	return p.healthy, mean
}

// overBound reports whether the requests in flight and those unreported have reached the bound,
// which is relative to the mean over the service.
func (c *candidate) overBound(mean float64) bool {
	return c.assumedInFlight() >= boundFactor*mean+boundSlack
}

// full reports whether the slots and the queue of an endpoint are in use. An
// endpoint without a number of slots is never full.
func (c *candidate) full() bool {
	return c.Slots > 0 && float64(c.queue()) >= float64(c.Slots)*(1+queueShare)
}

// available reports whether an endpoint is warm and not full.
func (c *candidate) available() bool { return !c.cold && !c.full() }
