package crgrant

import (
	"time"

	"crocusrack/core/crledger"
	"crocusrack/core/crlimit"
	pb "crocusrack/schema/crrouter"
)

const (
	// maxReportedLimits bounds the limits of endpoints in a report, and maxDigestLimits those
	// in a digest, which covers a failure domain.
	maxReportedLimits = 32
	maxDigestLimits   = 128
)

// RecordLimit records the number of requests per second that the endpoint says it takes from
// all instances together, or crlimit.None. It reports whether that changed.
func (g *Grant) RecordLimit(now time.Time, perSecond float64) bool {
	s := g.state
	s.lock(now)
	defer s.mu.Unlock()
	return s.limits.Record(crlimit.Statement{Endpoint: g.Endpoint.Key, PerSecond: perSecond, At: s.Elapsed()})
}

// limitsProto encodes statements as messages carry them. It returns nil if there are none.
func (s *State) limitsProto(list []crlimit.Statement) *pb.EndpointLimits {
	if len(list) == 0 {
		return nil
	}
	elapsed, m := s.Elapsed(), &pb.EndpointLimits{}
	for _, o := range list {
		m.Endpoints = append(m.Endpoints, uint64(o.Endpoint))
		m.PerSecond = append(m.PerSecond, o.PerSecond)
		m.AgeMs = append(m.AgeMs, uint64(max(0, (elapsed-o.At).Milliseconds())))
	}
	return m
}

// maxLimitAge bounds the age of a statement in a message. Older ones have expired.
const maxLimitAge = 24 * time.Hour

// applyLimits applies the statements of a message. It skips those without a rate or an age.
func (s *State) applyLimits(m *pb.EndpointLimits) {
	elapsed := s.Elapsed()
	for i, k := range m.GetEndpoints() {
		if i >= len(m.GetPerSecond()) || i >= len(m.GetAgeMs()) {
			return
		}
		age := time.Duration(min(m.GetAgeMs()[i], uint64(maxLimitAge.Milliseconds()))) * time.Millisecond
		s.limits.Apply(elapsed, crlimit.Statement{Endpoint: crledger.Key(k), PerSecond: m.GetPerSecond()[i], At: elapsed - age})
	}
}
