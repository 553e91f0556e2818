package crforward

import (
	"strings"
	"time"

	"go.uber.org/zap"

	"crocusrack/core/crgrant"
	"crocusrack/core/crstream"
)

// The reasons why a stream is late for its caller.
const (
	// lateFirst: the first event came after the target of the route.
	lateFirst = "first-event"
	// latePauses: a pause between events was longer than the gap of the route.
	latePauses = "pauses"
	// lateEnd: the caller's deadline came before the end.
	lateEnd = "end"
)

// streamTimes holds the times at which the events of a caller's stream were read from
// endpoints and written to the caller.
type streamTimes struct {
	// attempt are the pauses between the events of the current attempt that weren't reported
	// to its grant, by when their bytes were read. read are those of all attempts, and
	// written those between the writes to the caller.
	attempt, read, written crstream.Pauses
	// reportedAt is when pauses were last reported to the grant.
	reportedAt time.Time
	// events is the number of events that were read.
	events int
	// firstRead is when the first event was read, and lastRead when the last one was.
	firstRead, lastRead time.Time
	// unwrittenSince is when the oldest event was read that hasn't been written.
	unwrittenSince time.Time
	// longestHold is the longest time from the arrival of an event to the end of its write,
	// and longestWrite the longest write.
	longestHold, longestWrite time.Duration
}

// begin begins the pauses of a stream.
func (t *streamTimes) begin(gap time.Duration) { t.read.Gap, t.written.Gap = gap, gap }

// beginAttempt begins the pauses of an attempt.
func (t *streamTimes) beginAttempt(now time.Time) {
	t.attempt, t.reportedAt = crstream.Pauses{Gap: t.read.Gap}, now
}

// recordRead records that events were read, and how many there are in total.
func (t *streamTimes) recordRead(at time.Time, events int) {
	t.attempt.Add(at, events-t.events)
	t.read.Add(at, events-t.events)
	t.events, t.lastRead = events, at
	if t.firstRead.IsZero() {
		t.firstRead = at
	}
	if t.unwrittenSince.IsZero() {
		t.unwrittenSince = at
	}
}

// recordWrite records a write of all events that were read.
func (t *streamTimes) recordWrite(begun, ended time.Time) {
	t.longestWrite = max(t.longestWrite, ended.Sub(begun))
	if t.unwrittenSince.IsZero() {
		return
	}
	t.longestHold = max(t.longestHold, ended.Sub(t.unwrittenSince))
	t.unwrittenSince = time.Time{}
	t.written.Add(ended, 0)
}

// pauseReportInterval is the interval at which the pauses of a stream are reported to its
// grant. It is below the time in which an engine that has become slow should be noticed.
const pauseReportInterval = 250 * time.Millisecond

// reportPauses reports the pauses of an attempt to its grant at an interval.
func (s *streamCopier) reportPauses(now time.Time, g *crgrant.Grant) {
	if now.Sub(s.times.reportedAt) >= pauseReportInterval && s.times.attempt.Count > 0 {
		s.times.reportedAt = now
		g.RecordPause(now, s.times.attempt.Take())
	}
}

// endPauses reports the remaining pauses of an attempt to its grant.
func (s *streamCopier) endPauses(now time.Time, g *crgrant.Grant) {
	if s.times.attempt.Count > 0 {
		g.RecordPause(now, s.times.attempt.Take())
	}
}

// lateReasons returns the reasons why a stream was late for its caller.
func (x *exchange) lateReasons(took time.Duration) []string {
	var list []string
	if x.route.Target > 0 && x.trace.headerAt.Sub(x.start) > x.route.Target {
		list = append(list, lateFirst)
	}
	if x.trace.stream.written.OverGap > 0 {
		list = append(list, latePauses)
	}
	if took >= x.limit.Sub(x.start) {
		list = append(list, lateEnd)
	}
	return list
}

// latePlace returns where the longest pause of a stream arose.
func (t *streamTimes) latePlace() string {
	switch {
	case t.read.Longest >= t.written.Longest/2:
		return "endpoint"
	case t.longestWrite >= t.written.Longest/2:
		return "caller"
	}
	return "instance"
}

// streamFields counts a stream at its end and returns its log fields. They are empty for
// other requests and for streams without a header.
func (x *exchange) streamFields(took time.Duration) []zap.Field {
	t := x.trace.stream
	if t == nil || x.trace.headerAt.IsZero() {
		return nil
	}
	if x.trace.reason != "answered" {
		t.written.Break(x.start.Add(took))
		t.read.Break(x.start.Add(took))
	}
	late := x.lateReasons(took)
	x.Metrics.recordStream(x.trace.headerAt.Sub(x.start), t, late)
	fields := []zap.Field{
		zap.Int("events", t.events),
		zap.Duration("longest-pause-ms", t.written.Longest),
		zap.Int("pauses-over-gap", t.written.OverGap),
		zap.Duration("endpoint-longest-pause-ms", t.read.Longest),
		zap.Int("endpoint-pauses-over-gap", t.read.OverGap),
		zap.Duration("longest-hold-ms", t.longestHold),
		zap.Duration("longest-write-ms", t.longestWrite),
	}
	if !t.firstRead.IsZero() {
		fields = append(fields, zap.Duration("first-read-ms", t.firstRead.Sub(x.start)),
			zap.Duration("last-read-ms", t.lastRead.Sub(x.start)))
	}
	if x.route.MaxEventGap > 0 {
		fields = append(fields, zap.Duration("gap-ms", x.route.MaxEventGap))
	}
	if len(late) > 0 {
		fields = append(fields, zap.String("late", strings.Join(late, ",")))
	}
	if t.written.OverGap > 0 {
		fields = append(fields, zap.String("late-at", t.latePlace()))
	}
	return fields
}

// recordStream counts a stream that has ended.
func (m *Metrics) recordStream(first time.Duration, t *streamTimes, late []string) {
	m.Streams.Add(1)
	m.PausesOverGap.Add(int64(t.written.OverGap))
	for _, reason := range late {
		m.LateStreams.Add(reason, 1)
	}
	m.firstEvent.record(first)
	if t.written.Count > 0 {
		m.longestPause.record(t.written.Longest)
	}
	if t.written.Started() {
		m.hold.record(t.longestHold)
	}
}
