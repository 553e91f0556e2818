package crplace

import "time"

// Stream is what is known of the stream that answers a request. Its zero value means that
// nothing speaks for one endpoint rather than another.
type Stream struct {
	// Events is the number of events that are still to come.
	Events int
	// Left is the time until the caller's deadline, and MaxEventGap the longest pause between
	// events that is in time. Zero means any.
	Left, MaxEventGap time.Duration
}

// leftShare is the share of the time until the deadline by which a stream should complete, and
// of the longest pause that events should take. The rest covers the errors of the estimates.
const leftShare = 0.8

// lateness returns by how much a stream is expected to miss its deadline, and its pauses their
// limit, at a candidate whose first event takes the given time.
func (p *Placer) lateness(a Stream, c *candidate, first time.Duration) time.Duration {
	if p.EventInterval == nil {
		return 0
	}
	interval, late := p.EventInterval(c.Endpoint), time.Duration(0)
	if a.Left > 0 {
		late = max(0, first+interval*time.Duration(a.Events)-share(leftShare, a.Left))
	}
	if a.MaxEventGap > 0 {
		late += max(0, interval-share(leftShare, a.MaxEventGap)) * time.Duration(a.Events)
	}
	return late
}

func share(s float64, d time.Duration) time.Duration { return time.Duration(s * float64(d)) }
