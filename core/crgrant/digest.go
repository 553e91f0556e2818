package crgrant

import (
	"fmt"
	"net/netip"
	"slices"
	"strings"
	"time"

	"crocusrack/core/crhash"
	"crocusrack/core/crhealth"
	"crocusrack/core/crledger"
	"crocusrack/core/crroster"
	pb "crocusrack/schema/crrouter"
)

const (
	// DigestInterval is the pause between the full digests of a relay in fleets of
	// up to digestFleet instances. In larger ones it grows with them, up to
	// digestMax: then work counts for two digests that get lost.
	DigestInterval = 400 * time.Millisecond
	digestFleet    = 128
	digestMax      = 900 * time.Millisecond
	// ContextInterval is the pause between digests that only tell of contexts: an
	// engine reads a long prompt in 0.2 s, and none should read it beside that.
	ContextInterval = 100 * time.Millisecond
	// digestContexts is how long a context is kept for the digests: it stands in
	// the next one and in the next full one.
	digestContexts = 900 * time.Millisecond
	// maxRelayed bounds the contexts of a digest.
	maxRelayed = 400
	// membersInterval is the pause between digests that name the members, and
	// membersRepeat how long each names them after a change: a new instance waits
	// no longer, and three digests in a row seldom get lost.
	membersInterval = 1100 * time.Millisecond
	membersRepeat   = 1100 * time.Millisecond
	// directForwards is the most instances that a relay sends the digests of
	// other domains to by itself.
	directForwards = 24
	// forwardGroup is how many instances of a larger domain one of them passes
	// such a digest on to, itself included: about as many as a relay serves
	// directly.
	forwardGroup = 16
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

// Digest returns what is new of the own failure domain for other domains, and nil
// when there is nothing to tell yet. It is full at an interval that grows with
// the fleet, and when something has changed; otherwise it has the contexts since
// the last one. An empty one only lets relays exchange how fresh their knowledge
// is.
func (s *State) Digest(now time.Time, changed bool) *pb.Digest {
	s.lock(now)
	defer s.mu.Unlock()
	r := &s.reports
	full := changed || now.Sub(r.digestedFull) >= s.digestPause(now)
	m := &pb.Digest{FailureDomain: s.Self.FailureDomain, Full: full}
	since := r.digested
	if full {
		since = r.digestedFull
	}
	for _, list := range [][]recentContext{r.recent, r.relayed} {
		for _, c := range list {
			if c.at.After(since) {
				m.Contexts = append(m.Contexts, c.Context)
			}
		}
	}
	if !full && len(m.Contexts) == 0 && now.Sub(r.digested) < DigestInterval {
		return nil
	}
	r.digested = now
	if full {
		r.digestedFull = now
		s.fillDigest(now, m)
	}
	if s.roster.IsRelay(now, s.Self.Name) {
		r.bulletin.add(m)
	}
	return m
}

// digestPause is the pause between full digests.
func (s *State) digestPause(now time.Time) time.Duration {
	pause := DigestInterval * time.Duration(s.roster.Size(now)) / digestFleet
	return min(max(pause, DigestInterval), digestMax)
}

func (s *State) fillDigest(now time.Time, m *pb.Digest) {
	var members []*pb.Member
	for _, i := range s.roster.Domain(now, s.Self.FailureDomain) {
		status, heard := s.roster.Heard(i.Name)
		if i.Name == s.Self.Name {
			status, heard = s.roster.Status, now
			status.Run = s.Run
		}
		members = append(members, &pb.Member{
			Peer: peerProto(i), Run: status.Run, Ready: status.Ready, Leaving: status.Leaving, StoreLost: status.StoreLost,
		})
		m.SilentMs = append(m.SilentMs, uint32(now.Sub(heard).Milliseconds()))
	}
	m.MembersHash = membersHash(members)
	pause := max(membersInterval, membersInterval*time.Duration(s.roster.Size(now))/digestFleet)
	if s.reports.tellMembers(now, m.GetMembersHash(), pause) {
		m.Members = members
	}
	own := func(name string) bool { return !strings.HasPrefix(name, domainPrefix) }
	m.WorkEndpoints, m.WorkRequests = workProto(s.work.Sums(own))
	m.Failures = failuresProto(s.failures.Sums(now, own))
	m.Unreachable = s.unreachable(now)
	m.LeavingEndpoints = s.leaving(now)
}

// unreachable returns the endpoints that a digest names as unreachable: those that
// this instance can't reach and, where all report to it, those that several can't.
func (s *State) unreachable(now time.Time) []uint64 {
	if s.roster.IsRelay(now, s.Self.Name) {
		for _, k := range s.health.Ejected(now) {
			s.reports.suspects.note(now, k, s.Self.Name)
		}
		return s.reports.suspects.confirmed(now)
	}
	var list []uint64
	for _, k := range s.health.Ejected(now) {
		list = append(list, uint64(k))
	}
	return list
}

// shortKey is the part of an endpoint's key that digests name it by. Among 6,000
// endpoints two share one in one fleet of 240; the work of both then counts for
// one of them.
func shortKey(k crledger.Key) uint32 { return uint32(k) }

func membersHash(members []*pb.Member) uint64 {
	hash := uint64(0)
	for _, m := range members {
		p := m.GetPeer()
		hash = crhash.Mix(hash, crhash.Of(fmt.Sprint(p.GetName(), " ", p.GetFront(), " ", p.GetPeer(), " ",
			m.GetRun(), " ", m.GetReady(), " ", m.GetLeaving(), " ", m.GetStoreLost())))
	}
	return hash
}

// tellMembers reports whether a digest is to name the members: they changed
// lately, or weren't named for a while.
func (r *reports) tellMembers(now time.Time, hash uint64, pause time.Duration) bool {
	if hash != r.members {
		r.members, r.membersChanged = hash, now
	}
	if now.Sub(r.membersChanged) > membersRepeat && now.Sub(r.membersTold) < pause {
		return false
	}
	r.membersTold = now
	return true
}

// takeDigest takes another domain in.
func (s *State) takeDigest(now time.Time, m *pb.Digest) error {
	for _, c := range m.GetContexts() {
		s.takeContext(now, c)
	}
	if !m.GetFull() {
		return nil
	}
	if err := s.takeMembers(now, m); err != nil {
		return err
	}
	s.work.Report(now, domainPrefix+m.GetFailureDomain(), s.takeWorkSums(m.GetWorkEndpoints(), m.GetWorkRequests()))
	s.takeFailures(now, domainPrefix+m.GetFailureDomain(), m.GetFailures(), crhealth.Counts{})
	for _, k := range m.GetUnreachable() {
		s.health.Heard(now, crledger.Key(k))
	}
	s.takeLeaving(now, m.GetLeavingEndpoints())
	return nil
}

// toldMembers are the members of another domain as they were last named.
type toldMembers struct {
	hash    uint64
	members []*pb.Member
}

// takeMembers takes in who is in another domain. A digest that doesn't name the
// members is of use when those that were named last are the same.
func (s *State) takeMembers(now time.Time, m *pb.Digest) error {
	told := s.reports.told[m.GetFailureDomain()]
	if len(m.GetMembers()) > 0 {
		told = toldMembers{m.GetMembersHash(), m.GetMembers()}
		if s.reports.told == nil {
			s.reports.told = make(map[string]toldMembers)
		}
		s.reports.told[m.GetFailureDomain()] = told
	}
	if told.hash != m.GetMembersHash() || len(told.members) != len(m.GetSilentMs()) {
		return nil
	}
	named := make(map[string]bool)
	for n, member := range told.members {
		i, err := peerFromProto(member.GetPeer())
		if err != nil {
			return fmt.Errorf("member: %w", err)
		}
		silent := time.Duration(m.GetSilentMs()[n]) * time.Millisecond
		s.roster.Relayed(now, i, crroster.Status{
			Run: member.GetRun(), Ready: member.GetReady(), Leaving: member.GetLeaving(), StoreLost: member.GetStoreLost(),
		}, now.Add(-silent))
		named[i.Name] = true
	}
	s.roster.Missing(m.GetFailureDomain(), named)
	return nil
}

// Delivery is a report that is to be sent.
type Delivery struct {
	To     netip.AddrPort
	Report *pb.Report
}

// forward returns how the digest of another domain reaches the instances of the
// own one: at once, or in a large domain with the next bulletin.
func (s *State) forward(now time.Time, m *pb.Report) []Delivery {
	if s.roster.IsRelay(now, s.Self.Name) {
		s.reports.bulletin.add(m.GetDigest())
		return nil
	}
	return s.spread(now, &pb.Report{From: m.GetFrom(), Digest: m.GetDigest(), Forwarded: true})
}

// spread returns how a report reaches the instances of the own domain. In a large
// domain it is sent to some, which pass it on: no link carries it for all. Live ones
// do so, and others each time, so that one that is lost costs others a single report.
func (s *State) spread(now time.Time, m *pb.Report) []Delivery {
	targets, silent := s.roster.Targets(now), []crroster.Instance(nil)
	size := 1
	if len(targets) > directForwards {
		size = forwardGroup
		for _, i := range targets {
			if !s.roster.Lives(now, i.Name) {
				silent = append(silent, i)
			}
		}
		targets = slices.DeleteFunc(targets, func(i crroster.Instance) bool { return !s.roster.Lives(now, i.Name) })
		s.reports.forwards++
		first := int(s.reports.forwards % uint64(max(len(targets), 1)))
		targets = slices.Concat(targets[first:], targets[:first])
	}
	var list []Delivery
	for group := range slices.Chunk(targets, size) {
		d := Delivery{group[0].Peer, &pb.Report{From: m.GetFrom(), Digest: m.GetDigest(), Bulletin: m.GetBulletin(), Forwarded: true}}
		for _, i := range group[1:] {
			d.Report.PassTo = append(d.Report.PassTo, i.Peer.String())
		}
		list = append(list, d)
	}
	// This instance may only not hear the silent ones.
	for n, i := range silent {
		if len(list) > 0 {
			r := list[n%len(list)].Report
			r.PassTo = append(r.PassTo, i.Peer.String())
		}
	}
	return list
}

// passOn returns the deliveries of a digest that another instance asks for.
func passOn(m *pb.Report) ([]Delivery, error) {
	var list []Delivery
	for _, address := range m.GetPassTo() {
		to, err := netip.ParseAddrPort(address)
		if err != nil {
			return nil, fmt.Errorf("address to pass a digest on to: %w", err)
		}
		list = append(list, Delivery{to, &pb.Report{From: m.GetFrom(), Digest: m.GetDigest(), Bulletin: m.GetBulletin(), Forwarded: true}})
	}
	return list, nil
}
