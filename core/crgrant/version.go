package crgrant

import (
	"cmp"
	"net/netip"
	"slices"
	"time"

	"crocusrack/core/crhash"
	"crocusrack/core/crliveness"
	"crocusrack/core/crplace"
	"crocusrack/core/crversion"
	pb "crocusrack/schema/crrouter"
)

const (
	// askedHolders is the number of instances that are asked for the version of a stream beside the
	// keepers. One of them was told; another one may have started or been lost in between.
	askedHolders = 3
	// maxStreamsPerMessage bounds the streams in a message.
	maxStreamsPerMessage = 64
	// maxStreamNews bounds the streams that are told at a time. They take some 20 KB for two holders,
	// which a link holds in its queue.
	maxStreamNews = 512
)

// begunStream is a stream whose version is to be told to its holders.
type begunStream struct {
	stream  uint64
	version crversion.Version
	// keeperOnly is true if the other holders were told before.
	keeperOnly bool
}

// setVersions tells the versions of services which ones endpoints have now.
func (s *State) setVersions(now time.Time, list []*crplace.Endpoint) {
	listed := make(map[string][]crversion.Version)
	for _, e := range list {
		v := crversion.Of(e.Version)
		if !slices.Contains(listed[e.Service], v) {
			listed[e.Service] = append(listed[e.Service], v)
		}
	}
	s.versions.SetListed(now, listed)
	s.heedEarlierReleases(now)
	s.tellOwnStreams(now)
}

// tellOwnStreams queues the streams that began here before their service had several versions, once it
// has.
func (s *State) tellOwnStreams(now time.Time) {
	several := s.versions.ServicesOfSeveral(now)
	for service := range several {
		if s.toldServices[service] {
			continue
		}
		for _, o := range s.versions.Own(now, service, crversion.Lifetime) {
			s.begunStreams = append(s.begunStreams, begunStream{stream: o.ID, version: o.Version})
		}
		if s.OnStreams != nil && len(s.begunStreams) > 0 {
			s.OnStreams()
		}
	}
	s.toldServices = several
}

// BeginStream records that the endpoint made the first event of the stream that the caller's attempt
// with the given id got. While the service has or had endpoints of several versions, it is told to
// other instances, to which the caller may turn.
func (g *Grant) BeginStream(now time.Time, id string) {
	s := g.state
	s.lock(now)
	defer s.mu.Unlock()
	stream, v := crhash.Of(id), crversion.Of(g.Endpoint.Version)
	s.versions.BeginOwn(now, g.Endpoint.Service, stream, v, g.resumable)
	if !s.versions.Several(now, g.Endpoint.Service) {
		return
	}
	s.begunStreams = append(s.begunStreams, begunStream{stream: stream, version: v})
	if s.OnStreams != nil {
		s.OnStreams()
	}
}

// StreamVersion returns the version that began the stream that the caller's attempt with the given id
// got, or zero if it isn't known. It reports whether the stream may have begun at another version
// than those of the service's endpoints now.
func (s *State) StreamVersion(now time.Time, service, id string) (v crversion.Version, mixed bool) {
	s.lock(now)
	defer s.mu.Unlock()
	v, _ = s.versions.Began(now, crhash.Of(id))
	return v, s.versions.Mixed(now, service)
}

// TakeUp tells how a stream that a caller takes up again may go on.
type TakeUp int

const (
	// TakeUpKnown: at the given version, which began it.
	TakeUpKnown TakeUp = iota
	// TakeUpOnly: at the given version, which is the only one. It is zero if there is none.
	TakeUpOnly
	// TakeUpUnknown: at the version that another instance or the store may know.
	TakeUpUnknown
	// TakeUpOutdated: it isn't known whether the service has other versions than the listed ones,
	// since the list is too old.
	TakeUpOutdated
)

// String returns what is known of the stream's version, for logs.
func (t TakeUp) String() string {
	switch t {
	case TakeUpKnown:
		return "known"
	case TakeUpOnly:
		return "only"
	case TakeUpUnknown:
		return "unknown"
	default:
		return "outdated"
	}
}

// TakeUp decides how the stream that the caller's attempt with the given id got may go on. The version
// is zero unless it is known.
func (s *State) TakeUp(now time.Time, service, id string) (crversion.Version, TakeUp) {
	s.lock(now)
	defer s.mu.Unlock()
	if v, known := s.versions.Began(now, crhash.Of(id)); known {
		return v, TakeUpKnown
	}
	s.heedEarlierReleases(now)
	switch {
	case s.versions.Mixed(now, service):
		return 0, TakeUpUnknown
	case !s.knowledge(now).Current():
		return 0, TakeUpOutdated
	}
	return s.versions.Only(now, service), TakeUpOnly
}

// knowledge returns how recent the versions of services are. The caller holds the mutex.
func (s *State) knowledge(now time.Time) crversion.Knowledge {
	k, elapsed := crversion.Knowledge{Contact: s.roster.Contact(now)}, s.Elapsed()
	k.ListAge, k.HasList = s.EndpointsEvidence.Age(elapsed)
	if age, ok := s.versionsEvidence.Age(elapsed); ok && (!k.HasList || age < k.ListAge) {
		k.ListAge, k.HasList = age, true
	}
	k.EchoAge, k.HasEcho = s.reports.echoed.Age(elapsed)
	k.Behind = s.reports.newestEndpoints > s.endpointsPosition && elapsed-s.reports.newestEndpointsAt < k.ListAge
	return k
}

// VersionsAge returns the age of what this instance knows of the versions of services, and false if it
// knows nothing.
func (s *State) VersionsAge(now time.Time) (time.Duration, bool) {
	s.lock(now)
	defer s.mu.Unlock()
	k := s.knowledge(now)
	return k.ListAge, k.HasList
}

// HasStreamNews reports whether there are deliveries for StreamNews to return.
func (s *State) HasStreamNews(now time.Time) bool {
	s.lock(now)
	defer s.mu.Unlock()
	return len(s.begunStreams) > 0
}

// StreamNews returns the deliveries that tell the holders of streams which versions began them. It
// covers maxStreamNews streams at most, and the next call the others.
func (s *State) StreamNews(now time.Time) []Delivery {
	s.lock(now)
	defer s.mu.Unlock()
	messages := make(map[netip.AddrPort]*pb.Report)
	var list []Delivery
	told := s.begunStreams[:min(len(s.begunStreams), maxStreamNews)]
	for _, b := range told {
		for _, i := range s.streamHolders(now, b) {
			m := messages[i.Peer]
			if m == nil || len(m.Streams) >= maxStreamsPerMessage {
				// Earlier releases ignore a brief report without a sender.
				m = &pb.Report{Brief: true}
				messages[i.Peer] = m
				list = append(list, Delivery{i.Peer, m})
			}
			m.Streams, m.StreamVersions = append(m.Streams, b.stream), append(m.StreamVersions, uint32(b.version))
		}
	}
	s.begunStreams = slices.Delete(s.begunStreams, 0, len(told))
	slices.SortFunc(list, func(a, b Delivery) int { return cmp.Compare(a.To.String(), b.To.String()) })
	return list
}

// streamHolders returns the instances that are told of a stream, while its service is mixed: the one
// that writes checkpoints, and of those that are asked for it the first one of another failure
// domain, if there is any. In a small fleet they are one more.
func (s *State) streamHolders(now time.Time, b begunStream) []crliveness.Instance {
	var list []crliveness.Instance
	if keeper, _ := s.roster.Keeper(now); keeper.Name != s.Self.Name {
		list = append(list, keeper)
	}
	if b.keeperOnly {
		return list
	}
	others := slices.DeleteFunc(s.roster.Holders(now, b.stream, askedHolders), func(i crliveness.Instance) bool { return slices.Contains(list, i) })
	slices.SortStableFunc(others, func(a, b crliveness.Instance) int { return s.isOwnDomain(a) - s.isOwnDomain(b) })
	count := 2
	if s.roster.Large(now) {
		count = 1
	}
	return append(list, others[:min(count, len(others))]...)
}

// isOwnDomain returns 1 if an instance is of the own failure domain, else 0.
func (s *State) isOwnDomain(i crliveness.Instance) int {
	if i.FailureDomain == s.Self.FailureDomain {
		return 1
	}
	return 0
}

// retoldTime is the age of the streams of which a new keeper is told. The one before has written what is
// older, unless it couldn't reach the store.
const retoldTime = 5 * time.Second

// tellNewKeeper queues the streams that began here lately if the keeper isn't the one that they were told
// to, as when this instance has only just heard of it.
func (s *State) tellNewKeeper(now time.Time, several map[string]bool) {
	run := s.roster.KeeperRun(now)
	if run == s.keeperRun {
		return
	}
	s.keeperRun = run
	if run == 0 {
		return
	}
	for service := range several {
		for _, o := range s.versions.Own(now, service, retoldTime) {
			s.begunStreams = append(s.begunStreams, begunStream{stream: o.ID, version: o.Version, keeperOnly: true})
		}
	}
	if s.OnStreams != nil && len(s.begunStreams) > 0 {
		s.OnStreams()
	}
}

// KeptStreams returns the streams that began lately and their versions, and the name under which this
// instance writes them to the store. The name is empty if another one does, or if no service
// has or had several versions lately.
func (s *State) KeptStreams(now time.Time) (*pb.KeptStreams, string) {
	s.lock(now)
	defer s.mu.Unlock()
	several := s.versions.ServicesOfSeveral(now)
	if len(several) == 0 {
		return nil, ""
	}
	s.tellNewKeeper(now, several)
	keeper, group := s.roster.Keeper(now)
	if keeper.Name != s.Self.Name || !s.roster.MayKeep(now, now.Sub(s.startedAt)) {
		return nil, ""
	}
	m := &pb.KeptStreams{}
	for _, b := range s.versions.Kept(now) {
		m.Streams, m.Versions = append(m.Streams, b.ID), append(m.Versions, uint32(b.Version))
	}
	return m, group
}

// AddStreams adds the streams that an instance has written to the store. Those that are known already
// stay as they are, so that keepers that read what others wrote don't keep them for ever.
func (s *State) AddStreams(now time.Time, m *pb.KeptStreams) {
	s.lock(now)
	defer s.mu.Unlock()
	for i, stream := range m.GetStreams() {
		if i >= len(m.GetVersions()) || m.Versions[i] == 0 {
			continue
		}
		if _, known := s.versions.Began(now, stream); !known {
			s.versions.Begin(now, stream, crversion.Version(m.Versions[i]))
		}
	}
}

// StreamQueries returns the deliveries that ask for the version of the stream that the caller's
// attempt with the given id got.
func (s *State) StreamQueries(now time.Time, id string) []Delivery {
	s.lock(now)
	defer s.mu.Unlock()
	stream := crhash.Of(id)
	asked := s.roster.Holders(now, stream, askedHolders)
	for _, keeper := range s.roster.Keepers(now) {
		if keeper.Name != s.Self.Name && !slices.Contains(asked, keeper) {
			asked = append(asked, keeper)
		}
	}
	var list []Delivery
	for _, i := range asked {
		list = append(list, Delivery{i.Peer, &pb.Report{
			Brief: true, From: &pb.Peer{Peer: s.Self.Peer.String()}, AskedStreams: []uint64{stream},
		}})
	}
	return list
}

// receiveStreams applies what a message says of the versions of streams, and returns the delivery
// that answers what it asks. It reports whether the message is about nothing else.
func (s *State) receiveStreams(now time.Time, m *pb.Report) ([]Delivery, bool) {
	for i, stream := range m.GetStreams() {
		if i < len(m.GetStreamVersions()) && m.StreamVersions[i] != 0 {
			s.versions.Begin(now, stream, crversion.Version(m.StreamVersions[i]))
		}
	}
	answer := &pb.Report{Brief: true}
	for _, stream := range m.GetAskedStreams()[:min(len(m.GetAskedStreams()), maxStreamsPerMessage)] {
		if v, known := s.versions.Began(now, stream); known {
			answer.Streams, answer.StreamVersions = append(answer.Streams, stream), append(answer.StreamVersions, uint32(v))
		}
	}
	only := len(m.GetStreams())+len(m.GetAskedStreams()) > 0
	to, err := netip.ParseAddrPort(m.GetFrom().GetPeer())
	if err != nil || len(answer.Streams) == 0 {
		return nil, only
	}
	return []Delivery{{to, answer}}, only
}
