// Package crplace chooses the endpoint of a request: the one that holds the
// most of its prompt, unless that has too much work already, and the least
// loaded one otherwise. It does no I/O and takes the time from its caller. A
// Placer is not safe for concurrent use.
package crplace

import (
	"cmp"
	"net/netip"
	"slices"
	"time"

	"crocusrack/core/crcontext"
	"crocusrack/core/crhash"
	"crocusrack/core/crhealth"
	"crocusrack/core/crledger"
)

const (
	// boundFactor and boundSlack bound the work of an endpoint to a multiple of
	// the mean and some requests more. The users allow twice the mean and three;
	// the rest is for requests that other instances have placed and not yet
	// reported.
	boundFactor = 1.6
	boundSlack  = 2.0
	// foreignDomain is the work that a plain service's endpoint in another
	// failure domain must have less to be taken.
	foreignDomain = 1.0
	// localTokens is the context, in tokens, whose transfer between endpoints
	// costs as much as a request that crosses failure domains.
	localTokens = 768
	// bearableBacklog is how long an endpoint may read other prompts first
	// without another being better: some part of the time to the first token
	// that the users aim at.
	bearableBacklog = 300 * time.Millisecond
	// backlogStep is the difference of backlogs that decides between equals.
	backlogStep = 60 * time.Millisecond
	// worthStep is the difference of contexts that decides, in tokens: less is
	// read within some milliseconds.
	worthStep = 256
	// usualFactor and usualSlack tell the work above which another holder goes
	// first.
	usualFactor = 1.2
	usualSlack  = 1.0
	// queueShare is how many requests may wait at an endpoint, as a share of
	// its slots.
	queueShare = 1.0
	// fetchTokens is the least context that is worth a transfer between
	// endpoints: reading fewer takes less time than the set-up.
	fetchTokens = 256
	// waitTokens is the least context that is worth the wait for an endpoint that
	// reads it: at tens of tokens a millisecond, some tens of milliseconds.
	waitTokens = 1024
	// maxEjected is the largest share of a service's endpoints that is left
	// out for their failures.
	maxEjected = 0.5
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
	// Held and Wanted are the tokens that the endpoint holds and the prompt has.
	Held, Wanted int
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
	Reads         *crledger.Reads
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

type candidate struct {
	*Endpoint
	work    int
	held    int
	cold    bool
	backlog time.Duration
}

// Place chooses an endpoint.
func (p *Placer) Place(now time.Time, a Ask) Choice {
	held := p.Contexts.Held(now, a.Links)
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
	if c := p.best(now, a, list, mean); c != nil {
		return p.finish(a, held, c, mean)
	}
	cold := coldest(list, mean)
	for _, c := range cold {
		if p.Cold(c.Endpoint, a.ColdPerSecond) {
			return p.finish(a, held, c, mean)
		}
	}
	// Those below the bound may not be used. The bound is no reason to refuse
	// what the others have room for.
	if c := lightest(list); c != nil {
		return p.finish(a, held, c, mean)
	}
	reason := Busy
	if len(cold) > 0 {
		reason = Cold
	}
	return Choice{Reason: reason, Mean: mean, InService: p.inService}
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

// reading returns how long to wait for an endpoint that reads more of the prompt
// than any endpoint holds.
func (p *Placer) reading(now time.Time, a Ask, held map[crledger.Key]int) time.Duration {
	if a.Hasty || len(a.Links) == 0 {
		return 0
	}
	tokens, until := p.Contexts.Reading(now, a.Links)
	for k, n := range held {
		if n+waitTokens > tokens && p.byKey[k] != nil {
			return 0
		}
	}
	if tokens < waitTokens {
		return 0
	}
	return until.Sub(now)
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
			cold:     a.ColdPerSecond > 0 && now.Before(e.ColdUntil),
		}
		if p.Health.Usable(now, e.Key) {
			p.healthy = append(p.healthy, c)
		} else {
			p.ejected = append(p.ejected, c)
		}
	}
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

// best returns the best of the warm endpoints below the bound, or nil.
func (p *Placer) best(now time.Time, a Ask, list []candidate, mean float64) *candidate {
	better := p.lighter
	if len(a.Links) > 0 {
		usual, subject := usualFactor*mean+usualSlack, crcontext.Subject(a.Links)
		better = func(a Ask, x, y *candidate) bool { return p.nearer(a, subject, usual, x, y) }
	}
	var best *candidate
	for i := range list {
		c := &list[i]
		if !c.warm() || c.over(mean) {
			continue
		}
		if len(a.Links) > 0 {
			c.backlog = p.Reads.Backlog(now, c.Key)
		}
		if best == nil || better(a, c, best) {
			best = c
		}
	}
	return best
}

// nearer reports whether x is better than y for a prompt. Instances that place
// the same new subject at the same moment agree on the endpoint, since it
// follows from the subject. Where several hold it, they share the requests: what
// each knows of the others' work is old, and all would take the same one.
func (p *Placer) nearer(a Ask, subject uint64, usual float64, x, y *candidate) bool {
	if order := cmp.Compare(p.worth(x)/worthStep, p.worth(y)/worthStep); order != 0 {
		return order > 0
	}
	if light := float64(x.work) <= usual; light != (float64(y.work) <= usual) {
		return light
	}
	if order := cmp.Compare(x.backlog/backlogStep, y.backlog/backlogStep); order != 0 {
		return order < 0
	}
	last := func(c *candidate) uint64 {
		if c.held > 0 {
			return crhash.Mix(a.Random, uint64(c.Key))
		}
		return crhash.Mix(subject, uint64(c.Key))
	}
	return last(x) > last(y)
}

// worth returns the context that an endpoint holds, in tokens. One in the own
// failure domain may hold less: what it lacks comes from another endpoint, while
// a request to another domain crosses both ways. One that still reads long
// prompts for others counts as if it held less by what it could read meanwhile.
func (p *Placer) worth(c *candidate) int {
	n := c.held
	if c.FailureDomain == p.FailureDomain {
		n += localTokens
	}
	if late := c.backlog - bearableBacklog; late > 0 {
		n -= int(late.Milliseconds()) * crledger.ReadRate
	}
	return n
}

// lighter reports whether x is better than y for a request without context.
func (p *Placer) lighter(a Ask, x, y *candidate) bool {
	if order := cmp.Compare(p.cost(x), p.cost(y)); order != 0 {
		return order < 0
	}
	return crhash.Mix(a.Random, uint64(x.Key)) < crhash.Mix(a.Random, uint64(y.Key))
}

// cost is the work of an endpoint of a plain service, in requests at one of
// usual size in the own failure domain.
func (p *Placer) cost(c *candidate) float64 {
	n := float64(c.work) * relative(c.Slots)
	if c.FailureDomain != p.FailureDomain {
		n += foreignDomain
	}
	return n
}

// usualSlots is the capacity by which the work of plain endpoints is compared.
const usualSlots = 6

func relative(slots int) float64 {
	if slots <= 0 {
		return 1
	}
	return usualSlots / float64(slots)
}

// finish describes a choice and finds a source for the context that the
// endpoint lacks, which may be an endpoint that takes no new work.
func (p *Placer) finish(a Ask, held map[crledger.Key]int, c *candidate, mean float64) Choice {
	choice := Choice{Endpoint: c.Endpoint, Held: c.held, InFlight: c.work, Mean: mean}
	if len(a.Links) == 0 {
		return choice
	}
	choice.Wanted = a.Links[len(a.Links)-1].Tokens
	most := c.held + fetchTokens
	for k, n := range held {
		e := p.byKey[k]
		if e == nil || e.Service != a.Service || k == c.Key || n < most || slices.Contains(a.Tried, k) {
			continue
		}
		// Of those that hold the same the first by id is taken, whatever the
		// order of the map.
		if choice.Source == nil || n > most || e.ID < choice.Source.ID {
			choice.Source, most = e, n
		}
	}
	return choice
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
