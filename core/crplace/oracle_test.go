package crplace_test

import (
	"cmp"
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"crocusrack/core/crcontext"
	"crocusrack/core/crlatency"
	"crocusrack/core/crledger"
	"crocusrack/core/crplace"
)

// deployment holds the parameters of simulated engines. Times are in milliseconds.
type deployment struct {
	// size is the number of endpoints, and slots the number of slots of each.
	size  int
	slots int
	// base is the time to first token without prefill, and step the time for each
	// further token of an answer.
	base, step float64
	// perToken and perFetched are the times for a prefilled and a fetched token.
	perToken, perFetched float64
	// slowness is the factor of each endpoint by which its times are multiplied.
	slowness []float64
}

// randomDeployment returns a random deployment.
func randomDeployment(r *rand.Rand) deployment {
	between := func(low, high float64) float64 { return math.Exp(math.Log(low) + r.Float64()*math.Log(high/low)) }
	d := deployment{
		size: int(between(2, 60)), slots: int(between(4, 256)),
		base: between(5, 60), step: between(1, 30), perToken: 1 / between(5, 500),
		// A token has 18 KB of context, the links 1 to 400 Gbit/s.
		perFetched: 18e3 * 8 / 1e6 / between(1, 400),
	}
	for range d.size {
		d.slowness = append(d.slowness, between(1, 4))
	}
	return d
}

func (d deployment) String() string {
	return fmt.Sprintf("%d endpoints of %d slots, %.0f ms, %.0f prefilled tokens/ms, %.0f fetched tokens/ms", d.size, d.slots, d.base, 1/d.perToken, 1/d.perFetched)
}

// policy chooses an endpoint for a request with a prompt.
type policy func(w *world, now time.Time, links []crcontext.Link) crplace.Choice

// byForecast is the policy of Placer.Place.
func byForecast(w *world, now time.Time, links []crcontext.Link) crplace.Choice {
	return w.Place(now, crplace.Request{Service: "llm", Links: links, Target: time.Millisecond, Random: uint64(now.UnixNano())})
}

// leastLoaded chooses the endpoint with the fewest requests in flight. It waits for no
// prefill and fetches no context.
func leastLoaded(w *world, now time.Time, links []crcontext.Link) crplace.Choice {
	e := slices.MinFunc(w.endpoints, func(a, b *crplace.Endpoint) int {
		return cmp.Compare(w.Ledger.InFlight(a.Key), w.Ledger.InFlight(b.Key))
	})
	wanted := links[len(links)-1].Tokens
	held := w.Contexts.Held(now, links)[e.Key]
	return crplace.Choice{Endpoint: e, PromptTokens: wanted, HeldTokens: held, Job: crlatency.Job{PrefillTokens: wanted - held}}
}

// request is a simulated request. It arrives, may wait for another request's prefill,
// starts at an endpoint, gets its first token and ends.
type request struct {
	arrived, started, first, end time.Time
	// at is the time of its next event.
	at     time.Time
	number int
	links  []crcontext.Link
	choice crplace.Choice
}

// simulation is a discrete-event simulation of a deployment behind one instance.
type simulation struct {
	deployment
	*world
	random *rand.Rand
	// prefilledAt is the time at which each engine has finished the prefills sent to it.
	prefilledAt map[crledger.Key]time.Time
	// requests are the requests that haven't ended.
	requests []*request
}

// ms converts milliseconds.
func ms(n float64) time.Duration { return time.Duration(n * float64(time.Millisecond)) }

const (
	requestCount = 1500 // requests in a simulation
	prefixCount  = 40   // different shared prefixes
	sharedTokens = 8000 // tokens of a shared prefix
	ownTokens    = 600  // tokens of a prompt after the shared prefix
	answerTokens = 60   // tokens of an answer
)

// simulate simulates requests with 40 shared prefixes under a policy, and returns the mean
// time to first token, leaving out the first third of the requests. An engine prefills one
// prompt after the other. The times are those of the deployment with 10% noise. If known
// is true, the placer has exact measurements from the start.
func (d deployment) simulate(choose policy, known bool) time.Duration {
	s := &simulation{deployment: d, world: newWorld(d.size), random: rand.New(rand.NewPCG(3, 4)), prefilledAt: make(map[crledger.Key]time.Time)}
	for _, e := range s.endpoints {
		e.Slots = d.slots
	}
	if known {
		d.addMeasurements(s.world)
	}
	// The load assumes that one request in eight has to prefill the shared prefix.
	interval := 2 * (d.base + (ownTokens+sharedTokens/8)*d.perToken + answerTokens*d.step) / float64(d.size) / 0.8
	now := start
	for i := range requestCount {
		now = now.Add(ms(s.random.ExpFloat64() * interval))
		s.requests = append(s.requests, &request{arrived: now, at: now, number: i, links: crcontext.Chain("m", []crcontext.Part{
			{ID: fmt.Sprint("s", s.random.IntN(prefixCount)), Tokens: sharedTokens}, {ID: fmt.Sprint("o", i), Tokens: ownTokens},
		})})
	}
	sum, count := time.Duration(0), 0
	for len(s.requests) > 0 {
		r := slices.MinFunc(s.requests, func(a, b *request) int { return cmp.Or(a.at.Compare(b.at), cmp.Compare(a.number, b.number)) })
		switch {
		case r.choice.Endpoint == nil:
			s.place(r, choose)
		case r.at.Equal(r.first) && r.end.IsZero():
			s.finishPrefill(r)
			if r.number > requestCount/3 {
				sum += r.first.Sub(r.arrived)
				count++
			}
		default:
			s.Ledger.End(r.choice.Endpoint.Key)
			s.requests = slices.DeleteFunc(s.requests, func(o *request) bool { return o == r })
		}
	}
	return sum / time.Duration(count)
}

// place starts a request at an endpoint, or lets it try again after 20 ms.
func (s *simulation) place(r *request, choose policy) {
	now := r.at
	c := choose(s.world, now, r.links)
	if c.Endpoint == nil {
		r.at = now.Add(20 * time.Millisecond)
		return
	}
	r.choice, r.started = c, now
	key := c.Endpoint.Key
	begin := now.Add(s.fetchTime(c.Job))
	if s.prefilledAt[key].After(begin) {
		begin = s.prefilledAt[key]
	}
	slow := s.slowness[slices.Index(s.endpoints, c.Endpoint)] * (0.9 + 0.2*s.random.Float64())
	s.prefilledAt[key] = begin.Add(ms(slow * s.perToken * float64(c.Job.PrefillTokens)))
	r.first = s.prefilledAt[key].Add(ms(slow * s.base))
	r.at = r.first
	s.Ledger.Start(key)
	speed := s.Latency.Speed(now, "llm")
	prefill := speed.Prefill(s.Latency.Slowness(now, key), c.Job.PrefillTokens)
	until := s.PrefillBacklog.Add(now, key, prefill).Add(prefill + 3*speed.Overhead(1))
	for _, l := range r.links {
		s.Contexts.Record(now, l, true, key, until)
	}
}

// fetchTime returns the time to fetch a job's context.
func (s *simulation) fetchTime(j crlatency.Job) time.Duration {
	d := ms(s.perFetched * float64(j.FetchedTokens))
	if j.CrossDomain {
		d *= 2
	}
	return d
}

// finishPrefill handles the end of a prefill: it informs the placer and schedules the end
// of the answer.
func (s *simulation) finishPrefill(r *request) {
	c := r.choice
	s.Latency.Observe(r.first, "llm", c.Endpoint.Key, c.Job, r.first.Sub(r.started))
	for _, l := range r.links {
		s.Contexts.Record(r.first, l, true, c.Endpoint.Key, time.Time{})
	}
	slow := s.slowness[slices.Index(s.endpoints, c.Endpoint)]
	r.end = r.first.Add(ms(slow * s.step * answerTokens))
	r.at = r.end
}

// addMeasurements adds exact measurements of all endpoints, so that the placer knows the
// speeds of the deployment before the first request.
func (d deployment) addMeasurements(w *world) {
	for range 30 {
		for n, e := range w.endpoints {
			for _, read := range []int{100, 8600} {
				w.Latency.Observe(start, "llm", e.Key, crlatency.Job{PrefillTokens: read}, ms(d.slowness[n]*(d.base+d.perToken*float64(read))))
			}
			for _, far := range []bool{false, true} {
				moved := d.perFetched * 8000
				if far {
					moved *= 2
				}
				w.Latency.Observe(start, "llm", e.Key, crlatency.Job{PrefillTokens: 600, FetchedTokens: 8000, CrossDomain: far}, ms(d.slowness[n]*(d.base+d.perToken*600)+moved))
			}
		}
	}
}

// TestLearningInRandomDeployments checks on random deployments that the time to first
// token with speeds that are learned during the simulation is close to that with speeds
// known from the start.
func TestLearningInRandomDeployments(t *testing.T) {
	random := rand.New(rand.NewPCG(20261204, 1))
	sum := 0.0
	const drawn = 40
	for range drawn {
		d := randomDeployment(random)
		sum += math.Log(float64(d.simulate(byForecast, false)) / float64(d.simulate(byForecast, true)))
	}
	if ratio := math.Exp(sum / drawn); ratio > 1.15 {
		t.Errorf("the time to first token is %.2f times that of a placer that knows the engines, want at most 1.15", ratio)
	}
}

// TestNoWorseThanLeastLoaded checks on random deployments that the time to first token is
// never longer than with the policy of the least loaded endpoint.
func TestNoWorseThanLeastLoaded(t *testing.T) {
	random := rand.New(rand.NewPCG(20261204, 3))
	for range 40 {
		d := randomDeployment(random)
		if forecast, load := d.simulate(byForecast, false), d.simulate(leastLoaded, false); forecast > load {
			t.Errorf("%v: time to first token of %s by forecast, %s at the least loaded endpoint", d, forecast, load)
		}
	}
}
