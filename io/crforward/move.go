package crforward

import (
	"context"
	"errors"
	"time"

	"go.uber.org/zap"

	"crocusrack/core/crbackoff"
	"crocusrack/core/crgrant"
	"crocusrack/core/crretry"
	"crocusrack/core/crroute"
	"crocusrack/core/crswitch"
	"crocusrack/io/crhop"
)

// errRunsLate ends a run of a stream that continues at another endpoint, because it would not
// have completed in time.
var errRunsLate = errors.New("the stream would not complete in time")

// moveInterval is the interval at which a stream is checked for a move. It is that at which
// new pauses are recorded.
const moveInterval = pauseReportInterval

// moveBackoff is the additional time after a check that found no endpoint that helps. Each such
// check counts as a placement there for a moment.
const moveBackoff = 750 * time.Millisecond

// progress returns the progress of the request's stream, or nil if it isn't answered by one.
func (x *exchange) progress() *crgrant.Stream {
	if x.route.Kind != crroute.Stream {
		return nil
	}
	return &crgrant.Stream{Events: int(x.events.Load()), MaxEventGap: x.route.MaxEventGap}
}

// recordLength records the length of a complete stream that began with its first event.
func (s *streamCopier) recordLength(g *crgrant.Grant) {
	if s.request.LastEvent == "" {
		g.RecordLength(time.Now(), s.times.events)
	}
}

// mayMove reports whether a check for a move is due and allowed. The next run can only go on
// after an event that has an id.
func (s *streamCopier) mayMove(now time.Time, m *stallMonitor) bool {
	if now.Sub(s.movedAt) < moveInterval || m.results != nil && !m.probing {
		return false
	}
	_, hasID := s.splitter.Last()
	return s.route.Resumable && s.request.LastEvent == "" && hasID && s.attemptsLeft() &&
		!s.Disabled.Has(crswitch.StreamMoves) && !s.Disabled.Has(crswitch.StreamResume)
}

// move continues the stream at another endpoint if it will not complete in time and the other
// endpoint helps. It closes the first connection before the second run starts, with the time
// that a server may take to stop. Its error is nil if the stream stays.
func (s *streamCopier) move(ctx context.Context, m *stallMonitor, g *crgrant.Grant, answer *crhop.Answer) (*attemptAnswer, error) {
	now := time.Now()
	if !s.mayMove(now, m) {
		return nil, nil
	}
	s.movedAt = now
	progress := *s.progress()
	if !g.RunsLate(now, progress, s.limit) || !s.reserveRepeat() {
		return nil, nil
	}
	// Waiting for a prefill here would delay the events of this stream.
	other := s.State.Grant(now, s.grantRequest(true))
	if other.Endpoint == nil {
		return nil, nil
	}
	if !g.MoveHelps(now, progress, s.limit, other) {
		other.Drop(now)
		s.movedAt = now.Add(moveBackoff)
		return nil, nil
	}
	m.discard()
	if err := s.flush(answer); err != nil {
		other.Drop(time.Now())
		return nil, err
	}
	answer.Close()
	s.Metrics.Moved.Add(1)
	s.trace.moved++
	s.Log.Info("entry: a stream leaves an endpoint that would not complete it in time",
		zap.String("request", s.request.ID), zap.String("endpoint", g.Endpoint.ID), zap.String("to", other.Endpoint.ID),
		zap.Int("events", progress.Events), zap.Duration("left-ms", time.Until(s.limit)))
	s.trace.lastErr = errRunsLate
	if crbackoff.Sleep(ctx, crretry.StopTime) != nil {
		other.Drop(time.Now())
		return nil, errRunsLate
	}
	return s.replace(ctx, other, s.lastEvent(), false), errRunsLate
}
