// Package crliveness tracks which instances are alive, based on the reports that they
// send each other. It decides which instances callers are told about and which watch
// the store. It does no I/O and takes the time from the calling code. A Roster isn't
// safe for concurrent use.
package crliveness

import (
	"cmp"
	"net/netip"
	"slices"
	"time"

	"crocusrack/core/crhash"
)

// Timeouts and sizes. Each timeout for silence spans more than two of the reports or digests
// that it waits for, so a live instance exceeds it only if several datagrams in a row are
// lost. Reports are sent five times a second, or less often if there are many targets; the
// timeout is longer then.
const (
	// SilentAfter is the time after which a silent instance is considered lost: callers
	// aren't told about it, and another instance takes over its duties.
	SilentAfter = 900 * time.Millisecond
	// ReportInterval is the time between the ticks at which reports are sent. ticksPerReport
	// divides the number of targets by everyTickTargets and rounds down, so each target gets
	// a report at every tick if there are fewer than twice that many.
	ReportInterval   = 200 * time.Millisecond
	everyTickTargets = 24
	// missedReports is the timeout for silent instances where reports are less frequent, in
	// intervals between two reports: an instance is considered lost when four reports in a
	// row are missing, half an interval after the fourth was due.
	missedReports = 4.5
	// relayedSilentAfter is the equivalent of SilentAfter for instances that are heard from
	// through a relay. It leaves time for two relays to fall silent and be replaced.
	relayedSilentAfter = 2500 * time.Millisecond
	// smallFleet is the largest number of instances that all report to each other. In a
	// larger fleet, the instances of a failure domain do, and one of them exchanges
	// digests with the other domains.
	smallFleet = 16
	// introducers is the number of instances of a large fleet that tell a new one about
	// others without being asked. contacts is the number of instances that they name from
	// each failure domain other than their own and that of the new one: more than one,
	// since some may be about to end.
	introducers = 3
	contacts    = 2
	// newsDuration is how long instances announce a new one. newsPerReport is the number
	// of new instances in one report. It is small because dozens of other instances announce
	// them at each tick too.
	newsDuration  = 3 * time.Second
	newsPerReport = 2
	// forgetAfter is the time after which a silent instance is removed and gets no more
	// reports.
	forgetAfter = 30 * time.Second
	// watcherCount is the number of instances that watch the store, in different failure
	// domains if there are several: if one is lost, the others still learn of changes
	// without delay.
	watcherCount = 2
	// maxAddresses is the maximum number of addresses in one answer to a caller.
	maxAddresses = 64
	// localAddresses is the number of addresses in the caller's failure domain from
	// which on no addresses of other domains are returned.
	localAddresses = 2
)

// Instance describes one instance of the fleet.
type Instance struct {
	Name          string
	FailureDomain string
	// Front is the address that callers connect to, Peer the one for reports.
	Front, Peer netip.AddrPort
	// Millicores is the available processor time, in thousandths of a core.
	Millicores uint32
}

// Status is what an instance says about itself in a report.
type Status struct {
	Run      uint64
	Sequence uint64
	Ready    bool
	Leaving  bool
	// StoreLost is true while the instance can't reach the store.
	StoreLost bool
	// IgnoresEras is true if the instance doesn't notice that the store came back from a
	// copy, as earlier releases.
	IgnoresEras bool
	// OutOfContact is true for the relay of a failure domain that hears from the relays of too few
	// others to know what is new in the fleet.
	OutOfContact bool
	// IgnoresRecord is true if the instance begins streams at versions that aren't recorded, as
	// earlier releases.
	IgnoresRecord bool
}

// entry is what the roster knows about another instance.
type entry struct {
	Instance
	Status
	heard time.Time
	added time.Time
	// relayed is true when reports on the instance come only as often as digests, so that
	// relayedSilentAfter applies: its newest status came through the relay of its domain,
	// or it reports as that relay itself. It is cleared when the relay of the domain no
	// longer names the instance.
	relayed bool
	// heardDirectly is the time of its last report to this instance. relaySince is the
	// time since which this instance has treated it as the relay without such a report.
	heardDirectly, relaySince time.Time
	// answered is the time of the last answer to one of its reports.
	answered time.Time
	// followed is the time when it last treated this instance as the relay of its
	// domain.
	followed time.Time
	// runSince is when its present run was heard of first, and backSince when it was last heard from
	// again after a silence.
	runSince, backSince time.Time
	// echoed is when this instance sent the newest stamp that the other has returned. It is the time
	// of the first report where the other has just been heard from.
	echoed time.Time
	// watchScore is its rank as a watcher, relayScore as the relay of its domain. The
	// lowest comes first.
	watchScore, relayScore uint64
}

// setInstance sets the description of the instance and updates its ranks if it changed.
func (e *entry) setInstance(i Instance) {
	if e.Instance != i {
		e.Instance, e.watchScore, e.relayScore = i, watchScore(i), relayScore(i)
	}
}

// Roster holds the instances known to this one. Set the exported fields before first
// use.
type Roster struct {
	Self Instance
	// Status is the status of this instance. The code that holds the Roster keeps it up
	// to date.
	Status Status

	peers map[string]*entry
	// silentAfter is the timeout for silent instances: SilentAfter, or more where
	// reports are less frequent.
	silentAfter time.Duration
	// every is the number of ticks from one report to a target to the next, for most
	// targets. tick counts the ticks.
	every int
	tick  uint64
	// cachedView is the last computed view. It is nil when the view is out of date.
	cachedView *view
}

// ticksPerReport returns the number of ticks from one report to a target to the next. It
// grows with the number of targets, so that the number of bytes that one instance sends
// doesn't.
func ticksPerReport(targets int) int { return max(1, targets/everyTickTargets) }

// Add records an instance that was named by a third party, and reports whether it is
// new. The instance counts as alive only after Report or Relayed was called for it.
func (r *Roster) Add(now time.Time, i Instance) (added bool) {
	if i.Name == r.Self.Name || !i.Peer.IsValid() {
		return false
	}
	if r.peers == nil {
		r.peers = make(map[string]*entry)
	}
	if e := r.peers[i.Name]; e != nil {
		if now.Sub(e.heard) > SilentAfter {
			e.setInstance(i)
			r.cachedView = nil
		}
		return false
	}
	r.cachedView = nil
	e := &entry{added: now}
	e.setInstance(i)
	r.peers[i.Name] = e
	return true
}

// Report records a report of an instance. It returns false for a report that isn't
// newer than another of the same run.
func (r *Roster) Report(now time.Time, i Instance, s Status) bool {
	r.Add(now, i)
	e := r.peers[i.Name]
	if e == nil {
		return false
	}
	if e.Run == s.Run && s.Sequence <= e.Sequence {
		return false
	}
	if e.Run != s.Run || now.Sub(e.heardDirectly) > r.contactTimeout(now) {
		e.echoed = now
	}
	r.dropViewOnChange(now, e, i, s)
	r.noteReturn(now, e, s)
	e.setInstance(i)
	e.Status, e.heard, e.relayed = s, now, false
	e.heardDirectly, e.relaySince = now, time.Time{}
	return true
}

// Echo records that an instance has returned a stamp that this one sent at the given time.
func (r *Roster) Echo(name string, sent time.Time) {
	if e := r.peers[name]; e != nil && sent.After(e.echoed) {
		e.echoed = sent
	}
}

// Relay records that the named instance reports as the relay of its domain. Its reports
// then come only as often as digests, so relayedSilentAfter applies.
func (r *Roster) Relay(name string) {
	if e := r.peers[name]; e != nil {
		e.relayed = true
	}
}

// RelayOmitted records that the relay of a domain named only the given instances. From now on,
// the timeout of instances that report directly applies to the other instances of the
// domain, instead of relayedSilentAfter.
func (r *Roster) RelayOmitted(domain string, named map[string]bool) {
	for name, e := range r.peers {
		if e.FailureDomain == domain && !named[name] && e.relayed {
			e.relayed, r.cachedView = false, nil
		}
	}
}

// Relayed records what a relay reports about an instance that it last heard from at
// the given time.
func (r *Roster) Relayed(now time.Time, i Instance, s Status, heard time.Time) {
	r.Add(now, i)
	e := r.peers[i.Name]
	if e == nil || !heard.After(e.heard) {
		return
	}
	if e.Run == s.Run {
		s.Sequence = max(s.Sequence, e.Sequence)
	}
	r.dropViewOnChange(now, e, i, s)
	r.noteReturn(now, e, s)
	e.setInstance(i)
	e.Status, e.heard, e.relayed = s, heard, true
}

// alive reports whether the last report on an instance is recent enough.
func (r *Roster) alive(now time.Time, e *entry) bool {
	limit := max(SilentAfter, r.silentAfter)
	if e.relayed {
		limit = relayedSilentAfter
	}
	return !e.heard.IsZero() && now.Sub(e.heard) < limit
}

// Large reports whether the fleet is so large that the domains exchange digests. Silent
// instances count until they are forgotten. Otherwise an instance that hears from nobody for a
// while would report to the whole fleet, which would fetch from it what it reads itself.
func (r *Roster) Large(now time.Time) bool { return r.view(now).heard > smallFleet }

// MustForward reports whether this instance must forward to its failure domain at once
// what it learned from the named instance. In a large fleet it forwards only what
// comes from another domain, since an instance of this domain has told all others
// there. In a large domain the relay forwards to all instances, and the others forward
// to the relay.
func (r *Roster) MustForward(now time.Time, from string) bool {
	if r.ViaRelay(now) {
		relay := r.relay(now)
		return relay == r.Self.Name || relay != from
	}
	e := r.peers[from]
	return e == nil || e.FailureDomain != r.Self.FailureDomain || !r.Large(now)
}

// Heard returns the status of an instance and the time when it was last heard from.
// Both are zero if the instance is unknown.
func (r *Roster) Heard(name string) (Status, time.Time) {
	if e := r.peers[name]; e != nil {
		return e.Status, e.heard
	}
	return Status{}, time.Time{}
}

// Domain returns the live instances of a failure domain, sorted by name. It includes
// this instance if it belongs to the domain.
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

// Alive returns the live instances, sorted by name, without this one.
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

// Instance returns the known instance with the given name, or the zero Instance.
func (r *Roster) Instance(name string) Instance {
	if e := r.peers[name]; e != nil {
		return e.Instance
	}
	return Instance{}
}

// IsAlive reports whether the named instance is alive.
func (r *Roster) IsAlive(now time.Time, name string) bool {
	e := r.peers[name]
	return e != nil && r.alive(now, e)
}

// IsAliveInRun reports whether the named instance is alive and in the given run.
func (r *Roster) IsAliveInRun(now time.Time, name string, run uint64) bool {
	e := r.peers[name]
	return e != nil && e.Run == run && r.alive(now, e)
}

// Size returns the number of live instances, including this one.
func (r *Roster) Size(now time.Time) int { return r.view(now).size }

func byName(a, b Instance) int { return cmp.Compare(a.Name, b.Name) }

// Fronts returns the addresses for a caller in a failure domain: those of the ready
// instances there, or of all ready instances if the domain has fewer than
// localAddresses. The result is empty when no instance is ready.
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

// candidate is an instance that may become a watcher.
type candidate struct {
	Instance
	// unfit is true for instances that can't reach the store or are leaving.
	unfit bool
	score uint64
}

func (c *candidate) compare(o *candidate) int {
	return cmp.Or(boolRank(c.unfit)-boolRank(o.unfit), cmp.Compare(c.score, o.score), cmp.Compare(c.Name, o.Name))
}

// watchers returns the instances that watch the store. The first of them also writes
// to it. They belong to different failure domains if there are several, and unfit ones
// come last.
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

// nextWatcher returns the candidate of the best rank that isn't chosen yet. If
// distinct is set, it must also be fit and belong to a failure domain of which none is
// chosen.
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
			consider(candidate{e.Instance, e.StoreLost || e.Leaving || e.IgnoresEras, e.watchScore})
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

// Watches reports whether this instance is one of those that watch the store. It does so, too, in
// place of those that don't hear from it.
func (r *Roster) Watches(now time.Time) bool {
	return slices.ContainsFunc(r.watchers(now), func(c candidate) bool { return c.Name == r.Self.Name }) || r.view(now).watchesAlone
}

// Leads reports whether this instance is the one that writes to the store.
func (r *Roster) Leads(now time.Time) bool {
	list := r.watchers(now)
	return len(list) > 0 && list[0].Name == r.Self.Name
}

func watchScore(i Instance) uint64 { return dutyScore(i, "watch") }

// dutyScore returns the rank of an instance for a duty that takes processor time; the
// lowest comes first. Instances with more processor time come first. Those with equal
// processor time are in a pseudo-random order that differs between duties.
func dutyScore(i Instance, duty string) uint64 {
	const capacityBits = 16
	missing := uint64(1<<capacityBits - 1 - min(i.Millicores, 1<<capacityBits-1))
	return missing<<(64-capacityBits) | crhash.Mix(crhash.Of(i.Name), crhash.Of(duty))>>capacityBits
}

// Chosen reports whether this instance is among the first count live instances in the
// order given by hashes of the key and their names.
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
