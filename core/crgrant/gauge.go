package crgrant

import (
	"math"
	"time"

	"crocusrack/core/crgauge"
	"crocusrack/core/crplace"
	"crocusrack/core/crswitch"
	pb "crocusrack/schema/crrouter"
)

const (
	// maxReportedGauges bounds the statements of endpoints in a report, maxDigestGauges those
	// in a digest, which covers a failure domain, and maxBulletinGauges those in a bulletin.
	// Each takes some 16 bytes.
	maxReportedGauges = 8
	maxDigestGauges   = 24
	maxBulletinGauges = 32
	// permille is the unit in which messages carry a pace.
	permille = 1000
)

// initGauges lets placement use statements and the pauses of streams.
func (s *State) initGauges() {
	if !s.Disabled.Has(crswitch.EndpointGauges) {
		s.placer.StatedLoad = s.statedLoad
	}
	if !s.Disabled.Has(crswitch.StreamMoves) {
		s.placer.EventInterval = func(e *crplace.Endpoint) time.Duration {
			return s.streams.Interval(s.callTime, e.Service, e.Key)
		}
	}
}

// RecordGauge records what the endpoint states of its load now.
func (g *Grant) RecordGauge(now time.Time, a crgauge.Statement) {
	s := g.state
	s.lock(now)
	defer s.mu.Unlock()
	if !s.Disabled.Has(crswitch.EndpointGauges) && s.placer.Endpoint(g.Endpoint.Key) != nil {
		s.gauges.Record(now, crgauge.Gauge{Endpoint: g.Endpoint.Key, Statement: a, At: now}, s.work.Own()[g.Endpoint.Key])
	}
}

// statedLoad returns the load of an endpoint with some requests in flight by its statements.
func (s *State) statedLoad(e *crplace.Endpoint, inFlight int) crplace.StatedLoad {
	l := crplace.StatedLoad{InFlight: inFlight}
	if !s.gauges.Has(e.Key) {
		return l
	}
	speed := s.pace.Speed(s.callTime, e.Service)
	if others, ok := s.gauges.Others(s.callTime, e.Key, s.othersPerSlot(e.Service), speed.Overhead(1)); ok {
		l.InFlight = s.work.Own()[e.Key] + int(math.Round(others))
	}
	if pace, stated := s.gauges.Pace(s.callTime, e.Key); stated {
		l.Pace = pace
	}
	return l
}

// meanOthers is a mean of crgauge.Table.OthersPerSlot, as of one call.
type meanOthers struct {
	at      time.Time
	service string
	perSlot float64
}

// othersPerSlot returns the mean number of other instances' requests at each slot of a
// service, by the statements of its endpoints.
func (s *State) othersPerSlot(service string) float64 {
	if m := s.meanOthers; m.service != service || !m.at.Equal(s.callTime) {
		perSlot, _ := s.gauges.OthersPerSlot(s.callTime, s.placer.Keys(service))
		s.meanOthers = meanOthers{s.callTime, service, perSlot}
	}
	return s.meanOthers.perSlot
}

// gaugesProto encodes up to max statements and intervals as messages carry them. It returns nil
// if there are none.
func (s *State) gaugesProto(now time.Time, max, maxIntervals int) *pb.Gauges {
	list := s.gauges.News(now, max)
	if len(list) == 0 {
		return s.addIntervals(now, nil, maxIntervals)
	}
	m := &pb.Gauges{}
	for _, g := range list {
		m.Endpoints = append(m.Endpoints, shortKey(g.Endpoint))
		m.Running = append(m.Running, uint32(g.Running))
		m.Waiting = append(m.Waiting, uint32(g.Waiting))
		m.Slots = append(m.Slots, uint32(g.Slots))
		m.PacePermille = append(m.PacePermille, uint32(math.Round(permille*g.Pace)))
		m.AgeMs = append(m.AgeMs, uint32(now.Sub(g.At).Milliseconds()))
	}
	return s.addIntervals(now, m, maxIntervals)
}

// applyGauges records the statements and intervals of a message. It skips those of endpoints that aren't
// listed, such as earlier incarnations, and those that lack a field.
func (s *State) applyGauges(now time.Time, m *pb.Gauges) {
	s.applyIntervals(now, m)
	if s.Disabled.Has(crswitch.EndpointGauges) {
		return
	}
	count := min(len(m.GetEndpoints()), len(m.GetRunning()), len(m.GetWaiting()), len(m.GetSlots()),
		len(m.GetPacePermille()), len(m.GetAgeMs()))
	for i := range count {
		k, listed := s.keysByShortKey[m.Endpoints[i]]
		if !listed {
			continue
		}
		g := crgauge.Gauge{
			Endpoint: k,
			Statement: crgauge.Statement{
				Running: int(m.Running[i]), Waiting: int(m.Waiting[i]), Slots: int(m.Slots[i]),
				Pace: float64(m.PacePermille[i]) / permille,
			},
			At: now.Add(-time.Duration(m.AgeMs[i]) * time.Millisecond),
		}
		s.gauges.Record(now, g, s.work.Own()[k])
	}
}
