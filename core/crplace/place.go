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
	"crocusrack/core/crlatency"
	"crocusrack/core/crledger"
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
	// Version is the version of the software that the endpoint runs.
	Version string
	// ColdUntil is when the endpoint has warmed up and takes its full load.
	ColdUntil time.Time
}

// Request describes a request for which an endpoint is to be chosen.
type Request struct {
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
	// Stream is what is known of the stream that answers the request.
	Stream Stream
	// SkipPrefillWait is true when the request must not wait for another request's prefill
	// of a shared prompt prefix.
	SkipPrefillWait bool
	// Spread is true if a request without a prompt is to go to an endpoint that is drawn at
	// random, since others change the load faster than they report it.
	Spread bool
	// Random is a random number that breaks ties.
	Random uint64
	// Allowed reports whether the request may go to an endpoint. It is nil if it may go to
	// all endpoints of the service.
	Allowed func(k crledger.Key) bool
}

// Reason says why no endpoint was chosen.
type Reason uint8

// The reasons.
const (
	// Chosen means that an endpoint was chosen.
	Chosen Reason = iota
	// NoEndpoint means that no endpoint of the service may be used.
	NoEndpoint
	// Busy means that all endpoints are at their limit of requests in flight.
	Busy
	// Cold means that only cold endpoints are left and their request rate is used up.
	Cold
	// Paused means that the endpoints that are left asked for no requests for a while.
	Paused
	// Limited means that the endpoints that are left limit their request rates, and that
	// this instance has used up its part.
	Limited
	// PrefillInProgress means that an endpoint is busy with the prefill of a prefix that
	// this prompt shares, and that waiting for it is expected to pay off.
	PrefillInProgress
	// Quarantined means that the prompt has parts that crash endpoints. Place doesn't
	// return it; its callers look at prompts first.
	Quarantined
	// OverShare means that the client account has used up its share of a service whose slots
	// are taken. Place doesn't return it.
	OverShare
)

var reasonNames = [...]string{Chosen: "chosen", NoEndpoint: "no-endpoint", Busy: "all-busy", Cold: "all-cold", Paused: "all-paused", Limited: "all-limited", PrefillInProgress: "reading", Quarantined: "quarantined-prompt", OverShare: "account-over-share"}

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
	// HeldTokens is the number of tokens of the prompt that the endpoint holds, and
	// PromptTokens the number that the prompt has.
	HeldTokens, PromptTokens int
	// Job is what the endpoint has to do before the first token.
	Job crlatency.Job
	// Forecast is the estimated duration of Job.
	Forecast crlatency.Forecast
	// PrefillWait is how long to wait for the prefill of a shared prefix that is in
	// progress, so that no other endpoint has to repeat it. It is set only if Reason
	// is PrefillInProgress.
	PrefillWait time.Duration
	// InFlight is the number of requests in flight at the endpoint when it was
	// chosen, and MeanInFlight the mean over the service's endpoints.
	InFlight     int
	MeanInFlight float64
	// ServiceInFlight is the number of requests in flight at all endpoints of the service.
	ServiceInFlight int
	// Load is the load of the service without Own. It isn't set if Reason is PrefillInProgress.
	Load Load
	// LimitPerSecond is the sum of the rates that the limited endpoints take from all
	// instances together. It is set only if Reason is Limited.
	LimitPerSecond float64
	// RetryAfter is the minimum time after which a request that got no endpoint
	// may be retried. Zero means that it only waits for a free slot.
	RetryAfter time.Duration
}

// Placer chooses endpoints. Set the exported fields before first use. The tables
// belong to the caller, who must hold the lock that guards them.
type Placer struct {
	// FailureDomain is the failure domain of this instance.
	FailureDomain string
	// Ledger counts the requests in flight.
	Ledger *crledger.Ledger
	// Contexts says which endpoints hold which prompt prefixes.
	Contexts *crcontext.Table
	// Health says which endpoints are ejected, paused or leaving.
	Health *crhealth.Table
	// Failures holds the failure rates of the endpoints.
	Failures *crhealth.Failures
	// PrefillBacklog holds the prefill backlog of the endpoints.
	PrefillBacklog *crledger.PrefillBacklog
	// Latency holds the learned speeds of services and endpoints.
	Latency *crlatency.Table
	// Disabled are the mechanisms that the operator has switched off.
	Disabled crswitch.Set
	// AdmitCold reports whether this instance may send a request to a cold endpoint
	// now, and if so counts it. See ColdGate.Admit.
	AdmitCold func(e *Endpoint, perSecond float64) bool
	// Limit returns the request rate that an endpoint takes from all instances together, per
	// second, and the time until this instance may send it a request. The rate is
	// crlimit.None if there is no limit.
	Limit func(e *Endpoint) (perSecond float64, wait time.Duration)
	// TakeLimited counts a request that is sent to an endpoint with a limit.
	TakeLimited func(e *Endpoint)
	// StatedLoad returns the load of an endpoint with some requests in flight by its statements. It
	// is nil if statements aren't used.
	StatedLoad func(e *Endpoint, inFlight int) StatedLoad
	// Unreported returns how many requests other instances are assumed to have placed at an
	// endpoint of a service since they reported, at most, for the given mean of requests in
	// flight. It is nil if the counts of others are exact.
	Unreported func(service string, mean float64) float64
	// EventInterval returns the time between two events of a stream at an endpoint. It is nil
	// if that isn't learned.
	EventInterval func(e *Endpoint) time.Duration
	// Ramping reports whether any endpoint starts or recovers, and RampLevel returns the
	// fraction of its fair part that an endpoint gets, above 0. They are nil if no endpoint is
	// paced. See crramp.Table.
	Ramping   func() bool
	RampLevel func(k crledger.Key) float64
	// DomainOutOfService reports whether a failure domain is out of service.
	DomainOutOfService func(domain string) bool

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
	speed crlatency.Speed
	// failureRates are the failure rates of the candidates.
	failureRates []float64
	// pausedUntil is the earliest end of a pause of the service's endpoints. It is zero
	// if none is paused.
	pausedUntil time.Time
	// serviceInFlight is the number of requests in flight at all endpoints of the service.
	serviceInFlight int
	// load is the load of the service.
	load Load
	// limitPerSecond is the sum of the rates of the endpoints that were left out because of
	// their limits.
	limitPerSecond float64
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
	p.Health.Retain(func(k crledger.Key) bool { return p.byKey[k] != nil })
}

// Endpoint returns the endpoint with the key, or nil when it is no longer listed.
func (p *Placer) Endpoint(k crledger.Key) *Endpoint { return p.byKey[k] }

// MayUse reports whether requests may still be sent to an endpoint: it is listed,
// not draining, not paused, and its failure domain is in service.
func (p *Placer) MayUse(now time.Time, k crledger.Key) bool {
	e := p.byKey[k]
	return e != nil && !p.draining(e) && !p.DomainOutOfService(e.FailureDomain) && p.Health.PausedUntil(now, k).IsZero()
}

// draining reports whether an endpoint takes no new requests, according to the store or
// to the endpoint itself.
func (p *Placer) draining(e *Endpoint) bool { return e.Draining || p.Health.IsLeaving(e.Key) }

// MeanFailureRate returns the mean failure rate of a service's endpoints, leaving out the
// endpoint except. It is 0 when there is no other endpoint.
func (p *Placer) MeanFailureRate(service string, except crledger.Key) float64 {
	sum, count := 0.0, 0
	for _, e := range p.services[service] {
		if e.Key != except {
			sum += p.Health.FailureRate(e.Key)
			count++
		}
	}
	if count == 0 {
		return 0
	}
	return sum / float64(count)
}

// Place chooses an endpoint for a request, or returns the reason why there is none.
func (p *Placer) Place(now time.Time, a Request) Choice {
	choice := p.choose(now, a)
	choice.Load = p.load
	if choice.Endpoint != nil {
		p.TakeLimited(choice.Endpoint)
	}
	return choice
}

func (p *Placer) choose(now time.Time, a Request) Choice {
	held := p.held(now, a)
	p.speed = p.Latency.Speed(now, a.Service)
	if wait := p.prefillWait(now, a, held); wait > 0 {
		return Choice{Reason: PrefillInProgress, PrefillWait: wait}
	}
	list, mean := p.candidates(now, a, held)
	if len(list) == 0 {
		if p.limitPerSecond > 0 {
			return p.limited(mean)
		}
		if !p.pausedUntil.IsZero() {
			return Choice{Reason: Paused, MeanInFlight: mean, ServiceInFlight: p.serviceInFlight, RetryAfter: p.pausedUntil.Sub(now)}
		}
		return Choice{Reason: NoEndpoint, ServiceInFlight: p.serviceInFlight, RetryAfter: noEndpointRetryAfter}
	}
	if c := p.best(now, a, held, list, mean); c != nil {
		return p.newChoice(now, a, held, c, mean)
	}
	cold := coldCandidates(list, mean)
	for _, c := range cold {
		if p.AdmitCold(c.Endpoint, a.ColdPerSecond) {
			return p.newChoice(now, a, held, c, mean)
		}
	}
	if c := leastPaced(list, mean); c != nil {
		return p.newChoice(now, a, held, c, mean)
	}
	// No candidate below the bound may be used. The bound must not cause a refusal
	// while an endpoint above it has free capacity.
	if c := leastLoaded(list); c != nil {
		return p.newChoice(now, a, held, c, mean)
	}
	reason := Busy
	switch {
	case len(cold) > 0:
		reason = Cold
	case p.limitPerSecond > 0:
		return p.limited(mean)
	}
	return Choice{Reason: reason, MeanInFlight: mean, ServiceInFlight: p.serviceInFlight}
}

// limited returns the Choice if endpoints could be used but for their limits.
func (p *Placer) limited(mean float64) Choice {
	return Choice{Reason: Limited, MeanInFlight: mean, ServiceInFlight: p.serviceInFlight, LimitPerSecond: p.limitPerSecond}
}

// held returns the number of tokens of the prompt that each endpoint holds.
func (p *Placer) held(now time.Time, a Request) map[crledger.Key]int {
	if p.Disabled.Has(crswitch.ContextAffinity) {
		return nil
	}
	return p.Contexts.Held(now, a.Links)
}

// prefillWait returns how long to wait for an endpoint that is busy with the prefill of
// a longer prefix of the prompt than any endpoint holds. Zero means not to wait.
func (p *Placer) prefillWait(now time.Time, a Request, held map[crledger.Key]int) time.Duration {
	if a.SkipPrefillWait || len(a.Links) == 0 || p.Disabled.Has(crswitch.ReadingWaits) {
		return 0
	}
	tokens, until := p.Contexts.PrefillInProgress(now, a.Links, func(k crledger.Key) bool {
		e := p.byKey[k]
		if e == nil || !p.Health.Usable(now, k) || a.Allowed != nil && !a.Allowed(k) {
			return false
		}
		_, wait := p.Limit(e)
		return wait == 0
	})
	maxHeld := 0
	for k, n := range held {
		if p.byKey[k] != nil {
			maxHeld = max(maxHeld, n)
		}
	}
	prefill, wait := p.speed.Prefill(1, tokens-maxHeld), until.Sub(now)
	if prefill < minPrefillToWait || wait > waitFactor*prefill+p.speed.Overhead(1) {
		return 0
	}
	return wait
}

// EarliestWarm returns the earliest time at which a cold endpoint of a service has warmed
// up, or the zero time when none is cold. A refusal tells it to the caller.
func (p *Placer) EarliestWarm(now time.Time, service string) time.Time {
	soonest := time.Time{}
	for _, e := range p.services[service] {
		if now.Before(e.ColdUntil) && (soonest.IsZero() || e.ColdUntil.Before(soonest)) {
			soonest = e.ColdUntil
		}
	}
	return soonest
}
