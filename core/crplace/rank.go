package crplace

import (
	"cmp"
	"math"
	"time"

	"crocusrack/core/crcontext"
	"crocusrack/core/crhash"
	"crocusrack/core/crlatency"
	"crocusrack/core/crledger"
	"crocusrack/core/crswitch"
)

const (
	// crossDomainLoad is added to the load of an endpoint in another failure domain, in
	// requests in flight, for requests without a prompt.
	crossDomainLoad = 1.0
	// crossDomainDelay is the delay of the first token up to which a request with a
	// prompt stays in its own failure domain, because traffic between domains is
	// expensive.
	crossDomainDelay = 17 * time.Millisecond
	// toleratedBacklogShare is the prefill backlog of an endpoint that isn't counted as
	// delay, as a fraction of the route's target for the time to first token.
	// defaultToleratedBacklog is that backlog for routes without a target.
	toleratedBacklogShare   = 0.5
	defaultToleratedBacklog = 300 * time.Millisecond
	// delayStepShare is the width of the buckets in which delays are compared, as a
	// fraction of the overhead, which is the time to first token of a prompt that needs
	// no prefill. Smaller differences are below the accuracy of the estimate.
	delayStepShare = 0.25
	// backlogStep is the width of the buckets in which backlogs are compared.
	backlogStep = 60 * time.Millisecond
	// lightLoadFactor and lightLoadSlack give the number of requests in flight above
	// which another endpoint with an equal delay is preferred: lightLoadFactor times
	// the mean plus lightLoadSlack.
	lightLoadFactor = 1.2
	lightLoadSlack  = 1.0
	// failureDelay and failureLoad are the cost of a failed request, which its caller
	// has to repeat: as a delay of the first token for requests with a prompt, and as
	// requests in flight for the others.
	failureDelay = 2 * time.Second
	failureLoad  = 20.0
)

// best returns the best of the available candidates below the bound, or nil.
func (p *Placer) best(now time.Time, a Request, held map[crledger.Key]int, list []candidate, mean float64) *candidate {
	better := func(x, y *candidate) bool { return p.cheaper(a, x, y) }
	if a.Spread {
		better = func(x, y *candidate) bool { return x.drawn < y.drawn }
	}
	if len(a.Links) > 0 {
		r := ranking{
			Placer: p, ask: a, lightLoad: lightLoadFactor*mean + lightLoadSlack, subject: crcontext.Subject(a.Links),
			delayStep: max(1, time.Duration(delayStepShare*float64(p.speed.Overhead(1)))),
		}
		better = r.better
	}
	sources := p.sources(held, a)
	var best *candidate
	for i := range list {
		c := &list[i]
		if !c.mayTake(a) || c.paced || c.overBound(mean) {
			continue
		}
		if a.Spread {
			c.drawn = p.draw(a, c)
		}
		if len(a.Links) > 0 {
			c.backlog = p.PrefillBacklog.Backlog(now, c.Key)
			c.firstTokenDelay = p.firstTokenDelay(a, c, sources)
		}
		if best == nil || better(c, best) {
			best = c
		}
	}
	return best
}

// ranking compares the candidates for one request that has a prompt.
type ranking struct {
	*Placer
	ask Request
	// lightLoad is the number of requests in flight, weighted by slowness, up to which
	// an endpoint counts as lightly loaded.
	lightLoad float64
	// subject is the hash of the prompt's shared prefix.
	subject uint64
	// delayStep is the width of the buckets in which delays are compared.
	delayStep time.Duration
}

// better reports whether x is better than y. Candidates that are otherwise equal are
// ordered by tieBreaker.
func (r *ranking) better(x, y *candidate) bool {
	if order := cmp.Compare(x.firstTokenDelay/r.delayStep, y.firstTokenDelay/r.delayStep); order != 0 {
		return order < 0
	}
	if ok := r.lightlyLoaded(x); ok != r.lightlyLoaded(y) {
		return ok
	}
	if order := cmp.Compare(x.backlog/backlogStep, y.backlog/backlogStep); order != 0 {
		return order < 0
	}
	return r.tieBreaker(x) < r.tieBreaker(y)
}

// lightlyLoaded reports whether a candidate is lightly loaded.
func (r *ranking) lightlyLoaded(c *candidate) bool {
	return float64(c.inFlight)*crlatency.SignificantSlowness(c.slowness) <= r.lightLoad
}

// tieBreaker returns a pseudo-random value by which otherwise equal candidates are
// ordered, lowest first. It is exponentially distributed with the slowness as its mean,
// so that a candidate's chance to be first is inversely proportional to its slowness.
//
// For a candidate that doesn't hold the whole shared prefix of the prompt, the seed is the
// hash of that prefix, so that instances that place the prefix at the same time agree on
// the endpoint. For a candidate that holds it, the seed is the request's random number:
// the load of the others is known with a delay, and without randomness all instances
// would choose the same endpoint.
func (r *ranking) tieBreaker(c *candidate) float64 {
	seed := r.subject
	if c.held >= r.sharedTokens() {
		seed = r.ask.Random
	}
	uniform := (float64(crhash.Mix(seed, uint64(c.Key))>>11) + 0.5) / (1 << 53)
	return -math.Log(uniform) * crlatency.SignificantSlowness(c.slowness)
}

// sharedTokens returns the length in tokens of the prefix that other requests share.
func (r *ranking) sharedTokens() int {
	links := r.ask.Links
	return links[max(0, len(links)-2)].Tokens
}

// firstTokenDelay returns the estimated delay of the first token at an endpoint. It is
// the time to prefill or fetch what the endpoint lacks of the prompt, plus the backlog
// beyond the tolerated one, plus the penalties for failures and for another failure
// domain.
func (p *Placer) firstTokenDelay(a Request, c *candidate, sources []source) time.Duration {
	s, d := p.fastestSource(a, c, sources)
	if s != nil {
		// A second copy takes memory that other contexts need. So it costs no less
		// than the prefill that it saves, however fast the transfer is.
		d = max(d, p.speed.Prefill(1, a.Links[len(a.Links)-1].Tokens-c.held))
	}
	tolerated := defaultToleratedBacklog
	if a.Target > 0 {
		tolerated = time.Duration(toleratedBacklogShare * float64(a.Target))
	}
	d += max(0, c.backlog-tolerated) + time.Duration(c.excessFailureRate*float64(failureDelay))
	if c.FailureDomain != p.FailureDomain && !p.Disabled.Has(crswitch.DomainPreference) {
		d += crossDomainDelay
	}
	if a.Stream.Events > 0 {
		d += p.lateness(a.Stream, c, d)
	}
	return d
}

// cheaper reports whether x is better than y for a request without a prompt.
func (p *Placer) cheaper(a Request, x, y *candidate) bool {
	if order := cmp.Compare(p.cost(x), p.cost(y)); order != 0 {
		return order < 0
	}
	return crhash.Mix(a.Random, uint64(x.Key)) < crhash.Mix(a.Random, uint64(y.Key))
}

// cost returns the load of an endpoint for a request without a prompt. Its unit is one
// request in flight at an endpoint with referenceSlots slots and the usual speed in the
// instance's own failure domain.
func (p *Placer) cost(c *candidate) float64 {
	n := (float64(c.queue())+c.unreported)*slotWeight(c.Slots)*c.relativeTime() + failureLoad*c.excessFailureRate
	if c.FailureDomain != p.FailureDomain {
		n += crossDomainLoad
	}
	return n
}

// referenceSlots is the number of slots to which the load of endpoints is scaled.
const referenceSlots = 6

// slotWeight returns the weight of one request in flight at an endpoint, relative to an
// endpoint with referenceSlots slots. It is 1 when the number of slots is unknown.
func slotWeight(slots int) float64 {
	if slots <= 0 {
		return 1
	}
	return referenceSlots / float64(slots)
}
