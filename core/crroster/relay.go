package crroster

import (
	"cmp"
	"slices"
	"time"

	"crocusrack/core/crhash"
)

const (
	// meshDomain is the most instances of a failure domain that report to each
	// other. In a larger one all report to its relay, and hear of the others in its
	// bulletins.
	meshDomain = 24
	// followerFor is how long an instance that took this one for the relay is
	// served: some reports of it.
	followerFor = time.Second
	// fullEvery is how many ticks lie between two reports of a relay that name it
	// in full. The others are brief.
	fullEvery = 5
)

// ViaRelay reports whether the own failure domain is so large that its instances
// report to its relay only. Silent instances count until they are forgotten, so
// that a fault of many doesn't change the way in which the others hear of it.
func (r *Roster) ViaRelay(now time.Time) bool {
	return r.Large(now) && r.view(now).domain > meshDomain
}

// relayTargets returns the targets in a large domain: all for the relay. For the
// others it is the relay, and those that take this instance for it since they
// can't hear the relay.
func (r *Roster) relayTargets(now time.Time, domain []Instance) []Instance {
	relay := r.relay(now)
	if relay == r.Self.Name {
		return domain
	}
	return slices.DeleteFunc(domain, func(i Instance) bool {
		return i.Name != relay && now.Sub(r.peers[i.Name].followed) > followerFor
	})
}

// relayDue returns the reports of one tick in a large domain: whole ones to the
// relay, and mostly brief ones of it.
func (r *Roster) relayDue(now time.Time, targets []Instance) []Due {
	relay := r.relay(now)
	list := make([]Due, 0, len(targets))
	for _, i := range targets {
		brief := i.Name != relay && (r.tick+crhash.Of(i.Name))%fullEvery != 0
		list = append(list, Due{i, brief})
	}
	return list
}

// DueAtOnce returns the targets of reports that are sent at once. In a large domain
// those of the relay are brief.
func (r *Roster) DueAtOnce(now time.Time) []Due {
	targets := r.Targets(now)
	relays := r.ViaRelay(now) && r.relay(now) == r.Self.Name
	list := make([]Due, 0, len(targets))
	for _, i := range targets {
		list = append(list, Due{i, relays})
	}
	return list
}

// IsRelay reports whether an instance is the relay of a large own domain.
func (r *Roster) IsRelay(now time.Time, name string) bool {
	return r.ViaRelay(now) && r.relay(now) == name
}

// Follow notes that an instance takes this one for the relay of its domain.
func (r *Roster) Follow(now time.Time, name string) {
	if e := r.peers[name]; e != nil {
		e.followed = now
	}
}

// Followers returns the instances that take this one for the relay.
func (r *Roster) Followers(now time.Time) []Instance {
	var list []Instance
	for _, e := range r.peers {
		if !e.followed.IsZero() && now.Sub(e.followed) <= followerFor {
			list = append(list, e.Instance)
		}
	}
	slices.SortFunc(list, byName)
	return list
}

// relayScore ranks the instances of a domain as relays.
func relayScore(i Instance) uint64 { return dutyScore(i, "relay") }

// Relays reports whether this instance is the relay of its domain.
func (r *Roster) Relays(now time.Time) bool {
	if !r.Large(now) {
		return false
	}
	return r.relay(now) == r.Self.Name
}

// Digests returns the instances to send a digest to: the relay of each other
// domain, or two of its instances, others at each tick, while none of them is known
// to live.
func (r *Roster) Digests(now time.Time) []Instance {
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
			list = append(list, r.someOf(known)...)
			continue
		}
		list = append(list, slices.MinFunc(candidates, func(a, b Instance) int { return cmp.Compare(relayScore(a), relayScore(b)) }))
	}
	slices.SortFunc(list, byName)
	return list
}

// someOf returns two of some instances, others at each tick.
func (r *Roster) someOf(list []Instance) []Instance {
	slices.SortFunc(list, byName)
	if len(list) <= 2 {
		return list
	}
	first := int(2*r.tick) % len(list)
	return []Instance{list[first], list[(first+1)%len(list)]}
}

// RelayOf returns the relay of the own domain; false when that is this instance.
func (r *Roster) RelayOf(now time.Time) (Instance, bool) {
	relay := r.relay(now)
	return r.Instance(relay), relay != r.Self.Name
}

// Targets returns the instances to send reports to, by name, and drops those
// that have been silent for long. In a large fleet they are those of the own
// failure domain, in a large domain its relay.
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
			r.current = nil
			continue
		}
		if !large || e.FailureDomain == r.Self.FailureDomain {
			list = append(list, e.Instance)
		}
	}
	r.every = every(len(list))
	if r.ViaRelay(now) {
		list, r.every = r.relayTargets(now, list), 1
	}
	r.silentAfter = time.Duration(missedReports * float64(r.every) * float64(ReportInterval))
	slices.SortFunc(list, byName)
	return list
}

// Due is a target of the reports of one tick. A brief report says how fresh the
// sender's knowledge is, and not what it works on.
type Due struct {
	Instance
	Brief bool
}

// Due returns the targets of the reports of one tick. In a large failure domain
// each gets a report at some ticks only. The relay and those that watch the store
// exchange brief ones with all at the others: what they say of the store has to
// be fresh.
func (r *Roster) Due(now time.Time) []Due {
	targets := r.Targets(now)
	r.tick++
	if r.ViaRelay(now) {
		return r.relayDue(now, targets)
	}
	own := r.every > 1 && (r.Relays(now) || r.Watches(now))
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

// Every is how many ticks lie between two reports to most targets.
func (r *Roster) Every() int { return max(1, r.every) }

// relay returns the name of the relay of the own failure domain.
func (r *Roster) relay(now time.Time) string { return r.view(now).relay }
