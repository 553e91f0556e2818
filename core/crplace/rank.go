package crplace

import (
	"cmp"
	"math"
	"time"

	"crocusrack/core/crcontext"
	"crocusrack/core/crhash"
	"crocusrack/core/crledger"
	"crocusrack/core/crpace"
	"crocusrack/core/crswitch"
)

const (
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
	// failLag is the delay, and failWork the work of a plain endpoint, that a request
	// which is sure to fail is worth: its caller has to come again.
	failLag  = 2 * time.Second
	failWork = 20.0
)

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
		// A second copy takes memory that other contexts need: it is worth as much as
		// the reading that it saves, however fast it moves.
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
