package crplace

import (
	"slices"
	"time"

	"crocusrack/core/crswitch"
)

const (
	// failureRateSlack is the excess over the baseline failure rate up to which an
	// endpoint isn't penalized: some failures are caused by the request and not by
	// the endpoint.
	failureRateSlack = 0.1
	// baselineQuantile is the quantile of the candidates' failure rates that is taken as
	// the baseline. It is low so that the baseline stays correct while most of the
	// endpoints fail.
	baselineQuantile = 0.25
)

// setExcessFailureRates sets the excess failure rate of each candidate.
func (p *Placer) setExcessFailureRates(now time.Time) {
	if p.Disabled.Has(crswitch.FailureRates) || !p.Failures.AnyAbove(now, failureRateSlack) {
		return
	}
	lists := [][]candidate{p.healthy, p.ejected}
	p.failureRates = p.failureRates[:0]
	for _, list := range lists {
		for i := range list {
			list[i].excessFailureRate = p.Failures.FailureRate(now, list[i].Key)
			p.failureRates = append(p.failureRates, list[i].excessFailureRate)
		}
	}
	if len(p.failureRates) == 0 {
		return
	}
	slices.Sort(p.failureRates)
	baseline := p.failureRates[int(baselineQuantile*float64(len(p.failureRates)))]
	for _, list := range lists {
		for i := range list {
			if c := &list[i]; c.excessFailureRate-baseline > failureRateSlack {
				c.excessFailureRate -= baseline
			} else {
				c.excessFailureRate = 0
			}
		}
	}
}
