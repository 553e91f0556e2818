package crgrant

import (
	"time"

	"crocusrack/core/crquarantine"
	pb "crocusrack/schema/crrouter"
)

// MarkAnswered records that the answer to the request goes on after its beginning, which
// shows that its prompt doesn't crash endpoints. Further calls have no effect.
func (g *Grant) MarkAnswered(now time.Time) {
	s := g.state
	s.lock(now)
	defer s.mu.Unlock()
	if g.answered || len(g.parts) == 0 {
		return
	}
	g.answered = true
	if s.quarantine.RecordAnswer(now, crquarantine.ServicePart(g.Endpoint.Service), g.parts) {
		s.quarantinesChanged(now)
	}
}

// RecordCrash records that the endpoint crashed before MarkAnswered. The parameter request
// is a hash of the request's id.
func (g *Grant) RecordCrash(now time.Time, request uint64) {
	s := g.state
	s.lock(now)
	defer s.mu.Unlock()
	if g.answered || len(g.parts) == 0 {
		return
	}
	c := crquarantine.Crash{
		At: now, Request: request, Endpoint: uint64(g.Endpoint.Key),
		Service: crquarantine.ServicePart(g.Endpoint.Service), Parts: g.parts,
	}
	if s.quarantine.RecordCrash(now, c) {
		s.quarantinesChanged(now)
		s.signalUrgent()
	}
}

// trialInterval is the time between two requests of a trial. A crash under the first one is
// known by then.
const trialInterval = 2 * time.Second

// blockedUntil reports whether a prompt with the given parts is kept from endpoints, and until
// when. During a trial one instance may send such prompts, one in each trialInterval; trial is
// then the part that stands for the quarantine.
func (s *State) blockedUntil(now time.Time, parts []crquarantine.Part) (until time.Time, trial crquarantine.Part, blocked bool) {
	q, blocked := s.quarantine.Blocked(now, parts)
	switch {
	case !blocked:
		return time.Time{}, 0, false
	case !q.OnTrial(now):
		return q.Until, 0, true
	case s.roster.Chosen(now, uint64(q.Parts[0]), 1) && now.Sub(s.trials[q.Parts[0]]) >= trialInterval:
		return time.Time{}, q.Parts[0], false
	}
	return q.TrialEnd(), 0, true
}

// startTrial records that a request of a trial is sent.
func (s *State) startTrial(now time.Time, p crquarantine.Part) {
	for o, at := range s.trials {
		if now.Sub(at) >= trialInterval {
			delete(s.trials, o)
		}
	}
	if s.trials == nil {
		s.trials = make(map[crquarantine.Part]time.Time)
	}
	s.trials[p] = now
}

// quarantinesChanged calls OnQuarantine if other parts are quarantined than at the last
// call.
func (s *State) quarantinesChanged(now time.Time) {
	hash := s.quarantine.Hash(now)
	if hash == s.quarantineHash {
		return
	}
	s.quarantineHash = hash
	if s.OnQuarantine != nil {
		s.OnQuarantine(s.quarantine.Quarantines(now))
	}
}

// Quarantines returns the quarantined parts of prompts.
func (s *State) Quarantines(now time.Time) []crquarantine.Quarantine {
	s.lock(now)
	defer s.mu.Unlock()
	return s.quarantine.Quarantines(now)
}

// evidenceProto encodes evidence as messages carry it. It returns nil if there is none.
func evidenceProto(now time.Time, e crquarantine.Evidence) *pb.CrashEvidence {
	if len(e.Crashes) == 0 && len(e.Answers) == 0 {
		return nil
	}
	m := &pb.CrashEvidence{}
	for _, c := range e.Crashes {
		crash := &pb.PromptCrash{Request: c.Request, Endpoint: c.Endpoint, Service: uint64(c.Service), AgeMs: ageMs(now, c.At)}
		for _, p := range c.Parts {
			crash.Parts = append(crash.Parts, uint64(p))
		}
		m.Crashes = append(m.Crashes, crash)
	}
	for _, a := range e.Answers {
		m.Answers = append(m.Answers, &pb.AnsweredPart{Part: uint64(a.Part), AgeMs: ageMs(now, a.At)})
	}
	return m
}

func ageMs(now, at time.Time) uint32 { return uint32(max(0, now.Sub(at).Milliseconds())) }

// applyEvidence adds the evidence of a message.
func (s *State) applyEvidence(now time.Time, m *pb.CrashEvidence) {
	if m == nil {
		return
	}
	at := func(ageMs uint32) time.Time { return now.Add(-time.Duration(ageMs) * time.Millisecond) }
	var e crquarantine.Evidence
	for _, c := range m.GetCrashes() {
		crash := crquarantine.Crash{At: at(c.GetAgeMs()), Request: c.GetRequest(), Endpoint: c.GetEndpoint(), Service: crquarantine.Part(c.GetService())}
		for _, p := range c.GetParts() {
			crash.Parts = append(crash.Parts, crquarantine.Part(p))
		}
		e.Crashes = append(e.Crashes, crash)
	}
	for _, a := range m.GetAnswers() {
		e.Answers = append(e.Answers, crquarantine.Answer{Part: crquarantine.Part(a.GetPart()), At: at(a.GetAgeMs())})
	}
	s.quarantine.Apply(now, e)
	s.quarantinesChanged(now)
}

// difference is a difference between the quarantines of another instance or failure domain
// and the own ones.
type difference struct {
	own, other uint64
	toldAt     time.Time
}

const (
	// tellAgainAfter is when all evidence is told again to an instance that still has the same
	// other quarantines.
	tellAgainAfter = 15 * time.Second
	// maxDifferences bounds the differences that are remembered.
	maxDifferences = 4096
)

// compareQuarantines has all evidence told if the sender of a message has other quarantines.
// The hash is nil if the sender is of a release that knows none.
func (s *State) compareQuarantines(now time.Time, from string, hash *uint64) {
	own := s.quarantine.Hash(now)
	if hash == nil || *hash == own {
		return
	}
	last, told := s.differences[from]
	if told && last.own == own && last.other == *hash && now.Sub(last.toldAt) < tellAgainAfter {
		return
	}
	if s.differences == nil || len(s.differences) >= maxDifferences {
		s.differences = make(map[string]difference)
	}
	s.differences[from] = difference{own, *hash, now}
	s.quarantine.Differs(now)
}

// quarantinesProto returns the hash of the quarantines as messages carry it.
func (s *State) quarantinesProto(now time.Time) *uint64 {
	hash := s.quarantine.Hash(now)
	return &hash
}
