// Package crlatency estimates the speed of endpoints from the measured time to first token
// of requests: the prefill speed of a service's endpoints, the speed of context
// transfers between them, and which endpoints are slower than the others. It sends no
// requests of its own, does no I/O and takes the time from its caller. A Table is not
// safe for concurrent use.
package crlatency

import (
	"maps"
	"math"
	"slices"
	"time"

	"crocusrack/core/crledger"
)

// The priors, used before the first measurements, in milliseconds and milliseconds per
// token. They describe a present-day engine with a prefill speed of some tens of tokens per
// millisecond. Transfers are assumed to be fast, because their speed is measured only
// if they are used.
const (
	priorBase          = 25.0
	priorPerToken      = 1.0 / 45
	priorFetchBase     = 6.0
	priorFetchPerToken = 1.0 / 300
	// crossDomainFactor is the ratio of the time per token between failure domains
	// to that within one.
	crossDomainFactor = 2.0
)

const (
	// slownessPriorWeight is the weight, in samples, of the prior that an endpoint
	// has the usual speed.
	slownessPriorWeight = 4.0
	// slownessWindow is the window of the moving average of an endpoint's slowness, in
	// samples.
	slownessWindow = 24.0
	// maxSampleSlowness bounds the ratio of a single sample to the usual time, in both
	// directions.
	maxSampleSlowness = 4.0
	// slownessThreshold is the ratio from which on an endpoint counts as slower or
	// faster than usual. Smaller differences can't be told from noise, and ignoring them
	// lets the instances agree on an endpoint.
	slownessThreshold = 1.5
	// maxBacklogShare is the largest fraction of a measured time that may be backlog. A
	// time with a larger one says little about the endpoint and is ignored.
	maxBacklogShare = 0.5
)

// Job is the work that an endpoint has to do before the first token of an answer. Its
// zero value is a request without a prompt.
type Job struct {
	// PrefillTokens is the number of tokens to prefill, and FetchedTokens the number of
	// tokens whose context is fetched from another endpoint.
	PrefillTokens, FetchedTokens int
	// CrossDomain is true when the context comes from another failure domain.
	CrossDomain bool
	// Backlog is how long the endpoint is busy with the prefill of other prompts first.
	Backlog time.Duration
}

// Table holds the estimated speeds of services and endpoints. Its zero value has only
// the priors.
type Table struct {
	// LearningDisabled disables learning, so that the priors stay in use.
	LearningDisabled bool

	services  map[string]*service
	endpoints map[crledger.Key]*slownessAverage
}

// service holds the speeds of a service's typical endpoint.
type service struct {
	// read gives the time to first token as a function of the prefilled tokens. near and
	// far give the transfer time within and between failure domains as a function of the
	// fetched tokens.
	read, near, far fittedLine
	// logErrorSum is the sum of the absolute logarithms of the ratio of each measured
	// time to its forecast, and forecasts the number of forecasts.
	logErrorSum float64
	forecasts   int
}

func newService() *service {
	return &service{
		read: fittedLine{line: line{priorBase, priorPerToken}},
		near: fittedLine{line: line{priorFetchBase, priorFetchPerToken}},
		far:  fittedLine{line: line{priorFetchBase, priorFetchPerToken * crossDomainFactor}},
	}
}

// priorService is a service without measurements. It holds the priors.
var priorService = newService()

// service returns the speeds of a service, or the priors if nothing was measured.
func (t *Table) service(name string) *service {
	if s := t.services[name]; s != nil {
		return s
	}
	return priorService
}

// fetch returns the transfer times between or within failure domains.
func (s *service) fetch(far bool) *fittedLine {
	if far {
		return &s.far
	}
	return &s.near
}

// slownessAverage is a moving average of the ratio of an endpoint's times to the usual
// ones.
type slownessAverage struct {
	// logSum is the sum of the logarithms of the ratios.
	logSum, weight float64
	// at is the time of the last sample.
	at time.Time
	// mean is the geometric mean of the ratios and the prior, before aging.
	mean float64
}

// Slowness returns the ratio of an endpoint's times to the usual ones. It is 1 for an
// endpoint without measurements, and returns to 1 as the measurements age.
func (t *Table) Slowness(now time.Time, k crledger.Key) float64 {
	e := t.endpoints[k]
	if e == nil {
		return 1
	}
	if age := now.Sub(e.at); age > fullWeightAge {
		return math.Pow(e.mean, ageWeight(age))
	}
	return e.mean
}

// SignificantSlowness returns the slowness, or 1 if it is too close to 1 to be told from
// noise.
func SignificantSlowness(slowness float64) float64 {
	if slowness < slownessThreshold && slowness > 1/slownessThreshold {
		return 1
	}
	return slowness
}

// Speed estimates durations at the typical endpoint of a service.
type Speed struct {
	read, near, far line
}

// Speed returns the speed of the typical endpoint of a service.
func (t *Table) Speed(now time.Time, name string) Speed {
	s := t.service(name)
	if s != priorService {
		s.near.refitIfStale(now, priorService.near.line)
		s.far.refitIfStale(now, priorService.far.line)
	}
	return Speed{s.read.line, s.near.line, s.far.line}
}

// Prefill returns the estimated time to prefill some tokens at an endpoint of some
// slowness.
func (s *Speed) Prefill(slowness float64, tokens int) time.Duration {
	return fromMilliseconds(slowness * s.read.slope * float64(tokens))
}

// Overhead returns the estimated time to first token without prefill at an endpoint of
// some slowness.
func (s *Speed) Overhead(slowness float64) time.Duration {
	return fromMilliseconds(slowness * s.read.base)
}

// Fetch returns the estimated time to transfer the context of some tokens from one
// endpoint to another. far is true between failure domains.
func (s *Speed) Fetch(far bool, tokens int) time.Duration {
	if far {
		return fromMilliseconds(s.far.estimate(tokens))
	}
	return fromMilliseconds(s.near.estimate(tokens))
}

// Forecast is an estimated time to first token, split into its parts.
type Forecast struct {
	Backlog, Fetch, Prefill, Overhead time.Duration
}

// Total returns the sum of the parts.
func (f Forecast) Total() time.Duration { return f.Backlog + f.Fetch + f.Prefill + f.Overhead }

// Forecast returns the estimated time to first token at an endpoint of some slowness.
func (s *Speed) Forecast(slowness float64, j Job) Forecast {
	f := Forecast{Backlog: j.Backlog, Prefill: s.Prefill(slowness, j.PrefillTokens), Overhead: s.Overhead(slowness)}
	if j.FetchedTokens > 0 {
		f.Fetch = s.Fetch(j.CrossDomain, j.FetchedTokens)
	}
	return f
}

// fromMilliseconds converts a number of milliseconds to a duration.
func fromMilliseconds(ms float64) time.Duration { return time.Duration(ms * float64(time.Millisecond)) }

// Observe adds a measured time to first token of a service's endpoint. Times that consist
// of backlog for the most part are ignored.
func (t *Table) Observe(now time.Time, name string, k crledger.Key, j Job, took time.Duration) {
	if t.LearningDisabled || float64(j.Backlog) > maxBacklogShare*float64(took) {
		return
	}
	if t.services == nil {
		t.services = make(map[string]*service)
		t.endpoints = make(map[crledger.Key]*slownessAverage)
	}
	s := t.services[name]
	if s == nil {
		s = newService()
		t.services[name] = s
	}
	speed, slowness := t.Speed(now, name), t.Slowness(now, k)
	s.logErrorSum += math.Abs(math.Log(float64(max(took, time.Microsecond)) / float64(speed.Forecast(slowness, j).Total())))
	s.forecasts++
	own := float64(took-j.Backlog) / float64(time.Millisecond)
	if j.FetchedTokens > 0 {
		s.fetch(j.CrossDomain).observe(now, priorService.fetch(j.CrossDomain).line, j.FetchedTokens, own-slowness*s.read.estimate(j.PrefillTokens))
		return
	}
	t.observeSlowness(now, k, own/s.read.estimate(j.PrefillTokens))
	s.read.observe(now, priorService.read.line, j.PrefillTokens, own)
}

// observeSlowness adds the ratio of a measured time at an endpoint to the usual time.
func (t *Table) observeSlowness(now time.Time, k crledger.Key, ratio float64) {
	e := t.endpoints[k]
	if e == nil {
		e = &slownessAverage{}
		t.endpoints[k] = e
	}
	if e.weight < slownessWindow {
		e.weight++
	} else {
		e.logSum -= e.logSum / e.weight
	}
	e.logSum += math.Log(max(1/maxSampleSlowness, min(maxSampleSlowness, ratio)))
	e.at, e.mean = now, math.Exp(e.logSum/(e.weight+slownessPriorWeight))
}

// ForecastError returns the geometric mean of the factors by which the measured times of a
// service differed from their forecasts, and the number of forecasts. A factor of 1 means
// no error.
func (t *Table) ForecastError(name string) (factor float64, count int) {
	s := t.service(name)
	if s.forecasts == 0 {
		return 1, 0
	}
	return math.Exp(s.logErrorSum / float64(s.forecasts)), s.forecasts
}

// Services returns the names of the services with measurements, sorted.
func (t *Table) Services() []string { return slices.Sorted(maps.Keys(t.services)) }

// Forget removes the endpoints for which keep returns false.
func (t *Table) Forget(keep func(crledger.Key) bool) {
	for k := range t.endpoints {
		if !keep(k) {
			delete(t.endpoints, k)
		}
	}
}
