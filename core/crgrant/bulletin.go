package crgrant

import (
	"fmt"
	"slices"
	"time"

	"google.golang.org/protobuf/proto"

	"crocusrack/core/crledger"
	"crocusrack/core/crroster"
	pb "crocusrack/schema/crrouter"
)

const (
	// maxBulletin bounds the digests of one bulletin, in bytes, to what leaves room
	// in a datagram for the work of the fleet. What is left goes with the next one.
	maxBulletin = 24 << 10
	// maxPending is how many digests wait for a bulletin at most.
	maxPending = 256
	// fleetWork is the name in the ledger of what a relay says of the whole fleet.
	fleetWork = domainPrefix + "*"
	// confirmedWithin is the time within which two instances report an endpoint as
	// unreachable for a large fleet to hear of it: a single one may be cut off.
	confirmedWithin = 1500 * time.Millisecond
	// confirmedFor is how long the digests then name the endpoint.
	confirmedFor = 700 * time.Millisecond
)

// bulletin is what the relay of a large domain is to tell its instances.
type bulletin struct {
	digests []*pb.Digest
	// full is true when the work is to be told as well.
	full bool
}

// add keeps a digest for the next bulletin. The work is told in one sum instead.
func (b *bulletin) add(d *pb.Digest) {
	told := &pb.Digest{
		FailureDomain: d.GetFailureDomain(), Full: d.GetFull(), Contexts: d.GetContexts(),
		Members: d.GetMembers(), MembersHash: d.GetMembersHash(), SilentMs: d.GetSilentMs(),
		Unreachable: d.GetUnreachable(), LeavingEndpoints: d.GetLeavingEndpoints(),
	}
	if len(b.digests) >= maxPending {
		// Later ones say the same anew.
		b.digests = slices.Delete(b.digests, 0, 1)
	}
	b.digests = append(b.digests, told)
	b.full = b.full || d.GetFull()
}

// take removes the oldest digests that fit in one bulletin.
func (b *bulletin) take() []*pb.Digest {
	size, n := 0, 0
	for n < len(b.digests) && (n == 0 || size+proto.Size(b.digests[n]) <= maxBulletin) {
		size += proto.Size(b.digests[n])
		n++
	}
	list := b.digests[:n]
	b.digests = slices.Clone(b.digests[n:])
	return list
}

// Bulletin returns how the relay of a large failure domain tells its instances of
// the fleet; nothing for other instances, or when nothing is new.
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
	m := &pb.Bulletin{Full: r.bulletin.full}
	if m.GetFull() {
		all := func(string) bool { return true }
		m.WorkEndpoints, m.WorkRequests = workProto(s.work.Sums(all))
		m.Failures = failuresProto(s.failures.Sums(now, all))
	}
	r.bulletin.full = false
	m.Digests = r.bulletin.take()
	data, err := proto.Marshal(m)
	if err != nil {
		return nil, fmt.Errorf("bulletin: %w", err)
	}
	return s.spread(now, &pb.Report{From: peerProto(s.Self), Bulletin: data, Forwarded: true}), nil
}

// workProto returns requests in flight as messages to other domains have them.
func workProto(work map[crledger.Key]int) (endpoints, requests []uint32) {
	for k, n := range work {
		endpoints = append(endpoints, shortKey(k))
		requests = append(requests, uint32(n))
	}
	return endpoints, requests
}

// takeWorkSums returns the requests in flight that a message from another domain or
// a relay tells.
func (s *State) takeWorkSums(endpoints, requests []uint32) map[crledger.Key]int {
	work := make(map[crledger.Key]int, len(endpoints))
	for i, short := range endpoints {
		if k, known := s.short[short]; known && i < len(requests) {
			work[k] += int(requests[i])
		}
	}
	return work
}

// takeBulletin takes in what the relay of the own domain tells of the fleet.
func (s *State) takeBulletin(now time.Time, data []byte) error {
	m := &pb.Bulletin{}
	if err := proto.Unmarshal(data, m); err != nil {
		return err
	}
	for _, d := range m.GetDigests() {
		if err := s.takeDigest(now, d); err != nil {
			return err
		}
	}
	if !m.GetFull() || s.roster.IsRelay(now, s.Self.Name) {
		return nil
	}
	work := s.takeWorkSums(m.GetWorkEndpoints(), m.GetWorkRequests())
	// The sums hold what this instance reported.
	for k, n := range s.work.Own() {
		if work[k] -= n; work[k] <= 0 {
			delete(work, k)
		}
	}
	s.work.Report(now, fleetWork, work)
	s.takeFailures(now, fleetWork, m.GetFailures(), s.failures.Own(now))
	return nil
}

// passToFollowers returns how a bulletin reaches the instances that can't hear its
// relay and take this one for it.
func (s *State) passToFollowers(now time.Time, m *pb.Report) []Delivery {
	var list []Delivery
	for _, i := range s.roster.Followers(now) {
		list = append(list, Delivery{i.Peer, &pb.Report{From: m.GetFrom(), Bulletin: m.GetBulletin(), Forwarded: true}})
	}
	return list
}

// suspects are the endpoints that instances of the own domain couldn't reach.
type suspects map[crledger.Key]suspect

type suspect struct {
	by        string
	at        time.Time
	confirmed time.Time
}

// note notes that an instance couldn't reach an endpoint.
func (s *suspects) note(now time.Time, k crledger.Key, by string) {
	if *s == nil {
		*s = make(suspects)
	}
	o, known := (*s)[k]
	if known && o.by != by && now.Sub(o.at) <= confirmedWithin {
		o.confirmed = now
	}
	o.by, o.at = by, now
	(*s)[k] = o
}

// confirmed returns the endpoints that several instances couldn't reach lately, and
// forgets old ones.
func (s suspects) confirmed(now time.Time) []uint64 {
	var list []uint64
	for k, o := range s {
		switch {
		case now.Sub(o.confirmed) <= confirmedFor:
			list = append(list, uint64(k))
		case now.Sub(o.at) > confirmedWithin:
			delete(s, k)
		}
	}
	slices.Sort(list)
	return list
}

// DueAtOnce returns the instances to send reports to at once.
func (s *State) DueAtOnce(now time.Time) []crroster.Due {
	s.lock(now)
	defer s.mu.Unlock()
	return s.roster.DueAtOnce(now)
}

// Relays reports whether this instance is the relay of its failure domain.
func (s *State) Relays(now time.Time) bool {
	s.lock(now)
	defer s.mu.Unlock()
	return s.roster.Relays(now)
}
