package crgrant

import (
	"fmt"
	"slices"
	"strings"
	"time"

	"google.golang.org/protobuf/types/known/durationpb"

	"crocusrack/core/crledger"
	"crocusrack/core/crroster"
	pb "crocusrack/schema/crrouter"
)

const (
	// DigestInterval is the pause between the full digests of a relay, and
	// ContextInterval that between those that only tell of contexts: an engine
	// reads a long prompt in 0.2 s, and none should read it beside that.
	DigestInterval  = 400 * time.Millisecond
	ContextInterval = 100 * time.Millisecond
	// digestContexts is how long a context is kept for the digests: it stands in
	// the next one and in the next full one.
	digestContexts = 900 * time.Millisecond
	// maxRelayed bounds the contexts of a digest.
	maxRelayed = 400
	// domainPrefix marks the work of a domain in the ledger.
	domainPrefix = "domain/"
)

// relay keeps a context for the digests.
func (r *reports) relay(now time.Time, c *pb.Context) {
	r.relayed = slices.DeleteFunc(r.relayed, func(o recentContext) bool {
		return now.Sub(o.at) > digestContexts || o.GetChain() == c.GetChain() && o.GetEndpoint() == c.GetEndpoint()
	})
	if len(r.relayed) < maxRelayed {
		r.relayed = append(r.relayed, recentContext{now, c})
	}
}

// Digests returns the instances of other failure domains to send a digest to;
// none when this instance is no relay.
func (s *State) Digests(now time.Time) []crroster.Instance {
	s.lock(now)
	defer s.mu.Unlock()
	if !s.roster.Relays(now) {
		return nil
	}
	return s.roster.Digests(now)
}

// Digest returns the own failure domain for other domains. Without full it only
// has the contexts since the last one, and is nil when there are none.
func (s *State) Digest(now time.Time, full bool) *pb.Digest {
	s.lock(now)
	defer s.mu.Unlock()
	m := &pb.Digest{FailureDomain: s.Self.FailureDomain, Full: full}
	since := s.reports.digested
	if full {
		since = s.reports.digestedFull
		s.reports.digestedFull = now
	}
	s.reports.digested = now
	for _, list := range [][]recentContext{s.reports.recent, s.reports.relayed} {
		for _, c := range list {
			if c.at.After(since) {
				m.Contexts = append(m.Contexts, c.Context)
			}
		}
	}
	if full {
		s.fillDigest(now, m)
	} else if len(m.Contexts) == 0 {
		return nil
	}
	return m
}

func (s *State) fillDigest(now time.Time, m *pb.Digest) {
	for _, i := range s.roster.Domain(now, s.Self.FailureDomain) {
		status, heard := s.roster.Heard(i.Name)
		if i.Name == s.Self.Name {
			status, heard = s.roster.Status, now
			status.Run = s.Run
		}
		m.Members = append(m.Members, &pb.Member{
			Peer: peerProto(i), Run: status.Run, Ready: status.Ready, Leaving: status.Leaving, StoreLost: status.StoreLost,
			Silent: durationpb.New(now.Sub(heard)),
		})
	}
	for k, n := range s.work.Sums(func(name string) bool { return !strings.HasPrefix(name, domainPrefix) }) {
		m.Work = append(m.Work, &pb.Work{Endpoint: uint64(k), Requests: uint32(n)})
	}
	for _, k := range s.health.Ejected(now) {
		m.Unreachable = append(m.Unreachable, uint64(k))
	}
}

// takeDigest takes another domain in.
func (s *State) takeDigest(now time.Time, m *pb.Digest) error {
	for _, c := range m.GetContexts() {
		s.takeContext(now, c)
	}
	if !m.GetFull() {
		return nil
	}
	named := make(map[string]bool)
	for _, member := range m.GetMembers() {
		i, err := peerFromProto(member.GetPeer())
		if err != nil {
			return fmt.Errorf("member: %w", err)
		}
		s.roster.Relayed(now, i, crroster.Status{
			Run: member.GetRun(), Ready: member.GetReady(), Leaving: member.GetLeaving(), StoreLost: member.GetStoreLost(),
		}, now.Add(-member.GetSilent().AsDuration()))
		named[i.Name] = true
	}
	s.roster.Missing(m.GetFailureDomain(), named)
	work := make(map[crledger.Key]int, len(m.GetWork()))
	for _, w := range m.GetWork() {
		work[crledger.Key(w.GetEndpoint())] = int(w.GetRequests())
	}
	s.work.Report(now, domainPrefix+m.GetFailureDomain(), work)
	for _, k := range m.GetUnreachable() {
		s.health.Heard(now, crledger.Key(k))
	}
	return nil
}
