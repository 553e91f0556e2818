// Package crroster keeps which instances are alive, from the reports that they
// send each other, and decides which of them callers are told of and which
// watch the store. It does no I/O and takes the time from its caller. A Roster
// is not safe for concurrent use.
package crroster

import (
	"cmp"
	"net/netip"
	"slices"
	"time"

	"crocusrack/core/crhash"
)

// The times after which silence counts. Reports come five times a second, so
// each is several lost datagrams in a row.
const (
	// SilentAfter is when a silent instance is taken for lost: callers aren't
	// told of it, and another takes its duties.
	SilentAfter = 900 * time.Millisecond
	// ReportInterval is the pause between the ticks at which reports are sent, and
	// fewTargets the most targets that all get one at each tick.
	ReportInterval = 200 * time.Millisecond
	fewTargets     = 24
	// missedReports is how many reports of an instance get lost before it is
	// taken for lost.
	missedReports = 4.5
	// relayedAfter is the same for instances that are heard of through a relay:
	// two relays fall silent and are replaced in it.
	relayedAfter = 2500 * time.Millisecond
	// smallFleet is the most instances that all report to each other. In larger
	// fleets the instances of a failure domain do, and one of them exchanges
	// digests with the other domains.
	smallFleet = 16
	// introducers is how many instances of a large fleet tell a new one of others
	// without being asked, and contacts how many instances of each other failure
	// domain they name: some may be about to end.
	introducers = 3
	contacts    = 2
	// newsFor is how long instances tell of one that is new, newsAtOnce of how
	// many in one report: some dozens of others do the same at each tick.
	newsFor    = 3 * time.Second
	newsAtOnce = 2
	// forgetAfter is when a silent instance isn't sent reports any more.
	forgetAfter = 30 * time.Second
	// watcherCount is how many instances watch the store, in different failure
	// domains if there are any: one may be lost without delay for the others.
	watcherCount = 2
	// maxAddresses is the most addresses in one answer to a caller.
	maxAddresses = 64
	// localAddresses is how many addresses in the caller's failure domain are
	// enough to name no others.
	localAddresses = 2
)

// Instance is one instance.
type Instance struct {
	Name          string
	FailureDomain string
	// Front is where callers connect, Peer where reports go.
	Front, Peer netip.AddrPort
	// Millicores is the processor time that it has, in thousandths of a core.
	Millicores uint32
}

// Status is what an instance says of itself in a report.
type Status struct {
	Run      uint64
	Sequence uint64
	Ready    bool
	Leaving  bool
	// StoreLost is true when the instance can't reach the store.
	StoreLost bool
}

type entry struct {
	Instance
	Status
	heard time.Time
	added time.Time
	// relayed is true when the relay of its domain reported it last.
	relayed bool
	// direct is when it last reported by itself, and asked since when this instance
	// takes it for the relay without having heard it by itself.
	direct, asked time.Time
	// followed is when it last took this instance for the relay of its domain.
	followed time.Time
	// watch ranks it among the watchers, relay among the relays of its domain.
	watch, relay uint64
}

// name sets what the instance is, and its ranks.
func (e *entry) name(i Instance) {
	if e.Instance != i {
		e.Instance, e.watch, e.relay = i, watchScore(i), relayScore(i)
	}
}

// Roster is the instances that this one knows. Set the exported fields before
// first use.
type Roster struct {
	Self Instance
	// Status is this instance's own; the owner of the roster keeps it current.
	Status Status

	peers map[string]*entry
	// silentAfter is SilentAfter, or more where reports come less often.
	silentAfter time.Duration
	// every is how many ticks lie between two reports to most targets, tick
	// counts the ticks.
	every int
	tick  uint64
	// current is the last view; nil when it no longer holds.
	current *view
}

// every is how many ticks lie between two reports to each of so many targets: it
// grows with them, so that the bytes of one instance don't.
func every(targets int) int { return max(1, targets/fewTargets) }

// Add notes an instance that somebody named. It counts as alive only once it
// reports by itself.
func (r *Roster) Add(now time.Time, i Instance) (added bool) {
	if i.Name == r.Self.Name || !i.Peer.IsValid() {
		return false
	}
	if r.peers == nil {
		r.peers = make(map[string]*entry)
	}
	if e := r.peers[i.Name]; e != nil {
		if now.Sub(e.heard) > SilentAfter {
			e.name(i)
			r.current = nil
		}
		return false
	}
	r.current = nil
	e := &entry{added: now}
	e.name(i)
	r.peers[i.Name] = e
	return true
}

// Report notes a report. It returns false for one that is older than another
// of the same run.
func (r *Roster) Report(now time.Time, i Instance, s Status) bool {
	r.Add(now, i)
	e := r.peers[i.Name]
	if e == nil {
		return false
	}
	if e.Run == s.Run && s.Sequence <= e.Sequence {
		return false
	}
	r.changed(now, e, i, s)
	e.name(i)
	e.Status, e.heard, e.relayed = s, now, false
	e.direct, e.asked = now, time.Time{}
	return true
}

// Relay notes that an instance reports as the relay of its domain, as often as
// digests come.
func (r *Roster) Relay(name string) {
	if e := r.peers[name]; e != nil {
		e.relayed = true
	}
}

// Missing notes that the relay of a domain doesn't name the others of its
// instances: they are lost as soon as those that report by themselves would be.
func (r *Roster) Missing(domain string, named map[string]bool) {
	for name, e := range r.peers {
		if e.FailureDomain == domain && !named[name] && e.relayed {
			e.relayed, r.current = false, nil
		}
	}
}

// Relayed notes what a relay says of an instance, which it heard at a time.
func (r *Roster) Relayed(now time.Time, i Instance, s Status, heard time.Time) {
	r.Add(now, i)
	e := r.peers[i.Name]
	if e == nil || !heard.After(e.heard) {
		return
	}
	if e.Run == s.Run {
		s.Sequence = max(s.Sequence, e.Sequence)
	}
	r.changed(now, e, i, s)
	e.name(i)
	e.Status, e.heard, e.relayed = s, heard, true
}

func (r *Roster) alive(now time.Time, e *entry) bool {
	limit := max(SilentAfter, r.silentAfter)
	if e.relayed {
		limit = relayedAfter
	}
	return !e.heard.IsZero() && now.Sub(e.heard) < limit
}

// Large reports whether the fleet is one in which domains exchange digests.
func (r *Roster) Large(now time.Time) bool { return r.Size(now) > smallFleet }

// TellsOn reports whether this instance has to tell its failure domain at once
// what it learned from another. In a large fleet that is only so of news from
// another domain: those of the own one have told all instances there. In a large
// domain the relay tells all of them, and the others the relay.
func (r *Roster) TellsOn(now time.Time, from string) bool {
	if r.ViaRelay(now) {
		relay := r.relay(now)
		return relay == r.Self.Name || relay != from
	}
	e := r.peers[from]
	return e == nil || e.FailureDomain != r.Self.FailureDomain || !r.Large(now)
}

// Heard returns the status of an instance and when it was last heard.
func (r *Roster) Heard(name string) (Status, time.Time) {
	if e := r.peers[name]; e != nil {
		return e.Status, e.heard
	}
	return Status{}, time.Time{}
}

// Domain returns the live instances of a failure domain, this one included.
func (r *Roster) Domain(now time.Time, domain string) []Instance {
	var list []Instance
	if domain == r.Self.FailureDomain {
		list = append(list, r.Self)
	}
	for _, e := range r.peers {
		if e.FailureDomain == domain && r.alive(now, e) {
			list = append(list, e.Instance)
		}
	}
	slices.SortFunc(list, byName)
	return list
}

// Alive returns the instances that reported lately, by name, without this one.
func (r *Roster) Alive(now time.Time) []Instance {
	var list []Instance
	for _, e := range r.peers {
		if r.alive(now, e) {
			list = append(list, e.Instance)
		}
	}
	slices.SortFunc(list, byName)
	return list
}

// Instance returns a known instance by its name.
func (r *Roster) Instance(name string) Instance {
	if e := r.peers[name]; e != nil {
		return e.Instance
	}
	return Instance{}
}

// Lives reports whether an instance reported lately.
func (r *Roster) Lives(now time.Time, name string) bool {
	e := r.peers[name]
	return e != nil && r.alive(now, e)
}

// IsAlive reports whether an instance reported lately in the given run.
func (r *Roster) IsAlive(now time.Time, name string, run uint64) bool {
	e := r.peers[name]
	return e != nil && e.Run == run && r.alive(now, e)
}

// Size returns the count of live instances, this one included.
func (r *Roster) Size(now time.Time) int { return r.view(now).size }

func byName(a, b Instance) int { return cmp.Compare(a.Name, b.Name) }

// Fronts returns the addresses for a caller in a failure domain: the ready
// instances there, or all ready ones where there are too few. The answer is
// empty when no instance is ready.
func (r *Roster) Fronts(now time.Time, domain string) []netip.AddrPort {
	var local, all []netip.AddrPort
	add := func(i Instance) {
		all = append(all, i.Front)
		if i.FailureDomain == domain {
			local = append(local, i.Front)
		}
	}
	if r.Status.Ready && !r.Status.Leaving {
		add(r.Self)
	}
	for _, e := range r.peers {
		if r.alive(now, e) && e.Ready && !e.Leaving {
			add(e.Instance)
		}
	}
	list := all
	if len(local) >= localAddresses {
		list = local
	}
	slices.SortFunc(list, netip.AddrPort.Compare)
	return list[:min(len(list), maxAddresses)]
}

type candidate struct {
	Instance
	// unfit is true for instances that can't reach the store or leave.
	unfit bool
	score uint64
}

func (c *candidate) compare(o *candidate) int {
	return cmp.Or(boolRank(c.unfit)-boolRank(o.unfit), cmp.Compare(c.score, o.score), cmp.Compare(c.Name, o.Name))
}

// watchers returns the instances that watch the store, the first of them also
// writes to it. They are of different failure domains if there are any; those
// that are unfit come last.
func (r *Roster) watchers(now time.Time) []candidate { return r.view(now).watchers }

func (r *Roster) findWatchers(now time.Time) []candidate {
	var chosen []candidate
	for _, distinct := range []bool{true, false} {
		for len(chosen) < watcherCount {
			next, ok := r.nextWatcher(now, chosen, distinct)
			if !ok {
				break
			}
			chosen = append(chosen, next)
		}
	}
	return chosen
}

// nextWatcher returns the first instance that isn't chosen yet. With distinct it
// is fit, and of another failure domain than those.
func (r *Roster) nextWatcher(now time.Time, chosen []candidate, distinct bool) (candidate, bool) {
	var first candidate
	found := false
	consider := func(c candidate) {
		known := slices.ContainsFunc(chosen, func(o candidate) bool {
			return o.Name == c.Name || distinct && o.FailureDomain == c.FailureDomain
		})
		if !known && !(distinct && c.unfit) && (!found || c.compare(&first) < 0) {
			first, found = c, true
		}
	}
	consider(candidate{r.Self, r.Status.StoreLost || r.Status.Leaving, watchScore(r.Self)})
	for _, e := range r.peers {
		if r.alive(now, e) {
			consider(candidate{e.Instance, e.StoreLost || e.Leaving, e.watch})
		}
	}
	return first, found
}

func boolRank(b bool) int {
	if b {
		return 1
	}
	return 0
}

// Watches reports whether this instance is one of those that watch the store.
func (r *Roster) Watches(now time.Time) bool {
	return slices.ContainsFunc(r.watchers(now), func(c candidate) bool { return c.Name == r.Self.Name })
}

// Leads reports whether this instance is the one that writes to the store.
func (r *Roster) Leads(now time.Time) bool {
	list := r.watchers(now)
	return len(list) > 0 && list[0].Name == r.Self.Name
}

func watchScore(i Instance) uint64 { return dutyScore(i, "watch") }

// dutyScore ranks instances for a duty that takes processor time: those that have
// more go first, and the others in an order of its own for each duty.
func dutyScore(i Instance, duty string) uint64 {
	const capacityBits = 16
	lacks := uint64(1<<capacityBits - 1 - min(i.Millicores, 1<<capacityBits-1))
	return lacks<<(64-capacityBits) | crhash.Mix(crhash.Of(i.Name), crhash.Of(duty))>>capacityBits
}

// Chosen reports whether this instance is one of the count that a key selects
// among the live ones.
func (r *Roster) Chosen(now time.Time, key uint64, count int) bool {
	own := crhash.Mix(key, crhash.Of(r.Self.Name))
	ahead := 0
	for name, e := range r.peers {
		if r.alive(now, e) && crhash.Mix(key, crhash.Of(name)) < own {
			ahead++
		}
	}
	return ahead < count
}
