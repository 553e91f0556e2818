// Package crplace chooses the endpoint of a request: for a prompt the one with the
// least forecast delay of the first token, for a request without one the least
// loaded, and none that has too much work already. It does no I/O and takes the time
// from its caller. A Placer is not safe for concurrent use.
package crplace

import (
	"net/netip"
	"time"

	"crocusrack/core/crcontext"
	"crocusrack/core/crhash"
	"crocusrack/core/crhealth"
	"crocusrack/core/crledger"
	"crocusrack/core/crpace"
	"crocusrack/core/crswitch"
)

const (
	// leastWait is the least time of reading that a request waits for instead: less
	// than that passes between two looks.
	leastWait = 20 * time.Millisecond
	// waitFactor is how many times longer than reading by itself a request waits for
	// another one's reading. A prompt that is read twice delays all others there.
	waitFactor = 3
	// absentRetry is after what time a request may come back when the service
	// has no endpoint that may be used.
	absentRetry = 500 * time.Millisecond
)

// Endpoint is one endpoint.
type Endpoint struct {
	ID  string
	Key crledger.Key
	// Incarnation changes at every start of the endpoint.
	Incarnation uint64
	Service     string
	Address     netip.AddrPort
	// FailureDomain is where it stands.
	FailureDomain string
	Slots         int
	Draining      bool
	// ColdUntil is when the endpoint bears its full load.
	ColdUntil time.Time
}

// Ask is what is asked for.
type Ask struct {
	Service string
	// ColdPerSecond is what a cold endpoint of the service bears; zero is no
	// bound.
	ColdPerSecond float64
	// Links are the request's prompt; empty for plain services.
	Links []crcontext.Link
	// Target is the time to the first token that the route aims at; zero for none.
	Target time.Duration
	// Tried are endpoints that the request was sent to already.
	Tried []crledger.Key
	// Hasty is true when the request doesn't wait for an endpoint that reads its
	// prompt.
	Hasty bool
	// Random is a random number that decides between equals.
	Random uint64
}

// Reason is why no endpoint was chosen.
type Reason uint8

// The reasons.
const (
	Chosen Reason = iota
	// Absent: no endpoint of the service may be used.
	Absent
	// Busy: all have as much work as they may have.
	Busy
	// Cold: only cold ones are left, and they have what they bear.
	Cold
	// Paused: the endpoints that are left asked for no requests for a while.
	Paused
	// Reading: another request's prompt is being read that this one shares.
	Reading
)

var reasonNames = [...]string{Chosen: "chosen", Absent: "no-endpoint", Busy: "all-busy", Cold: "all-cold", Paused: "all-paused", Reading: "reading"}

// String returns the reason in kebab case.
func (r Reason) String() string {
	if int(r) < len(reasonNames) {
		return reasonNames[r]
	}
	return "unknown"
}

// Choice is an endpoint, or why there is none.
type Choice struct {
	Reason   Reason
	Endpoint *Endpoint
	// Source holds context that the endpoint lacks; nil when there is none
	// worth a transfer.
	Source *Endpoint
	// Held and Wanted are the tokens that the endpoint holds and the prompt has, and
	// Job is what it does before the first token.
	Held, Wanted int
	Job          crpace.Job
	// Forecast is how long that takes.
	Forecast crpace.Forecast
	// Reading is how long to wait for an endpoint that reads a long part of the
	// prompt just now: no other then has to read it too. Endpoint is nil.
	Reading time.Duration
	// InFlight and Mean are the work of the endpoint and of the service's mean
	// endpoint when it was chosen.
	InFlight int
	Mean     float64
	// InService is the work of all endpoints of the service.
	InService int
	// RetryAfter is the least time after which a request that got no endpoint may
	// come back; zero when it only waits for a place.
	RetryAfter time.Duration
}

// Placer chooses endpoints. Set the exported fields before first use; the
// tables belong to the caller, who holds the lock that guards them.
type Placer struct {
	FailureDomain string
	Work          *crledger.Ledger
	Contexts      *crcontext.Table
	Health        *crhealth.Table
	Failures      *crhealth.Failures
	Reads         *crledger.Reads
	Pace          *crpace.Table
	Disabled      crswitch.Set
	// Cold reports whether a cold endpoint bears one more request from this
	// instance now, and counts it.
	Cold func(e *Endpoint, perSecond float64) bool
	// Out reports whether a failure domain is out of service.
	Out func(domain string) bool

	services map[string][]*Endpoint
	byKey    map[crledger.Key]*Endpoint
	// healthy and ejected are the candidates of the last request, whose memory
	// the next one takes.
	healthy, ejected []candidate
	// found are the sources of the last request.
	found []source
	// speed is that of the last request's service.
	speed crpace.Speed
	// rates are the rates of failures of the last candidates.
	rates []float64
	// resume is when the first endpoint that the last request was kept from for a
	// pause takes requests again.
	resume time.Time
	// inService is the work of all endpoints of the last request's service.
	inService int
}

// KeyOf returns the key of an incarnation of an endpoint.
func KeyOf(id string, incarnation uint64) crledger.Key {
	return crledger.Key(crhash.Mix(crhash.Of(id), incarnation))
}

// SetEndpoints replaces the endpoints.
func (p *Placer) SetEndpoints(list []*Endpoint) {
	p.services = make(map[string][]*Endpoint)
	p.byKey = make(map[crledger.Key]*Endpoint)
	for _, e := range list {
		p.services[e.Service] = append(p.services[e.Service], e)
		p.byKey[e.Key] = e
	}
	p.Health.Forget(func(k crledger.Key) bool { return p.byKey[k] != nil })
}

// Endpoint returns an endpoint by its key, or nil when it is gone.
func (p *Placer) Endpoint(k crledger.Key) *Endpoint { return p.byKey[k] }

// MayUse reports whether an endpoint may still be sent a request.
func (p *Placer) MayUse(now time.Time, k crledger.Key) bool {
	e := p.byKey[k]
	return e != nil && !p.leaves(e) && !p.Out(e.FailureDomain) && p.Health.Paused(now, k).IsZero()
}

// leaves reports whether an endpoint takes no new work, by the store's word or by
// its own.
func (p *Placer) leaves(e *Endpoint) bool { return e.Draining || p.Health.Left(e.Key) }

// UsualRate returns the mean rate of failures of a service's endpoints other
// than one.
func (p *Placer) UsualRate(service string, except crledger.Key) float64 {
	sum, count := 0.0, 0
	for _, e := range p.services[service] {
		if e.Key != except {
			sum += p.Health.Rate(e.Key)
			count++
		}
	}
	if count == 0 {
		return 0
	}
	return sum / float64(count)
}

// Place chooses an endpoint.
func (p *Placer) Place(now time.Time, a Ask) Choice {
	held := p.held(now, a)
	p.speed = p.Pace.Speed(now, a.Service)
	if wait := p.reading(now, a, held); wait > 0 {
		return Choice{Reason: Reading, Reading: wait}
	}
	list, mean := p.candidates(now, a, held)
	if len(list) == 0 {
		if !p.resume.IsZero() {
			return Choice{Reason: Paused, Mean: mean, InService: p.inService, RetryAfter: p.resume.Sub(now)}
		}
		return Choice{Reason: Absent, InService: p.inService, RetryAfter: absentRetry}
	}
	if c := p.best(now, a, held, list, mean); c != nil {
		return p.finish(now, a, held, c, mean)
	}
	cold := coldest(list, mean)
	for _, c := range cold {
		if p.Cold(c.Endpoint, a.ColdPerSecond) {
			return p.finish(now, a, held, c, mean)
		}
	}
	// Those below the bound may not be used. The bound is no reason to refuse
	// what the others have room for.
	if c := lightest(list); c != nil {
		return p.finish(now, a, held, c, mean)
	}
	reason := Busy
	if len(cold) > 0 {
		reason = Cold
	}
	return Choice{Reason: reason, Mean: mean, InService: p.inService}
}

// held returns how many tokens of the prompt each endpoint holds.
func (p *Placer) held(now time.Time, a Ask) map[crledger.Key]int {
	if p.Disabled.Has(crswitch.ContextAffinity) {
		return nil
	}
	return p.Contexts.Held(now, a.Links)
}

// reading returns how long to wait for an endpoint that reads more of the prompt
// than any endpoint holds.
func (p *Placer) reading(now time.Time, a Ask, held map[crledger.Key]int) time.Duration {
	if a.Hasty || len(a.Links) == 0 || p.Disabled.Has(crswitch.ReadingWaits) {
		return 0
	}
	tokens, until := p.Contexts.Reading(now, a.Links, func(k crledger.Key) bool {
		return p.byKey[k] != nil && p.Health.Usable(now, k)
	})
	most := 0
	for k, n := range held {
		if p.byKey[k] != nil {
			most = max(most, n)
		}
	}
	own, wait := p.speed.Read(1, tokens-most), until.Sub(now)
	if own < leastWait || wait > waitFactor*own+p.speed.Overhead(1) {
		return 0
	}
	return wait
}

// Soonest returns the earliest time at which a cold endpoint of a service is
// warm, for refusals; the zero time when none is cold.
func (p *Placer) Soonest(now time.Time, service string) time.Time {
	soonest := time.Time{}
	for _, e := range p.services[service] {
		if now.Before(e.ColdUntil) && (soonest.IsZero() || e.ColdUntil.Before(soonest)) {
			soonest = e.ColdUntil
		}
	}
	return soonest
}
