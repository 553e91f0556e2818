package crgrant

import (
	"fmt"
	"net/netip"
	"slices"
	"time"

	"google.golang.org/protobuf/proto"

	"crocusrack/core/crliveness"
	pb "crocusrack/schema/crrouter"
)

const (
	// maxDirectForwards is the largest number of instances to which a relay sends the
	// digests of other failure domains itself.
	maxDirectForwards = 24
	// forwardGroupSize is the number of instances in each group in a larger failure
	// domain. One of them receives the digest and passes it on to the rest: about as many
	// as a relay serves directly.
	forwardGroupSize = 16
	// maxBurstBytes bounds the bytes of the copies of a message that an instance sends at
	// once. A link of 10 Mbit/s takes 16 ms for them; it drops what it can't queue, and there
	// may be two such messages and the reports of a tick at the same time.
	maxBurstBytes = 20 << 10
	// minFanOut is the smallest number of instances that a message is sent to at once, of
	// whatever size it is.
	minFanOut = 2
)

// maxFanOut returns the number of copies of a message that an instance sends at once.
func maxFanOut(m *pb.Report) int { return max(minFanOut, maxBurstBytes/proto.Size(m)) }

// forwardedCopy returns the part of a report that is passed on to others.
func forwardedCopy(m *pb.Report) *pb.Report {
	return &pb.Report{From: m.GetFrom(), Digest: m.GetDigest(), Bulletin: m.GetBulletin(), Forwarded: true}
}

// distribute returns the deliveries of a report to the instances of the own failure
// domain. In a large failure domain, or if all copies don't fit on the link, it is sent to some
// live instances that pass it on. The instances that pass it on change each time, so that a
// failed one costs the others a single report.
func (s *State) distribute(now time.Time, m *pb.Report) []Delivery {
	targets := s.roster.Targets(now)
	groups := min(len(targets), maxFanOut(forwardedCopy(m)))
	if len(targets) > maxDirectForwards {
		groups = min(groups, max(minFanOut, (len(targets)+forwardGroupSize-1)/forwardGroupSize))
	}
	if groups == len(targets) {
		return passOn(m, peers(targets), groups)
	}
	silent := func(i crliveness.Instance) bool { return !s.roster.IsAlive(now, i.Name) }
	live := slices.DeleteFunc(slices.Clone(targets), silent)
	s.reports.forwards++
	first := int(s.reports.forwards % uint64(max(len(live), 1)))
	list := passOn(m, peers(slices.Concat(live[first:], live[:first])), groups)
	// The silent instances may be unreachable only from this one, so others pass the
	// report on to them.
	n := 0
	for _, i := range targets {
		if silent(i) && len(list) > 0 {
			r := list[n%len(list)].Report
			r.PassTo = append(r.PassTo, i.Peer.String())
			n++
		}
	}
	return list
}

// peers returns the peer addresses of instances.
func peers(list []crliveness.Instance) []netip.AddrPort {
	var addresses []netip.AddrPort
	for _, i := range list {
		addresses = append(addresses, i.Peer)
	}
	return addresses
}

// passOn returns the deliveries of a report to the first instance of each of a number of groups,
// which passes it on to the rest of its group.
func passOn(m *pb.Report, to []netip.AddrPort, groups int) []Delivery {
	var list []Delivery
	groups = min(groups, len(to))
	for n := range groups {
		group := to[n*len(to)/groups : (n+1)*len(to)/groups]
		d := Delivery{group[0], forwardedCopy(m)}
		for _, a := range group[1:] {
			d.Report.PassTo = append(d.Report.PassTo, a.String())
		}
		list = append(list, d)
	}
	return list
}

// requestedDeliveries returns the deliveries of a report that its sender asked this
// instance to pass on. If all copies don't fit on the link, some of the others pass it on.
func requestedDeliveries(m *pb.Report) ([]Delivery, error) {
	var to []netip.AddrPort
	for _, address := range m.GetPassTo() {
		a, err := netip.ParseAddrPort(address)
		if err != nil {
			return nil, fmt.Errorf("forwarding address: %w", err)
		}
		to = append(to, a)
	}
	return passOn(m, to, min(len(to), maxFanOut(forwardedCopy(m)))), nil
}
