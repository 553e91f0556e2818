package crretry

import "time"

// Step is what a Succession asks its caller to do next.
type Step uint8

const (
	// Wait asks to keep waiting for the attempt.
	Wait Step = iota
	// Probe asks to open a connection to the endpoint, and to call Probed with the result.
	Probe
	// Succeed asks to send the request to another endpoint while the attempt goes on, and
	// to call Refused if no endpoint takes it.
	Succeed
)

// Succession decides when an attempt at a silent endpoint gets a successor, which is an
// attempt of the same request at another endpoint. Silence alone never ends the attempt:
// its caller gives it up only after the successor has been answered. Set the exported
// fields before the first call of a method. A Succession is not safe for concurrent use.
type Succession struct {
	// Repeatable means that the request may run more than once. Otherwise it gets no
	// successor.
	Repeatable bool
	// Resumable means that a successor can continue the answer where it stopped. Otherwise
	// the attempt gets one only if its endpoint accepts no connections.
	Resumable bool
	// MaxSilence is the silence after which a successor is sent even if the endpoint accepts
	// connections. It doubles each time that no endpoint takes the successor.
	MaxSilence time.Duration
	// Reserve reserves another attempt. It returns false if the limits on attempts don't
	// allow one.
	Reserve func() bool

	silence time.Duration
	// probed is true once the endpoint was probed in this silence.
	probed bool
	// pending is true while a probe or a successor is awaited.
	pending bool
}

// Progress records that the endpoint has sent something useful. The caller cancels a
// pending probe or successor.
func (s *Succession) Progress() { s.silence, s.probed, s.pending = 0, false, false }

// Silent records a further silence of the given length.
func (s *Succession) Silent(d time.Duration) Step {
	if !s.Repeatable {
		return Wait
	}
	s.silence += d
	switch {
	case s.pending:
		return Wait
	case !s.probed:
		s.probed, s.pending = true, true
		return Probe
	case s.Resumable && s.silence >= s.MaxSilence:
		return s.succeed()
	}
	return Wait
}

// Probed records whether the endpoint accepted the connection of a probe.
func (s *Succession) Probed(accepted bool) Step {
	s.pending = false
	if accepted {
		return Wait
	}
	return s.succeed()
}

// Refused records that no endpoint took the successor.
func (s *Succession) Refused() { s.pending, s.silence, s.MaxSilence = false, 0, 2*s.MaxSilence }

func (s *Succession) succeed() Step {
	if !s.Reserve() {
		return Wait
	}
	s.pending = true
	return Succeed
}

// Overdue asks for a successor at once. The caller cancels a pending probe, and doesn't call
// Overdue while a successor is pending.
func (s *Succession) Overdue() Step {
	s.probed, s.pending = true, false
	if !s.Repeatable {
		return Wait
	}
	return s.succeed()
}
