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
	var relay *entry
	for _, e := range r.peers {
		own := e.FailureDomain == r.Self.FailureDomain
		if own {
			v.domain++
		}
		if !r.alive(now, e) {
			continue
		}
		v.size++
		if own && e.relay < first && e.answers(now) {
			relay, first = e, e.relay
		}
	}
	if relay != nil {
		v.relay = relay.Name
		if relay.asked.IsZero() {
			relay.asked = now
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

const (
	// unansweredAfter is when an instance that is taken for the relay, and that this
	// one doesn't hear by itself, isn't any more, though others hear it.
	unansweredAfter = SilentAfter
	// askAgainAfter is when it is tried again.
	askAgainAfter = 5 * time.Second
)

// answers reports whether an instance may be the relay: this one hears it by itself,
// or hasn't tried for long.
func (e *entry) answers(now time.Time) bool {
	if e.asked.IsZero() || now.Sub(e.direct) < SilentAfter {
		return true
	}
	asked := now.Sub(e.asked)
	if asked > askAgainAfter {
		e.asked = time.Time{}
	}
	return asked <= unansweredAfter
}
