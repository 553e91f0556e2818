package crgrant

import (
	"time"

	"crocusrack/core/crhealth"
	"crocusrack/core/crledger"
	pb "crocusrack/schema/crrouter"
)

// failuresProto encodes counts as messages carry them, with maxWorkEntries endpoints at
// most. It returns nil if there are none.
func failuresProto(c crhealth.Counts) *pb.Failures {
	if len(c.Failed) == 0 {
		return nil
	}
	m := &pb.Failures{}
	for k, n := range c.Failed {
		if len(m.Endpoints) >= maxWorkEntries {
			break
		}
		m.Endpoints = append(m.Endpoints, shortKey(k))
		m.Failed = append(m.Failed, uint32(n))
		m.Ended = append(m.Ended, uint32(c.Ended[k]))
	}
	return m
}

// applyFailures records the outcomes at failing endpoints that an instance, or several as
// one sum, reported. The counts in counted are already part of the sum and are subtracted.
func (s *State) applyFailures(now time.Time, from string, m *pb.Failures, counted crhealth.Counts) {
	c := crhealth.Counts{Failed: make(map[crledger.Key]int), Ended: make(map[crledger.Key]int)}
	for i, short := range m.GetEndpoints() {
		k, known := s.keysByShortKey[short]
		if !known || i >= len(m.GetFailed()) || i >= len(m.GetEnded()) {
			continue
		}
		c.Failed[k] += max(0, int(m.GetFailed()[i])-counted.Failed[k])
		c.Ended[k] += max(0, int(m.GetEnded()[i])-counted.Ended[k])
	}
	s.failures.SetPeerCounts(now, from, c)
}
