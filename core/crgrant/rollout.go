package crgrant

import (
	"math"
	"time"

	"google.golang.org/protobuf/types/known/durationpb"

	"crocusrack/core/crfreshness"
	"crocusrack/core/crhealth"
	"crocusrack/core/crplace"
	"crocusrack/core/crrollout"
	pb "crocusrack/schema/crrouter"
)

const (
	// rolloutFreshness is the age of the evidence for the endpoints beyond which this
	// instance neither promotes nor completes a version. In a large fleet the evidence
	// passes two relays.
	rolloutFreshness = 2 * time.Second
	// justStarted is the time since an endpoint was first listed during which it may be
	// slow whatever its version.
	justStarted = 3 * time.Second
	// rolloutCountUnit is the fraction of an answer that is reported as 1.
	rolloutCountUnit = 0.1
)

// setRolloutEndpoints tells the roll-outs of the endpoints.
func (s *State) setRolloutEndpoints(list []*crplace.Endpoint) {
	if s.rollouts.Limits.Share <= 0 {
		return
	}
	endpoints := make([]crrollout.Endpoint, 0, len(list))
	listed := make(map[string]bool, len(list))
	for _, e := range list {
		endpoints = append(endpoints, crrollout.Endpoint{
			Key: e.Key, Service: e.Service, Version: e.Version, Incarnation: e.Incarnation, Slots: e.Slots, Ready: !e.Draining,
		})
		listed[e.ID] = true
		if _, ok := s.firstListed[e.ID]; !ok {
			s.firstListed[e.ID] = s.callTime
		}
	}
	for id := range s.firstListed {
		if !listed[id] {
			delete(s.firstListed, id)
		}
	}
	s.rollouts.SetEndpoints(endpoints)
}

// recordForRollout records how the request ended for the roll-out of its service, if there
// is one. A request that the endpoint didn't run tells nothing of its version.
func (g *Grant) recordForRollout(now time.Time, o crhealth.Outcome, abandoned bool) {
	s := g.state
	if o == crhealth.Refused || o == crhealth.Unreachable {
		return
	}
	reading := g.Forecast.Backlog + g.Forecast.Fetch + g.Forecast.Prefill
	s.rollouts.Record(now, crrollout.Sample{
		Service: g.Endpoint.Service, Route: g.route, Endpoint: g.Endpoint.Key,
		Took:   max(now.Sub(g.started)-reading, time.Millisecond),
		Held:   now.Sub(g.started),
		Failed: o != crhealth.Good, Abandoned: abandoned,
		WarmingUp: g.started.Before(g.Endpoint.ColdUntil) || g.started.Before(s.firstListed[g.Endpoint.ID].Add(justStarted)),
	})
}

// evaluateRollouts looks at what the fleet has seen of new versions.
func (s *State) evaluateRollouts(now time.Time) {
	for _, e := range s.rollouts.Evaluate(now, s.rolloutFleet(now)) {
		s.signalUrgent()
		if s.OnRollout != nil {
			s.OnRollout(e)
		}
	}
}

// rolloutFleet returns what roll-outs need to know of the fleet.
func (s *State) rolloutFleet(now time.Time) crrollout.Fleet {
	inFlight := func(work func(e *crplace.Endpoint) int) func(service, version string) int {
		return func(service, version string) int {
			n := 0
			for _, e := range s.endpoints {
				if e.Service == service && e.Version == version {
					n += work(e)
				}
			}
			return n
		}
	}
	own := s.work.Own()
	return crrollout.Fleet{
		Size:     s.roster.Size(now),
		Fresh:    s.isFresh(&s.EndpointsEvidence, rolloutFreshness),
		InFlight: inFlight(func(e *crplace.Endpoint) int { return s.work.InFlight(e.Key) }),
		Own:      inFlight(func(e *crplace.Endpoint) int { return own[e.Key] }),
	}
}

func (s *State) isFresh(e *crfreshness.Evidence, oldest time.Duration) bool {
	age, ok := e.Age(s.Elapsed())
	return ok && age < oldest
}

// SetRollouts replaces the operators' orders if their position is after the current one. It
// reports whether it did.
func (s *State) SetRollouts(now time.Time, m *pb.Rollouts) bool {
	s.lock(now)
	defer s.mu.Unlock()
	at := s.positionFrom(NewPosition(m.GetEra(), m.GetRevision()), s.rolloutsPosition)
	if at <= s.rolloutsPosition {
		return false
	}
	if s.entersEra(now, s.rolloutsPosition, at) {
		s.rollouts.StoreRestored(now)
	}
	s.rolloutsPosition = at
	var list []crrollout.Order
	for _, r := range m.GetRollouts() {
		list = append(list, orderFromProto(r))
	}
	s.rollouts.SetOrders(now, list)
	return true
}

// MixedServices returns the services that have endpoints of several versions, so that an
// order to move their traffic may have been given.
func (s *State) MixedServices(now time.Time) []crrollout.Versions {
	s.lock(now)
	defer s.mu.Unlock()
	return s.rollouts.Mixed()
}

// RolloutRecords returns the states of roll-outs that the store is to record now. It
// returns none unless this instance writes to the store. The caller asks right before each
// write.
func (s *State) RolloutRecords(now time.Time) []crrollout.Record {
	s.lock(now)
	defer s.mu.Unlock()
	if !s.roster.Leads(now) {
		return nil
	}
	s.evaluateRollouts(now)
	return s.rollouts.Records(now, s.rolloutFleet(now))
}

// RolloutRecorded applies a state that the store has recorded at a revision.
func (s *State) RolloutRecorded(now time.Time, r crrollout.Record, revision uint64) {
	s.lock(now)
	defer s.mu.Unlock()
	s.rollouts.Recorded(r, revision)
}

// RolloutsEnabled reports whether this instance follows orders to move the traffic of a
// service.
func (s *State) RolloutsEnabled() bool {
	s.init()
	return s.rollouts.Limits.Share > 0
}

func orderFromProto(m *pb.Rollout) crrollout.Order {
	return crrollout.Order{
		ID: m.GetId(), Service: m.GetService(), Target: m.GetTarget(), Duration: m.GetDuration().AsDuration(),
		State: rolloutStates[m.GetState()], Revision: m.GetRevision(),
	}
}

var rolloutStates = map[pb.RolloutState]crrollout.State{
	pb.RolloutState_ROLLOUT_STATE_RUNNING:     crrollout.Running,
	pb.RolloutState_ROLLOUT_STATE_COMPLETED:   crrollout.Completed,
	pb.RolloutState_ROLLOUT_STATE_ROLLED_BACK: crrollout.RolledBack,
}

var rolloutStatesProto = map[crrollout.State]pb.RolloutState{
	crrollout.Running:    pb.RolloutState_ROLLOUT_STATE_RUNNING,
	crrollout.Completed:  pb.RolloutState_ROLLOUT_STATE_COMPLETED,
	crrollout.RolledBack: pb.RolloutState_ROLLOUT_STATE_ROLLED_BACK,
}

// rolloutsProto returns the orders as a snapshot carries them.
func (s *State) rolloutsProto() *pb.Rollouts {
	m := &pb.Rollouts{Revision: s.rolloutsPosition.Revision(), Era: s.rolloutsPosition.Era()}
	for _, o := range s.rollouts.Orders() {
		m.Rollouts = append(m.Rollouts, &pb.Rollout{
			Id: o.ID, Service: o.Service, Target: o.Target, Duration: durationpb.New(o.Duration),
			State: rolloutStatesProto[o.State], Revision: o.Revision,
		})
	}
	return m
}

// progressProto returns what this instance and the others for which want returns true know
// of the roll-outs.
func (s *State) progressProto(now time.Time, want func(string) bool) []*pb.RolloutProgress {
	var list []*pb.RolloutProgress
	count := func(n float64) uint32 { return uint32(math.Round(n / rolloutCountUnit)) }
	for _, p := range s.rollouts.Progress(now, want) {
		m := &pb.RolloutProgress{Rollout: p.ID, Bad: p.Bad, Age: durationpb.New(p.Age), Switched: uint32(p.Switched)}
		if p.Moved {
			m.Promoted = durationpb.New(p.Promoted)
		}
		for c, n := range p.Counts {
			m.Routes, m.Buckets = append(m.Routes, c.Route), append(m.Buckets, uint32(c.Bucket))
			m.Ended, m.Failed = append(m.Ended, count(n.Ended)), append(m.Failed, count(n.Failed))
			m.Timed, m.Slow = append(m.Timed, count(n.Timed)), append(m.Slow, count(n.Slow))
		}
		list = append(list, m)
	}
	return list
}

// applyProgress takes over what an instance, or several as one sum, know of the roll-outs.
func (s *State) applyProgress(now time.Time, from string, list []*pb.RolloutProgress, counted []crrollout.Progress) {
	if len(list) == 0 {
		return
	}
	var progress []crrollout.Progress
	for _, m := range list {
		p := crrollout.Progress{
			ID: m.GetRollout(), Bad: m.GetBad(), Age: m.GetAge().AsDuration(), Promoted: m.GetPromoted().AsDuration(),
			Moved: m.Promoted != nil, Switched: int(m.GetSwitched()), Counts: make(map[crrollout.Cell]crrollout.Counts),
		}
		for i, route := range m.GetRoutes() {
			if i >= min(len(m.Buckets), len(m.Ended), len(m.Failed), len(m.Timed), len(m.Slow)) || m.Buckets[i] > crrollout.Buckets {
				break
			}
			p.Counts[crrollout.Cell{Route: route, Bucket: uint8(m.Buckets[i])}] = crrollout.Counts{
				Ended: rolloutCountUnit * float64(m.Ended[i]), Failed: rolloutCountUnit * float64(m.Failed[i]),
				Timed: rolloutCountUnit * float64(m.Timed[i]), Slow: rolloutCountUnit * float64(m.Slow[i]),
			}
		}
		progress = append(progress, p)
	}
	s.rollouts.Receive(now, from, progress, counted)
	s.evaluateRollouts(now)
}
