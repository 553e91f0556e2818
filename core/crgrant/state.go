package crgrant

import (
	"net/netip"
	"time"

	"crocusrack/core/crhash"
	"crocusrack/core/crledger"
	"crocusrack/core/crliveness"
	"crocusrack/core/crplace"
	"crocusrack/core/crroute"
	pb "crocusrack/schema/crrouter"
)

// SetRouting puts a version of the routing in force unless the current one is as new. It
// reports whether the version was put in force.
func (s *State) SetRouting(m *pb.Routing) bool {
	s.init()
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.routingTable != nil && m.GetVersion() <= s.routingTable.Version {
		return false
	}
	s.routingTable, s.routing = crroute.New(m), m
	return true
}

// SetEndpoints replaces the endpoints if their position is after the current one. It
// reports whether it did.
func (s *State) SetEndpoints(now time.Time, at Position, list []*crplace.Endpoint) bool {
	s.lock(now)
	defer s.mu.Unlock()
	if at <= s.endpointsPosition {
		return false
	}
	entersEra := s.entersEra(now, s.endpointsPosition, at)
	if entersEra {
		s.changes = nil
	} else {
		s.changes.add(s.endpointsPosition, at, s.endpoints, list)
	}
	left := s.endpoints
	s.endpoints, s.endpointsPosition, s.endpointsFingerprint = list, at, fingerprint(list)
	s.placer.SetEndpoints(list)
	s.beginListedRamps(now, left, list)
	s.setRolloutEndpoints(list)
	s.setVersions(now, list)
	s.keysByShortKey = make(map[uint32]crledger.Key, len(list))
	for _, e := range list {
		s.keysByShortKey[shortKey(e.Key)] = e.Key
	}
	present := func(k crledger.Key) bool { return s.placer.Endpoint(k) != nil }
	s.coldGate.Forget(present)
	s.limitGate.Forget(present)
	s.limits.Expire(s.Elapsed(), present)
	s.reads.Forget(present)
	s.pace.Forget(present)
	s.streams.Forget(present)
	s.gauges.Forget(present)
	s.failures.Retain(present)
	if entersEra {
		s.distrust(now, left)
	}
	s.recordRemoved(left, present)
	return true
}

const (
	// staleEntryLifetime is the time after which the store has removed the entry of an endpoint
	// that is gone but was listed in the copy that the store came back from. Endpoints that are
	// silent for three of their intervals, of little over a second each, are removed.
	staleEntryLifetime = 5 * time.Second
	// minRemovedKept is the minimum number of removed endpoints that stay recorded.
	minRemovedKept = 4096
)

// distrust keeps requests from endpoints that had left when the store came back from a copy in
// which they hadn't. An endpoint that was draining doesn't return. One that was removed may do
// so, since its entry may have expired while it couldn't reach the store.
func (s *State) distrust(now time.Time, before []*crplace.Endpoint) {
	for _, e := range before {
		if e.Draining {
			s.health.MarkLeaving(now, e.Key)
		}
	}
	for _, e := range s.endpoints {
		if removed, _ := s.removed.Get(e.Key); removed {
			s.health.Pause(now, e.Key, staleEntryLifetime)
		}
	}
}

// recordRemoved records the endpoints that are no longer listed.
func (s *State) recordRemoved(before []*crplace.Endpoint, present func(crledger.Key) bool) {
	s.removed.Limit = max(minRemovedKept, len(before))
	for _, e := range before {
		if !present(e.Key) {
			s.removed.Put(e.Key, true)
		}
	}
	for _, e := range s.endpoints {
		if removed, _ := s.removed.Get(e.Key); removed {
			s.removed.Put(e.Key, false)
		}
	}
}

// SetOutOfService replaces the failure domains that are out of service if their position is
// after the current one. It reports whether it did.
func (s *State) SetOutOfService(now time.Time, at Position, domains []string) bool {
	s.lock(now)
	defer s.mu.Unlock()
	if at <= s.outsPosition {
		return false
	}
	s.entersEra(now, s.outsPosition, at)
	s.outs, s.outsPosition = make(map[string]bool), at
	for _, d := range domains {
		s.outs[d] = true
	}
	return true
}

// SetSelf calls set with the status that this instance reports of itself.
func (s *State) SetSelf(set func(*crliveness.Status)) {
	s.init()
	s.mu.Lock()
	defer s.mu.Unlock()
	set(&s.roster.Status)
}

// Ready reports whether this instance's own status says that it accepts requests.
func (s *State) Ready() bool {
	s.init()
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.roster.Status.Ready
}

// Fronts returns the addresses to which a caller in the given failure domain should
// connect.
func (s *State) Fronts(now time.Time, domain string) []netip.AddrPort {
	s.lock(now)
	defer s.mu.Unlock()
	return s.roster.Fronts(now, domain)
}

// MustForward reports whether this instance must forward news that it received from the
// instance named from to its own failure domain at once.
func (s *State) MustForward(now time.Time, from string) bool {
	s.lock(now)
	defer s.mu.Unlock()
	return s.roster.MustForward(now, from)
}

// WatchesStore reports whether this instance is one of those that watch the store.
func (s *State) WatchesStore(now time.Time) bool {
	s.lock(now)
	defer s.mu.Unlock()
	return s.roster.Watches(now)
}

// WritesStore reports whether this instance is the one that writes the fleet's data to the
// store.
func (s *State) WritesStore(now time.Time) bool {
	s.lock(now)
	defer s.mu.Unlock()
	return s.roster.Leads(now)
}

// registeredInstances is how many live instances are registered in the store. It is enough
// for an instance that receives no reports to find a live one after many have failed.
const registeredInstances = 16

// RegistersInStore reports whether this instance is one of those that register in the
// store.
func (s *State) RegistersInStore(now time.Time) bool {
	s.lock(now)
	defer s.mu.Unlock()
	return s.roster.Chosen(now, crhash.Of("register"), registeredInstances)
}

// Alive returns the live instances other than this one.
func (s *State) Alive(now time.Time) []crliveness.Instance {
	s.lock(now)
	defer s.mu.Unlock()
	return s.roster.Alive(now)
}
