package crgrant

import (
	"slices"
	"time"

	"crocusrack/core/crcontext"
	"crocusrack/core/crledger"
	pb "crocusrack/schema/crrouter"
)

// applyContext records a context that another instance reported an endpoint to hold or to
// be reading.
func (s *State) applyContext(now time.Time, c *pb.Context) {
	until := time.Time{}
	if c.Reading != nil {
		until = now.Add(c.GetReading().AsDuration())
		if e := s.placer.Endpoint(crledger.Key(c.GetEndpoint())); e != nil {
			s.reads.Extend(e.Key, until.Add(-s.readTolerance(now, e)))
		}
	}
	link := crcontext.Link{Chain: c.GetChain(), Tokens: int(c.GetTokens())}
	s.contexts.Record(now, link, true, crledger.Key(c.GetEndpoint()), until)
}

// Contexts returns the recently used contexts that endpoints hold, the evidence of parts of
// prompts that crash endpoints, and the limits that endpoints have named.
func (s *State) Contexts(now time.Time) *pb.Contexts {
	s.lock(now)
	defer s.mu.Unlock()
	m := &pb.Contexts{CrashEvidence: evidenceProto(now, s.quarantine.All()), Limits: s.limitsProto(s.limits.All())}
	for _, h := range s.contexts.Recent(now.Add(-maxCheckpointAge), maxCheckpointContexts) {
		if s.placer.Endpoint(h.Endpoint) != nil {
			m.Contexts = append(m.Contexts, &pb.Context{Chain: h.Chain, Endpoint: uint64(h.Endpoint), Tokens: uint32(h.Tokens)})
		}
	}
	return m
}

// HasContexts reports whether this instance knows of any contexts.
func (s *State) HasContexts() bool {
	s.init()
	s.mu.Lock()
	defer s.mu.Unlock()
	return !s.contexts.Empty()
}

// ApplyContexts records the contexts that another instance knows of, its evidence of parts of
// prompts that crash endpoints, and the limits of endpoints.
func (s *State) ApplyContexts(now time.Time, m *pb.Contexts) {
	s.lock(now)
	defer s.mu.Unlock()
	for _, c := range slices.Backward(m.GetContexts()) {
		s.applyContext(now, c)
	}
	s.applyEvidence(now, m.GetCrashEvidence())
	s.applyLimits(m.GetLimits())
}
