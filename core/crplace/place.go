// Package crplace chooses the endpoint for a request. A request with a prompt goes to
// the endpoint with the lowest estimated delay of the first token, a request without
// one to the least loaded endpoint. Endpoints over the load bound are avoided. The
// package does no I/O and takes the time from its caller. A Placer is not safe for
// concurrent use.
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
	// minPrefillToWait is the shortest prefill that a request avoids by waiting for
	// another request's prefill. The interval between two checks of a waiting
	// request is shorter than this.
	minPrefillToWait = 20 * time.Millisecond
	// waitFactor bounds the wait for another request's prefill, as a multiple of
	// the request's own prefill time. It is above 1 because a prompt that is
	// prefilled twice also delays all other requests at the second endpoint.
	waitFactor = 3
	// noEndpointRetryAfter is the time after which a request may be retried when no
	// endpoint of the service may be used.
	noEndpointRetryAfter = 500 * time.Millisecond
)

// Endpoint is one incarnation of an endpoint of a service.
type Endpoint struct {
	ID string
	// Key is the result of KeyOf for the ID and the incarnation.
	Key crledger.Key
	// Incarnation changes at every start of the endpoint.
	Incarnation uint64
	Service     string
	Address     netip.AddrPort
	// FailureDomain is the failure domain that the endpoint runs in.
	FailureDomain string
	// Slots is the number of requests that the endpoint serves at a time. Zero
	// means that it is unknown, so that the endpoint never counts as full.
	Slots int
	// Draining is true when the store says that the endpoint takes no new requests.
	Draining bool
	// ColdUntil is when the endpoint has warmed up and takes its full load.
	ColdUntil time.Time
}

// Ask describes a request for which an endpoint is to be chosen.
type Ask struct {
	Service string
	// ColdPerSecond is the rate that a cold endpoint of the service accepts, in
	// requests per second. Zero means no limit.
	ColdPerSecond float64
	// Links are the prefixes of the prompt, one per part, shortest first. It is empty
	// for services without prompts.
	Links []crcontext.Link
	// Target is the time to first token that the route aims at. Zero means none.
	Target time.Duration
	// Tried are the endpoints that the request was already sent to.
	Tried []crledger.Key
	// Hasty is true when the request must not wait for another request's prefill
	// of a shared prompt prefix.
	Hasty bool
	// Random is a random number that breaks ties.
	Random uint64
}

// Reason says why no endpoint was chosen.
type Reason uint8

// The reasons.
const (
	// Chosen means that an endpoint was chosen.
	Chosen Reason = iota
	// Absent means that no endpoint of the service may be used.
	Absent
	// Busy means that all endpoints are at their limit of requests in flight.
	Busy
	// Cold means that only cold endpoints are left and their request rate is used up.
	Cold
	// Paused means that the endpoints that are left asked for no requests for a while.
	Paused
	// Reading means that an endpoint is busy with the prefill of a prefix that this
	// prompt shares, and that waiting for it is expected to pay off.
	Reading
)

var reasonNames = [...]string{Chosen: "chosen", Absent: "no-endpoint", Busy: "all-busy", Cold: "all-cold", Paused: "all-paused", Reading: "reading"}

// String returns the name of the reason in kebab case.
func (r Reason) String() string {
	if int(r) < len(reasonNames) {
		return reasonNames[r]
	}
	return "unknown"
}

// Choice is the result of Placer.Place: an endpoint, or the reason why there is none.
type Choice struct {
	Reason Reason
	// Endpoint is nil unless Reason is Chosen.
	Endpoint *Endpoint
	// Source is an endpoint from which Endpoint should fetch context that it
	// lacks. It is nil when a transfer takes no less time than prefill.
	Source *Endpoint
	// Held is the number of tokens of the prompt that the endpoint holds, and
	// Wanted the number that the prompt has.
	Held, Wanted int
	// Job is what the endpoint has to do before the first token.
	Job crpace.Job
	// Forecast is the estimated duration of Job.
	Forecast crpace.Forecast
	// Reading is how long to wait for the prefill of a shared prefix that is in
	// progress, so that no other endpoint has to repeat it. It is set only if Reason
	// is Reading.
	Reading time.Duration
	// InFlight is the number of requests in flight at the endpoint when it was
	// chosen, and Mean the mean over the service's endpoints.
	InFlight int
	Mean     float64
	// InService is the number of requests in flight at all endpoints of the service.
	InService int
	// RetryAfter is the minimum time after which a request that got no endpoint
	// may be retried. Zero means that it only waits for a free slot.
	RetryAfter time.Duration
}

// Placer chooses endpoints. Set the exported fields before first use. The tables
// belong to the caller, who must hold the lock that guards them.
type Placer struct {
	// FailureDomain is the failure domain of this instance.
	FailureDomain string
	// Work counts the requests in flight.
	Work *crledger.Ledger
	// Contexts says which endpoints hold which prompt prefixes.
	Contexts *crcontext.Table
	// Health says which endpoints are ejected, paused or leaving.
	Health *crhealth.Table
	// Failures holds the failure rates of the endpoints.
	Failures *crhealth.Failures
	// Reads holds the prefill backlog of the endpoints.
	Reads *crledger.Reads
	// Pace holds the learned speeds of services and endpoints.
	Pace *crpace.Table
	// Disabled are the mechanisms that the operator has switched off.
	Disabled crswitch.Set
	// Cold reports whether this instance may send a request to a cold endpoint
	// now, and if so counts it. See ColdGate.Admit.
	Cold func(e *Endpoint, perSecond float64) bool
	// Out reports whether a failure domain is out of service.
	Out func(domain string) bool

	services map[string][]*Endpoint
	byKey    map[crledger.Key]*Endpoint

	// The remaining fields belong to the current call of Place. The slices are
	// reused by the next call.

	// healthy are the candidates that Health reports as usable, ejected the others. If
	// too many are ejected, healthy contains them as well.
	healthy, ejected []candidate
	// sourceList is the result of sources.
	sourceList []source
	// speed is the speed of the service's typical endpoint.
	speed crpace.Speed
	// failureRates are the failure rates of the candidates.
	failureRates []float64
	// pausedUntil is the earliest end of a pause of the service's endpoints. It is zero
	// if none is paused.
	pausedUntil time.Time
	// serviceInFlight is the number of requests in flight at all endpoints of the service.
	serviceInFlight int
}

// KeyOf returns the key of an incarnation of an endpoint.
func KeyOf(id string, incarnation uint64) crledger.Key {
	return crledger.Key(crhash.Mix(crhash.Of(id), incarnation))
}

// SetEndpoints replaces the list of endpoints, and drops the health of those that
// aren't listed.
func (p *Placer) SetEndpoints(list []*Endpoint) {
	p.services = make(map[string][]*Endpoint)
	p.byKey = make(map[crledger.Key]*Endpoint)
	for _, e := range list {
		p.services[e.Service] = append(p.services[e.Service], e)
		p.byKey[e.Key] = e
	}
	p.Health.Forget(func(k crledger.Key) bool { return p.byKey[k] != nil })
}

// Endpoint returns the endpoint with the key, or nil when it is no longer listed.
func (p *Placer) Endpoint(k crledger.Key) *Endpoint { return p.byKey[k] }

// MayUse reports whether requests may still be sent to an endpoint: it is listed,
// not draining, not paused, and its failure domain is in service.
func (p *Placer) MayUse(now time.Time, k crledger.Key) bool {
	e := p.byKey[k]
	return e != nil && !p.draining(e) && !p.Out(e.FailureDomain) && p.Health.Paused(now, k).IsZero()
}

// draining reports whether an endpoint takes no new requests, according to the store or
// to the endpoint itself.
func (p *Placer) draining(e *Endpoint) bool { return e.Draining || p.Health.Left(e.Key) }

// UsualRate returns the mean failure rate of a service's endpoints, leaving out the
// endpoint except. It is 0 when there is no other endpoint.
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

// Place chooses an endpoint for a request, or returns the reason why there is none.
func (p *Placer) Place(now time.Time, a Ask) Choice {
	held := p.held(now, a)
	p.speed = p.Pace.Speed(now, a.Service)
	if wait := p.prefillWait(now, a, held); wait > 0 {
		return Choice{Reason: Reading, Reading: wait}
	}
	list, mean := p.candidates(now, a, held)
	if len(list) == 0 {
		if !p.pausedUntil.IsZero() {
			return Choice{Reason: Paused, Mean: mean, InService: p.serviceInFlight, RetryAfter: p.pausedUntil.Sub(now)}
		}
		return Choice{Reason: Absent, InService: p.serviceInFlight, RetryAfter: noEndpointRetryAfter}
	}
	if c := p.best(now, a, held, list, mean); c != nil {
		return p.newChoice(now, a, held, c, mean)
	}
	cold := coldCandidates(list, mean)
	for _, c := range cold {
		if p.Cold(c.Endpoint, a.ColdPerSecond) {
			return p.newChoice(now, a, held, c, mean)
		}
	}
	// No candidate below the bound may be used. The bound must not cause a refusal
	// while an endpoint above it has free capacity.
	if c := leastLoaded(list); c != nil {
		return p.newChoice(now, a, held, c, mean)
	}
	reason := Busy
	if len(cold) > 0 {
		reason = Cold
	}
	return Choice{Reason: reason, Mean: mean, InService: p.serviceInFlight}
}

// held returns the number of tokens of the prompt that each endpoint holds.
func (p *Placer) held(now time.Time, a Ask) map[crledger.Key]int {
	if p.Disabled.Has(crswitch.ContextAffinity) {
		return nil
	}
	return p.Contexts.Held(now, a.Links)
}

// prefillWait returns how long to wait for an endpoint that is busy with the prefill of
// a longer prefix of the prompt than any endpoint holds. Zero means not to wait.
func (p *Placer) prefillWait(now time.Time, a Ask, held map[crledger.Key]int) time.Duration {
	if a.Hasty || len(a.Links) == 0 || p.Disabled.Has(crswitch.ReadingWaits) {
		return 0
	}
	tokens, until := p.Contexts.Reading(now, a.Links, func(k crledger.Key) bool {
		return p.byKey[k] != nil && p.Health.Usable(now, k)
	})
	maxHeld := 0
	for k, n := range held {
		if p.byKey[k] != nil {
			maxHeld = max(maxHeld, n)
		}
	}
	prefill, wait := p.speed.Read(1, tokens-maxHeld), until.Sub(now)
	if prefill < minPrefillToWait || wait > waitFactor*prefill+p.speed.Overhead(1) {
		return 0
	}
	return wait
}

// Soonest returns the earliest time at which a cold endpoint of a service has warmed
// up, or the zero time when none is cold. A refusal tells it to the caller.
func (p *Placer) Soonest(now time.Time, service string) time.Time {
	soonest := time.Time{}
	for _, e := range p.services[service] {
		if now.Before(e.ColdUntil) && (soonest.IsZero() || e.ColdUntil.Before(soonest)) {
			soonest = e.ColdUntil
		}
	}
	return soonest
}
