package crliveness

import "time"

// noteReturn records when a run of an instance is heard of first, and when the instance is heard from
// again. It must be called before the entry takes over the new status.
func (r *Roster) noteReturn(now time.Time, e *entry, s Status) {
	switch {
	case e.heard.IsZero() || e.Run != s.Run:
		e.runSince = now
	case !r.alive(now, e):
		e.backSince = now
	}
}

// Undisturbed returns the time since an instance was last lost, started or came back, as far as this
// one knows. Instances that this one has never heard from don't count.
func (r *Roster) Undisturbed(now time.Time) time.Duration {
	last := time.Time{}
	for _, e := range r.peers {
		at := e.runSince
		switch {
		case e.heard.IsZero():
			continue
		case !r.alive(now, e) && now.Sub(e.heard) > forgetAfter:
			continue
		case !r.alive(now, e):
			at = e.heard
		case e.backSince.After(at):
			at = e.backSince
		}
		if at.After(last) {
			last = at
		}
	}
	return now.Sub(last)
}

// AllKeepRecord reports whether all instances that were heard from lately begin streams only at versions
// that are recorded in the store.
func (r *Roster) AllKeepRecord(now time.Time) bool {
	for _, e := range r.peers {
		if e.IgnoresRecord && !e.heard.IsZero() && now.Sub(e.heard) < forgetAfter {
			return false
		}
	}
	return true
}
