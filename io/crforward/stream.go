package crforward

import (
	"context"
	"errors"
	"fmt"
	"io"
	"mime"
	"net/http"
	"strconv"
	"time"

	"crocusrack/core/crgrant"
	"crocusrack/core/crhealth"
	"crocusrack/core/crstream"
	"crocusrack/core/crswitch"
	"crocusrack/io/crhop"
)

const (
	// streamBuffer is the size of a read from a stream, in bytes.
	streamBuffer = 4 << 10
	// stallCheckInterval is the silence after which the endpoint of a stream is probed,
	// and the interval of further checks. It is below the pauses that callers accept.
	stallCheckInterval = 500 * time.Millisecond
	// firstStallCheck is the silence before the first check of an attempt. It is longer
	// because the endpoint may be running the prefill.
	firstStallCheck = 900 * time.Millisecond
	// coalesceDelayShare is the share of MaxEventDelay for which an event may wait for
	// later events. The rest is left for the network and for processing.
	coalesceDelayShare = 0.7
	// coalesceGapShare is the upper bound of that wait, as a share of the route's MaxEventGap,
	// the pause between events that the route allows.
	coalesceGapShare = 0.25
	// maxPending is the size of waiting events, in bytes, from which they are written at once.
	// They fill packets then.
	maxPending = 8 << 10
	// A stream without a complete event gets a successor at another endpoint after the
	// larger of minStallTimeout and stallTimeoutGaps times the route's MaxEventGap, even if
	// its endpoint accepts connections.
	minStallTimeout  = 2500 * time.Millisecond
	stallTimeoutGaps = 3
)

// handleStream passes on events as they arrive. If the stream breaks off and the route
// allows it, the stream continues from another endpoint within the same answer.
func (x *exchange) handleStream(ctx context.Context, g *crgrant.Grant, answer *crhop.Answer) result {
	x.mediaType = answer.Header.Get("Content-Type")
	s := &streamCopier{exchange: x, splitter: crstream.Splitter{Limit: x.MaxEventBytes}}
	x.trace.stream = &s.times
	s.times.begin(x.route.MaxEventGap)
	if x.request.LastEvent != "" {
		if id, err := strconv.ParseUint(x.request.LastEvent, 10, 64); err == nil {
			s.splitter.SetLast(id)
		}
	}
	for {
		next, err := s.copy(ctx, g, answer)
		answer.Close()
		if err == nil && next == nil {
			x.endGrant(g, crhealth.Good)
			x.trace.recordEnd(answer.Status, "answered", nil)
			return result{verdict: done}
		}
		if s.writeErr != nil || x.callerLeft() {
			g.Drop(time.Now())
			if next != nil {
				next.answer.Close()
				next.grant.Drop(time.Now())
			}
			x.abort(outcomeCallerLeft, s.writeErr)
		}
		x.trace.lastErr = err
		if s.started {
			ctx = x.lifetime
		}
		if ctx.Err() != nil || errors.Is(err, errNoMemory) || errors.Is(err, errRunsLate) {
			g.Drop(time.Now())
		} else {
			x.endGrant(g, crhealth.Broken)
		}
		s.splitter.Rest()
		if next == nil {
			if !s.started {
				return result{verdict: unknown}
			}
			if next = x.resume(ctx, s.lastEvent()); next == nil {
				x.abort("stream-cut", err)
			}
		}
		g, answer = next.grant, next.answer
	}
}

// coalesceInterval returns the minimum time between two writes to a caller. Events that
// follow each other closely share a packet, because each lost packet delays the stream
// by hundreds of milliseconds.
func (x *exchange) coalesceInterval() time.Duration {
	if x.Disabled.Has(crswitch.EventCoalescing) {
		return 0
	}
	d := time.Duration(coalesceDelayShare * float64(x.MaxEventDelay))
	if x.route.MaxEventGap > 0 {
		d = min(d, time.Duration(coalesceGapShare*float64(x.route.MaxEventGap)))
	}
	return d
}

// resume sends the request of a broken stream to another endpoint, to continue after the
// last event. It returns nil if that isn't allowed or no endpoint takes it.
func (x *exchange) resume(ctx context.Context, lastEvent string) *attemptAnswer {
	if !x.route.Resumable || x.Disabled.Has(crswitch.StreamResume) {
		return nil
	}
	return x.replace(ctx, nil, lastEvent, false)
}

// streamCopier copies the events of one caller's stream, which may come from several
// endpoints in turn.
type streamCopier struct {
	*exchange
	splitter crstream.Splitter
	// pending holds complete events that have not been written yet.
	pending   []byte
	lastWrite time.Time
	times     streamTimes
	// movedAt is when the stream was last checked for a move to another endpoint.
	movedAt time.Time
	// started is true once the caller has been sent the header.
	started bool
	// writeErr is the error of a write to the caller.
	writeErr error
}

// chunk is the result of one read from an answer's body, and the time of its end.
type chunk struct {
	data []byte
	err  error
	at   time.Time
}

// lastEvent returns the id of the last event that the caller has, or the empty string.
func (s *streamCopier) lastEvent() string {
	if id, ok := s.splitter.Last(); ok {
		return strconv.FormatUint(id, 10)
	}
	return ""
}

// copy passes on events until the answer ends or a successor has an answer, which it
// returns. If the answer breaks off while a successor is pending, copy waits for that one.
// Its error says why the answer broke off; writeErr is also set if a write to the caller
// failed.
func (s *streamCopier) copy(ctx context.Context, g *crgrant.Grant, answer *crhop.Answer) (*attemptAnswer, error) {
	chunks := make(chan chunk)
	ended := make(chan struct{})
	defer close(ended)
	go readChunks(answer.Body, chunks, ended)
	monitor := s.newStallMonitor(g)
	defer monitor.stop()
	s.times.beginAttempt(time.Now())
	defer func() { s.endPauses(time.Now(), g) }()
	firstEvent := time.Time{}
	flushTimer, interval := time.NewTimer(0), s.coalesceInterval()
	defer flushTimer.Stop()
	for {
		if s.started {
			ctx = s.lifetime
		}
		select {
		case <-ctx.Done():
			return nil, context.Cause(ctx)
		case <-flushTimer.C:
			if err := s.flush(answer); err != nil {
				return nil, err
			}
		case <-monitor.timer.C:
			if next, err := s.move(ctx, monitor, g, answer); err != nil {
				return next, err
			}
			monitor.silent(ctx, s.lastEvent())
		case r := <-monitor.results:
			if next := monitor.finish(ctx, r, s.lastEvent()); next != nil {
				return next, errors.Join(errStalled, s.flush(answer))
			}
		case c := <-chunks:
			if len(c.data) > 0 {
				g.MarkRead(time.Now())
			}
			events, err := s.splitter.Write(c.data)
			if len(events) > 0 {
				monitor.progress()
				s.times.recordRead(c.at, s.splitter.Events())
				s.events.Store(int64(s.splitter.Events()))
				s.reportPauses(c.at, g)
				if firstEvent.IsZero() {
					firstEvent = time.Now()
					s.beginsAt(g)
				} else if time.Since(firstEvent) >= answerSettleTime {
					s.markAnswered(g)
				}
			}
			s.pending = append(s.pending, events...)
			if err == nil && !s.reserveMemory(s.splitter.Len()) {
				err = errNoMemory
			}
			switch {
			case err != nil:
				err = errors.Join(err, s.flush(answer))
				return monitor.await(), err
			case c.err == io.EOF && s.isIncomplete(answer, !firstEvent.IsZero()):
				// The endpoint may close the connection, whatever it said of the body's end.
				answer.Abort()
				s.reportCrash(g, errIncomplete)
				err := errors.Join(errIncomplete, s.flush(answer))
				return monitor.await(), err
			case c.err == io.EOF:
				if !firstEvent.IsZero() {
					s.recordAnswerEnd(g, answer)
					s.recordLength(g)
				}
				// This also writes the header of an answer without events.
				return nil, s.write(answer, append(s.pending, s.splitter.Rest()...))
			case c.err != nil:
				s.reportCrash(g, c.err)
				err = errors.Join(c.err, s.flush(answer))
				return monitor.await(), err
			}
			if next, err := s.move(ctx, monitor, g, answer); err != nil {
				return next, err
			}
			if wait := time.Until(s.lastWrite.Add(interval)); wait > 0 && len(s.pending) < maxPending {
				flushTimer.Reset(wait)
			} else if err := s.flush(answer); err != nil {
				return nil, err
			}
		}
	}
}

// errIncomplete means that a body ended, but its stream of events didn't.
var errIncomplete = fmt.Errorf("the stream ended inside an event: %w", io.ErrUnexpectedEOF)

// isIncomplete reports whether a stream whose body ends now ends inside an event. One that ends
// with its connection is also incomplete before the first event of a stream from the start.
func (s *streamCopier) isIncomplete(answer *crhop.Answer, hasEvents bool) bool {
	if answer.Framed() {
		return hasEventStream(answer) && s.splitter.Inside()
	}
	_, resumed := s.splitter.Last()
	return s.splitter.Inside() || !hasEvents && !resumed
}

// hasEventStream reports whether the body of a stream's answer consists of events. An answer of no
// media type is taken for one.
func hasEventStream(answer *crhop.Answer) bool {
	value := answer.Header.Get("Content-Type")
	// A type with bad parameters is returned as well.
	mediaType, _, _ := mime.ParseMediaType(value)
	return value == "" || mediaType == "text/event-stream"
}

// readChunks sends the results of reads from the body to chunks, until the body ends or
// ended is closed. It alternates between two buffers, so the data of a chunk is valid
// until the next one is received.
func readChunks(body io.Reader, chunks chan<- chunk, ended <-chan struct{}) {
	buffer, other := make([]byte, streamBuffer), make([]byte, streamBuffer)
	for {
		buffer, other = other, buffer
		n, err := body.Read(buffer)
		select {
		case chunks <- chunk{buffer[:n], err, time.Now()}:
		case <-ended:
			return
		}
		if err != nil {
			return
		}
	}
}

// flush writes the pending events to the caller.
func (s *streamCopier) flush(answer *crhop.Answer) error {
	if len(s.pending) == 0 {
		return nil
	}
	err := s.write(answer, s.pending)
	s.pending, s.lastWrite = s.pending[:0], time.Now()
	return err
}

// write writes b to the caller, preceded by the header of the answer on the first call,
// and flushes the connection.
func (s *streamCopier) write(answer *crhop.Answer, b []byte) error {
	s.beginWriting(writeTimeout)
	// Until the next write, progress doesn't depend on the caller.
	defer s.holder.Moved(s.limit)
	if !s.started {
		s.started = true
		copyHeader(s.writer.Header(), answer.Header)
		s.writer.Header().Del("Content-Length")
		s.writer.WriteHeader(answer.Status)
		s.trace.recordHeader(answer.Status)
	}
	begun := time.Now()
	_, err := s.Write(b)
	if err == nil {
		err = http.NewResponseController(s.writer).Flush()
	}
	s.times.recordWrite(begun, time.Now())
	s.writeErr = err
	return err
}
