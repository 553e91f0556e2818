package crliveness

import "time"

// Timeouts for contact in a large fleet, where instances hear of most others through two relays. The
// first is for fleets whose relays send digests at their shortest interval.
const (
	relayedContactTimeout = 1500 * time.Millisecond
	digestFleetSize       = 128
	// relayContactTimeout is the silence from which on the relay of a failure domain counts another
	// domain as not heard from. Relays exchange digests each 0.4 s at least.
	relayContactTimeout = 1250 * time.Millisecond
)

// Contact counts the instances that one hears from.
type Contact struct {
	// Known is the number of instances that were known in the last half minute and haven't said
	// that they leave, and Heard that of the ones heard from lately. Both include the own
	// instance.
	Known, Heard int
}

// Majority reports whether more than half of the known instances are heard from.
func (c Contact) Majority() bool { return 2*c.Heard > c.Known }

// Complete reports whether all known instances are heard from.
func (c Contact) Complete() bool { return c.Heard == c.Known }

// NewsTime returns the time after which an instance that hasn't heard what all others know counts as out
// of contact.
func (r *Roster) NewsTime(now time.Time) time.Duration { return r.contactTimeout(now) }

// LossTime returns the time after which an instance that was lost counts as lost.
func (r *Roster) LossTime(now time.Time) time.Duration {
	limit := max(SilentAfter, r.silentAfter)
	if r.Large(now) {
		limit = max(limit, relayedSilentAfter)
	}
	return limit
}

// contactTimeout returns the silence from which on an instance counts as not heard from.
func (r *Roster) contactTimeout(now time.Time) time.Duration {
	limit := max(SilentAfter, r.silentAfter)
	if r.Large(now) {
		limit = max(limit, relayedContactTimeout)
		if r.view(now).heard > digestFleetSize {
			limit = max(limit, relayedSilentAfter)
		}
	}
	return limit
}

// Contact returns how many instances this one hears from. In a fleet of more than digestFleetSize, news
// of other failure domains is older than a cut has to be; there the relay of each domain tells when it
// hears from too few others.
func (r *Roster) Contact(now time.Time) Contact {
	limit := r.contactTimeout(now)
	var silent map[string]bool
	if v := r.view(now); v.heard > digestFleetSize {
		switch e := r.peers[v.relay]; {
		case e == nil:
			silent = r.silentDomains(now)
		case e.OutOfContact:
			silent = r.otherDomains()
		}
	}
	c := Contact{Known: 1, Heard: 1}
	for _, e := range r.peers {
		last := e.added
		if e.heard.After(last) {
			last = e.heard
		}
		if e.Leaving || now.Sub(last) > forgetAfter {
			continue
		}
		c.Known++
		if !e.heard.IsZero() && now.Sub(e.heard) < limit && !silent[e.FailureDomain] {
			c.Heard++
		}
	}
	return c
}

// OutOfContact reports whether this instance is the relay of its failure domain and hears from half of
// the known instances or fewer.
func (r *Roster) OutOfContact(now time.Time) bool { return r.view(now).outOfContact }

// otherDomains returns the failure domains of other instances than those of the own domain.
func (r *Roster) otherDomains() map[string]bool {
	domains := make(map[string]bool)
	for _, e := range r.peers {
		if e.FailureDomain != r.Self.FailureDomain {
			domains[e.FailureDomain] = true
		}
	}
	return domains
}

// silentDomains returns the other failure domains of which no instance has lately reported to this one,
// a relay.
func (r *Roster) silentDomains(now time.Time) map[string]bool {
	silent := r.otherDomains()
	for _, e := range r.peers {
		if now.Sub(e.heardDirectly) < relayContactTimeout {
			delete(silent, e.FailureDomain)
		}
	}
	return silent
}

// Hears reports whether an instance that reports directly also hears from this one: it has returned a
// recent stamp. Behind a cut in one direction it can't be asked for anything.
func (r *Roster) Hears(now time.Time, name string) bool {
	e := r.peers[name]
	return e != nil && r.hears(now, e, r.contactTimeout(now))
}

func (r *Roster) hears(now time.Time, e *entry, timeout time.Duration) bool {
	return now.Sub(e.heardDirectly) < timeout && now.Sub(e.echoed) < timeout
}

// watchesAlone reports whether this instance has to watch the store because none of the watchers hears
// from it, as behind a cut in one direction. Those in contact with each other choose theirs among
// themselves. In a large fleet, the relay of a domain watches for it if it has no contact with the
// domain of a watcher.
func (r *Roster) watchesAlone(now time.Time, v *view) bool {
	timeout := r.contactTimeout(now)
	large, domains := v.heard > smallFleet, make(map[string]bool)
	for _, c := range v.watchers {
		e := r.peers[c.Name]
		if e == nil || r.hears(now, e, timeout) || large && c.FailureDomain == r.Self.FailureDomain {
			// Without an entry it is this instance.
			return false
		}
		domains[c.FailureDomain] = true
	}
	if large && v.relay != r.Self.Name {
		return false
	}
	own, ahead := watchScore(r.Self), 0
	for _, e := range r.peers {
		switch {
		case !r.hears(now, e, timeout):
		case large && domains[e.FailureDomain]:
			return false
		case !e.StoreLost && !e.Leaving && !e.IgnoresEras && e.watchScore < own:
			ahead++
		}
	}
	return large || ahead < watcherCount
}
