package crgrant

import (
	"time"

	"crocusrack/core/crliveness"
)

// unreported returns how many requests other instances place at an endpoint of a service between
// two reports, for the given mean of requests in flight: what ends in that time on average.
func (s *State) unreported(service string, mean float64) float64 {
	age := s.countsAge(s.callTime)
	if age <= 0 {
		return 0
	}
	return mean * float64(age) / float64(max(time.Millisecond, s.returnsFor(service).HoldTime()))
}

// countsAge returns how old the counts of others are at most: the age of the oldest report in use,
// and of what it told when it arrived. It is zero if there is no report.
func (s *State) countsAge(now time.Time) time.Duration {
	oldest := s.work.Oldest()
	if oldest.IsZero() {
		return 0
	}
	return now.Sub(oldest) + s.tellingTime(now)
}

// tellingTime returns how long it takes to tell other instances of a request, on average, before
// the report with it arrives.
func (s *State) tellingTime(now time.Time) time.Duration {
	d := time.Duration(s.roster.TicksPerReport()) * crliveness.ReportInterval
	if s.roster.Large(now) {
		d += s.fullDigestInterval(now)
	}
	if s.roster.ViaRelay(now) {
		d += crliveness.ReportInterval
	}
	return d / 2
}
