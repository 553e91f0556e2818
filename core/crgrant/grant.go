// Package crgrant selects the endpoint for each request and issues a Grant that permits
// sending the request there. A State combines what an instance knows about the fleet:
// requests in flight, the contexts that endpoints hold, endpoint health, the other
// instances, and the remaining retry budget. It performs no I/O, takes the current time
// from its caller and is safe for concurrent use.
package crgrant

import (
	"sync"
	"time"

	"google.golang.org/protobuf/types/known/durationpb"

	"crocusrack/core/crcontext"
	"crocusrack/core/crfreshness"
	"crocusrack/core/crgauge"
	"crocusrack/core/crhealth"
	"crocusrack/core/crlatency"
	"crocusrack/core/crledger"
	"crocusrack/core/crlimit"
	"crocusrack/core/crliveness"
	"crocusrack/core/crplace"
	"crocusrack/core/crquarantine"
	"crocusrack/core/crramp"
	"crocusrack/core/crrecent"
	"crocusrack/core/crretry"
	"crocusrack/core/crrollout"
	"crocusrack/core/crroute"
	"crocusrack/core/crshare"
	"crocusrack/core/crswitch"
	"crocusrack/core/crversion"
	pb "crocusrack/schema/crrouter"
)

// RetryLimit bounds the retries at a service's endpoints over all instances. The first
// attempt of a request doesn't count.
type RetryLimit struct {
	// Share is the fraction of the requests that may be retried.
	Share float64
	// ExtraPerWindow is the number of retries allowed per Window in addition to Share.
	ExtraPerWindow float64
	Window         time.Duration
}

// usableShare is the fraction of the retry limit that instances use. The rest covers times
// at which instances disagree on the fleet size.
const usableShare = 0.7

// State is an instance's view of the fleet. Set the exported fields before the first call
// of a method.
type State struct {
	Self crliveness.Instance
	// Run identifies this run of the process. Instances use it to tell echoes and reports
	// of different runs apart.
	Run     uint64
	Retries RetryLimit
	// Elapsed returns the reading of a clock that keeps running while the machine is
	// suspended.
	Elapsed func() time.Duration
	// Disabled holds the mechanisms that are switched off.
	Disabled crswitch.Set
	// Rollouts bounds what a new version of a service may get before it is known to be
	// good. With a Share of zero, orders to move the traffic of a service are ignored.
	Rollouts crrollout.Limits
	// OnRollout is called when this instance finds something about a roll-out. It must not
	// call methods of the State. It may be nil.
	OnRollout func(crrollout.Event)
	// OnQuarantine is called with the quarantined parts of prompts when they have changed.
	// It must not call methods of the State. It may be nil.
	OnQuarantine func([]crquarantine.Quarantine)
	// OnRamp is called when the ramp of an endpoint begins or ends. It must not call methods of
	// the State. It may be nil.
	OnRamp func(RampEvent)
	// OnUrgent is called when other instances must be informed without waiting for the next
	// report. It must not call methods of the State. It may be nil.
	OnUrgent func()
	// OnStreams is called when there are deliveries for StreamNews to return. It must not call
	// methods of the State. It may be nil.
	OnStreams func()
	// OnShortage is called when a service becomes saturated or no longer is, or when it has no
	// usable endpoint or has one again. It must not call methods of the State. It may be nil.
	OnShortage func(Shortage)
	// Evidence, EndpointsEvidence and OutOfServiceEvidence track the staleness of the
	// routing, of the list of endpoints and of the failure domains that are out of
	// service.
	Evidence             crfreshness.Evidence
	EndpointsEvidence    crfreshness.Evidence
	OutOfServiceEvidence crfreshness.Evidence

	mu       sync.Mutex
	once     sync.Once
	roster   crliveness.Roster
	work     crledger.Ledger
	contexts crcontext.Table
	health   crhealth.Table
	failures crhealth.Failures
	reads    crledger.PrefillBacklog
	pace     crlatency.Table
	streams  crlatency.StreamPaces
	placer   crplace.Placer
	coldGate crplace.ColdGate
	rollouts crrollout.Table
	versions crversion.Table
	// versionsEvidence tracks the staleness of versions, where those of the endpoints were read
	// alone.
	versionsEvidence crfreshness.Evidence
	// begunStreams are the streams that their holders weren't told of yet.
	begunStreams []begunStream
	// toldServices are the services whose earlier streams were queued in begunStreams.
	toldServices map[string]bool
	// keeperRun is the run of the keeper that was told of streams, or zero if this instance was the
	// keeper.
	keeperRun uint64
	// startedAt is when a method was called first.
	startedAt  time.Time
	quarantine crquarantine.Table
	limits     crlimit.Table
	gauges     crgauge.Table
	meanOthers meanOthers
	limitGate  crlimit.Gate
	shares     crshare.Table
	// patience holds the times that callers of each route wait.
	patience map[string]*crretry.Patience
	// fullRefusals counts the refusals of full endpoints without another outcome in between.
	fullRefusals map[crledger.Key]int
	// unusable holds the services without a usable endpoint.
	unusable map[string]bool
	ramps    rampTable
	// quarantineHash is the hash of the quarantines that OnQuarantine was called with last.
	quarantineHash uint64
	// trials holds when the last request of each trial was sent.
	trials map[crquarantine.Part]time.Time
	// differences holds the last differences of quarantines by the sender of the message.
	differences map[string]difference
	// rolloutsPosition is the position of the orders in rollouts.
	rolloutsPosition Position
	retryBudgets     map[string]*crretry.Budget
	returns          map[string]*crretry.ReturnScheduler
	routingTable     *crroute.Table
	routing          *pb.Routing

	endpoints         []*crplace.Endpoint
	endpointsPosition Position
	// endpointsFingerprint is the fingerprint of endpoints.
	endpointsFingerprint uint64
	// keysByShortKey maps the shortened keys used in digests to endpoint keys.
	keysByShortKey map[uint32]crledger.Key
	changes        changes
	// outs holds the failure domains that are out of service.
	outs         map[string]bool
	outsPosition Position
	// removed tells of endpoints that were listed whether they no longer are.
	removed crrecent.Map[crledger.Key, bool]
	// restoredEra is the last era in which the store came back from a copy while this instance
	// ran, or zero, and restoredAt is when this instance learned of it.
	restoredEra uint64
	restoredAt  time.Time
	// firstListed is when each endpoint was first listed here, for roll-outs.
	firstListed map[string]time.Time

	reports reportState
	// callTime is the time that was passed to the current method call.
	callTime time.Time
}

func (s *State) init() {
	s.once.Do(func() {
		s.roster.Self = s.Self
		s.retryBudgets = make(map[string]*crretry.Budget)
		s.returns = make(map[string]*crretry.ReturnScheduler)
		s.outs = make(map[string]bool)
		s.firstListed = make(map[string]time.Time)
		s.coldGate.Roster = &s.roster
		s.limitGate.Roster = &s.roster
		if !s.Disabled.Has(crswitch.Rollouts) {
			s.rollouts.Limits = s.Rollouts
		}
		s.health.Lenient = s.Disabled.Has(crswitch.EndpointEjection)
		s.pace.LearningDisabled = s.Disabled.Has(crswitch.LearnedPace)
		s.placer = crplace.Placer{
			FailureDomain:  s.Self.FailureDomain,
			Ledger:         &s.work,
			Contexts:       &s.contexts,
			Health:         &s.health,
			Failures:       &s.failures,
			PrefillBacklog: &s.reads,
			Latency:        &s.pace,
			Disabled:       s.Disabled,
			AdmitCold: func(e *crplace.Endpoint, perSecond float64) bool {
				return s.coldGate.Admit(s.callTime, e, perSecond)
			},
			Limit: func(e *crplace.Endpoint) (float64, time.Duration) {
				perSecond := s.limits.PerSecond(e.Key)
				if perSecond == crlimit.None {
					return perSecond, 0
				}
				return max(perSecond, crlimit.MinPerSecond), s.limitGate.Wait(s.callTime, e.Key, perSecond)
			},
			TakeLimited: func(e *crplace.Endpoint) {
				if s.limits.PerSecond(e.Key) != crlimit.None {
					s.limitGate.Take(s.callTime, e.Key)
				}
			},
			DomainOutOfService: func(domain string) bool { return s.outs[domain] },
		}
		s.placer.Unreported = s.unreported
		s.initGauges()
		s.initRamps()
		s.placer.SetEndpoints(nil)
	})
}

// workExpiry is how long the reported counts of an instance or failure domain are used
// after its last report.
const workExpiry = 2 * time.Second

// lock acquires the mutex, records the time of the call and drops reports that have
// expired.
func (s *State) lock(now time.Time) {
	s.init()
	s.mu.Lock()
	s.callTime = now
	if s.startedAt.IsZero() {
		s.startedAt = now
	}
	s.work.Expire(now.Add(-workExpiry))
	s.failures.DropReportsBefore(now.Add(-workExpiry))
	s.rollouts.Expire(now.Add(-workExpiry))
	s.shares.Expire(now.Add(-workExpiry))
	s.expireRamps(now)
}

// Table returns the routing table in force, or nil if no routing was set yet.
func (s *State) Table() *crroute.Table {
	s.init()
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.routingTable
}

// Grant permits sending one request to one endpoint. Its holder calls End or Drop once the
// request is over.
type Grant struct {
	crplace.Choice
	state *State
	links []crcontext.Link
	parts []crquarantine.Part
	route string
	// Cause says why no endpoint of the service can be used, in kebab case, if the Reason is
	// crplace.NoEndpoint.
	Cause string
	// NewVersion is true if the endpoint runs a version that the service's traffic moves
	// to.
	NewVersion bool
	// CountsAge is the age of the oldest report in use of the requests of others. It is zero if
	// there is none.
	CountsAge time.Duration
	// started is the time of the grant, and startElapsed the reading of State.Elapsed at
	// that time.
	started      time.Time
	startElapsed time.Duration
	ended        bool
	// read is true once the endpoint has read the prompt, and answered once its answer goes
	// on.
	read, answered bool
	// resumable is true if callers may take up the stream that answers the request.
	resumable bool
	// trial is true if the request is sent in the trial after a quarantine.
	trial bool
	rampSample
}

// Grant selects an endpoint and counts the request as in flight there. If no endpoint can
// be used, the Reason of the grant is not Chosen and its Endpoint is nil.
func (s *State) Grant(now time.Time, a Request) *Grant {
	s.lock(now)
	defer s.mu.Unlock()
	g := &Grant{state: s, links: a.Links, parts: a.Parts, route: a.Route, resumable: a.Resumable, started: now, startElapsed: s.Elapsed()}
	until, trial, blocked := s.blockedUntil(now, a.Parts)
	if blocked {
		g.Reason, g.RetryAfter = crplace.Quarantined, max(crretry.MinReturnDelay, until.Sub(now))
		return g
	}
	admission := s.admit(now, a)
	choice, newVersion := admission.choice, false
	if choice.Reason == crplace.Chosen {
		choice, newVersion = s.place(now, a, admission.spread)
		s.observeLoad(now, a, choice)
	}
	g.Choice, g.NewVersion = choice, newVersion
	if oldest := s.work.Oldest(); !oldest.IsZero() {
		g.CountsAge = now.Sub(oldest)
	}
	if choice.Endpoint == nil {
		if choice.Reason != crplace.PrefillInProgress {
			g.RetryAfter = s.retryAfter(now, a, choice)
		}
		g.Cause = s.recordUnusable(now, a, choice.Reason)
		return g
	}
	s.recordUnusable(now, a, choice.Reason)
	if trial != 0 {
		g.trial = true
		s.startTrial(now, trial)
	}
	s.startRampSample(now, g, a)
	s.work.Start(choice.Endpoint.Key)
	s.recordPlacement(now, a.Links, choice)
	return g
}

const (
	// An endpoint is assumed to have read a prompt once it takes longer than forecast
	// by readMargin times the forecast read time plus overheadMargin times the estimated
	// overhead. The overhead is the time to first token of a prompt that needs no prefill.
	readMargin     = 1.0
	overheadMargin = 3
	// urgentReadTime is the forecast read time from which other instances are informed at
	// once. A shorter read would be over before the next report arrives.
	urgentReadTime = 45 * time.Millisecond
)

// recordPlacement records that an endpoint will hold a prompt once it has read the part
// that it lacks. The prompt counts as held at once if there is nothing to read, or if a
// part is fetched from another endpoint and the rest is read in less than urgentReadTime.
func (s *State) recordPlacement(now time.Time, links []crcontext.Link, c crplace.Choice) {
	until, reading := time.Time{}, s.forecastRead(now, c)
	end := s.reads.Add(now, c.Endpoint.Key, reading)
	if reading > 0 && (c.Source == nil || reading >= urgentReadTime) {
		until = end.Add(time.Duration(readMargin * float64(reading))).Add(s.readTolerance(now, c.Endpoint))
	}
	s.recordContext(now, links, c.Endpoint.Key, until)
	if reading >= urgentReadTime {
		s.signalUrgent()
	}
}

// forecastRead returns how long the chosen endpoint is forecast to read the part of the
// prompt that it neither holds nor fetches.
func (s *State) forecastRead(now time.Time, c crplace.Choice) time.Duration {
	speed := s.pace.Speed(now, c.Endpoint.Service)
	return speed.Prefill(s.pace.Slowness(now, c.Endpoint.Key), c.Job.PrefillTokens)
}

// readTolerance returns the time that a read may exceed its forecast by, independent of
// its length.
func (s *State) readTolerance(now time.Time, e *crplace.Endpoint) time.Duration {
	speed := s.pace.Speed(now, e.Service)
	return overheadMargin * speed.Overhead(s.pace.Slowness(now, e.Key))
}

// recordContext records that an endpoint holds a prompt, or reads it until the given time
// if that isn't zero. The part of the prompt that other requests may share is queued for
// the reports to other instances.
func (s *State) recordContext(now time.Time, links []crcontext.Link, k crledger.Key, until time.Time) {
	if len(links) == 0 {
		return
	}
	last := max(0, len(links)-2)
	for i, l := range links {
		s.contexts.Record(now, l, i <= last, k, until)
	}
	shared := links[last]
	if !s.contexts.MarkAnnounced(now, shared.Chain, k) {
		return
	}
	m := &pb.Context{Chain: shared.Chain, Endpoint: uint64(k), Tokens: uint32(shared.Tokens)}
	if !until.IsZero() {
		m.Reading = durationpb.New(until.Sub(now))
	}
	s.reports.addContext(now, m, s.roster.TicksPerReport())
}

func (s *State) signalUrgent() {
	if s.OnUrgent != nil {
		s.OnUrgent()
	}
}

// MarkRead records that the endpoint has finished reading the request's prompt.
func (g *Grant) MarkRead(now time.Time) {
	s := g.state
	s.lock(now)
	defer s.mu.Unlock()
	g.recordForRamp(now, crhealth.Good)
	if len(g.links) == 0 || g.read {
		return
	}
	g.read = true
	s.pace.Observe(now, g.Endpoint.Service, g.Endpoint.Key, g.Job, now.Sub(g.started))
	s.recordContext(now, g.links, g.Endpoint.Key, time.Time{})
	if s.forecastRead(now, g.Choice) >= urgentReadTime {
		s.signalUrgent()
	}
}

// grantLifetime is how long a grant may be used. Opening a connection takes less. After
// that the data behind the decision, such as the share of a cold endpoint's limit, is
// stale.
const grantLifetime = time.Second

// Valid reports whether the request may still be sent: the grant is recent, the endpoint
// is present and isn't leaving, its failure domain is in service, and the prompt isn't
// quarantined.
func (g *Grant) Valid(now time.Time) bool {
	s := g.state
	s.lock(now)
	defer s.mu.Unlock()
	_, _, blocked := s.blockedUntil(now, g.parts)
	return (!blocked || g.trial) && s.Elapsed()-g.startElapsed < grantLifetime && s.placer.MayUse(now, g.Endpoint.Key)
}

// End removes the request from the requests in flight and records its outcome. It reports
// whether the outcome caused the endpoint to be ejected. Further calls have no effect.
func (g *Grant) End(now time.Time, o crhealth.Outcome) bool {
	s := g.state
	s.lock(now)
	defer s.mu.Unlock()
	if g.ended {
		return false
	}
	g.ended = true
	s.work.End(g.Endpoint.Key)
	g.recordForRollout(now, o, false)
	g.recordForShares(now, o)
	g.recordForRamp(now, o)
	if o == crhealth.Good {
		s.returnsFor(g.Endpoint.Service).Ended(now.Sub(g.started))
		if len(g.links) == 0 {
			s.pace.Observe(now, g.Endpoint.Service, g.Endpoint.Key, crlatency.Job{}, now.Sub(g.started))
		}
	}
	if o == crhealth.Good && !g.read {
		g.read = true
		s.recordContext(now, g.links, g.Endpoint.Key, time.Time{})
	}
	g.forgetUnreadPrompt()
	if s.refusedAsFull(now, g, o) {
		return false
	}
	s.failures.Record(now, g.Endpoint.Key, o)
	usual := 0.0
	if o != crhealth.Good {
		usual = s.placer.MeanFailureRate(g.Endpoint.Service, g.Endpoint.Key)
	}
	ejected := s.health.Record(now, g.Endpoint.Key, o, usual)
	if ejected {
		s.beginRamp(now, now, g.Endpoint.Key, crramp.Ejected)
	}
	return ejected
}
