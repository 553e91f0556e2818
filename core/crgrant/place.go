package crgrant

import (
	"math/rand/v2"
	"time"

	"crocusrack/core/crledger"
	"crocusrack/core/crplace"
	"crocusrack/core/crrollout"
	"crocusrack/core/crversion"
)

// place chooses the endpoint for a request among those of the version that it goes to. A stream
// that goes on stays at its version. place reports whether that is the version that the service's
// traffic moves to.
func (s *State) place(now time.Time, a Request, spread bool) (choice crplace.Choice, newVersion bool) {
	r := crplace.Request{
		Service:         a.Service.Name,
		ColdPerSecond:   a.Service.MaxColdRate,
		Links:           a.Links,
		Tried:           a.Tried,
		Target:          a.Target,
		SkipPrefillWait: a.SkipPrefillWait,
		Spread:          spread,
		Random:          rand.Uint64(),
		Stream:          s.streamFor(now, a),
	}
	if a.Version != 0 {
		r.Allowed = func(k crledger.Key) bool {
			e := s.placer.Endpoint(k)
			return e != nil && crversion.Of(e.Version) == a.Version
		}
		return s.placer.Place(now, r), false
	}
	r.Allowed = s.beginsAt(now, a)
	choice, newVersion = s.placeByRollout(now, a, r)
	if r.Allowed != nil && choice.Reason == crplace.NoEndpoint {
		r.Allowed = nil
		return s.placeByRollout(now, a, r)
	}
	return choice, newVersion
}

// placeByRollout chooses the endpoint for a request among those of the version that the service's
// roll-out takes it to, if there is one.
func (s *State) placeByRollout(now time.Time, a Request, r crplace.Request) (choice crplace.Choice, newVersion bool) {
	arm := s.rollouts.Choose(now, crrollout.Request{
		Service: a.Service.Name, Route: a.Route, Draw: a.Draw, Repeat: len(a.Tried) > 0,
	})
	if !arm.Restricts() {
		return s.placer.Place(now, r), false
	}
	s.evaluateRollouts(now)
	allowed := r.Allowed
	r.Allowed = both(allowed, arm.Allows)
	choice = s.placer.Place(now, r)
	other, ok := arm.Fallback()
	if choice.Endpoint != nil || choice.Reason == crplace.PrefillInProgress || !ok {
		return choice, arm.Target()
	}
	r.Allowed = both(allowed, other.Allows)
	return s.placer.Place(now, r), false
}

// both returns the condition that an endpoint meets two others. The first may be nil.
func both(first, second func(crledger.Key) bool) func(crledger.Key) bool {
	if first == nil {
		return second
	}
	return func(k crledger.Key) bool { return first(k) && second(k) }
}
