package crfuzz

import "time"

// Clock is the clock of a simulation. It advances in steps and calls at each step
// the functions that are scheduled for it. It is not safe for concurrent use.
type Clock struct {
	// Now is the simulated time.
	Now time.Time
	// Step is the duration of a step.
	Step time.Duration

	// due holds the scheduled functions by the time at which they are called.
	due map[time.Time][]func()
}

// NewTimeline returns a timeline that starts at the Unix time 1e9 s.
func NewTimeline(step time.Duration) Clock {
	return Clock{Now: time.Unix(1e9, 0), Step: step, due: map[time.Time][]func(){}}
}

// After schedules do to be called after the duration d, rounded down to whole steps
// but at least one step.
func (l *Clock) After(d time.Duration, do func()) {
	callTime := l.Now.Add(max(d.Truncate(l.Step), l.Step))
	l.due[callTime] = append(l.due[callTime], do)
}

// Advance advances the time by one step and calls the functions that are due.
func (l *Clock) Advance() {
	l.Now = l.Now.Add(l.Step)
	for _, do := range l.due[l.Now] {
		do()
	}
	delete(l.due, l.Now)
}
