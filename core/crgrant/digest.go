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
	"crocusrack/core/crliveness"
	pb "crocusrack/schema/crrouter"
)

const (
	// DigestInterval is the interval between the full digests of a relay in fleets of up
	// to digestFleetSize instances. In larger fleets it grows in proportion to their size,
	// up to maxDigestInterval. Reported work is valid for workExpiry: at DigestInterval
	// it outlasts the loss of two digests in a row, at maxDigestInterval that of one.
	DigestInterval    = 400 * time.Millisecond
	digestFleetSize   = 128
	maxDigestInterval = 900 * time.Millisecond
	// ContextInterval is the interval between digests that contain only contexts. An
	// engine reads a long prompt in 0.2 s, and no other engine should read the same prompt
	// in that time.
	ContextInterval = 100 * time.Millisecond
	// relayedContextLifetime is how long a context is kept for digests. It is included in
	// the next digest and in the next full one.
	relayedContextLifetime = 900 * time.Millisecond
	// maxRelayedContexts bounds the contexts kept for digests.
	maxRelayedContexts = 400
	// membersInterval is the interval between digests that list the members, in fleets of
	// up to digestFleetSize instances. In larger fleets it grows in proportion to their
	// size. A new instance waits no longer than that to be listed. membersRepeat is how
	// long every full digest lists the members after a change. At DigestInterval these
	// are three digests in a row, which are rarely all lost.
	membersInterval = 1100 * time.Millisecond
	membersRepeat   = 1100 * time.Millisecond
	// domainSourcePrefix starts the names under which counts reported for a whole failure
	// domain are recorded.
	domainSourcePrefix = "domain/"
)

// addRelayedContext queues a context that another instance reported for the digests.
func (r *reportState) addRelayedContext(now time.Time, c *pb.Context) {
	r.relayedContexts = slices.DeleteFunc(r.relayedContexts, func(o recentContext) bool {
		return now.Sub(o.at) > relayedContextLifetime || o.GetChain() == c.GetChain() && o.GetEndpoint() == c.GetEndpoint()
	})
	if len(r.relayedContexts) < maxRelayedContexts {
		r.relayedContexts = append(r.relayedContexts, recentContext{now, c})
	}
}

// Digests returns the instances of other failure domains to which a digest is sent. It
// returns none if the fleet isn't large or this instance isn't the relay of its domain.
func (s *State) Digests(now time.Time) []crliveness.Instance {
	s.lock(now)
	defer s.mu.Unlock()
	if !s.roster.IsOwnDomainRelay(now) {
		return nil
	}
	return s.roster.DigestTargets(now)
}

// Digest returns a digest of what is new in the own failure domain, or nil if there is
// nothing to send yet. The digest is full if changed is true or the interval for full
// digests, which grows with the fleet, has passed. Otherwise it contains the contexts
// since the last digest. An empty digest only lets relays exchange how stale their data
// is.
func (s *State) Digest(now time.Time, changed bool) *pb.Digest {
	s.lock(now)
	defer s.mu.Unlock()
	r := &s.reports
	full := changed || now.Sub(r.lastFullDigest) >= s.fullDigestInterval(now)
	m := &pb.Digest{FailureDomain: s.Self.FailureDomain, Full: full}
	since := r.lastDigest
	if full {
		since = r.lastFullDigest
	}
	for _, list := range [][]recentContext{r.recentContexts, r.relayedContexts} {
		for _, c := range list {
			if c.at.After(since) {
				m.Contexts = append(m.Contexts, c.Context)
			}
		}
	}
	if !full && len(m.Contexts) == 0 && now.Sub(r.lastDigest) < DigestInterval {
		return nil
	}
	r.lastDigest = now
	if full {
		r.lastFullDigest = now
		s.fillDigest(now, m)
	}
	if s.roster.IsRelay(now, s.Self.Name) {
		// In a large failure domain the relay's next bulletin passes the digest on to the
		// domain's own instances.
		r.bulletin.add(m)
	}
	return m
}

// fullDigestInterval returns the interval between full digests.
func (s *State) fullDigestInterval(now time.Time) time.Duration {
	interval := DigestInterval * time.Duration(s.roster.Size(now)) / digestFleetSize
	return min(max(interval, DigestInterval), maxDigestInterval)
}

// fillDigest adds to a digest what only full digests contain.
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
			KnowsEras: !status.IgnoresEras, RecordsVersions: !status.IgnoresRecord,
		})
		m.SilentMs = append(m.SilentMs, uint32(now.Sub(heard).Milliseconds()))
	}
	m.MembersHash = membersHash(members)
	interval := max(membersInterval, membersInterval*time.Duration(s.roster.Size(now))/digestFleetSize)
	if s.reports.includeMembers(now, m.GetMembersHash(), interval) {
		m.Members = members
	}
	ownDomain := func(name string) bool { return !strings.HasPrefix(name, domainSourcePrefix) }
	m.WorkEndpoints, m.WorkRequests = workProto(s.work.Sums(ownDomain))
	m.Failures = failuresProto(s.failures.Sums(now, ownDomain))
	m.Rollouts = s.progressProto(now, ownDomain)
	m.CrashEvidence = evidenceProto(now, s.quarantine.News(now))
	m.Quarantines = s.quarantinesProto(now)
	m.Unreachable = s.unreachable(now)
	m.LeavingEndpoints = s.leaving(now)
	m.Limits = s.limitsProto(s.limits.News(s.Elapsed(), maxDigestLimits))
	m.Demands = demandsProto(s.shares.Sums(now, ownDomain))
	m.Gauges = s.gaugesProto(now, maxDigestGauges, maxDigestIntervals)
	m.Ramps = s.rampsProto(now, maxDigestRamps, ownDomain)
}

// unreachable returns the endpoints that a digest lists as unreachable. They are those
// that this instance has ejected or, if all instances of the domain report to it as their
// relay, those that several instances couldn't reach.
func (s *State) unreachable(now time.Time) []uint64 {
	if s.roster.IsRelay(now, s.Self.Name) {
		for _, k := range s.health.Ejected(now) {
			s.reports.unreachable.add(now, k, s.Self.Name)
		}
		return s.reports.unreachable.confirmed(now)
	}
	var list []uint64
	for _, k := range s.health.Ejected(now) {
		list = append(list, uint64(k))
	}
	return list
}

// shortKey returns the part of an endpoint's key that identifies it in digests. In a fleet
// of 6,000 endpoints two of them share a short key with a probability of 1 in 240. The
// work of both then counts for one of them.
func shortKey(k crledger.Key) uint32 { return uint32(k) }

// membersHash returns a hash over the members' names, addresses and status.
func membersHash(members []*pb.Member) uint64 {
	hash := uint64(0)
	for _, m := range members {
		p := m.GetPeer()
		hash = crhash.Mix(hash, crhash.Of(fmt.Sprint(p.GetName(), " ", p.GetFront(), " ", p.GetPeer(), " ",
			m.GetRun(), " ", m.GetReady(), " ", m.GetLeaving(), " ", m.GetStoreLost(), " ", m.GetKnowsEras(), " ", m.GetRecordsVersions())))
	}
	return hash
}

// includeMembers reports whether a digest must list the members, because they changed
// recently or weren't listed within the given interval.
func (r *reportState) includeMembers(now time.Time, hash uint64, interval time.Duration) bool {
	if hash != r.membersHash {
		r.membersHash, r.membersChanged = hash, now
	}
	if now.Sub(r.membersChanged) > membersRepeat && now.Sub(r.membersSent) < interval {
		return false
	}
	r.membersSent = now
	return true
}

// applyDigest applies a digest of another failure domain.
func (s *State) applyDigest(now time.Time, m *pb.Digest) error {
	for _, c := range m.GetContexts() {
		s.applyContext(now, c)
	}
	if !m.GetFull() {
		return nil
	}
	if err := s.applyMembers(now, m); err != nil {
		return err
	}
	s.work.Report(now, domainSourcePrefix+m.GetFailureDomain(), s.workFromProto(m.GetWorkEndpoints(), m.GetWorkRequests()))
	s.applyFailures(now, domainSourcePrefix+m.GetFailureDomain(), m.GetFailures(), crhealth.Counts{})
	s.applyProgress(now, domainSourcePrefix+m.GetFailureDomain(), m.GetRollouts(), nil)
	for _, k := range m.GetUnreachable() {
		s.health.RecordPeerReport(now, crledger.Key(k))
	}
	s.applyLeaving(now, m.GetLeavingEndpoints())
	s.applyEvidence(now, m.GetCrashEvidence())
	s.applyLimits(m.GetLimits())
	s.applyDemands(now, domainSourcePrefix+m.GetFailureDomain(), m.GetDemands(), nil)
	s.applyGauges(now, m.GetGauges())
	s.applyRamps(now, domainSourcePrefix+m.GetFailureDomain(), m.GetRamps())
	s.compareQuarantines(now, domainSourcePrefix+m.GetFailureDomain(), m.Quarantines)
	return nil
}

// domainMembers holds the members of another failure domain, from the last digest that
// listed them.
type domainMembers struct {
	hash    uint64
	members []*pb.Member
}

// applyMembers updates the roster with the members of another failure domain. A digest
// without a list of members is used if the members listed last have the same hash.
func (s *State) applyMembers(now time.Time, m *pb.Digest) error {
	listed := s.reports.domainMembers[m.GetFailureDomain()]
	if len(m.GetMembers()) > 0 {
		listed = domainMembers{m.GetMembersHash(), m.GetMembers()}
		if s.reports.domainMembers == nil {
			s.reports.domainMembers = make(map[string]domainMembers)
		}
		s.reports.domainMembers[m.GetFailureDomain()] = listed
	}
	if listed.hash != m.GetMembersHash() || len(listed.members) != len(m.GetSilentMs()) {
		return nil
	}
	named := make(map[string]bool)
	for n, member := range listed.members {
		i, err := peerFromProto(member.GetPeer())
		if err != nil {
			return fmt.Errorf("member: %w", err)
		}
		silent := time.Duration(m.GetSilentMs()[n]) * time.Millisecond
		s.roster.Relayed(now, i, crliveness.Status{
			Run: member.GetRun(), Ready: member.GetReady(), Leaving: member.GetLeaving(), StoreLost: member.GetStoreLost(),
			IgnoresEras: !member.GetKnowsEras(), IgnoresRecord: !member.GetRecordsVersions(),
		}, now.Add(-silent))
		named[i.Name] = true
	}
	s.roster.RelayOmitted(m.GetFailureDomain(), named)
	return nil
}

// Delivery is a report and the address to send it to.
type Delivery struct {
	To     netip.AddrPort
	Report *pb.Report
}

// forwardDigest returns the deliveries of another failure domain's digest to the instances
// of the own one. In a large failure domain the digest is queued for the next bulletin
// instead.
func (s *State) forwardDigest(now time.Time, m *pb.Report) []Delivery {
	if s.roster.IsRelay(now, s.Self.Name) {
		s.reports.bulletin.add(m.GetDigest())
		return nil
	}
	return s.distribute(now, &pb.Report{From: m.GetFrom(), Digest: m.GetDigest(), Forwarded: true})
}
