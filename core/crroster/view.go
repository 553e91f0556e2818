package crroster

import "time"

// viewAge is how long what follows from all instances is used again, unless one of
// them changes: it is asked for with each datagram and each request, and silence is
// counted in hundreds of milliseconds.
const viewAge = 50 * time.Millisecond

// view is what follows from all instances at a time.
type view struct {
	at     time.Time
	status Status
	// size is the count of live instances, domain that of the known ones in the own
	// failure domain; both include this one.
	size, domain int
	relay        string
	watchers     []candidate
}

// view returns the current view.
func (r *Roster) view(now time.Time) *view {
	if v := r.current; v != nil && v.status == r.Status && !now.Before(v.at) && now.Sub(v.at) < viewAge {
		return v
	}
	v := &view{at: now, status: r.Status, size: 1, domain: 1, relay: r.Self.Name}
	first := relayScore(r.Self)
	for _, e := range r.peers {
		own := e.FailureDomain == r.Self.FailureDomain
		if own {
			v.domain++
		}
		if !r.alive(now, e) {
			continue
		}
		v.size++
		if own && e.relay < first {
			v.relay, first = e.Name, e.relay
		}
	}
	v.watchers = r.findWatchers(now)
	r.current = v
	return v
}

// changed drops the view when an instance is new, back or says something else of
// itself.
func (r *Roster) changed(now time.Time, e *entry, i Instance, s Status) {
	o := e.Status
	o.Sequence = s.Sequence
	if o != s || e.Instance != i || !r.alive(now, e) {
		r.current = nil
	}
}
