package crstream

import "time"

// Pauses measures the times between the events of a stream. Events that arrive together
// count as one moment. Set Gap before the first call of a method.
type Pauses struct {
	// Gap is the longest pause that is in time. Zero means that no pause is late.
	Gap time.Duration
	// Longest is the longest pause, Total the sum of all, Count their number, and OverGap
	// the number of those longer than Gap.
	Longest, Total time.Duration
	Count, OverGap int
	// Events is the number of events that ended a pause. Several may end the same one.
	Events int

	last time.Time
}

// Add records that some events were complete at the given time. The first ones end no pause.
func (p *Pauses) Add(at time.Time, events int) {
	if p.last.IsZero() {
		p.last = at
		return
	}
	pause := max(0, at.Sub(p.last))
	p.last = at
	p.Longest, p.Total, p.Count, p.Events = max(p.Longest, pause), p.Total+pause, p.Count+1, p.Events+events
	if p.Gap > 0 && pause > p.Gap {
		p.OverGap++
	}
}

// Take returns the pauses so far. The receiver goes on with those after the last events.
func (p *Pauses) Take() Pauses {
	taken := *p
	*p = Pauses{Gap: p.Gap, last: p.last}
	return taken
}

// Break records that the stream broke off at the given time. The silence before counts as a
// pause if it is longer than Gap.
func (p *Pauses) Break(at time.Time) {
	if p.Gap > 0 && p.Silence(at) > p.Gap {
		p.Add(at, 0)
	}
}

// Silence returns the time since the last events, or zero before the first ones.
func (p *Pauses) Silence(now time.Time) time.Duration {
	if p.last.IsZero() {
		return 0
	}
	return max(0, now.Sub(p.last))
}

// Started reports whether there were events.
func (p *Pauses) Started() bool { return !p.last.IsZero() }
