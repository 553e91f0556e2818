// Package crpace learns how fast endpoints are, from the times that requests take
// anyway: how long a service's endpoints read a prompt, how long they fetch
// context from each other, and which endpoints are slower than the others. It does
// no I/O and takes the time from its caller. A Table is not safe for concurrent
// use.
package crpace

import (
	"maps"
	"math"
	"slices"
	"time"

	"crocusrack/core/crledger"
)

// What is assumed of endpoints before the first times are seen, in milliseconds:
// a current engine that reads some tens of tokens a millisecond. Contexts are
// assumed to move fast, as only a move shows how long it takes.
const (
	firstBase     = 25.0
	firstPerToken = 1.0 / 45
	moveBase      = 6.0
	movePerToken  = 1.0 / 300
	// farther is how much longer a move between failure domains takes.
	farther = 2.0
)

const (
	// slowWeight is for how many times of usual length an endpoint counts before its
	// own are seen.
	slowWeight = 4.0
	// slowMemory is how many of the last times tell of an endpoint.
	slowMemory = 24.0
	// slowLimit bounds what one time says of its endpoint, as a factor.
	slowLimit = 4.0
	// slowTold is the factor from which on an endpoint counts as slower or faster
	// than usual. Closer ones can't be told apart, and instances agree on them.
	slowTold = 1.5
	// clearShare is the part of a time that other prompts may take before it, for it
	// to tell of the endpoint.
	clearShare = 0.5
)

// Job is what an endpoint does before the first token of an answer. Its zero value
// is a request without a prompt.
type Job struct {
	// Read and Fetched are tokens.
	Read, Fetched int
	// Far is true when the context comes from another failure domain.
	Far bool
	// Backlog is how long the endpoint reads other prompts first.
	Backlog time.Duration
}

// Table is what is known of endpoints. Its zero value assumes all to be usual.
type Table struct {
	// Fixed keeps the table from learning.
	Fixed bool

	services  map[string]*service
	endpoints map[crledger.Key]*endpoint
}

type service struct {
	read, near, far learned
	// errors are the sum of the ratios by which times missed their forecasts, as
	// logarithms, and their count.
	errors float64
	count  int
}

func newService() *service {
	return &service{
		read: learned{line: line{firstBase, firstPerToken}},
		near: learned{line: line{moveBase, movePerToken}},
		far:  learned{line: line{moveBase, movePerToken * farther}},
	}
}

// usual is what is assumed of a service that nothing was seen of.
var usual = newService()

func (t *Table) service(name string) *service {
	if s := t.services[name]; s != nil {
		return s
	}
	return usual
}

func (s *service) move(far bool) *learned {
	if far {
		return &s.far
	}
	return &s.near
}

// endpoint is the mean of the ratios of its times to the usual ones.
type endpoint struct {
	// sum is that of the logarithms.
	sum, weight float64
	at          time.Time
	// mean is the ratio while all is kept.
	mean float64
}

// Slowness returns how many times longer than usual an endpoint takes.
func (t *Table) Slowness(now time.Time, k crledger.Key) float64 {
	e := t.endpoints[k]
	if e == nil {
		return 1
	}
	if age := now.Sub(e.at); age > trustedFor {
		return math.Pow(e.mean, kept(age))
	}
	return e.mean
}

// Clearly returns a slowness, and 1 for one that can't be told from usual.
func Clearly(slowness float64) float64 {
	if slowness < slowTold && slowness > 1/slowTold {
		return 1
	}
	return slowness
}

// Speed is how fast the usual endpoint of a service is.
type Speed struct {
	read, near, far line
}

// Speed returns how fast the usual endpoint of a service is.
func (t *Table) Speed(now time.Time, name string) Speed {
	s := t.service(name)
	if s != usual {
		s.near.age(now, usual.near.line)
		s.far.age(now, usual.far.line)
	}
	return Speed{s.read.line, s.near.line, s.far.line}
}

// Read returns how long an endpoint of some slowness takes to read some tokens.
func (s *Speed) Read(slowness float64, tokens int) time.Duration {
	return duration(slowness * s.read.slope * float64(tokens))
}

// Overhead returns how long an endpoint takes for an answer's first token beside
// the reading of the prompt.
func (s *Speed) Overhead(slowness float64) time.Duration { return duration(slowness * s.read.base) }

// Fetch returns how long context takes from one endpoint to another.
func (s *Speed) Fetch(far bool, tokens int) time.Duration {
	if far {
		return duration(s.far.at(tokens))
	}
	return duration(s.near.at(tokens))
}

// Forecast is how long an endpoint takes until the first token of an answer, by what
// it does.
type Forecast struct {
	Backlog, Fetching, Reading, Overhead time.Duration
}

// Total returns the whole time.
func (f Forecast) Total() time.Duration { return f.Backlog + f.Fetching + f.Reading + f.Overhead }

// Forecast returns how long an endpoint of some slowness takes until the first token
// of an answer.
func (s *Speed) Forecast(slowness float64, j Job) Forecast {
	f := Forecast{Backlog: j.Backlog, Reading: s.Read(slowness, j.Read), Overhead: s.Overhead(slowness)}
	if j.Fetched > 0 {
		f.Fetching = s.Fetch(j.Far, j.Fetched)
	}
	return f
}

func duration(ms float64) time.Duration { return time.Duration(ms * float64(time.Millisecond)) }

// Observe notes how long an endpoint took until the first token of an answer.
func (t *Table) Observe(now time.Time, name string, k crledger.Key, j Job, took time.Duration) {
	if t.Fixed || float64(j.Backlog) > clearShare*float64(took) {
		return
	}
	if t.services == nil {
		t.services = make(map[string]*service)
		t.endpoints = make(map[crledger.Key]*endpoint)
	}
	s := t.services[name]
	if s == nil {
		s = newService()
		t.services[name] = s
	}
	speed, slowness := t.Speed(now, name), t.Slowness(now, k)
	s.errors += math.Abs(math.Log(float64(max(took, time.Microsecond)) / float64(speed.Forecast(slowness, j).Total())))
	s.count++
	own := float64(took-j.Backlog) / float64(time.Millisecond)
	if j.Fetched > 0 {
		s.move(j.Far).observe(now, usual.move(j.Far).line, j.Fetched, own-slowness*s.read.at(j.Read))
		return
	}
	t.compare(now, k, own/s.read.at(j.Read))
	s.read.observe(now, usual.read.line, j.Read, own)
}

// compare notes the ratio of a time at an endpoint to a usual one.
func (t *Table) compare(now time.Time, k crledger.Key, ratio float64) {
	e := t.endpoints[k]
	if e == nil {
		e = &endpoint{}
		t.endpoints[k] = e
	}
	if e.weight < slowMemory {
		e.weight++
	} else {
		e.sum -= e.sum / e.weight
	}
	e.sum += math.Log(max(1/slowLimit, min(slowLimit, ratio)))
	e.at, e.mean = now, math.Exp(e.sum/(e.weight+slowWeight))
}

// Error returns by what factor the times of a service missed their forecasts in the
// mean, 1 for none, and how many there were.
func (t *Table) Error(name string) (factor float64, count int) {
	s := t.service(name)
	if s.count == 0 {
		return 1, 0
	}
	return math.Exp(s.errors / float64(s.count)), s.count
}

// Services returns the services that something was seen of, sorted.
func (t *Table) Services() []string { return slices.Sorted(maps.Keys(t.services)) }

// Forget drops the endpoints that keep doesn't want.
func (t *Table) Forget(keep func(crledger.Key) bool) {
	for k := range t.endpoints {
		if !keep(k) {
			delete(t.endpoints, k)
		}
	}
}
