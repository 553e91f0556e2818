package crplace

import (
	"slices"
	"time"

	"crocusrack/core/crlatency"
	"crocusrack/core/crledger"
	"crocusrack/core/crswitch"
)

// source is an endpoint from which others may fetch context.
type source struct {
	*Endpoint
	// held is the number of tokens of the prompt that the endpoint holds.
	held int
}

// sources returns, for each failure domain, the endpoint that holds the longest prefix
// of a prompt. It may be an endpoint that takes no new requests. The returned slice is
// valid until the next call.
func (p *Placer) sources(held map[crledger.Key]int, a Request) []source {
	list := p.sourceList[:0]
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
		// Ties are broken by ID, so that the result doesn't depend on the order of map
		// iteration.
		case n > list[i].held || n == list[i].held && e.ID < list[i].ID:
			list[i] = source{e, n}
		}
	}
	p.sourceList = list
	return list
}

// fastestSource returns the source from which an endpoint gets what it lacks of a prompt in
// the least time, and that time. The source is nil if prefill alone is fastest.
func (p *Placer) fastestSource(a Request, c *candidate, sources []source) (*source, time.Duration) {
	wanted := a.Links[len(a.Links)-1].Tokens
	least := p.speed.Prefill(c.slowness, wanted-c.held)
	var best *source
	for i := range sources {
		s := &sources[i]
		if s.held <= c.held || s.Key == c.Key {
			continue
		}
		d := p.speed.Fetch(s.FailureDomain != c.FailureDomain, s.held-c.held) +
			p.speed.Prefill(c.slowness, wanted-s.held)
		if d < least || d == least && best != nil && s.ID < best.ID {
			best, least = s, d
		}
	}
	return best, least
}

// newChoice returns the Choice of a candidate. For a request with a prompt it includes the
// source, if any, of the context that the endpoint lacks.
func (p *Placer) newChoice(now time.Time, a Request, held map[crledger.Key]int, c *candidate, mean float64) Choice {
	choice := Choice{Endpoint: c.Endpoint, HeldTokens: c.held, InFlight: c.inFlight, MeanInFlight: mean}
	if len(a.Links) == 0 {
		return choice
	}
	choice.PromptTokens = a.Links[len(a.Links)-1].Tokens
	choice.Job = crlatency.Job{PrefillTokens: choice.PromptTokens - c.held, Backlog: p.PrefillBacklog.Backlog(now, c.Key)}
	if s, _ := p.fastestSource(a, c, p.sources(held, a)); s != nil {
		choice.Source = s.Endpoint
		choice.Job.PrefillTokens, choice.Job.FetchedTokens = choice.PromptTokens-s.held, s.held-c.held
		choice.Job.CrossDomain = s.FailureDomain != c.FailureDomain
	}
	choice.Forecast = p.speed.Forecast(c.slowness, choice.Job)
	return choice
}
