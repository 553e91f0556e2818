package crroster

import (
	"slices"
	"time"

	"crocusrack/core/crhash"
)

// Introduces reports whether this instance tells one that is new of others. In a
// large fleet three do, and those that it asked. In a large domain the bulletins of
// its relay name the others.
func (r *Roster) Introduces(now time.Time, name string, asked bool) bool {
	if !asked && r.ViaRelay(now) && r.Instance(name).FailureDomain == r.Self.FailureDomain {
		return false
	}
	return asked || !r.Large(now) || r.Chosen(now, crhash.Mix(crhash.Of(name), crhash.Of("introduce")), introducers)
}

// Introduction returns the instances that one of a failure domain is told of when
// it is new, by name: where many are known, alive or not, those of its own domain
// and some of each other one.
func (r *Roster) Introduction(now time.Time, domain string) []Instance {
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

// News returns some instances that came lately, others at each tick: of two that
// start at the same time neither may have been told of the other, and a relay not
// of another domain.
func (r *Roster) News(now time.Time) []Instance {
	if !r.Large(now) {
		return nil
	}
	var list []Instance
	for _, e := range r.peers {
		if now.Sub(e.added) < newsFor && (e.FailureDomain == r.Self.FailureDomain || r.alive(now, e)) {
			list = append(list, e.Instance)
		}
	}
	if len(list) <= newsAtOnce {
		return list
	}
	slices.SortFunc(list, byName)
	first := int(crhash.Mix(r.tick, crhash.Of(r.Self.Name)) % uint64(len(list)-newsAtOnce+1))
	return list[first : first+newsAtOnce]
}

// Contacts returns some instances of each failure domain but this one's and
// another, live ones if there are any: enough for relays to find each other.
func (r *Roster) Contacts(now time.Time, except string) []Instance {
	domains := make(map[string][]*entry)
	for _, e := range r.peers {
		if e.FailureDomain != except && e.FailureDomain != r.Self.FailureDomain {
			domains[e.FailureDomain] = append(domains[e.FailureDomain], e)
		}
	}
	var list []Instance
	for _, entries := range domains {
		slices.SortFunc(entries, func(a, b *entry) int { return b.heard.Compare(a.heard) })
		for _, e := range entries[:min(contacts, len(entries))] {
			list = append(list, e.Instance)
		}
	}
	return list
}
