package crgrant

import (
	"fmt"
	"slices"
	"time"

	"google.golang.org/protobuf/proto"
	"google.golang.org/protobuf/types/known/durationpb"

	"crocusrack/core/crfreshness"
	"crocusrack/core/crhealth"
	"crocusrack/core/crledger"
	"crocusrack/core/crliveness"
	pb "crocusrack/schema/crrouter"
)

const (
	// contextRepeat is how long a context is repeated in reports that are sent at every
	// tick. Two or three of them contain it, because datagrams may be lost.
	contextRepeat = 450 * time.Millisecond
	// maxContexts bounds the contexts in a report per tick that it covers, and
	// maxWorkEntries the endpoints with requests in flight. A report then fits in a few
	// datagrams.
	maxContexts    = 24
	maxWorkEntries = 200
	// maxCheckpointAge is the longest time since the last use of a context that is sent to
	// a starting instance. Chats that pause resume within minutes.
	maxCheckpointAge = 3 * time.Minute
	// maxCheckpointContexts bounds the contexts sent to a starting instance. At some 20
	// bytes each they stay below 100 KB.
	maxCheckpointContexts = 4000
)

// reportState is the state kept between reports to other instances.
type reportState struct {
	sequence       uint64
	recentContexts []recentContext
	echoes         map[string]*echo
	// echoed tracks the age of the newest own stamp that another instance has returned.
	echoed crfreshness.Evidence
	// newestEndpoints is the newest position of the endpoints that another instance has told, and
	// newestEndpointsAt when it did, by Elapsed.
	newestEndpoints   Position
	newestEndpointsAt time.Duration
	// relayedContexts are the contexts that instances of the own failure domain reported,
	// which a relay includes in its digests.
	relayedContexts []recentContext
	// lastDigest is when the last digest was composed, and lastFullDigest when the last
	// full one was.
	lastDigest, lastFullDigest time.Time
	// membersHash is the hash of the own failure domain's members. They last changed at
	// membersChanged and were last included in a digest at membersSent.
	membersHash                 uint64
	membersChanged, membersSent time.Time
	// domainMembers are the members of other failure domains.
	domainMembers map[string]domainMembers
	// forwards counts the digests and bulletins that were distributed in the own failure
	// domain.
	forwards uint64
	// bulletin is the next bulletin, and unreachable holds the endpoints that instances of
	// the own failure domain couldn't reach. Only the relay of a large failure domain uses
	// them.
	bulletin    bulletin
	unreachable unreachableReports
}

type recentContext struct {
	at time.Time
	*pb.Context
}

// echo is the newest stamp received from another instance, which is returned to it in
// reports.
type echo struct {
	run   uint64
	stamp time.Duration
}

// addContext queues a context for reports that are sent once in the given number of ticks.
func (r *reportState) addContext(now time.Time, c *pb.Context, every int) {
	r.recentContexts = slices.DeleteFunc(r.recentContexts, func(o recentContext) bool {
		return now.Sub(o.at) > contextRepeat*time.Duration(every) || o.GetChain() == c.GetChain() && o.GetEndpoint() == c.GetEndpoint()
	})
	if len(r.recentContexts) < maxContexts*every {
		r.recentContexts = append(r.recentContexts, recentContext{now, c})
	}
}

// Targets returns the instances to which this one sends reports.
func (s *State) Targets(now time.Time) []crliveness.Instance {
	s.lock(now)
	defer s.mu.Unlock()
	return s.roster.Targets(now)
}

// Due returns the instances that are sent a report at the current tick.
func (s *State) Due(now time.Time) []crliveness.Due {
	s.lock(now)
	defer s.mu.Unlock()
	return s.roster.Due(now)
}

// Add adds an instance that the store or another instance named. It reports whether the
// instance is new.
func (s *State) Add(now time.Time, i crliveness.Instance) bool {
	s.lock(now)
	defer s.mu.Unlock()
	return s.roster.Add(now, i)
}

// Compose returns the full report to the instance with the given name. The name is empty
// if it isn't known yet.
func (s *State) Compose(now time.Time, to string) *pb.Report {
	s.lock(now)
	defer s.mu.Unlock()
	m := s.newBriefReport(now, to)
	m.Brief = false
	m.Seeking = s.roster.Size(now) == 1
	for _, i := range s.roster.RecentlyAdded(now) {
		m.Peers = append(m.Peers, peerProto(i))
	}
	m.ToRelay = s.roster.IsRelay(now, to)
	if s.roster.IsRelay(now, s.Self.Name) {
		// The relay sends the rest in its bulletins.
		return m
	}
	for k, n := range s.work.Own() {
		if len(m.WorkEndpoints) < maxWorkEntries {
			m.WorkEndpoints = append(m.WorkEndpoints, uint64(k))
			m.WorkRequests = append(m.WorkRequests, uint32(n))
		}
	}
	for _, c := range s.reports.recentContexts {
		if now.Sub(c.at) <= contextRepeat*time.Duration(s.roster.TicksPerReport()) {
			m.Contexts = append(m.Contexts, c.Context)
		}
	}
	for _, k := range s.health.Ejected(now) {
		m.Unreachable = append(m.Unreachable, uint64(k))
	}
	m.LeavingEndpoints = s.leaving(now)
	m.Failures = failuresProto(s.failures.OwnCounts(now))
	m.Rollouts = s.progressProto(now, nil)
	m.CrashEvidence = evidenceProto(now, s.quarantine.News(now))
	m.Limits = s.limitsProto(s.limits.News(s.Elapsed(), maxReportedLimits))
	m.Demands = demandsProto(s.shares.News(now))
	m.Gauges = s.gaugesProto(now, maxReportedGauges, maxReportedIntervals)
	m.Ramps = s.rampsProto(now, maxReportedRamps, nil)
	return m
}

// leavingRepeat is how long instances repeat that an endpoint is leaving, which covers
// several reports and digests.
const leavingRepeat = 3 * time.Second

// leaving returns the endpoints that recently announced that they are leaving.
func (s *State) leaving(now time.Time) []uint64 {
	var list []uint64
	for _, k := range s.health.Leaving(now.Add(-leavingRepeat)) {
		list = append(list, uint64(k))
	}
	return list
}

func (s *State) applyLeaving(now time.Time, keys []uint64) {
	for _, k := range keys {
		s.health.MarkLeaving(now, crledger.Key(k))
	}
}

// ComposeBrief returns a brief report to an instance that other instances send reports to
// as well. It contains this instance's name without its addresses.
func (s *State) ComposeBrief(now time.Time, to string) *pb.Report {
	s.lock(now)
	defer s.mu.Unlock()
	m := s.newBriefReport(now, to)
	m.From = &pb.Peer{Name: s.Self.Name}
	return m
}

// ComposeDigest returns the report that carries digest d to an instance of another failure
// domain.
func (s *State) ComposeDigest(now time.Time, to string, d *pb.Digest) *pb.Report {
	s.lock(now)
	defer s.mu.Unlock()
	m := s.newBriefReport(now, to)
	m.Brief, m.Digest = false, d
	if len(d.GetMembers()) > 0 {
		for _, i := range s.roster.Contacts(now, s.roster.Instance(to).FailureDomain) {
			m.Peers = append(m.Peers, peerProto(i))
		}
	}
	return m
}

// newBriefReport returns a brief report to the named instance, with the next sequence
// number.
func (s *State) newBriefReport(now time.Time, to string) *pb.Report {
	s.reports.sequence++
	elapsed := s.Elapsed()
	m := &pb.Report{
		From:              peerProto(s.Self),
		Brief:             true,
		Run:               s.Run,
		Sequence:          s.reports.sequence,
		Ready:             s.roster.Status.Ready,
		Leaving:           s.roster.Status.Leaving,
		StoreLost:         s.roster.Status.StoreLost,
		KnowsEras:         true,
		RecordsVersions:   true,
		OutOfContact:      s.roster.OutOfContact(now),
		Stamp:             durationpb.New(elapsed),
		EndpointsRevision: s.endpointsPosition.Revision(),
		EndpointsEra:      s.endpointsPosition.Era(),
		OutsRevision:      s.outsPosition.Revision(),
		OutsEra:           s.outsPosition.Era(),
		RolloutsRevision:  s.rolloutsPosition.Revision(),
		RolloutsEra:       s.rolloutsPosition.Era(),
		Quarantines:       s.quarantinesProto(now),
	}
	m.EndpointsProvisional, m.OutsProvisional = s.endpointsPosition.IsProvisional(), s.outsPosition.IsProvisional()
	if s.routingTable != nil {
		m.RoutingVersion = s.routingTable.Version
		m.RoutingAge = ageProto(&s.Evidence, elapsed)
	}
	m.EndpointsAge = ageProto(&s.EndpointsEvidence, elapsed)
	m.OutsAge = ageProto(&s.OutOfServiceEvidence, elapsed)
	s.addRecordedVersions(now, m)
	if e := s.reports.echoes[to]; e != nil {
		m.Echo, m.EchoRun = durationpb.New(e.stamp), e.run
	}
	return m
}

// ageProto encodes the age of evidence at a reading of State.Elapsed, or returns nil if
// there is no evidence.
func ageProto(e *crfreshness.Evidence, elapsed time.Duration) *durationpb.Duration {
	age, ok := e.Age(elapsed)
	if !ok {
		return nil
	}
	return durationpb.New(age)
}

// Introduce adds known instances to a report to a new instance of the given failure
// domain.
func (s *State) Introduce(now time.Time, domain string, m *pb.Report) {
	s.lock(now)
	defer s.mu.Unlock()
	for _, i := range s.roster.InstancesForNew(now, domain) {
		m.Peers = append(m.Peers, peerProto(i))
	}
}

// ReceiveResult tells the receiver of a report how to respond.
type ReceiveResult struct {
	// From is the sender. It is empty for a brief report of an instance that isn't alive
	// in that run.
	From crliveness.Instance
	// New is true for the first report of a run of an instance.
	New bool
	// Answer is true if the sender should be sent a report at once, and Introduce if that
	// report should name other instances.
	Answer, Introduce bool
	// Behind is true if the sender has a newer version of the routing, of the endpoints or
	// of the failure domains that are out of service, and can be asked for it: it hears from
	// this instance.
	Behind bool
	// Forward holds the digests and bulletins to pass on to instances of the own failure
	// domain.
	Forward []Delivery
}

// Receive applies a report or digest from another instance. It returns an error if an
// address in the message can't be parsed or a bulletin can't be decoded.
func (s *State) Receive(now time.Time, m *pb.Report) (ReceiveResult, error) {
	s.lock(now)
	defer s.mu.Unlock()
	if answer, only := s.receiveStreams(now, m); only {
		return ReceiveResult{Forward: answer}, nil
	}
	if m.GetBrief() {
		return s.receiveBrief(now, m), nil
	}
	from, err := peerFromProto(m.GetFrom())
	if err != nil {
		return ReceiveResult{}, fmt.Errorf("report: %w", err)
	}
	if m.Digest != nil && m.GetDigest().GetFailureDomain() != s.Self.FailureDomain {
		if err := s.applyDigest(now, m.GetDigest()); err != nil {
			return ReceiveResult{}, fmt.Errorf("digest of %s: %w", from.Name, err)
		}
	}
	if m.GetForwarded() {
		return s.receiveForwarded(now, from, m)
	}
	for _, p := range m.GetPeers() {
		i, err := peerFromProto(p)
		if err != nil {
			return ReceiveResult{}, fmt.Errorf("report of %s: %w", from.Name, err)
		}
		s.roster.Add(now, i)
	}
	known := s.roster.IsAliveInRun(now, from.Name, m.GetRun())
	if !s.recordReport(now, from, m) {
		return ReceiveResult{From: from}, nil
	}
	h := ReceiveResult{From: from, New: !known, Behind: s.isBehind(m) && s.roster.Hears(now, from.Name)}
	if s.roster.MustAnswer(now, from.Name, h.New, m.GetSeeking()) {
		h.Answer, h.Introduce = true, s.roster.TellsNewInstance(now, from.Name, m.GetSeeking())
	}
	if m.GetToRelay() && m.Digest == nil {
		s.roster.AddFollower(now, from.Name)
	}
	if m.Digest == nil {
		s.applyWork(now, from.Name, m)
		return h, nil
	}
	s.roster.Relay(from.Name)
	if s.roster.IsOwnDomainRelay(now) && (m.GetDigest().GetFull() || len(m.GetDigest().GetContexts()) > 0) {
		h.Forward = s.forwardDigest(now, m)
	}
	if relay, other := s.roster.OwnDomainRelay(now); other && !m.GetToRelay() {
		h.Forward = append(h.Forward, forwardToRelay(relay, m))
	}
	return h, nil
}

// forwardToRelay returns the delivery that passes a digest on to the relay of this failure
// domain, for a sender in another failure domain that doesn't know that relay. The relay
// responds with its own digests.
func forwardToRelay(relay crliveness.Instance, m *pb.Report) Delivery {
	forwarded := proto.CloneOf(m)
	forwarded.ToRelay = true
	return Delivery{relay.Peer, forwarded}
}

// receiveForwarded applies a bulletin of the own failure domain's relay, and returns the
// deliveries to the instances that the sender asked this one to pass the message on to.
func (s *State) receiveForwarded(now time.Time, from crliveness.Instance, m *pb.Report) (ReceiveResult, error) {
	forward, err := requestedDeliveries(m)
	if err != nil {
		return ReceiveResult{From: from}, err
	}
	if m.Bulletin != nil && from.FailureDomain == s.Self.FailureDomain {
		if err := s.applyBulletin(now, m.GetBulletin()); err != nil {
			return ReceiveResult{From: from}, fmt.Errorf("bulletin of %s: %w", from.Name, err)
		}
		forward = append(forward, s.forwardToFollowers(now, m)...)
	}
	return ReceiveResult{From: from, Forward: forward}, nil
}

// receiveBrief applies a brief report. It ignores one of an unknown instance, which sends
// full reports as well.
func (s *State) receiveBrief(now time.Time, m *pb.Report) ReceiveResult {
	name := m.GetFrom().GetName()
	if !s.roster.IsAliveInRun(now, name, m.GetRun()) {
		return ReceiveResult{}
	}
	from := s.roster.Instance(name)
	if !s.recordReport(now, from, m) {
		return ReceiveResult{From: from}
	}
	return ReceiveResult{From: from, Behind: s.isBehind(m) && s.roster.Hears(now, name)}
}

// recordReport records the sender's status and its evidence about the store. It returns
// false for a report that is older than one already received.
func (s *State) recordReport(now time.Time, from crliveness.Instance, m *pb.Report) bool {
	fresh := s.roster.Report(now, from, crliveness.Status{
		Run:          m.GetRun(),
		Sequence:     m.GetSequence(),
		Ready:        m.GetReady(),
		Leaving:      m.GetLeaving(),
		StoreLost:    m.GetStoreLost(),
		IgnoresEras:  !m.GetKnowsEras(),
		OutOfContact: m.GetOutOfContact(),

		IgnoresRecord: !m.GetRecordsVersions(),
	})
	if fresh {
		s.applyRecordedVersions(now, m)
		if at := s.positionFrom(endpointsPositionOf(m), s.endpointsPosition); at > s.reports.newestEndpoints {
			s.reports.newestEndpoints, s.reports.newestEndpointsAt = at, s.Elapsed()
		}
		s.applyEcho(from.Name, m)
		s.compareQuarantines(now, from.Name, m.Quarantines)
	}
	return fresh
}

// applyEcho stores the sender's stamp and adopts its evidence for data that is no newer at
// the sender than here. An echo of a stamp from an earlier run of this process is ignored,
// because the clock may have restarted since.
func (s *State) applyEcho(name string, m *pb.Report) {
	if s.reports.echoes == nil {
		s.reports.echoes = make(map[string]*echo)
	}
	s.reports.echoes[name] = &echo{run: m.GetRun(), stamp: m.GetStamp().AsDuration()}
	if m.Echo == nil || m.GetEchoRun() != s.Run {
		return
	}
	sent := m.GetEcho().AsDuration()
	s.reports.echoed.Read(sent)
	s.roster.Echo(name, s.callTime.Add(sent-s.Elapsed()))
	if m.RoutingAge != nil && s.routingTable != nil && m.GetRoutingVersion() <= s.routingTable.Version {
		s.Evidence.Heard(sent, m.GetRoutingAge().AsDuration())
	}
	if m.EndpointsAge != nil && s.isEvidence(endpointsPositionOf(m), s.endpointsPosition) {
		s.EndpointsEvidence.Heard(sent, m.GetEndpointsAge().AsDuration())
	}
	if m.OutsAge != nil && s.isEvidence(outsPositionOf(m), s.outsPosition) {
		s.OutOfServiceEvidence.Heard(sent, m.GetOutsAge().AsDuration())
	}
}

func (s *State) applyWork(now time.Time, name string, m *pb.Report) {
	work := make(map[crledger.Key]int, len(m.GetWorkEndpoints()))
	for i, k := range m.GetWorkEndpoints() {
		if i < len(m.GetWorkRequests()) {
			work[crledger.Key(k)] = int(m.GetWorkRequests()[i])
		}
	}
	s.work.Report(now, name, work)
	s.applyFailures(now, name, m.GetFailures(), crhealth.Counts{})
	s.applyProgress(now, name, m.GetRollouts(), nil)
	s.applyEvidence(now, m.GetCrashEvidence())
	s.applyLimits(m.GetLimits())
	s.applyDemands(now, name, m.GetDemands(), nil)
	s.applyGauges(now, m.GetGauges())
	s.applyRamps(now, name, m.GetRamps())
	if s.roster.IsRelay(now, s.Self.Name) {
		// Every instance now reports to this one directly. The sums of an earlier relay
		// would count their requests twice.
		s.work.Report(now, fleetSource, nil)
		s.failures.SetPeerCounts(now, fleetSource, crhealth.Counts{})
		s.rollouts.ForgetPeers(fleetSource)
		s.shares.Report(now, fleetSource, nil)
		s.ramps.ForgetSource(fleetSource)
		for _, k := range m.GetUnreachable() {
			s.reports.unreachable.add(now, crledger.Key(k), name)
		}
	}
	for _, c := range m.GetContexts() {
		s.applyContext(now, c)
		s.reports.addRelayedContext(now, c)
	}
	for _, k := range m.GetUnreachable() {
		s.health.RecordPeerReport(now, crledger.Key(k))
	}
	s.applyLeaving(now, m.GetLeavingEndpoints())
}

// isBehind reports whether the sender of a report has a newer version of any data than
// this instance.
func (s *State) isBehind(m *pb.Report) bool {
	version := uint64(0)
	if s.routingTable != nil {
		version = s.routingTable.Version
	}
	return m.GetRoutingVersion() > version ||
		s.positionFrom(endpointsPositionOf(m), s.endpointsPosition) > s.endpointsPosition ||
		s.positionFrom(outsPositionOf(m), s.outsPosition) > s.outsPosition ||
		s.positionFrom(PositionOf(m.GetRolloutsEra(), m.GetRolloutsRevision(), false), s.rolloutsPosition) > s.rolloutsPosition
}

// Versions returns the versions that this instance has.
func (s *State) Versions() Versions {
	s.init()
	s.mu.Lock()
	defer s.mu.Unlock()
	v := Versions{Endpoints: s.endpointsPosition, Outs: s.outsPosition, Rollouts: s.rolloutsPosition}
	if s.routingTable != nil {
		v.Routing = s.routingTable.Version
	}
	return v
}
