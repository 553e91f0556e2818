package crliveness

import (
	"cmp"
	"slices"
	"time"

	"crocusrack/core/crhash"
)

const (
	// maxMeshDomain is the largest number of instances of a failure domain that report to
	// each other. In a larger domain all report to its relay, whose bulletins tell them
	// about the others.
	maxMeshDomain = 24
	// followerTimeout is how long an instance that treats this one as the relay keeps
	// getting its reports. It spans several reports of that instance.
	followerTimeout = time.Second
	// fullReportTicks is the number of ticks between two full reports of the relay to an
	// instance. The other reports are brief.
	fullReportTicks = 5
)

// ViaRelay reports whether the failure domain of this instance is so large that its
// instances report only to the relay. Silent instances count until they are forgotten,
// so that the failure of many instances doesn't change how the others learn of it.
func (r *Roster) ViaRelay(now time.Time) bool {
	return r.Large(now) && r.view(now).domainSize > maxMeshDomain
}

// relayTargets returns the targets of reports in a large domain. For the relay these
// are all instances. For the others they are the relay, and the instances that treat
// this one as the relay because they can't hear from it.
func (r *Roster) relayTargets(now time.Time, domain []Instance) []Instance {
	relay := r.relay(now)
	if relay == r.Self.Name {
		return domain
	}
	return slices.DeleteFunc(domain, func(i Instance) bool {
		return i.Name != relay && now.Sub(r.peers[i.Name].followed) > followerTimeout
	})
}

// relayDue returns the reports of one tick in a large domain. Reports to the relay are
// full, and most of those that it sends are brief.
func (r *Roster) relayDue(now time.Time, targets []Instance) []Due {
	relay := r.relay(now)
	list := make([]Due, 0, len(targets))
	for _, i := range targets {
		brief := i.Name != relay && (r.tick+crhash.Of(i.Name))%fullReportTicks != 0
		list = append(list, Due{i, brief})
	}
	return list
}

// DueAtOnce returns the reports to send immediately, outside the ticks. In a large
// domain those of the relay are brief.
func (r *Roster) DueAtOnce(now time.Time) []Due {
	targets := r.Targets(now)
	relays := r.ViaRelay(now) && r.relay(now) == r.Self.Name
	list := make([]Due, 0, len(targets))
	for _, i := range targets {
		list = append(list, Due{i, relays})
	}
	return list
}

// IsRelay reports whether the named instance is the relay of this instance's domain
// and that domain is large.
func (r *Roster) IsRelay(now time.Time, name string) bool {
	return r.ViaRelay(now) && r.relay(now) == name
}

// AddFollower records that the named instance treats this one as the relay of its domain.
func (r *Roster) AddFollower(now time.Time, name string) {
	if e := r.peers[name]; e != nil {
		e.followed = now
	}
}

// Followers returns the instances that currently treat this one as the relay, sorted
// by name.
func (r *Roster) Followers(now time.Time) []Instance {
	var list []Instance
	for _, e := range r.peers {
		if !e.followed.IsZero() && now.Sub(e.followed) <= followerTimeout {
			list = append(list, e.Instance)
		}
	}
	slices.SortFunc(list, byName)
	return list
}

// relayScore returns the rank of an instance as the relay of its domain. The lowest
// comes first.
func relayScore(i Instance) uint64 { return dutyScore(i, "relay") }

// IsOwnDomainRelay reports whether this instance is the relay of its domain, in a large
// fleet.
func (r *Roster) IsOwnDomainRelay(now time.Time) bool {
	if !r.Large(now) {
		return false
	}
	return r.relay(now) == r.Self.Name
}

// DigestTargets returns the instances to send a digest to: the relay of each other domain.
// For a domain without a known live instance they are two of its instances, different
// ones at each tick.
func (r *Roster) DigestTargets(now time.Time) []Instance {
	domains := make(map[string][]Instance)
	for _, e := range r.peers {
		if e.FailureDomain != r.Self.FailureDomain {
			domains[e.FailureDomain] = append(domains[e.FailureDomain], e.Instance)
		}
	}
	var list []Instance
	for domain, known := range domains {
		candidates := r.Domain(now, domain)
		if len(candidates) == 0 {
			list = append(list, r.rotatingPair(known)...)
			continue
		}
		list = append(list, slices.MinFunc(candidates, func(a, b Instance) int { return cmp.Compare(relayScore(a), relayScore(b)) }))
	}
	slices.SortFunc(list, byName)
	return list
}

// rotatingPair returns two instances of the list, different ones at each tick.
func (r *Roster) rotatingPair(list []Instance) []Instance {
	slices.SortFunc(list, byName)
	if len(list) <= 2 {
		return list
	}
	first := int(2*r.tick) % len(list)
	return []Instance{list[first], list[(first+1)%len(list)]}
}

// OwnDomainRelay returns the relay of this instance's domain, and false if that is this
// instance.
func (r *Roster) OwnDomainRelay(now time.Time) (Instance, bool) {
	relay := r.relay(now)
	return r.Instance(relay), relay != r.Self.Name
}

// Targets returns the instances to send reports to, sorted by name, and removes those
// that have been silent for long. In a large fleet they are the instances of this
// failure domain. In a large domain they are its relay and followers, or all its
// instances if this one is the relay.
func (r *Roster) Targets(now time.Time) []Instance {
	large := r.Large(now)
	var list []Instance
	for name, e := range r.peers {
		last := e.added
		if e.heard.After(last) {
			last = e.heard
		}
		if now.Sub(last) > forgetAfter {
			delete(r.peers, name)
			r.cachedView = nil
			continue
		}
		if !large || e.FailureDomain == r.Self.FailureDomain {
			list = append(list, e.Instance)
		}
	}
	r.every = ticksPerReport(len(list))
	if r.ViaRelay(now) {
		list, r.every = r.relayTargets(now, list), 1
	}
	r.silentAfter = time.Duration(missedReports * float64(r.every) * float64(ReportInterval))
	slices.SortFunc(list, byName)
	return list
}

// Due is one report to send at a tick. A brief report says how recent the sender's
// knowledge is, but not what the sender works on.
type Due struct {
	Instance
	Brief bool
}

// Due returns the reports of one tick. In a large failure domain each target gets a
// full report only at some ticks. At the others, the relay and the instances that
// watch the store exchange brief reports with all, since information on the store has
// to be recent.
func (r *Roster) Due(now time.Time) []Due {
	targets := r.Targets(now)
	r.tick++
	if r.ViaRelay(now) {
		return r.relayDue(now, targets)
	}
	own := r.every > 1 && (r.IsOwnDomainRelay(now) || r.Watches(now))
	watchers, relay := r.watchers(now), r.relay(now)
	var list []Due
	for _, i := range targets {
		brief := (r.tick+crhash.Of(i.Name))%uint64(r.every) != 0
		fresh := own || i.Name == relay || slices.ContainsFunc(watchers, func(c candidate) bool { return c.Name == i.Name })
		if fresh || !brief {
			list = append(list, Due{i, brief})
		}
	}
	return list
}

// TicksPerReport returns the number of ticks between two reports to most targets.
func (r *Roster) TicksPerReport() int { return max(1, r.every) }

// relay returns the name of the relay of this instance's failure domain.
func (r *Roster) relay(now time.Time) string { return r.view(now).relay }
