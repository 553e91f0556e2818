// Package crpace learns how fast endpoints are, from the times that requests take
// anyway: how long a service's endpoints read a prompt, how long they fetch
// context from each other, and which endpoints are slower than the others. It does
// no I/O and takes the time from its caller. A Table is not safe for concurrent
// use.
package crpace

import (
	"math"
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
	read, near, far line
	// errors are the sum of the ratios by which times missed their forecasts, as
	// logarithms, and their count.
	errors float64
	count  int
}

func newService() *service {
	return &service{
		read: line{base: firstBase, slope: firstPerToken},
		near: line{base: moveBase, slope: movePerToken},
		far:  line{base: moveBase, slope: movePerToken * farther},
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

func (s *service) move(far bool) *line {
	if far {
		return &s.far
	}
	return &s.near
}

// endpoint is the mean of the ratios of its times to the usual ones, as logarithms.
type endpoint struct {
	sum, weight float64
	at          time.Time
}

func (e *endpoint) slowness(now time.Time) float64 {
	if e == nil {
		return 1
	}
	return math.Exp(kept(now.Sub(e.at)) * e.sum / (e.weight + slowWeight))
}

// Slowness returns how many times longer than usual an endpoint takes; exactly 1
// while it isn't clearly slower or faster than the others.
func (t *Table) Slowness(now time.Time, k crledger.Key) float64 {
	s := t.endpoints[k].slowness(now)
	if s < slowTold && s > 1/slowTold {
		return 1
	}
	return s
}

// Read returns how long an endpoint of a service takes to read some tokens.
func (t *Table) Read(now time.Time, name string, k crledger.Key, tokens int) time.Duration {
	return duration(t.endpoints[k].slowness(now) * t.service(name).read.slope * float64(tokens))
}

// Overhead returns how long an endpoint takes for an answer's first token beside
// the reading of the prompt.
func (t *Table) Overhead(now time.Time, name string, k crledger.Key) time.Duration {
	return duration(t.endpoints[k].slowness(now) * t.service(name).read.base)
}

// Fetch returns how long context takes from one endpoint of a service to another.
func (t *Table) Fetch(now time.Time, name string, far bool, tokens int) time.Duration {
	s := t.service(name)
	if s != usual {
		s.move(far).age(now, usual.move(far))
	}
	return duration(s.move(far).at(tokens))
}

// Forecast returns how long an endpoint takes until the first token of an answer.
func (t *Table) Forecast(now time.Time, name string, k crledger.Key, j Job) time.Duration {
	d := j.Backlog + t.Overhead(now, name, k) + t.Read(now, name, k, j.Read)
	if j.Fetched > 0 {
		d += t.Fetch(now, name, j.Far, j.Fetched)
	}
	return d
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
	s.errors += math.Abs(math.Log(float64(max(took, time.Microsecond)) / float64(t.Forecast(now, name, k, j))))
	s.count++
	own := float64(took-j.Backlog) / float64(time.Millisecond)
	if j.Fetched > 0 {
		s.move(j.Far).observe(now, usual.move(j.Far), j.Fetched, own-t.endpoints[k].slowness(now)*s.read.at(j.Read))
		return
	}
	t.compare(now, k, own/s.read.at(j.Read))
	s.read.observe(now, &usual.read, j.Read, own)
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
	e.at = now
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

// Forget drops the endpoints that keep doesn't want.
func (t *Table) Forget(keep func(crledger.Key) bool) {
	for k := range t.endpoints {
		if !keep(k) {
			delete(t.endpoints, k)
		}
	}
}
