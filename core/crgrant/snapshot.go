package crgrant

import (
	"time"

	pb "crocusrack/schema/crrouter"
)

// Snapshot returns the data that is newer than the given versions.
func (s *State) Snapshot(now time.Time, have Versions) *pb.Snapshot {
	s.lock(now)
	defer s.mu.Unlock()
	m := &pb.Snapshot{}
	if s.routingTable != nil && s.routingTable.Version > have.Routing {
		m.Routing = s.routing
	}
	if base := s.snapshotBase(have.Endpoints, s.endpointsPosition); s.endpointsPosition > base {
		m.Endpoints = s.endpointsSince(now, base)
	}
	if s.outsPosition > s.snapshotBase(have.Outs, s.outsPosition) {
		m.Outs = &pb.Outs{Revision: s.outsPosition.Revision(), Era: s.outsPosition.Era(), Provisional: s.outsPosition.IsProvisional()}
		for d := range s.outs {
			m.Outs.FailureDomains = append(m.Outs.FailureDomains, d)
		}
	}
	if s.rolloutsPosition > s.snapshotBase(have.Rollouts, s.rolloutsPosition) {
		m.Rollouts = s.rolloutsProto()
	}
	return m
}

// ApplySnapshot applies the newer data in another instance's snapshot. It returns
// ErrIncomplete if the complete list of endpoints must be fetched, and an error if the
// address of an endpoint can't be parsed.
func (s *State) ApplySnapshot(now time.Time, m *pb.Snapshot) error {
	if m.Routing != nil {
		s.SetRouting(m.GetRouting())
	}
	if m.Endpoints != nil {
		list, err := s.mergeEndpoints(now, m.GetEndpoints())
		if err != nil {
			return err
		}
		s.SetEndpoints(now, s.snapshotPosition(m.GetEndpoints(), &s.endpointsPosition), list)
	}
	if m.Outs != nil {
		s.SetOutOfService(now, s.snapshotPosition(m.GetOuts(), &s.outsPosition), m.GetOuts().GetFailureDomains())
	}
	if m.Rollouts != nil {
		s.SetRollouts(now, m.GetRollouts())
	}
	return nil
}
