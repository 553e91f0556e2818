package crgrant

import (
	"math"
	"time"

	"crocusrack/core/crhealth"
	"crocusrack/core/crledger"
	"crocusrack/core/crplace"
	"crocusrack/core/crramp"
	"crocusrack/core/crswitch"
	pb "crocusrack/schema/crrouter"
)

const (
	// maxReportedRamps bounds the ramps in a report, and maxDigestRamps those in a digest or a
	// bulletin. An entry has some 14 bytes.
	maxReportedRamps = 16
	maxDigestRamps   = 32
	// loadedShare is the fraction of the load that its level allows that an endpoint must have
	// for an outcome in time to count. Answers without load tell nothing of a higher load.
	loadedShare = 0.5
	// promptFactor is the multiple of the usual time up to which an answer is in time whatever
	// the route aims at, and untargetedFactor the one from which it is late where the route
	// aims at nothing.
	promptFactor     = 2
	untargetedFactor = 4
	// minForecasts is the number of measured times of a service from which its usual time is
	// known. Before, an answer isn't late where the route aims at nothing.
	minForecasts = 16
	// targetShare is the fraction of the target up to which an answer is in time. One that
	// takes longer tells neither that the endpoint bears more nor that it bears less.
	targetShare = 0.5
)

// RampEvent is the beginning or the end of the ramp of a listed endpoint.
type RampEvent struct {
	crramp.Event
	ID, Service string
}

// DumpRamp is the ramp of an endpoint in a Dump.
type DumpRamp struct {
	// Level is the fraction of its fair part that the endpoint gets.
	Level float64 `json:"level"`
	// Phase counts the changes of course, and Halvings how often the level was halved.
	Phase    int    `json:"phase"`
	Halvings int    `json:"halvings"`
	Age      string `json:"age"`
	// InTime and Late are outcomes in the phase over all instances.
	InTime int `json:"in-time"`
	Late   int `json:"late"`
}

// rampTable holds the ramps of endpoints.
type rampTable struct {
	crramp.Table
	// expired is when ramps were last looked at that may be over.
	expired time.Time
}

// initRamps connects the ramps with the placer, unless they are switched off.
func (s *State) initRamps() {
	if s.Disabled.Has(crswitch.EndpointRamps) {
		return
	}
	s.placer.Ramping = func() bool { return s.ramps.Active() > 0 }
	s.placer.RampLevel = s.ramps.Level
	s.ramps.OnEvent = func(e crramp.Event) {
		if o := s.placer.Endpoint(e.Endpoint); o != nil && s.OnRamp != nil {
			s.OnRamp(RampEvent{e, o.ID, o.Service})
		}
	}
}

// beginRamp begins the ramp of an endpoint unless ramps are switched off.
// from is the time from which on the endpoint may get its part, if that is later than now.
func (s *State) beginRamp(now, from time.Time, k crledger.Key, cause crramp.Cause) {
	if !s.Disabled.Has(crswitch.EndpointRamps) {
		s.ramps.Begin(now, from, k, cause)
	}
}

// beginListedRamps begins the ramps of endpoints that were not listed before or turned cold,
// after the list was replaced. An instance that has no list yet knows only of cold ones; others
// tell it of the rest.
func (s *State) beginListedRamps(now time.Time, before, list []*crplace.Endpoint) {
	known := make(map[crledger.Key]*crplace.Endpoint, len(before))
	for _, e := range before {
		known[e.Key] = e
	}
	s.forgetRamps(now)
	for _, e := range list {
		switch o := known[e.Key]; {
		case now.Before(e.ColdUntil) && (o == nil || !now.Before(o.ColdUntil)):
			s.beginRamp(now, e.ColdUntil, e.Key, crramp.TurnedCold)
		case o == nil && len(before) > 0:
			s.beginRamp(now, now, e.Key, crramp.Listed)
		}
	}
}

// rampExpiryInterval is the interval at which ramps are looked at that may be over.
const rampExpiryInterval = 200 * time.Millisecond

// expireRamps ends ramps that are over.
func (s *State) expireRamps(now time.Time) {
	if s.ramps.Active() == 0 || now.Sub(s.ramps.expired) < rampExpiryInterval {
		return
	}
	s.ramps.expired = now
	s.forgetRamps(now)
}

// forgetRamps ends ramps that are over, and forgets those of endpoints that aren't listed.
func (s *State) forgetRamps(now time.Time) {
	s.ramps.Expire(now, func(k crledger.Key) bool { return s.placer.Endpoint(k) != nil })
}

// rampSample is what a grant keeps for the ramp of its endpoint.
type rampSample struct {
	// phase is the phase in which the request began, or zero if it counts for none.
	phase uint32
	// target is the target of the route, or zero.
	target time.Duration
	// loaded is true if the endpoint had the load that its level allows, and firstCounted once
	// the first event of the answer was counted.
	loaded, firstCounted bool
}

// startRampSample notes what a request will tell of an endpoint in a ramp. A request to a cold
// endpoint, whose rate is limited, tells nothing.
func (s *State) startRampSample(now time.Time, g *Grant, a Request) {
	if s.ramps.Active() == 0 || a.Service.MaxColdRate > 0 && now.Before(g.Endpoint.ColdUntil) {
		return
	}
	k := g.Endpoint.Key
	wanted := loadedShare * s.ramps.Level(k) * g.MeanInFlight
	g.rampSample = rampSample{phase: s.ramps.Phase(k), target: a.Target, loaded: float64(g.InFlight+1) >= wanted}
}

// recordForRamp counts the first event of a request's answer, or its end if no event was counted,
// for the ramp of the endpoint. An answer that breaks off after its first event counts as failed.
func (g *Grant) recordForRamp(now time.Time, o crhealth.Outcome) {
	s, sample := g.state, &g.rampSample
	if sample.phase == 0 || sample.firstCounted && o == crhealth.Good {
		return
	}
	sample.firstCounted = true
	speed := s.pace.Speed(now, g.Endpoint.Service)
	usual, took := speed.Forecast(1, g.Job).Total(), now.Sub(g.started)
	bound := sample.target
	if bound == 0 {
		bound = untargetedFactor * usual
		if _, known := s.pace.ForecastError(g.Endpoint.Service); known < minForecasts {
			bound = math.MaxInt64
		}
	}
	switch {
	case o != crhealth.Good || took > max(bound, promptFactor*usual):
		s.ramps.Record(now, g.Endpoint.Key, sample.phase, true)
	case took > max(time.Duration(targetShare*float64(bound)), promptFactor*usual):
	case sample.loaded && !s.statesQueue(now, g.Endpoint.Key):
		s.ramps.Record(now, g.Endpoint.Key, sample.phase, false)
	}
}

// statesQueue reports whether an endpoint said that requests wait there.
func (s *State) statesQueue(now time.Time, k crledger.Key) bool {
	g, ok := s.gauges.Last(now, k)
	return ok && g.Waiting > 0
}

// rampsProto encodes up to limit ramps as messages carry them, with the outcomes of this instance
// and of the sources that are wanted. It returns nil if there are none.
func (s *State) rampsProto(now time.Time, limit int, want func(source string) bool) *pb.Ramps {
	list := s.ramps.Statements(now, limit, want)
	if len(list) == 0 {
		return nil
	}
	m := &pb.Ramps{}
	for _, o := range list {
		m.Endpoints = append(m.Endpoints, shortKey(o.Endpoint))
		m.Phases = append(m.Phases, o.Number)
		m.Levels = append(m.Levels, o.Level)
		m.Halvings = append(m.Halvings, o.Halvings)
		m.AgeMs = append(m.AgeMs, uint32(o.Age.Milliseconds()))
		m.InTime = append(m.InTime, o.InTime)
		m.Late = append(m.Late, o.Late)
	}
	return m
}

// applyRamps applies what a source said of ramps. It skips endpoints that aren't listed, and
// entries that aren't whole.
func (s *State) applyRamps(now time.Time, source string, m *pb.Ramps) {
	if s.Disabled.Has(crswitch.EndpointRamps) {
		return
	}
	whole := min(len(m.GetPhases()), len(m.GetLevels()), len(m.GetHalvings()), len(m.GetAgeMs()), len(m.GetInTime()), len(m.GetLate()))
	for i, short := range m.GetEndpoints()[:min(len(m.GetEndpoints()), whole, maxDigestRamps)] {
		k, known := s.keysByShortKey[short]
		if !known {
			continue
		}
		s.ramps.Apply(now, source, crramp.Statement{
			Endpoint: k,
			Phase:    crramp.Phase{Number: m.GetPhases()[i], Level: m.GetLevels()[i], Halvings: m.GetHalvings()[i]},
			Age:      time.Duration(m.GetAgeMs()[i]) * time.Millisecond,
			Counts:   crramp.Counts{InTime: m.GetInTime()[i], Late: m.GetLate()[i]},
		}, source == fleetSource)
	}
}

// dumpRamps returns the ramps for a Dump, by endpoint.
func (s *State) dumpRamps(now time.Time) map[crledger.Key]*DumpRamp {
	ramps := make(map[crledger.Key]*DumpRamp)
	for _, o := range s.ramps.All(now) {
		ramps[o.Endpoint] = &DumpRamp{
			Level: s.ramps.Level(o.Endpoint), Phase: int(o.Number), Halvings: int(o.Halvings), Age: o.Age.Round(time.Millisecond).String(),
			InTime: int(o.InTime), Late: int(o.Late),
		}
	}
	return ramps
}
