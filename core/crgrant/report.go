package crgrant

import (
	"fmt"
	"slices"
	"time"

	"google.golang.org/protobuf/proto"
	"google.golang.org/protobuf/types/known/durationpb"

	"crocusrack/core/crevidence"
	"crocusrack/core/crhealth"
	"crocusrack/core/crledger"
	"crocusrack/core/crroster"
	pb "crocusrack/schema/crrouter"
)

const (
	// contextRepeat is how long a context is told where reports come at each
	// tick: in two or three of them, as datagrams get lost.
	contextRepeat = 450 * time.Millisecond
	// maxContexts, for each tick that a report is for, and maxWork bound a report
	// to what fits in few datagrams.
	maxContexts = 24
	maxWork     = 200
	// checkpointAge is how long ago a context was last of use to be told to an
	// instance that starts: chats that pause return within minutes.
	checkpointAge = 3 * time.Minute
	// checkpointSize bounds the contexts told to an instance that starts: at
	// some 20 bytes each they stay below 100 KB.
	checkpointSize = 4000
)

// reports is what is kept for the reports to other instances.
type reports struct {
	sequence uint64
	recent   []recentContext
	peers    map[string]*echo
	// relayed are contexts that instances of the own domain told, for the
	// digests of a relay.
	relayed []recentContext
	// digested and digestedFull are when the last digests were made.
	digested, digestedFull time.Time
	// members identifies the own domain's members, which changed and were named
	// in a digest at times.
	members                     uint64
	membersChanged, membersTold time.Time
	// told are the members of other domains.
	told map[string]toldMembers
	// forwards counts the digests and bulletins that were passed to the own domain.
	forwards uint64
	// bulletin is the next one, and suspects are what instances of the own domain
	// couldn't reach, of the relay of a large domain.
	bulletin bulletin
	suspects suspects
}

type recentContext struct {
	at time.Time
	*pb.Context
}

// echo is the newest stamp of another instance.
type echo struct {
	run   uint64
	stamp time.Duration
}

// context keeps a context for the reports of so many ticks each.
func (r *reports) context(now time.Time, c *pb.Context, every int) {
	r.recent = slices.DeleteFunc(r.recent, func(o recentContext) bool {
		return now.Sub(o.at) > contextRepeat*time.Duration(every) || o.GetChain() == c.GetChain() && o.GetEndpoint() == c.GetEndpoint()
	})
	if len(r.recent) < maxContexts*every {
		r.recent = append(r.recent, recentContext{now, c})
	}
}

// Targets returns the instances to send reports to.
func (s *State) Targets(now time.Time) []crroster.Instance {
	s.lock(now)
	defer s.mu.Unlock()
	return s.roster.Targets(now)
}

// Due returns the instances to send reports to at one tick.
func (s *State) Due(now time.Time) []crroster.Due {
	s.lock(now)
	defer s.mu.Unlock()
	return s.roster.Due(now)
}

// Add notes an instance that the store or a peer named.
func (s *State) Add(now time.Time, i crroster.Instance) bool {
	s.lock(now)
	defer s.mu.Unlock()
	return s.roster.Add(now, i)
}

// Compose makes the report to an instance; the name is empty when it isn't
// known yet.
func (s *State) Compose(now time.Time, to string) *pb.Report {
	s.lock(now)
	defer s.mu.Unlock()
	m := s.brief(to)
	m.Brief = false
	m.Seeking = s.roster.Size(now) == 1
	for _, i := range s.roster.News(now) {
		m.Peers = append(m.Peers, peerProto(i))
	}
	m.ToRelay = s.roster.IsRelay(now, to)
	if s.roster.IsRelay(now, s.Self.Name) {
		// Its bulletins tell the rest.
		return m
	}
	for k, n := range s.work.Own() {
		if len(m.WorkEndpoints) < maxWork {
			m.WorkEndpoints = append(m.WorkEndpoints, uint64(k))
			m.WorkRequests = append(m.WorkRequests, uint32(n))
		}
	}
	for _, c := range s.reports.recent {
		if now.Sub(c.at) <= contextRepeat*time.Duration(s.roster.Every()) {
			m.Contexts = append(m.Contexts, c.Context)
		}
	}
	for _, k := range s.health.Ejected(now) {
		m.Unreachable = append(m.Unreachable, uint64(k))
	}
	m.LeavingEndpoints = s.leaving(now)
	m.Failures = failuresProto(s.failures.Own(now))
	return m
}

// leavingRepeat is how long instances tell of an endpoint that leaves: several
// reports and digests.
const leavingRepeat = 3 * time.Second

// leaving returns the endpoints that said lately that they leave.
func (s *State) leaving(now time.Time) []uint64 {
	var list []uint64
	for _, k := range s.health.Leaving(now.Add(-leavingRepeat)) {
		list = append(list, uint64(k))
	}
	return list
}

func (s *State) takeLeaving(now time.Time, keys []uint64) {
	for _, k := range keys {
		s.health.Leave(now, crledger.Key(k))
	}
}

// ComposeBrief makes a brief report to an instance that others report to as well.
// It names this one without its addresses.
func (s *State) ComposeBrief(now time.Time, to string) *pb.Report {
	s.lock(now)
	defer s.mu.Unlock()
	m := s.brief(to)
	m.From = &pb.Peer{Name: s.Self.Name}
	return m
}

// ComposeDigest makes the report that carries a digest to another domain.
func (s *State) ComposeDigest(now time.Time, to string, d *pb.Digest) *pb.Report {
	s.lock(now)
	defer s.mu.Unlock()
	m := s.brief(to)
	m.Brief, m.Digest = false, d
	if len(d.GetMembers()) > 0 {
		for _, i := range s.roster.Contacts(now, s.roster.Instance(to).FailureDomain) {
			m.Peers = append(m.Peers, peerProto(i))
		}
	}
	return m
}

func (s *State) brief(to string) *pb.Report {
	s.reports.sequence++
	reading := s.Elapsed()
	m := &pb.Report{
		From:              peerProto(s.Self),
		Brief:             true,
		Run:               s.Run,
		Sequence:          s.reports.sequence,
		Ready:             s.roster.Status.Ready,
		Leaving:           s.roster.Status.Leaving,
		StoreLost:         s.roster.Status.StoreLost,
		Stamp:             durationpb.New(reading),
		EndpointsRevision: s.endpointsRevision,
		OutsRevision:      s.outsRevision,
	}
	if s.table != nil {
		m.RoutingVersion = s.table.Version
		m.RoutingAge = ageProto(&s.Evidence, reading)
	}
	m.EndpointsAge = ageProto(&s.EndpointsEvidence, reading)
	m.OutsAge = ageProto(&s.OutsEvidence, reading)
	if e := s.reports.peers[to]; e != nil {
		m.Echo, m.EchoRun = durationpb.New(e.stamp), e.run
	}
	return m
}

func ageProto(e *crevidence.Evidence, reading time.Duration) *durationpb.Duration {
	age, ok := e.Age(reading)
	if !ok {
		return nil
	}
	return durationpb.New(age)
}

// Introduce adds instances that this one knows to a report for one of a failure
// domain that is new.
func (s *State) Introduce(now time.Time, domain string, m *pb.Report) {
	s.lock(now)
	defer s.mu.Unlock()
	for _, i := range s.roster.Introduction(now, domain) {
		m.Peers = append(m.Peers, peerProto(i))
	}
}

// Heard is what the receiver of a report is to do.
type Heard struct {
	From crroster.Instance
	// New is true for the first report of a run of an instance.
	New bool
	// Introduce is true when it is to be told of other instances.
	Introduce bool
	// Behind is true when the sender has something newer.
	Behind bool
	// Forward passes the digest of another domain on to instances of the own one.
	Forward []Delivery
}

// Receive takes a report in.
func (s *State) Receive(now time.Time, m *pb.Report) (Heard, error) {
	s.lock(now)
	defer s.mu.Unlock()
	if m.GetBrief() {
		return s.receiveBrief(now, m), nil
	}
	from, err := peerFromProto(m.GetFrom())
	if err != nil {
		return Heard{}, fmt.Errorf("report: %w", err)
	}
	if m.Digest != nil && m.GetDigest().GetFailureDomain() != s.Self.FailureDomain {
		if err := s.takeDigest(now, m.GetDigest()); err != nil {
			return Heard{}, fmt.Errorf("digest of %s: %w", from.Name, err)
		}
	}
	if m.GetForwarded() {
		return s.receiveForwarded(now, from, m)
	}
	for _, p := range m.GetPeers() {
		i, err := peerFromProto(p)
		if err != nil {
			return Heard{}, fmt.Errorf("report of %s: %w", from.Name, err)
		}
		s.roster.Add(now, i)
	}
	known := s.roster.IsAlive(now, from.Name, m.GetRun())
	if !s.report(now, from, m) {
		return Heard{From: from}, nil
	}
	h := Heard{
		From: from, New: !known, Behind: s.behind(m),
		Introduce: !known && s.roster.Introduces(now, from.Name, m.GetSeeking()),
	}
	if m.GetToRelay() && m.Digest == nil {
		s.roster.Follow(now, from.Name)
	}
	if m.Digest == nil {
		s.takeWork(now, from.Name, m)
		return h, nil
	}
	s.roster.Relay(from.Name)
	if s.roster.Relays(now) && (m.GetDigest().GetFull() || len(m.GetDigest().GetContexts()) > 0) {
		h.Forward = s.forward(now, m)
	}
	if relay, other := s.roster.RelayOf(now); other && !m.GetToRelay() {
		h.Forward = append(h.Forward, toRelay(relay, m))
	}
	return h, nil
}

// toRelay passes the digest of another domain's relay, which doesn't know the one of
// this domain, on to that one. It answers by its own digests.
func toRelay(relay crroster.Instance, m *pb.Report) Delivery {
	passed := proto.CloneOf(m)
	passed.ToRelay = true
	return Delivery{relay.Peer, passed}
}

// receiveForwarded takes in a bulletin of the own domain's relay, or passes the
// digest of another domain on.
func (s *State) receiveForwarded(now time.Time, from crroster.Instance, m *pb.Report) (Heard, error) {
	forward, err := passOn(m)
	if err != nil {
		return Heard{From: from}, err
	}
	if m.Bulletin != nil && from.FailureDomain == s.Self.FailureDomain {
		if err := s.takeBulletin(now, m.GetBulletin()); err != nil {
			return Heard{From: from}, fmt.Errorf("bulletin of %s: %w", from.Name, err)
		}
		forward = append(forward, s.passToFollowers(now, m)...)
	}
	return Heard{From: from, Forward: forward}, nil
}

// receiveBrief takes a brief report in. One of an instance that isn't known is of
// no use: it sends others as well.
func (s *State) receiveBrief(now time.Time, m *pb.Report) Heard {
	name := m.GetFrom().GetName()
	if !s.roster.IsAlive(now, name, m.GetRun()) {
		return Heard{}
	}
	from := s.roster.Instance(name)
	if !s.report(now, from, m) {
		return Heard{From: from}
	}
	return Heard{From: from, Behind: s.behind(m)}
}

// report notes what a report says of its sender and of the store. It returns
// false for one that is older than another.
func (s *State) report(now time.Time, from crroster.Instance, m *pb.Report) bool {
	fresh := s.roster.Report(now, from, crroster.Status{
		Run:       m.GetRun(),
		Sequence:  m.GetSequence(),
		Ready:     m.GetReady(),
		Leaving:   m.GetLeaving(),
		StoreLost: m.GetStoreLost(),
	})
	if fresh {
		s.takeEcho(from.Name, m)
	}
	return fresh
}

// takeEcho keeps the sender's stamp and takes over its evidence for what is as
// new here. The echo of a stamp of an earlier run of this process is of no use:
// the clock may have started anew since.
func (s *State) takeEcho(name string, m *pb.Report) {
	if s.reports.peers == nil {
		s.reports.peers = make(map[string]*echo)
	}
	s.reports.peers[name] = &echo{run: m.GetRun(), stamp: m.GetStamp().AsDuration()}
	if m.Echo == nil || m.GetEchoRun() != s.Run {
		return
	}
	sent := m.GetEcho().AsDuration()
	if m.RoutingAge != nil && s.table != nil && m.GetRoutingVersion() <= s.table.Version {
		s.Evidence.Heard(sent, m.GetRoutingAge().AsDuration())
	}
	if m.EndpointsAge != nil && m.GetEndpointsRevision() <= s.endpointsRevision {
		s.EndpointsEvidence.Heard(sent, m.GetEndpointsAge().AsDuration())
	}
	if m.OutsAge != nil && m.GetOutsRevision() <= s.outsRevision {
		s.OutsEvidence.Heard(sent, m.GetOutsAge().AsDuration())
	}
}

func (s *State) takeWork(now time.Time, name string, m *pb.Report) {
	work := make(map[crledger.Key]int, len(m.GetWorkEndpoints()))
	for i, k := range m.GetWorkEndpoints() {
		if i < len(m.GetWorkRequests()) {
			work[crledger.Key(k)] = int(m.GetWorkRequests()[i])
		}
	}
	s.work.Report(now, name, work)
	s.takeFailures(now, name, m.GetFailures(), crhealth.Counts{})
	if s.roster.IsRelay(now, s.Self.Name) {
		// Each reports by itself now: what an earlier relay said counts them twice.
		s.work.Report(now, fleetWork, nil)
		s.failures.Report(now, fleetWork, crhealth.Counts{})
		for _, k := range m.GetUnreachable() {
			s.reports.suspects.note(now, crledger.Key(k), name)
		}
	}
	for _, c := range m.GetContexts() {
		s.takeContext(now, c)
		s.reports.relay(now, c)
	}
	for _, k := range m.GetUnreachable() {
		s.health.Heard(now, crledger.Key(k))
	}
	s.takeLeaving(now, m.GetLeavingEndpoints())
}

func (s *State) behind(m *pb.Report) bool {
	version := uint64(0)
	if s.table != nil {
		version = s.table.Version
	}
	return m.GetRoutingVersion() > version ||
		m.GetEndpointsRevision() > s.endpointsRevision ||
		m.GetOutsRevision() > s.outsRevision
}

// Have returns the versions that this instance has.
func (s *State) Have() (routing, endpoints, outs uint64) {
	s.init()
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.table != nil {
		routing = s.table.Version
	}
	return routing, s.endpointsRevision, s.outsRevision
}

// Snapshot returns what is newer than the given versions.
func (s *State) Snapshot(now time.Time, routing, endpoints, outs uint64) *pb.Snapshot {
	s.lock(now)
	defer s.mu.Unlock()
	m := &pb.Snapshot{}
	if s.table != nil && s.table.Version > routing {
		m.Routing = s.routing
	}
	if s.endpointsRevision > endpoints {
		m.Endpoints = s.changed(now, endpoints)
	}
	if s.outsRevision > outs {
		m.Outs = &pb.Outs{Revision: s.outsRevision}
		for d := range s.outs {
			m.Outs.FailureDomains = append(m.Outs.FailureDomains, d)
		}
	}
	return m
}

// Adopt takes what is newer in a peer's snapshot. It returns ErrIncomplete when
// the endpoints have to be fetched whole.
func (s *State) Adopt(now time.Time, m *pb.Snapshot) error {
	if m.Routing != nil {
		s.SetRouting(m.GetRouting())
	}
	if m.Endpoints != nil {
		list, err := s.merge(now, m.GetEndpoints())
		if err != nil {
			return err
		}
		s.SetEndpoints(now, m.GetEndpoints().GetRevision(), list)
	}
	if m.Outs != nil {
		s.SetOuts(m.GetOuts().GetRevision(), m.GetOuts().GetFailureDomains())
	}
	return nil
}
