// Package crgrant gives requests the right to be sent to an endpoint. A State
// joins what an instance knows of the fleet: the work in flight, the contexts
// that endpoints hold, their health, the other instances, and the retries that
// are left. It does no I/O, takes the time from its caller and is safe for
// concurrent use.
package crgrant

import (
	"math/rand/v2"
	"net/netip"
	"sync"
	"time"

	"google.golang.org/protobuf/types/known/durationpb"

	"crocusrack/core/crcontext"
	"crocusrack/core/crevidence"
	"crocusrack/core/crhash"
	"crocusrack/core/crhealth"
	"crocusrack/core/crledger"
	"crocusrack/core/crpace"
	"crocusrack/core/crplace"
	"crocusrack/core/crretry"
	"crocusrack/core/crroster"
	"crocusrack/core/crroute"
	"crocusrack/core/crswitch"
	pb "crocusrack/schema/crrouter"
)

// RetryLimit is the bound on arrivals at a service's endpoints beyond the first
// of each request, over all instances.
type RetryLimit struct {
	// Share is the part of the requests that may be repeated.
	Share float64
	// Slack is how many more may be repeated in a window.
	Slack  float64
	Window time.Duration
}

// spentShare is the part of the retry limit that instances use: the rest is for
// moments in which they disagree on how many they are.
const spentShare = 0.7

// State is an instance's view of the fleet. Set the exported fields before
// first use.
type State struct {
	Self    crroster.Instance
	Run     uint64
	Retries RetryLimit
	// Elapsed reads a clock that counts suspension.
	Elapsed func() time.Duration
	// Disabled are the mechanisms that are switched off.
	Disabled crswitch.Set
	// Urgent is called when other instances are to hear of something at once. It
	// must not call the state; may be nil.
	Urgent func()
	// Evidence is how old the routing is, EndpointsEvidence and OutsEvidence how
	// old the endpoints and the failure domains out of service are.
	Evidence          crevidence.Evidence
	EndpointsEvidence crevidence.Evidence
	OutsEvidence      crevidence.Evidence

	mu       sync.Mutex
	once     sync.Once
	roster   crroster.Roster
	work     crledger.Ledger
	contexts crcontext.Table
	health   crhealth.Table
	failures crhealth.Failures
	reads    crledger.Reads
	pace     crpace.Table
	placer   crplace.Placer
	cold     crplace.ColdGate
	budgets  map[string]*crretry.Budget
	returns  map[string]*crretry.Returns
	table    *crroute.Table
	routing  *pb.Routing

	endpoints         []*crplace.Endpoint
	endpointsRevision uint64
	// endpointsPrint identifies the endpoints.
	endpointsPrint uint64
	// short are the endpoints by the part of their key that digests have.
	short        map[uint32]crledger.Key
	changes      changes
	outs         map[string]bool
	outsRevision uint64

	reports reports
	now     time.Time
}

func (s *State) init() {
	s.once.Do(func() {
		s.roster.Self = s.Self
		s.budgets = make(map[string]*crretry.Budget)
		s.returns = make(map[string]*crretry.Returns)
		s.outs = make(map[string]bool)
		s.cold.Roster = &s.roster
		s.health.Lenient = s.Disabled.Has(crswitch.EndpointEjection)
		s.pace.Fixed = s.Disabled.Has(crswitch.LearnedPace)
		s.placer = crplace.Placer{
			FailureDomain: s.Self.FailureDomain,
			Work:          &s.work,
			Contexts:      &s.contexts,
			Health:        &s.health,
			Failures:      &s.failures,
			Reads:         &s.reads,
			Pace:          &s.pace,
			Disabled:      s.Disabled,
			Cold: func(e *crplace.Endpoint, perSecond float64) bool {
				return s.cold.Admit(s.now, e, perSecond)
			},
			Out: func(domain string) bool { return s.outs[domain] },
		}
		s.placer.SetEndpoints(nil)
	})
}

// workLapse is how long the work that an instance or a domain reported counts
// after its last report.
const workLapse = 2 * time.Second

// lock locks the state for a call at a time.
func (s *State) lock(now time.Time) {
	s.init()
	s.mu.Lock()
	s.now = now
	s.work.Lapse(now.Add(-workLapse))
	s.failures.Lapse(now.Add(-workLapse))
}

// Table returns the routing in force, or nil before the first one.
func (s *State) Table() *crroute.Table {
	s.init()
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.table
}

// Ask is a request that wants an endpoint.
type Ask struct {
	Service crroute.Service
	Links   []crcontext.Link
	Tried   []crledger.Key
	// Target is the time to the first token that the route aims at; zero for none.
	Target time.Duration
	// Hasty is true when the request doesn't wait for an endpoint that reads its
	// prompt.
	Hasty bool
}

// Grant is the right to send one request to one endpoint. End it once.
type Grant struct {
	crplace.Choice
	state *State
	links []crcontext.Link
	// started is when the request was granted, and at the reading of the clock that
	// counts suspension then.
	started time.Time
	at      time.Duration
	ended   bool
	// read is true once the endpoint has read the prompt.
	read bool
}

// Grant chooses an endpoint and counts the request in. The grant's reason is
// not Chosen when there is no endpoint.
func (s *State) Grant(now time.Time, a Ask) *Grant {
	s.lock(now)
	defer s.mu.Unlock()
	choice := s.placer.Place(now, crplace.Ask{
		Service:       a.Service.Name,
		ColdPerSecond: a.Service.ColdPerSecond,
		Links:         a.Links,
		Tried:         a.Tried,
		Target:        a.Target,
		Hasty:         a.Hasty,
		Random:        rand.Uint64(),
	})
	g := &Grant{Choice: choice, state: s, links: a.Links, started: now, at: s.Elapsed()}
	if choice.Endpoint == nil {
		if choice.Reason != crplace.Reading {
			g.RetryAfter = s.comeBack(now, a.Service.Name, choice)
		}
		return g
	}
	s.work.Start(choice.Endpoint.Key)
	s.note(now, a.Links, choice)
	return g
}

const (
	// readMargin and overheadMargin are by how much a reading may take longer than
	// forecast before others take it for done: a part of the reading, and a multiple
	// of what the endpoint takes beside it.
	readMargin     = 1.0
	overheadMargin = 3
	// urgentReading is the reading of which other instances hear at once: it is not
	// over when they hear of it by the next report.
	urgentReading = 45 * time.Millisecond
)

// note notes that an endpoint will hold a prompt once it has read what it lacks. A
// context that is only fetched counts as there.
func (s *State) note(now time.Time, links []crcontext.Link, c crplace.Choice) {
	until, reading := time.Time{}, s.reading(now, c)
	end := s.reads.Add(now, c.Endpoint.Key, reading)
	if reading > 0 && (c.Source == nil || reading >= urgentReading) {
		until = end.Add(time.Duration(readMargin * float64(reading))).Add(s.readSlack(now, c.Endpoint))
	}
	s.hold(now, links, c.Endpoint.Key, until)
	if reading >= urgentReading {
		s.urgent()
	}
}

// reading returns how long an endpoint reads what it lacks of a prompt and doesn't
// fetch.
func (s *State) reading(now time.Time, c crplace.Choice) time.Duration {
	speed := s.pace.Speed(now, c.Endpoint.Service)
	return speed.Read(s.pace.Slowness(now, c.Endpoint.Key), c.Job.Read)
}

// readSlack returns what a reading may take longer than forecast whatever its length.
func (s *State) readSlack(now time.Time, e *crplace.Endpoint) time.Duration {
	speed := s.pace.Speed(now, e.Service)
	return overheadMargin * speed.Overhead(s.pace.Slowness(now, e.Key))
}

// hold notes a prompt at an endpoint. Other instances are told of the part that
// further requests share.
func (s *State) hold(now time.Time, links []crcontext.Link, k crledger.Key, until time.Time) {
	if len(links) == 0 {
		return
	}
	last := max(0, len(links)-2)
	for i, l := range links {
		s.contexts.Note(now, l, i <= last, k, until)
	}
	shared := links[last]
	if !s.contexts.Tell(now, shared.Chain, k) {
		return
	}
	m := &pb.Context{Chain: shared.Chain, Endpoint: uint64(k), Tokens: uint32(shared.Tokens)}
	if !until.IsZero() {
		m.Reading = durationpb.New(until.Sub(now))
	}
	s.reports.context(now, m, s.roster.Every())
}

func (s *State) urgent() {
	if s.Urgent != nil {
		s.Urgent()
	}
}

// Read notes that the endpoint has read the request's prompt.
func (g *Grant) Read(now time.Time) {
	s := g.state
	s.lock(now)
	defer s.mu.Unlock()
	if len(g.links) == 0 || g.read {
		return
	}
	g.read = true
	s.pace.Observe(now, g.Endpoint.Service, g.Endpoint.Key, g.Job, now.Sub(g.started))
	s.hold(now, g.links, g.Endpoint.Key, time.Time{})
	if s.reading(now, g.Choice) >= urgentReading {
		s.urgent()
	}
}

// grantLifetime is how long a grant may be used: a connection is opened in less.
// What it rests on, such as the part of a cold endpoint's limit, is old after that.
const grantLifetime = time.Second

// Valid reports whether the request may still be sent: the grant isn't old, the
// endpoint has not begun to leave, and its failure domain is in service.
func (g *Grant) Valid(now time.Time) bool {
	s := g.state
	s.lock(now)
	defer s.mu.Unlock()
	return s.Elapsed()-g.at < grantLifetime && s.placer.MayUse(now, g.Endpoint.Key)
}

// End counts the request out and notes what it showed of the endpoint. It
// reports whether the endpoint was put out of use for that.
func (g *Grant) End(now time.Time, o crhealth.Outcome) bool {
	s := g.state
	s.lock(now)
	defer s.mu.Unlock()
	if g.ended {
		return false
	}
	g.ended = true
	s.work.End(g.Endpoint.Key)
	if o == crhealth.Good {
		s.returnsOf(g.Endpoint.Service).Ended(now.Sub(g.started))
		if len(g.links) == 0 {
			s.pace.Observe(now, g.Endpoint.Service, g.Endpoint.Key, crpace.Job{}, now.Sub(g.started))
		}
	}
	if o == crhealth.Good && !g.read {
		g.read = true
		s.hold(now, g.links, g.Endpoint.Key, time.Time{})
	}
	g.unread()
	s.failures.Note(now, g.Endpoint.Key, o)
	usual := 0.0
	if o != crhealth.Good {
		usual = s.placer.UsualRate(g.Endpoint.Service, g.Endpoint.Key)
	}
	return s.health.Note(now, g.Endpoint.Key, o, usual)
}

// Leave notes that the endpoint says that it leaves. Other instances are told. It
// reports whether that is new.
func (g *Grant) Leave(now time.Time) bool {
	s := g.state
	s.lock(now)
	defer s.mu.Unlock()
	if !s.health.Leave(now, g.Endpoint.Key) {
		return false
	}
	s.urgent()
	return true
}

// pauseSpread is the part of a pause by which it is made longer at random, so that
// not all instances that were turned away return at once.
const pauseSpread = 0.2

// Pause notes that the endpoint wants no requests from this instance for a time.
// It returns the time for which it gets none.
func (g *Grant) Pause(now time.Time, d time.Duration) time.Duration {
	s := g.state
	s.lock(now)
	defer s.mu.Unlock()
	d = min(d, crhealth.MaxPause)
	d += time.Duration(rand.Float64() * pauseSpread * float64(d))
	s.health.Pause(now, g.Endpoint.Key, d)
	return d
}

// Drop counts a request out that showed nothing of the endpoint, such as one
// whose caller left.
func (g *Grant) Drop(now time.Time) {
	s := g.state
	s.lock(now)
	defer s.mu.Unlock()
	if !g.ended {
		g.ended = true
		s.work.End(g.Endpoint.Key)
		g.unread()
	}
}

// unread forgets a prompt that the endpoint was to read and didn't.
func (g *Grant) unread() {
	if g.read {
		return
	}
	for _, l := range g.links {
		g.state.contexts.Forget(l, g.Endpoint.Key)
	}
}

// SetRouting puts a version in force unless a newer one is. It reports whether
// the version is new.
func (s *State) SetRouting(m *pb.Routing) bool {
	s.init()
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.table != nil && m.GetVersion() <= s.table.Version {
		return false
	}
	s.table, s.routing = crroute.New(m), m
	return true
}

// SetEndpoints replaces the endpoints by those of a newer revision.
func (s *State) SetEndpoints(now time.Time, revision uint64, list []*crplace.Endpoint) bool {
	s.lock(now)
	defer s.mu.Unlock()
	if revision <= s.endpointsRevision {
		return false
	}
	s.changes.note(s.endpointsRevision, revision, s.endpoints, list)
	s.endpoints, s.endpointsRevision, s.endpointsPrint = list, revision, fingerprint(list)
	s.placer.SetEndpoints(list)
	s.short = make(map[uint32]crledger.Key, len(list))
	for _, e := range list {
		s.short[shortKey(e.Key)] = e.Key
	}
	there := func(k crledger.Key) bool { return s.placer.Endpoint(k) != nil }
	s.cold.Forget(there)
	s.reads.Forget(there)
	s.pace.Forget(there)
	s.failures.Forget(there)
	return true
}

// SetOuts replaces the failure domains that are out of service by those of a
// newer revision.
func (s *State) SetOuts(revision uint64, domains []string) bool {
	s.init()
	s.mu.Lock()
	defer s.mu.Unlock()
	if revision <= s.outsRevision {
		return false
	}
	s.outs, s.outsRevision = make(map[string]bool), revision
	for _, d := range domains {
		s.outs[d] = true
	}
	return true
}

// SetSelf sets what this instance says of itself.
func (s *State) SetSelf(set func(*crroster.Status)) {
	s.init()
	s.mu.Lock()
	defer s.mu.Unlock()
	set(&s.roster.Status)
}

// Ready reports whether this instance says that it takes requests.
func (s *State) Ready() bool {
	s.init()
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.roster.Status.Ready
}

// Fronts returns the addresses for a caller in a failure domain.
func (s *State) Fronts(now time.Time, domain string) []netip.AddrPort {
	s.lock(now)
	defer s.mu.Unlock()
	return s.roster.Fronts(now, domain)
}

// TellsOn reports whether the own failure domain has to be told at once of what
// was learned from an instance.
func (s *State) TellsOn(now time.Time, from string) bool {
	s.lock(now)
	defer s.mu.Unlock()
	return s.roster.TellsOn(now, from)
}

// Watches reports whether this instance is to watch the store.
func (s *State) Watches(now time.Time) bool {
	s.lock(now)
	defer s.mu.Unlock()
	return s.roster.Watches(now)
}

// Leads reports whether this instance is the one that writes what the fleet keeps
// in the store.
func (s *State) Leads(now time.Time) bool {
	s.lock(now)
	defer s.mu.Unlock()
	return s.roster.Leads(now)
}

// registered is how many live instances are to be found in the store: enough for
// one that hears nobody to find a live one after a fault of many.
const registered = 16

// Registers reports whether this instance is one of those that are to be found in
// the store.
func (s *State) Registers(now time.Time) bool {
	s.lock(now)
	defer s.mu.Unlock()
	return s.roster.Chosen(now, crhash.Of("register"), registered)
}

// Alive returns the other live instances.
func (s *State) Alive(now time.Time) []crroster.Instance {
	s.lock(now)
	defer s.mu.Unlock()
	return s.roster.Alive(now)
}
