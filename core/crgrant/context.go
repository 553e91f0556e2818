package crgrant

import (
	"slices"
	"time"

	"crocusrack/core/crcontext"
	"crocusrack/core/crledger"
	pb "crocusrack/schema/crrouter"
)

func (s *State) takeContext(now time.Time, c *pb.Context) {
	until := time.Time{}
	if c.Reading != nil {
		until = now.Add(c.GetReading().AsDuration())
		if e := s.placer.Endpoint(crledger.Key(c.GetEndpoint())); e != nil {
			s.reads.Until(e.Key, until.Add(-s.readSlack(now, e)))
		}
	}
	link := crcontext.Link{Chain: c.GetChain(), Tokens: int(c.GetTokens())}
	s.contexts.Note(now, link, true, crledger.Key(c.GetEndpoint()), until)
}

// Contexts returns what endpoints hold and was of use lately.
func (s *State) Contexts(now time.Time) *pb.Contexts {
	s.lock(now)
	defer s.mu.Unlock()
	m := &pb.Contexts{}
	for _, h := range s.contexts.Recent(now.Add(-checkpointAge), checkpointSize) {
		if s.placer.Endpoint(h.Endpoint) != nil {
			m.Contexts = append(m.Contexts, &pb.Context{Chain: h.Chain, Endpoint: uint64(h.Endpoint), Tokens: uint32(h.Tokens)})
		}
	}
	return m
}

// HasContexts reports whether this instance knows of contexts.
func (s *State) HasContexts() bool {
	s.init()
	s.mu.Lock()
	defer s.mu.Unlock()
	return !s.contexts.Empty()
}

// TakeContexts takes in what endpoints hold by another instance's word.
func (s *State) TakeContexts(now time.Time, m *pb.Contexts) {
	s.lock(now)
	defer s.mu.Unlock()
	for _, c := range slices.Backward(m.GetContexts()) {
		s.takeContext(now, c)
	}
}
