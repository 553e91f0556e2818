package crliveness

import "time"

// maxViewAge is how long a view is reused unless an instance changes. The view is needed
// for each datagram and each request, and the timeouts for silence are hundreds of
// milliseconds.
const maxViewAge = 50 * time.Millisecond

// view holds values that are computed from all known instances at one time.
type view struct {
	at     time.Time
	status Status
	// size is the number of live instances, and heard that of the instances that were heard
	// from, live or silent. domainSize is the number of known instances, live or silent, in
	// this instance's failure domain. All include this instance.
	size, heard, domainSize int
	relay                   string
	watchers                []candidate
	// watchesAlone is true if this instance watches the store in place of the watchers.
	watchesAlone bool
	// outOfContact is true if this instance is the relay of its failure domain and hears from half of
	// the known instances or fewer.
	outOfContact bool
}

// view returns the current view, and computes it if the last one is out of date.
func (r *Roster) view(now time.Time) *view {
	if v := r.cachedView; v != nil && v.status == r.Status && !now.Before(v.at) && now.Sub(v.at) < maxViewAge {
		return v
	}
	v := &view{at: now, status: r.Status, size: 1, heard: 1, domainSize: 1, relay: r.Self.Name}
	first := relayScore(r.Self)
	var relay *entry
	for _, e := range r.peers {
		own := e.FailureDomain == r.Self.FailureDomain
		if own {
			v.domainSize++
		}
		if !e.heard.IsZero() {
			v.heard++
		}
		if !r.alive(now, e) {
			continue
		}
		v.size++
		if own && e.relayScore < first && e.mayBeRelay(now) {
			relay, first = e, e.relayScore
		}
	}
	if relay != nil {
		v.relay = relay.Name
		if relay.relaySince.IsZero() {
			relay.relaySince = now
		}
	}
	v.watchers = r.findWatchers(now)
	r.cachedView = v
	v.watchesAlone = r.watchesAlone(now, v)
	v.outOfContact = v.heard > digestFleetSize && v.relay == r.Self.Name && !r.Contact(now).Majority()
	return v
}

// dropViewOnChange drops the view when an instance comes back or reports a change.
func (r *Roster) dropViewOnChange(now time.Time, e *entry, i Instance, s Status) {
	o := e.Status
	o.Sequence = s.Sequence
	if o != s || e.Instance != i || !r.alive(now, e) {
		r.cachedView = nil
	}
}

const (
	// relayAnswerTimeout is how long this instance treats another one as the relay without
	// hearing from it directly. Then it chooses another relay, even if other instances hear
	// from the first one.
	relayAnswerTimeout = SilentAfter
	// relayRetryAfter is the time after which such an instance is tried again.
	relayRetryAfter = 5 * time.Second
)

// mayBeRelay reports whether an instance may be the relay: this one hears from it
// directly, or hasn't treated it as the relay for long yet. It resets relaySince after
// relayRetryAfter, so that the instance is tried again.
func (e *entry) mayBeRelay(now time.Time) bool {
	if e.relaySince.IsZero() || now.Sub(e.heardDirectly) < SilentAfter {
		return true
	}
	sinceChosen := now.Sub(e.relaySince)
	if sinceChosen > relayRetryAfter {
		e.relaySince = time.Time{}
	}
	return sinceChosen <= relayAnswerTimeout
}
