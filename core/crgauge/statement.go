// Package crgauge keeps what endpoints state of their load, and joins it with this fleet's own
// counts of requests in flight. Statements lag, and many instances read the same one, so a
// statement corrects the own count as of the time at which it was made, and the correction
// fades. The package does no I/O and takes the time from its caller.
package crgauge

const (
	// maxCount bounds each count of a statement. No server has that many slots.
	maxCount = 1 << 16
	// maxRunningPerSlot bounds the running requests of a plausible statement, per slot.
	// Servers may count requests that they are about to end.
	maxRunningPerSlot = 2
	// minPace and maxPace bound a plausible pace.
	minPace, maxPace = 0.01, 100.0
)

// Statement is what an endpoint states of its load.
type Statement struct {
	// Running is the number of requests that it works on, and Waiting the number of those
	// in its queue. Slots is how many it works on at a time.
	Running int `json:"running"`
	Waiting int `json:"waiting"`
	Slots   int `json:"slots"`
	// Pace is how long work takes on its machine now, in multiples of the usual time. Zero
	// means that the endpoint doesn't state it.
	Pace float64 `json:"pace,omitempty"`
}

// Plausible reports whether the statement may be true.
func (s Statement) Plausible() bool {
	if s.Running < 0 || s.Waiting < 0 || s.Slots < 1 || s.Slots > maxCount || s.Waiting > maxCount {
		return false
	}
	return s.Running <= maxRunningPerSlot*s.Slots && (s.Pace == 0 || s.Pace >= minPace && s.Pace <= maxPace)
}
