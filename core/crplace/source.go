package crplace

import (
	"slices"
	"time"

	"crocusrack/core/crledger"
	"crocusrack/core/crpace"
	"crocusrack/core/crswitch"
)

// source is an endpoint that holds context which others may fetch.
type source struct {
	*Endpoint
	held int
}

// sources returns for each failure domain the endpoint that holds most of a prompt.
// It may be one that takes no new work.
func (p *Placer) sources(held map[crledger.Key]int, a Ask) []source {
	list := p.found[:0]
	if p.Disabled.Has(crswitch.ContextMoves) {
		return list
	}
	for k, n := range held {
		e := p.byKey[k]
		if e == nil || e.Service != a.Service || slices.Contains(a.Tried, k) {
			continue
		}
		i := slices.IndexFunc(list, func(s source) bool { return s.FailureDomain == e.FailureDomain })
		switch {
		case i < 0:
			list = append(list, source{e, n})
		// Of those that hold the same the first by id is taken, whatever the order of
		// the map.
		case n > list[i].held || n == list[i].held && e.ID < list[i].ID:
			list[i] = source{e, n}
		}
	}
	p.found = list
	return list
}

// acquire returns how an endpoint gets what it lacks of a prompt in the least time:
// by reading it, or from a source.
func (p *Placer) acquire(a Ask, c *candidate, sources []source) (*source, time.Duration) {
	wanted := a.Links[len(a.Links)-1].Tokens
	least := p.speed.Read(c.slowness, wanted-c.held)
	var best *source
	for i := range sources {
		s := &sources[i]
		if s.held <= c.held || s.Key == c.Key {
			continue
		}
		d := p.speed.Fetch(s.FailureDomain != c.FailureDomain, s.held-c.held) +
			p.speed.Read(c.slowness, wanted-s.held)
		if d < least || d == least && best != nil && s.ID < best.ID {
			best, least = s, d
		}
	}
	return best, least
}

// finish describes a choice, with the source of the context that the endpoint
// lacks.
func (p *Placer) finish(now time.Time, a Ask, held map[crledger.Key]int, c *candidate, mean float64) Choice {
	choice := Choice{Endpoint: c.Endpoint, Held: c.held, InFlight: c.work, Mean: mean}
	if len(a.Links) == 0 {
		return choice
	}
	choice.Wanted = a.Links[len(a.Links)-1].Tokens
	choice.Job = crpace.Job{Read: choice.Wanted - c.held, Backlog: p.Reads.Backlog(now, c.Key)}
	if s, _ := p.acquire(a, c, p.sources(held, a)); s != nil {
		choice.Source = s.Endpoint
		choice.Job.Read, choice.Job.Fetched = choice.Wanted-s.held, s.held-c.held
		choice.Job.Far = s.FailureDomain != c.FailureDomain
	}
	choice.Forecast = p.speed.Forecast(c.slowness, choice.Job)
	return choice
}
