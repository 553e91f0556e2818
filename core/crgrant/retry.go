package crgrant

import (
	"math/rand/v2"
	"time"

	"crocusrack/core/crplace"
	"crocusrack/core/crretry"
)

// CountRequest counts a first attempt, which adds to the retry budget of the service.
func (s *State) CountRequest(now time.Time, service string) {
	s.lock(now)
	defer s.mu.Unlock()
	s.retryBudget(now, service).Request(now)
}

// SpendRetry spends one retry of the service's budget. It reports whether the budget
// allowed it.
func (s *State) SpendRetry(now time.Time, service string) bool {
	s.lock(now)
	defer s.mu.Unlock()
	return s.retryBudget(now, service).Spend(now)
}

// retryBudget returns this instance's part of a service's retry budget, with its limits
// adjusted to the current fleet size. MinPerSecond is half of this instance's part of the
// additional retries: a Budget also keeps the unused ones of up to one Window, so that
// twice as many can be spent within a Window.
func (s *State) retryBudget(now time.Time, service string) *crretry.Budget {
	b := s.retryBudgets[service]
	if b == nil {
		b = &crretry.Budget{}
		s.retryBudgets[service] = b
	}
	b.Share = s.Retries.Share * usableShare
	b.Window = s.Retries.Window
	b.MinPerSecond = s.Retries.ExtraPerWindow * usableShare / s.Retries.Window.Seconds() / float64(s.roster.Size(now)) / 2
	return b
}

// retryAfterJitter is the largest fraction by which a retry-after time is extended at
// random. It is used where refused requests aren't already spread over time by
// crretry.ReturnScheduler.
const retryAfterJitter = 0.2

// retryAfter returns the time after which a refused request may be retried: when capacity
// for it is forecast to become free, or when the service can accept requests again.
func (s *State) retryAfter(now time.Time, a Request, c crplace.Choice) time.Duration {
	service, after := a.Service.Name, c.RetryAfter
	switch c.Reason {
	case crplace.Busy, crplace.OverShare:
		after = s.returnsFor(service).After(now, c.ServiceInFlight, s.roster.Size(now), rand.Float64())
		return s.patientReturn(now, a, after)
	case crplace.Limited:
		return s.returnsFor(service).AfterAtRate(now, c.LimitPerSecond, s.roster.Size(now), rand.Float64())
	case crplace.Paused:
		// Each instance has already extended the pause at random.
		return max(crretry.MinReturnDelay, after)
	case crplace.Cold:
		if at := s.placer.EarliestWarm(now, service); !at.IsZero() {
			after = at.Sub(now)
		}
	}
	return max(crretry.MinReturnDelay, after+time.Duration(rand.Float64()*retryAfterJitter*float64(after)))
}

// ReturnAfter returns the time after which a request may be retried that endpoints rejected. It is
// otherwise if the request isn't one to a service whose slots client accounts share.
func (s *State) ReturnAfter(now time.Time, a Request, otherwise time.Duration) time.Duration {
	s.lock(now)
	defer s.mu.Unlock()
	if !s.sharesApply(a) {
		return otherwise
	}
	load := s.placer.Load(now, a.Service.Name)
	return s.retryAfter(now, a, crplace.Choice{Reason: crplace.Busy, ServiceInFlight: load.InFlight})
}

func (s *State) returnsFor(service string) *crretry.ReturnScheduler {
	r := s.returns[service]
	if r == nil {
		r = &crretry.ReturnScheduler{}
		s.returns[service] = r
	}
	return r
}
