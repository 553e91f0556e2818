package crgrant

import (
	"math/rand/v2"
	"time"

	"crocusrack/core/crplace"
	"crocusrack/core/crretry"
)

// Request counts a first attempt for a service's budget of retries.
func (s *State) Request(now time.Time, service string) {
	s.lock(now)
	defer s.mu.Unlock()
	s.budget(now, service).Request(now)
}

// Retry takes one retry out of a service's budget and reports whether it was
// there.
func (s *State) Retry(now time.Time, service string) bool {
	s.lock(now)
	defer s.mu.Unlock()
	return s.budget(now, service).Spend(now)
}

// budget returns this instance's part of a service's budget.
func (s *State) budget(now time.Time, service string) *crretry.Budget {
	b := s.budgets[service]
	if b == nil {
		b = &crretry.Budget{}
		s.budgets[service] = b
	}
	b.Share = s.Retries.Share * spentShare
	b.Window = s.Retries.Window
	b.MinPerSecond = s.Retries.Slack * spentShare / s.Retries.Window.Seconds() / float64(s.roster.Size(now)) / 2
	return b
}

// comeBackSpread is the part by which a time to come back is made longer at random
// when nothing tells the order in which the refused find a place.
const comeBackSpread = 0.2

// comeBack returns when a refused request may come back: when a place gets free for
// it, or once the service can take any.
func (s *State) comeBack(now time.Time, service string, c crplace.Choice) time.Duration {
	after := c.RetryAfter
	switch c.Reason {
	case crplace.Busy:
		return s.returnsOf(service).After(now, c.InService, s.roster.Size(now), rand.Float64())
	case crplace.Paused:
		// The pause was made longer at random by each instance.
		return max(crretry.MinReturn, after)
	case crplace.Cold:
		if at := s.placer.Soonest(now, service); !at.IsZero() {
			after = at.Sub(now)
		}
	}
	return max(crretry.MinReturn, after+time.Duration(rand.Float64()*comeBackSpread*float64(after)))
}

func (s *State) returnsOf(service string) *crretry.Returns {
	r := s.returns[service]
	if r == nil {
		r = &crretry.Returns{}
		s.returns[service] = r
	}
	return r
}
