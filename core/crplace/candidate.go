package crplace

import (
	"cmp"
	"slices"
	"time"

	"crocusrack/core/crledger"
)

const (
	// boundFactor and boundSlack bound the work of an endpoint to a multiple of
	// the mean and some requests more. The users allow twice the mean and three;
	// the rest is for requests that other instances have placed and not yet
	// reported.
	boundFactor = 1.6
	boundSlack  = 2.0
	// queueShare is how many requests may wait at an endpoint, as a share of
	// its slots.
	queueShare = 1.0
	// maxEjected is the largest share of a service's endpoints that is left
	// out for their failures.
	maxEjected = 0.5
)

type candidate struct {
	*Endpoint
	work    int
	held    int
	cold    bool
	backlog time.Duration
	// fails is how much more often than usual requests failed there lately.
	fails float64
	// slowness is how many times longer than usual it takes.
	slowness float64
	// lag is the delay of the first token that the choice of this endpoint brings.
	lag time.Duration
}

// coldest returns the cold endpoints with room, those with the least work first.
func coldest(list []candidate, mean float64) []*candidate {
	var cold []*candidate
	for i := range list {
		if c := &list[i]; c.cold && !c.full() && !c.over(mean) {
			cold = append(cold, c)
		}
	}
	slices.SortFunc(cold, func(a, b *candidate) int { return cmp.Compare(a.work, b.work) })
	return cold
}

// lightest returns the warm endpoint with room that has the least work, or nil.
func lightest(list []candidate) *candidate {
	var least *candidate
	for i := range list {
		if c := &list[i]; c.warm() && (least == nil || c.work < least.work) {
			least = c
		}
	}
	return least
}

// candidates returns the endpoints that may be used, and the mean work of the
// service's endpoints in use. Those that failed lately are among them only when
// they would be too large a share of the service.
func (p *Placer) candidates(now time.Time, a Ask, held map[crledger.Key]int) ([]candidate, float64) {
	p.healthy, p.ejected, p.resume = p.healthy[:0], p.ejected[:0], time.Time{}
	sum, count := 0, 0
	for _, e := range p.services[a.Service] {
		work := p.Work.InFlight(e.Key)
		sum += work
		if p.leaves(e) {
			continue
		}
		count++
		if p.Out(e.FailureDomain) {
			continue
		}
		if until := p.Health.Paused(now, e.Key); !until.IsZero() {
			if p.resume.IsZero() || until.Before(p.resume) {
				p.resume = until
			}
			continue
		}
		if slices.Contains(a.Tried, e.Key) {
			continue
		}
		c := candidate{
			Endpoint: e,
			work:     work,
			held:     held[e.Key],
			slowness: p.Pace.Slowness(now, e.Key),
			cold:     a.ColdPerSecond > 0 && now.Before(e.ColdUntil),
		}
		if p.Health.Usable(now, e.Key) {
			p.healthy = append(p.healthy, c)
		} else {
			p.ejected = append(p.ejected, c)
		}
	}
	p.rateFailures(now)
	p.inService = sum
	mean := float64(sum) / float64(max(count, 1))
	if float64(len(p.ejected)) > maxEjected*float64(len(p.healthy)+len(p.ejected)) {
		p.healthy = append(p.healthy, p.ejected...)
	}
	return p.healthy, mean
}

// over reports whether an endpoint has more work than the bound.
func (c *candidate) over(mean float64) bool { return float64(c.work) >= boundFactor*mean+boundSlack }

// full reports whether an endpoint has no room for one more request.
func (c *candidate) full() bool {
	return c.Slots > 0 && float64(c.work) >= float64(c.Slots)*(1+queueShare)
}

// warm reports whether an endpoint bears its full load and has room.
func (c *candidate) warm() bool { return !c.cold && !c.full() }
