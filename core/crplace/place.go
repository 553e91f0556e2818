// Package crplace chooses the endpoint of a request: the one that holds the
// most of its prompt, unless that has too much work already, and the least
// loaded one otherwise. It does no I/O and takes the time from its caller. A
// Placer is not safe for concurrent use.
package crplace

import (
	"cmp"
	"math"
	"net/netip"
	"slices"
	"time"

	"crocusrack/core/crcontext"
	"crocusrack/core/crhash"
	"crocusrack/core/crhealth"
	"crocusrack/core/crledger"
	"crocusrack/core/crpace"
	"crocusrack/core/crswitch"
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
	// crossing is the delay for which a request stays in its own failure domain:
	// bytes between domains are dear.
	crossing = 17 * time.Millisecond
	// bearableShare is how long an endpoint may read other prompts first without
	// another being better, as a part of the time that the route aims at;
	// usualBearable is the same where it aims at none.
	bearableShare = 0.5
	usualBearable = 300 * time.Millisecond
	// lagStep is the difference of lags that decides, as a part of what an answer
	// takes beside the reading of its prompt. Less can't be told apart.
	lagStep = 0.25
	// backlogStep is the difference of backlogs that decides between equals.
	backlogStep = 60 * time.Millisecond
	// usualFactor and usualSlack tell the work above which another holder goes
	// first.
	usualFactor = 1.2
	usualSlack  = 1.0
	// queueShare is how many requests may wait at an endpoint, as a share of
	// its slots.
	queueShare = 1.0
	// leastWait is the least time of reading that a request waits for instead: less
	// than that passes between two looks.
	leastWait = 20 * time.Millisecond
	// waitFactor is how many times longer than reading by itself a request waits for
	// another one's reading. A prompt that is read twice delays all others there.
	waitFactor = 3
	// failSlack is how much more often than usual requests may fail at an endpoint
	// before that counts: some failures follow the request.
	failSlack = 0.1
	// usualShare is the part of the endpoints that fail less often than usual: when
	// most of them fail, the others tell what is usual.
	usualShare = 0.25
	// failLag is the delay, and failWork the work of a plain endpoint, that a request
	// which is sure to fail is worth: its caller has to come again.
	failLag  = 2 * time.Second
	failWork = 20.0
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
	if p.Disabled.Has(crswitch.ReadingWaits) {
		return 0
	}
	tokens, until := p.Contexts.Reading(now, a.Links)
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

// over reports whether an endpoint has more work than the bound.
func (c *candidate) over(mean float64) bool { return float64(c.work) >= boundFactor*mean+boundSlack }

// full reports whether an endpoint has no room for one more request.
func (c *candidate) full() bool {
	return c.Slots > 0 && float64(c.work) >= float64(c.Slots)*(1+queueShare)
}

// warm reports whether an endpoint bears its full load and has room.
func (c *candidate) warm() bool { return !c.cold && !c.full() }

// best returns the best of the warm endpoints below the bound, or nil.
func (p *Placer) best(now time.Time, a Ask, held map[crledger.Key]int, list []candidate, mean float64) *candidate {
	better := func(x, y *candidate) bool { return p.lighter(a, x, y) }
	if len(a.Links) > 0 {
		r := ranking{
			Placer: p, ask: a, usual: usualFactor*mean + usualSlack, subject: crcontext.Subject(a.Links),
			step: max(1, time.Duration(lagStep*float64(p.speed.Overhead(1)))),
		}
		better = r.nearer
	}
	sources := p.sources(held, a)
	var best *candidate
	for i := range list {
		c := &list[i]
		if !c.warm() || c.over(mean) {
			continue
		}
		if len(a.Links) > 0 {
			c.backlog = p.Reads.Backlog(now, c.Key)
			c.lag = p.lag(a, c, sources)
		}
		if best == nil || better(c, best) {
			best = c
		}
	}
	return best
}

// ranking compares the candidates of one request with a prompt.
type ranking struct {
	*Placer
	ask     Ask
	usual   float64
	subject uint64
	step    time.Duration
}

// nearer reports whether x is better than y. Instances that place the same new
// subject at the same moment agree on the endpoint, since it follows from the
// subject. Where several hold it, they share the requests: what each knows of the
// others' work is old, and all would take the same one.
func (r *ranking) nearer(x, y *candidate) bool {
	if order := cmp.Compare(x.lag/r.step, y.lag/r.step); order != 0 {
		return order < 0
	}
	if light := r.light(x); light != r.light(y) {
		return light
	}
	if order := cmp.Compare(x.backlog/backlogStep, y.backlog/backlogStep); order != 0 {
		return order < 0
	}
	return r.last(x) < r.last(y)
}

func (r *ranking) light(c *candidate) bool {
	return float64(c.work)*crpace.Clearly(c.slowness) <= r.usual
}

// last orders equal candidates at random, those that are slow behind the others as
// often as they are slower.
func (r *ranking) last(c *candidate) float64 {
	seed := r.subject
	if c.held >= r.shared() {
		seed = r.ask.Random
	}
	uniform := (float64(crhash.Mix(seed, uint64(c.Key))>>11) + 0.5) / (1 << 53)
	return -math.Log(uniform) * crpace.Clearly(c.slowness)
}

// shared returns the tokens of the prompt that other requests share.
func (r *ranking) shared() int {
	links := r.ask.Links
	return links[max(0, len(links)-2)].Tokens
}

// lag returns the delay of the first token at an endpoint: for what it lacks of the
// prompt, for prompts that it reads first beyond what is bearable, and for the way
// to another failure domain.
func (p *Placer) lag(a Ask, c *candidate, sources []source) time.Duration {
	s, d := p.acquire(a, c, sources)
	if s != nil {
		d = max(d, p.speed.Read(1, a.Links[len(a.Links)-1].Tokens-c.held))
	}
	bearable := usualBearable
	if a.Target > 0 {
		bearable = time.Duration(bearableShare * float64(a.Target))
	}
	d += max(0, c.backlog-bearable) + time.Duration(c.fails*float64(failLag))
	if c.FailureDomain != p.FailureDomain && !p.Disabled.Has(crswitch.DomainPreference) {
		d += crossing
	}
	return d
}

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

// lighter reports whether x is better than y for a request without context.
func (p *Placer) lighter(a Ask, x, y *candidate) bool {
	if order := cmp.Compare(p.cost(x), p.cost(y)); order != 0 {
		return order < 0
	}
	return crhash.Mix(a.Random, uint64(x.Key)) < crhash.Mix(a.Random, uint64(y.Key))
}

// cost is the work of an endpoint of a plain service, in requests at one of
// usual size and speed in the own failure domain.
func (p *Placer) cost(c *candidate) float64 {
	n := float64(c.work)*relative(c.Slots)*crpace.Clearly(c.slowness) + failWork*c.fails
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
