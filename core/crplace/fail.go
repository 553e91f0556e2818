package crplace

import (
	"slices"
	"time"

	"crocusrack/core/crswitch"
)

const (
	// failSlack is how much more often than usual requests may fail at an endpoint
	// before that counts: some failures follow the request.
	failSlack = 0.1
	// usualShare is the part of the endpoints that fail less often than usual: when
	// most of them fail, the others tell what is usual.
	usualShare = 0.25
)

// rateFailures notes how much more often than usual requests failed at the candidates.
func (p *Placer) rateFailures(now time.Time) {
	if p.Disabled.Has(crswitch.FailureRates) || !p.Failures.Any(now, failSlack) {
		return
	}
	lists := [][]candidate{p.healthy, p.ejected}
	p.rates = p.rates[:0]
	for _, list := range lists {
		for i := range list {
			list[i].fails = p.Failures.Rate(now, list[i].Key)
			p.rates = append(p.rates, list[i].fails)
		}
	}
	if len(p.rates) == 0 {
		return
	}
	slices.Sort(p.rates)
	usual := p.rates[int(usualShare*float64(len(p.rates)))]
	for _, list := range lists {
		for i := range list {
			if c := &list[i]; c.fails-usual > failSlack {
				c.fails -= usual
			} else {
				c.fails = 0
			}
		}
	}
}
