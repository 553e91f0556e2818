package crliveness

import (
	"cmp"
	"slices"
	"time"

	"crocusrack/core/crhash"
)

// MustAnswer reports whether the named instance is sent a report in reply to its own: if that
// is the first one of its run, or if it seeks others, since it hears from none. An earlier
// answer to it may have been lost. It is answered once in SilentAfter then.
func (r *Roster) MustAnswer(now time.Time, name string, first, seeking bool) bool {
	e := r.peers[name]
	if e == nil || !first && !(seeking && now.Sub(e.answered) >= SilentAfter) {
		return false
	}
	e.answered = now
	return true
}

// TellsNewInstance reports whether this instance tells a new instance about others. In a
// large fleet, three instances do, and those that the new one asked. In a large
// failure domain the bulletins of its relay name the instances of the domain.
func (r *Roster) TellsNewInstance(now time.Time, name string, asked bool) bool {
	if !asked && r.ViaRelay(now) && r.Instance(name).FailureDomain == r.Self.FailureDomain {
		return false
	}
	return asked || !r.Large(now) || r.Chosen(now, crhash.Mix(crhash.Of(name), crhash.Of("introduce")), introducers)
}

// InstancesForNew returns the instances that a new instance of a failure domain is told
// about. If few instances are known, these are all of them. Otherwise they are the
// known ones of its domain and the Contacts in the others. Silent instances are
// included.
func (r *Roster) InstancesForNew(now time.Time, domain string) []Instance {
	var list []Instance
	many := len(r.peers) >= smallFleet
	if many {
		list = r.Contacts(now, domain)
	}
	for _, e := range r.peers {
		if !many || e.FailureDomain == domain {
			list = append(list, e.Instance)
		}
	}
	slices.SortFunc(list, byName)
	return list
}

// RecentlyAdded returns some recently added instances, different ones at each tick. It
// covers three cases: of two instances that start at the same time neither may have been
// told about the other, a relay may not have been told about a new instance of another
// domain, and the answer that names others to a new instance may be lost.
func (r *Roster) RecentlyAdded(now time.Time) []Instance {
	var list []Instance
	for _, e := range r.peers {
		if now.Sub(e.added) < newsDuration && (e.FailureDomain == r.Self.FailureDomain || r.alive(now, e)) {
			list = append(list, e.Instance)
		}
	}
	if len(list) <= newsPerReport {
		return list
	}
	slices.SortFunc(list, byName)
	first := int(crhash.Mix(r.tick, crhash.Of(r.Self.Name)) % uint64(len(list)-newsPerReport+1))
	return list[first : first+newsPerReport]
}

// Contacts returns some instances of each failure domain other than this one and
// except, so that relays can find each other. Those heard from most recently are
// chosen, so live ones come first.
func (r *Roster) Contacts(now time.Time, except string) []Instance {
	domains := make(map[string][]*entry)
	for _, e := range r.peers {
		if e.FailureDomain != except && e.FailureDomain != r.Self.FailureDomain {
			domains[e.FailureDomain] = append(domains[e.FailureDomain], e)
		}
	}
	var list []Instance
	for _, entries := range domains {
		slices.SortFunc(entries, func(a, b *entry) int { return cmp.Or(b.heard.Compare(a.heard), cmp.Compare(a.Name, b.Name)) })
		for _, e := range entries[:min(contacts, len(entries))] {
			list = append(list, e.Instance)
		}
	}
	return list
}
