package crliveness

import "time"

// Timeouts for contact in a large fleet, where instances hear of most others through two relays. The
// first is for fleets whose relays send digests at their shortest interval.
const (
	relayedContactTimeout = 1500 * time.Millisecond
	digestFleetSize       = 128
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

// Contact returns how many instances this one hears from.
func (r *Roster) Contact(now time.Time) Contact {
	limit := max(SilentAfter, r.silentAfter)
	if r.Large(now) {
		limit = max(limit, relayedContactTimeout)
		if r.view(now).heard > digestFleetSize {
			limit = max(limit, relayedSilentAfter)
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
		if !e.heard.IsZero() && now.Sub(e.heard) < limit {
			c.Heard++
		}
	}
	return c
}
