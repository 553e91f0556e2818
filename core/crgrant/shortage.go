package crgrant

import (
	"time"

	"crocusrack/core/crplace"
)

// Shortage tells that the slots of a service are all taken or no endpoint of it can be used, or
// that this is over.
type Shortage struct {
	Service string
	// Over is true at the end of the shortage.
	Over bool
	// Reason is crplace.Busy if the slots are taken. Otherwise it is the reason of refusals
	// while no endpoint can be used.
	Reason crplace.Reason
	// InFlight and Slots are the load of the usable endpoints, and Out those that can't be used.
	InFlight, Slots int
	Out             crplace.EndpointsOut
}

// reportSaturation reports that a service became saturated or no longer is.
func (s *State) reportSaturation(now time.Time, service string, load crplace.Load) {
	if s.OnShortage != nil {
		s.OnShortage(Shortage{
			Service: service, Over: !s.shares.Lasting(service),
			Reason: crplace.Busy, InFlight: load.InFlight, Slots: load.Slots, Out: s.placer.Out(now, service),
		})
	}
}

// recordUnusable notes whether a service has a usable endpoint, by the reason of a placement,
// and reports changes. It returns the cause if there is none.
func (s *State) recordUnusable(now time.Time, a Request, r crplace.Reason) string {
	service := a.Service.Name
	if a.Version != 0 {
		// Endpoints of other versions may be usable.
		if r == crplace.NoEndpoint {
			return "of-its-version"
		}
		return ""
	}
	if r == crplace.Chosen && !s.unusable[service] || r != crplace.Chosen && r != crplace.NoEndpoint && r != crplace.Paused {
		return ""
	}
	out, cause := s.placer.Out(now, service), ""
	if r == crplace.NoEndpoint {
		cause = out.Cause()
	}
	if unusable := r != crplace.Chosen; unusable != s.unusable[service] && (!unusable || len(a.Tried) == 0) {
		if s.unusable == nil {
			s.unusable = make(map[string]bool)
		}
		if s.unusable[service] = unusable; !unusable {
			delete(s.unusable, service)
		}
		if s.OnShortage != nil {
			s.OnShortage(Shortage{Service: service, Over: !unusable, Reason: r, Out: out})
		}
	}
	return cause
}
