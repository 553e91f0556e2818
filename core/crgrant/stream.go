package crgrant

import (
	"time"

	"crocusrack/core/crlatency"
	"crocusrack/core/crplace"
	"crocusrack/core/crretry"
	"crocusrack/core/crstream"
	"crocusrack/core/crswitch"
	pb "crocusrack/schema/crrouter"
)

// Stream is the progress of a stream that answers a request.
type Stream struct {
	// Events is the number of events that the caller has.
	Events int
	// MaxEventGap is the longest pause between events that is in time. Zero means any.
	MaxEventGap time.Duration
}

// RecordPause records pauses between the events of the request's stream, by when the
// endpoint's bytes were read. Its callers report each pause once.
func (g *Grant) RecordPause(now time.Time, p crstream.Pauses) {
	s := g.state
	s.lock(now)
	defer s.mu.Unlock()
	s.streams.Observe(now, g.Endpoint.Service, g.Endpoint.Key, p)
}

// RecordLength records the number of events of a complete stream.
func (g *Grant) RecordLength(now time.Time, events int) {
	s := g.state
	s.lock(now)
	defer s.mu.Unlock()
	s.streams.ObserveLength(g.route, events)
}

// streamFor returns what placement considers of a request's stream. It is empty while no
// endpoint of the service is slow.
func (s *State) streamFor(now time.Time, a Request) crplace.Stream {
	if a.Stream == nil || s.Disabled.Has(crswitch.StreamMoves) || !s.streams.AnySlow(now, a.Service.Name) {
		return crplace.Stream{}
	}
	r := crplace.Stream{Events: s.eventsLeft(a.Route, *a.Stream), MaxEventGap: a.Stream.MaxEventGap}
	if !a.Deadline.IsZero() {
		r.Left = max(time.Millisecond, a.Deadline.Sub(now))
	}
	return r
}

// eventsLeft returns the number of events that a stream is expected to be without, or zero if
// that isn't known.
func (s *State) eventsLeft(route string, a Stream) int {
	return max(0, s.streams.Length(route)-a.Events)
}

// move returns the move of a stream as far as it concerns the endpoint that runs it.
func (g *Grant) move(now time.Time, a Stream, deadline time.Time) crretry.Move {
	s := g.state
	return crretry.Move{
		Events: s.eventsLeft(g.route, a),
		Here:   s.streams.Interval(now, g.Endpoint.Service, g.Endpoint.Key),
		Left:   deadline.Sub(now),
	}
}

// RunsLate reports whether the request's stream will not complete before the deadline at the
// present speed of its endpoint, would at one that is as fast as usual, and can't wait longer.
func (g *Grant) RunsLate(now time.Time, a Stream, deadline time.Time) bool {
	s := g.state
	s.lock(now)
	defer s.mu.Unlock()
	if s.Disabled.Has(crswitch.StreamMoves) || !s.streams.AnySlow(now, g.Endpoint.Service) {
		return false
	}
	m := g.move(now, a, deadline)
	m.There = s.streams.Typical(g.Endpoint.Service)
	return m.Due()
}

// MoveHelps reports whether the request's stream, which runs late, will complete in time at
// the endpoint of another grant.
func (g *Grant) MoveHelps(now time.Time, a Stream, deadline time.Time, other *Grant) bool {
	s := g.state
	s.lock(now)
	defer s.mu.Unlock()
	m := g.move(now, a, deadline)
	m.There = s.streams.Interval(now, other.Endpoint.Service, other.Endpoint.Key)
	m.First = other.Forecast.Total()
	return m.Helps()
}

const (
	// maxReportedIntervals bounds the intervals of endpoints in a report, and
	// maxDigestIntervals those in a digest or bulletin. Each takes some 9 bytes.
	maxReportedIntervals = 8
	maxDigestIntervals   = 24
)

// addIntervals adds the intervals between events at slow endpoints to a message, which may be
// nil, and returns it.
func (s *State) addIntervals(now time.Time, m *pb.Gauges, max int) *pb.Gauges {
	if s.Disabled.Has(crswitch.StreamMoves) {
		return m
	}
	for _, i := range s.streams.News(now, max) {
		if m == nil {
			m = &pb.Gauges{}
		}
		m.SlowEndpoints = append(m.SlowEndpoints, shortKey(i.Endpoint))
		m.EventIntervalMs = append(m.EventIntervalMs, uint32(i.Interval.Milliseconds()))
		m.EventIntervalAgeMs = append(m.EventIntervalAgeMs, uint32(now.Sub(i.At).Milliseconds()))
	}
	return m
}

// applyIntervals records the intervals of a message. It skips those of endpoints that aren't
// listed, and those that lack a field.
func (s *State) applyIntervals(now time.Time, m *pb.Gauges) {
	if s.Disabled.Has(crswitch.StreamMoves) {
		return
	}
	count := min(len(m.GetSlowEndpoints()), len(m.GetEventIntervalMs()), len(m.GetEventIntervalAgeMs()))
	for i := range count {
		k, listed := s.keysByShortKey[m.SlowEndpoints[i]]
		if !listed {
			continue
		}
		s.streams.Apply(now, crlatency.EventInterval{
			Endpoint: k, Service: s.placer.Endpoint(k).Service,
			Interval: time.Duration(m.EventIntervalMs[i]) * time.Millisecond,
			At:       now.Add(-time.Duration(m.EventIntervalAgeMs[i]) * time.Millisecond),
		})
	}
}
