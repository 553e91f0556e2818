package crgrant

import (
	"fmt"
	"slices"
	"time"

	"google.golang.org/protobuf/proto"

	"crocusrack/core/crledger"
	"crocusrack/core/crliveness"
	pb "crocusrack/schema/crrouter"
)

const (
	// maxBulletinBytes bounds the encoded size of the digests in one bulletin, which
	// leaves room in a datagram for the requests in flight in the fleet. The remaining
	// digests are sent with the next bulletin.
	maxBulletinBytes = 24 << 10
	// maxPendingDigests bounds the digests that wait for a bulletin.
	maxPendingDigests = 256
	// fleetSource is the name under which the counts that the relay reports for the whole
	// fleet are recorded.
	fleetSource = domainSourcePrefix + "*"
	// confirmationWindow is the time within which two instances must report an endpoint as
	// unreachable before a large fleet is informed. A single instance may itself be cut
	// off.
	confirmationWindow = 1500 * time.Millisecond
	// confirmationLifetime is how long digests name the endpoint after the confirmation.
	confirmationLifetime = 700 * time.Millisecond
)

// bulletin collects what the relay of a large failure domain sends to the instances of
// that domain next.
type bulletin struct {
	digests []*pb.Digest
	// full is true if the bulletin must also contain the requests in flight.
	full bool
}

// add queues a digest for the next bulletin. It omits the requests in flight, which the
// bulletin contains as one sum over the fleet.
func (b *bulletin) add(d *pb.Digest) {
	trimmed := &pb.Digest{
		FailureDomain: d.GetFailureDomain(), Full: d.GetFull(), Contexts: d.GetContexts(),
		Members: d.GetMembers(), MembersHash: d.GetMembersHash(), SilentMs: d.GetSilentMs(),
		Unreachable: d.GetUnreachable(), LeavingEndpoints: d.GetLeavingEndpoints(),
		CrashEvidence: d.GetCrashEvidence(), Quarantines: d.Quarantines, Limits: d.GetLimits(),
	}
	if len(b.digests) >= maxPendingDigests {
		// Later digests repeat the content of the oldest one.
		b.digests = slices.Delete(b.digests, 0, 1)
	}
	b.digests = append(b.digests, trimmed)
	b.full = b.full || d.GetFull()
}

// take removes and returns the oldest digests that fit in one bulletin, at least one if
// any are queued.
func (b *bulletin) take() []*pb.Digest {
	size, n := 0, 0
	for n < len(b.digests) && (n == 0 || size+proto.Size(b.digests[n]) <= maxBulletinBytes) {
		size += proto.Size(b.digests[n])
		n++
	}
	list := b.digests[:n]
	b.digests = slices.Clone(b.digests[n:])
	return list
}

// Bulletin returns the deliveries by which the relay of a large failure domain informs its
// instances about the fleet. It returns none if this instance isn't such a relay or
// nothing is new.
func (s *State) Bulletin(now time.Time) ([]Delivery, error) {
	s.lock(now)
	defer s.mu.Unlock()
	r := &s.reports
	if !s.roster.IsRelay(now, s.Self.Name) {
		r.bulletin = bulletin{}
		return nil, nil
	}
	if len(r.bulletin.digests) == 0 {
		return nil, nil
	}
	m := &pb.Bulletin{Full: r.bulletin.full && s.knowsFleetWork(now)}
	if m.GetFull() {
		all := func(string) bool { return true }
		m.WorkEndpoints, m.WorkRequests = workProto(s.work.Sums(all))
		m.Failures = failuresProto(s.failures.Sums(now, all))
		m.Rollouts = s.progressProto(now, all)
		m.Demands = demandsProto(s.shares.Sums(now, all))
		m.Gauges = s.gaugesProto(now, maxBulletinGauges, maxDigestIntervals)
		m.Ramps = s.rampsProto(now, maxDigestRamps, all)
		r.bulletin.full = false
	}
	m.Digests = r.bulletin.take()
	data, err := proto.Marshal(m)
	if err != nil {
		return nil, fmt.Errorf("bulletin: %w", err)
	}
	return s.distribute(now, &pb.Report{From: peerProto(s.Self), Bulletin: data, Forwarded: true}), nil
}

// knowsFleetWork reports whether this instance has the requests in flight of all other
// failure domains. A relay that has just started doesn't. If it told its domain what it knows,
// the others there would drop what the relay before it told them.
func (s *State) knowsFleetWork(now time.Time) bool {
	return !slices.ContainsFunc(s.roster.Alive(now), func(i crliveness.Instance) bool {
		return i.FailureDomain != s.Self.FailureDomain && !s.work.Has(domainSourcePrefix+i.FailureDomain)
	})
}

// workProto encodes counts of requests in flight as digests and bulletins carry them.
func workProto(work map[crledger.Key]int) (endpoints, requests []uint32) {
	for k, n := range work {
		endpoints = append(endpoints, shortKey(k))
		requests = append(requests, uint32(n))
	}
	return endpoints, requests
}

// workFromProto decodes the requests in flight of a digest or bulletin. It skips unknown
// endpoints.
func (s *State) workFromProto(endpoints, requests []uint32) map[crledger.Key]int {
	work := make(map[crledger.Key]int, len(endpoints))
	for i, short := range endpoints {
		if k, known := s.keysByShortKey[short]; known && i < len(requests) {
			work[k] += int(requests[i])
		}
	}
	return work
}

// applyBulletin applies a bulletin of the own failure domain's relay.
func (s *State) applyBulletin(now time.Time, data []byte) error {
	m := &pb.Bulletin{}
	if err := proto.Unmarshal(data, m); err != nil {
		return err
	}
	for _, d := range m.GetDigests() {
		if err := s.applyDigest(now, d); err != nil {
			return err
		}
	}
	if !m.GetFull() || s.roster.IsRelay(now, s.Self.Name) {
		return nil
	}
	work := s.workFromProto(m.GetWorkEndpoints(), m.GetWorkRequests())
	// The sums include the requests that this instance reported.
	for k, n := range s.work.Own() {
		if work[k] -= n; work[k] <= 0 {
			delete(work, k)
		}
	}
	s.work.Report(now, fleetSource, work)
	s.applyFailures(now, fleetSource, m.GetFailures(), s.failures.OwnCounts(now))
	s.applyProgress(now, fleetSource, m.GetRollouts(), s.rollouts.Progress(now, nil))
	s.applyDemands(now, fleetSource, m.GetDemands(), s.shares.News(now))
	s.applyGauges(now, m.GetGauges())
	s.applyRamps(now, fleetSource, m.GetRamps())
	return nil
}

// forwardToFollowers returns the deliveries of a bulletin to the instances that don't hear
// its relay and use this instance as their relay instead.
func (s *State) forwardToFollowers(now time.Time, m *pb.Report) []Delivery {
	var list []Delivery
	for _, i := range s.roster.Followers(now) {
		list = append(list, Delivery{i.Peer, &pb.Report{From: m.GetFrom(), Bulletin: m.GetBulletin(), Forwarded: true}})
	}
	return list
}

// unreachableReports holds the last report of each endpoint that an instance of the own
// failure domain couldn't reach.
type unreachableReports map[crledger.Key]unreachableReport

// unreachableReport is the last report about one endpoint.
type unreachableReport struct {
	reporter   string
	reportedAt time.Time
	// confirmedAt is when a second instance last reported the endpoint within
	// confirmationWindow. It is zero if none has.
	confirmedAt time.Time
}

// add records that the instance named reporter couldn't reach an endpoint.
func (u *unreachableReports) add(now time.Time, k crledger.Key, reporter string) {
	if *u == nil {
		*u = make(unreachableReports)
	}
	o, known := (*u)[k]
	if known && o.reporter != reporter && now.Sub(o.reportedAt) <= confirmationWindow {
		o.confirmedAt = now
	}
	o.reporter, o.reportedAt = reporter, now
	(*u)[k] = o
}

// confirmed returns the endpoints that were recently confirmed as unreachable, in
// ascending order, and drops old reports.
func (u unreachableReports) confirmed(now time.Time) []uint64 {
	var list []uint64
	for k, o := range u {
		switch {
		case now.Sub(o.confirmedAt) <= confirmationLifetime:
			list = append(list, uint64(k))
		case now.Sub(o.reportedAt) > confirmationWindow:
			delete(u, k)
		}
	}
	slices.Sort(list)
	return list
}

// DueAtOnce returns the instances that are sent a report when there is urgent news.
func (s *State) DueAtOnce(now time.Time) []crliveness.Due {
	s.lock(now)
	defer s.mu.Unlock()
	return s.roster.DueAtOnce(now)
}

// IsOwnDomainRelay reports whether this instance is the relay of its failure domain.
func (s *State) IsOwnDomainRelay(now time.Time) bool {
	s.lock(now)
	defer s.mu.Unlock()
	return s.roster.IsOwnDomainRelay(now)
}
