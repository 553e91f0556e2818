// Package crshare divides a saturated service between client accounts over all instances.
// While the slots of a service are taken, each account gets its max-min fair share of the rate
// at which the service completes requests. Instances tell each other which accounts ask most,
// and each of them admits the same fraction of an account's requests (core-stateless fair
// queueing), so that the shares hold however unevenly requests arrive. The package does no
// I/O and takes the time from its caller. A Table is not safe for concurrent use.
package crshare

import (
	"math"
	"time"
)

// LastingTime is the time for which a service has to be saturated for the shortage to count as
// lasting. The load of a small service exceeds its slots for moments.
const LastingTime = 500 * time.Millisecond

const (
	// saturatedLoad is the number of requests in flight by slot from which on a service
	// becomes saturated, and relaxedLoad that below which it no longer is. calmTime is how
	// long it stays below.
	saturatedLoad = 0.9
	relaxedLoad   = 0.75
	calmTime      = 300 * time.Millisecond
	// halfLoad is the load below which an endpoint that rejects isn't taken for a full one, and up
	// to which attempts don't wait, so that their times are those of slots.
	halfLoad = 0.5
	// toldLoad is the load from which on instances tell each other of demands, so that these are
	// known when the service becomes saturated.
	toldLoad = 0.65
	// fullRejection is the load that a rejection by an endpoint shows, whose slots and queue are
	// full then.
	fullRejection = 1.0
	// minAccounts is the number of accounts that are kept before idle ones are looked for.
	minAccounts = 64
	// idleSamples is the number of attempts over which the time that they take is averaged
	// while slots are free.
	idleSamples = 20
	// staleLoad is the age from which on a load says nothing. Without requests, it isn't observed.
	staleLoad = 2 * time.Second
	// loadTime is the time constant of the average load.
	loadTime = 100 * time.Millisecond
	// fullLoad is the load that admissions aim at. Some requests have to wait for slots not
	// to be empty.
	fullLoad = 1.5
	// surplus is the fraction by which admissions exceed completions at fullLoad, since
	// endpoints reject a few. loadGain is the change of that fraction by load. Loads are
	// known with the delay of reports, in which a higher gain would make them oscillate.
	// ownLoadGain is the gain where all load is the instance's own and known without delay.
	surplus     = 0.1
	loadGain    = 0.25
	ownLoadGain = 2
	// learnTime is the time constant of averages that change slowly: how long attempts take
	// slots, and which part of them is known.
	learnTime = 2 * time.Second
	// minKnownPart is the part of the attempts in flight from which on all are taken as known.
	// The part is uncertain by as much while a load rises.
	minKnownPart = 0.7
	// rejectionGain is the fraction by which admissions fall for each rejection by completion, up
	// to maxRejectionCut.
	rejectionGain   = 0.5
	maxRejectionCut = 0.2
	// refreshInterval is how often the level is calculated.
	refreshInterval = 20 * time.Millisecond
	// minRate is the rate in attempts per second below which an account is forgotten, and
	// minRejected the rate of rejections below which they show no shortage.
	minRate     = 0.02
	minRejected = 0.05
)

// Request describes an attempt for which a place at an endpoint is wanted.
type Request struct {
	Service, Account string
	Weight           float64
	// Priority is the priority; zero is the highest. Retry is true if it isn't the first attempt
	// of the request or of its caller.
	Priority int
	Retry    bool
	// Late is true if no answer can be in time.
	Late bool
	// InFlight is the number of requests in flight at the endpoints that may be used, over all
	// instances, and Slots the number of their slots.
	InFlight, Slots int
	// Own is the part of InFlight that this instance sent.
	Own int
}

// Verdict is the decision about an attempt.
type Verdict uint8

const (
	// Admitted attempts may be sent.
	Admitted Verdict = iota
	// Full means that the service can't serve the attempt.
	Full
	// OverShare means that the client account has used up its share.
	OverShare
)

// Table knows the demands for the services that this instance sends to. Its zero value is
// empty.
type Table struct {
	services map[string]*service
	reports  map[string]report
}

type report struct {
	at      time.Time
	demands Demands
}

// service is the state of one service.
type service struct {
	name                         string
	arrived, completed, rejected rate
	busy                         rate
	accounts                     map[Key]*account
	// kinds holds the demands by kind of request.
	kinds map[int]*rate
	// kept is the number of accounts after the last call of prune.
	kept           int
	load           float64
	loadAt, busyAt time.Time
	saturated      bool
	since          time.Time
	// lasting is true once the service has been saturated for LastingTime.
	lasting bool
	level   level
	levelAt time.Time
	// slotTime is how long an attempt takes a slot, in seconds, and knownPart the part of the
	// attempts in flight that is known by demands, both averaged over learnTime. slots is the
	// number of slots.
	slotTime, knownPart float64
	slots               int
	samples             int
	learnedAt           time.Time
	// credit is the sum of the fractions of the attempts that arrived, less the attempts that
	// were admitted. An attempt is admitted when it reaches one. That admits each account's
	// fraction, more evenly than independent draws would.
	credit float64
}

// account is the demand of one client account at this instance.
type account struct {
	rate
	name   string
	weight float64
}

func (t *Table) service(name string) *service {
	s := t.services[name]
	if s == nil {
		if t.services == nil {
			t.services = make(map[string]*service)
		}
		s = &service{name: name, accounts: make(map[Key]*account), kinds: make(map[int]*rate)}
		t.services[name] = s
	}
	return s
}

// Count counts an attempt to a service that isn't scarce.
func (t *Table) Count(now time.Time, a Request) { t.service(a.Service).count(now, KeyOf(a.Account), a) }

// Admit decides about an attempt and counts it.
func (t *Table) Admit(now time.Time, a Request) Verdict {
	s := t.service(a.Service)
	key := KeyOf(a.Account)
	if !a.Late {
		s.count(now, key, a)
	}
	if !s.saturated {
		return Admitted
	}
	if now.Sub(s.levelAt) >= refreshInterval || now.Before(s.levelAt) {
		t.refresh(now, s, a)
	}
	if a.Late {
		// It takes a slot that would stay free, if the others get all that they ask.
		if math.IsInf(s.level.perSecond, 1) && a.InFlight < a.Slots {
			return Admitted
		}
		return Full
	}
	fraction := s.fraction(now, kindOf(a), s.level.fraction(key, a.Weight))
	s.credit += fraction
	switch {
	case fraction >= 1:
		s.credit--
		return Admitted
	case s.credit >= 1:
		s.credit--
		return Admitted
	case len(s.level.listed) > 1:
		return OverShare
	}
	return Full
}

// isSaturated reports whether the service is saturated by a load that isn't stale.
func (s *service) isSaturated(now time.Time) bool {
	return s.saturated && now.Sub(s.loadAt) < staleLoad
}

// ObserveLoad records the load of a service. It reports whether a lasting saturation began or
// ended.
func (t *Table) ObserveLoad(now time.Time, name string, inFlight, slots int) bool {
	s := t.service(name)
	if slots <= 0 {
		return false
	}
	kept := math.Exp(-float64(max(0, now.Sub(s.loadAt))) / float64(loadTime))
	s.load = kept*s.load + (1-kept)*float64(inFlight)/float64(slots)
	s.loadAt = now
	if s.load >= relaxedLoad {
		s.busyAt = now
	}
	before := s.saturated
	s.saturated = s.load >= saturatedLoad || before && now.Sub(s.busyAt) < calmTime
	if s.saturated && !before {
		s.since = now
	}
	lasts := s.saturated && (s.lasting || now.Sub(s.since) >= LastingTime)
	changed := lasts != s.lasting
	s.lasting = lasts
	return changed
}

// count counts an attempt of an account.
func (s *service) count(now time.Time, key Key, a Request) {
	c := s.accounts[key]
	if c == nil {
		if len(s.accounts) >= 2*s.kept+minAccounts {
			s.prune(now)
		}
		c = &account{name: a.Account}
		s.accounts[key] = c
	}
	c.weight = a.Weight
	c.add(now, 1)
	s.arrived.add(now, 1)
	kind := kindOf(a)
	r := s.kinds[kind]
	if r == nil {
		r = &rate{}
		s.kinds[kind] = r
	}
	r.add(now, 1)
}

// prune forgets the accounts that no longer ask.
func (s *service) prune(now time.Time) {
	for k, c := range s.accounts {
		if c.get(now) < minRate {
			delete(s.accounts, k)
		}
	}
	s.kept = len(s.accounts)
}

// refresh calculates the level of a service from the demands and the load.
func (t *Table) refresh(now time.Time, s *service, a Request) {
	d := t.sum(now, s)
	others := 0
	s.prune(now)
	for k := range s.accounts {
		if d.Accounts[k].PerSecond < minListedArrivals/rateTime.Seconds() {
			others++
		}
	}
	s.learn(now, d, a.Slots)
	own := float64(a.Own) / float64(max(1, a.InFlight))
	gain := loadGain + own*own*(ownLoadGain-loadGain)
	extra := surplus + gain*(fullLoad-float64(a.InFlight)/float64(a.Slots))
	if d.Completed > 0 {
		extra -= min(rejectionGain*d.Rejected/d.Completed, maxRejectionCut)
	}
	extra = max(extra, -1)
	s.level, s.levelAt = fairLevel(d, s.capacity()*s.known()*(1+extra), others), now
}

// learn updates how long an attempt takes a slot, and the part of the attempts in flight that is
// known by demands.
func (s *service) learn(now time.Time, d Demand, slots int) {
	if d.Completed < minRate || d.Busy <= 0 {
		return
	}
	// Endpoints can't complete more than their slots allow, which bounds the time that an attempt
	// takes a slot. What is measured of an attempt contains a wait if the endpoint had more in
	// flight than this instance knew.
	slotTime := min(d.Busy, float64(slots)) / d.Completed
	known := d.Busy / (min(s.load, 1) * float64(slots))
	if s.slotTime == 0 {
		s.slotTime = slotTime
	}
	if s.learnedAt.IsZero() {
		s.knownPart, s.learnedAt = 1, now
	}
	kept := math.Exp(-float64(max(0, now.Sub(s.learnedAt))) / float64(learnTime))
	s.slotTime = kept*s.slotTime + (1-kept)*slotTime
	s.knownPart = kept*s.knownPart + (1-kept)*known
	s.slots, s.learnedAt = slots, now
}

// capacity returns the number of attempts per second that the endpoints complete while all slots
// are taken.
func (s *service) capacity() float64 {
	if s.slotTime <= 0 {
		return math.Inf(1)
	}
	return float64(s.slots) / s.slotTime
}

// known returns the part of the capacity that instances divide which tell each other of
// demands. Instances of earlier releases use the rest.
func (s *service) known() float64 {
	if s.knownPart >= minKnownPart {
		return 1
	}
	return s.knownPart
}

// sum returns the demand for a service as far as it is known.
func (t *Table) sum(now time.Time, s *service) Demand {
	d := s.own(now)
	key := KeyOf(s.name)
	for _, o := range t.reports {
		d.add(o.demands[key])
	}
	return d
}

// own returns what this instance saw.
func (s *service) own(now time.Time) Demand {
	arriving, completing := s.arrived.early(now), s.completed.early(now)
	d := Demand{
		Arrived:   arriving * s.arrived.get(now),
		Completed: completing * s.completed.get(now),
		Busy:      completing * s.busy.get(now),
		Rejected:  s.rejected.get(now),
		Accounts:  make(map[Key]AccountDemand, len(s.accounts)),
	}
	for k, c := range s.accounts {
		if r := c.get(now); r >= minRate {
			d.Accounts[k] = AccountDemand{arriving * r, weightOf(c.weight)}
		}
	}
	return d
}

// Completed records that an endpoint completed an attempt that took a slot for the given time.
func (t *Table) Completed(now time.Time, name string, took time.Duration) {
	s := t.service(name)
	s.completed.add(now, 1)
	s.busy.add(now, took.Seconds())
	if s.load < halfLoad {
		s.samples = min(s.samples+1, idleSamples)
		s.slotTime += (took.Seconds() - s.slotTime) / float64(s.samples)
	}
}

// Rejected records that an endpoint rejected an attempt.
func (t *Table) Rejected(now time.Time, name string) {
	s := t.service(name)
	s.rejected.add(now, 1)
	s.load = max(s.load, fullRejection)
}

// Scarce reports whether the service is saturated, or endpoints of it rejected attempts
// lately, as far as this instance and the others know.
func (t *Table) Scarce(now time.Time, name string) bool {
	s := t.services[name]
	if s == nil {
		return false
	}
	if s.isSaturated(now) || s.rejected.get(now) >= minRejected {
		return true
	}
	key := KeyOf(name)
	for _, o := range t.reports {
		if o.demands[key].Rejected >= minRejected {
			return true
		}
	}
	return false
}

// Saturated reports whether the service is saturated.
func (t *Table) Saturated(now time.Time, name string) bool {
	s := t.services[name]
	return s != nil && s.isSaturated(now)
}

// Lasting reports whether the service is saturated and has been for LastingTime.
func (t *Table) Lasting(name string) bool {
	s := t.services[name]
	return s != nil && s.lasting
}

// Loaded reports whether half of the service's slots have been taken lately, so that an endpoint
// may be full.
func (t *Table) Loaded(name string) bool {
	s := t.services[name]
	return s != nil && s.load >= halfLoad
}
