package crforward

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net/http"
	"time"

	"crocusrack/core/crgrant"
	"crocusrack/core/crhealth"
	"crocusrack/core/crretry"
	"crocusrack/io/crhop"
)

var (
	// errStalled is the failure of an attempt at a silent endpoint whose successor has
	// answered.
	errStalled = errors.New("the stream stalled")
	// errSuperseded cancels a successor that isn't needed any more.
	errSuperseded = errors.New("the first attempt went on")
)

// attemptAnswer is an answer and the grant of the attempt that got it.
type attemptAnswer struct {
	grant  *crgrant.Grant
	answer *crhop.Answer
}

// sendWatched sends a request and returns the first answer. A success of a request that may be
// repeated counts once its body has begun. While the endpoint is silent, a successor may be
// sent to another endpoint; the attempt that is answered later is canceled. The returned grant
// is that of the answer, or the given one if there is an error. The successor is sent after
// the limit at the latest; zero means no limit.
func (x *exchange) sendWatched(ctx context.Context, g *crgrant.Grant, lastEvent string, limit time.Duration) (attemptAnswer, error) {
	type sent struct {
		answer *crhop.Answer
		err    error
	}
	sendCtx, cancel := context.WithCancelCause(ctx)
	first := make(chan sent, 1)
	go func() {
		answer, err := x.send(sendCtx, g, lastEvent)
		if err == nil && x.beginsBody(answer) {
			if bodyErr := awaitBody(sendCtx, answer); bodyErr != nil {
				answer.Close()
				x.reportCrash(g, bodyErr)
				answer, err = nil, &crhop.Error{Sent: true, Cause: bodyErr}
			}
		}
		first <- sent{answer, err}
	}()
	m := x.newStallMonitor(g)
	m.abandon = cancel
	defer m.stop()
	var overdue <-chan time.Time
	if limit > 0 {
		overdue = time.After(limit)
	}
	for {
		select {
		case <-overdue:
			if m.results == nil || m.probing {
				m.discard()
				m.take(ctx, m.succession.Overdue(), lastEvent)
			}
		case s := <-first:
			if s.err == nil {
				return attemptAnswer{g, s.answer}, nil
			}
			m.abandon(nil)
			if next := m.await(); next != nil {
				x.classifyFailure(g, s.err)
				return *next, nil
			}
			return attemptAnswer{grant: g}, s.err
		case <-m.timer.C:
			m.silent(ctx, lastEvent)
		case r := <-m.results:
			next := m.finish(ctx, r, lastEvent)
			if next == nil {
				continue
			}
			m.abandon(errStalled)
			if s := <-first; s.answer != nil {
				s.answer.Close()
			}
			x.classifyFailure(g, &crhop.Error{Sent: true, Cause: errStalled})
			return *next, nil
		}
	}
}

// stallMonitor watches an attempt at an endpoint that may be silent, and sends its
// successor. It must be stopped.
type stallMonitor struct {
	*exchange
	succession crretry.Succession
	endpoint   crhop.Endpoint
	// timer fires after each interval of silence.
	timer *time.Timer
	// results receives the result of the pending probe or successor. It is nil while
	// there is none.
	results chan stepResult
	// probing is true while a probe is pending.
	probing bool
	// cancel cancels the pending probe or successor, and abandon the attempt while it has
	// no answer.
	cancel, abandon context.CancelCauseFunc
}

// stepResult is the result of a probe or of a successor. The successor is nil if no endpoint
// took the request.
type stepResult struct {
	probe     bool
	probeErr  error
	successor *attemptAnswer
}

// newStallMonitor returns the monitor of an attempt that begins.
func (x *exchange) newStallMonitor(g *crgrant.Grant) *stallMonitor {
	return &stallMonitor{
		exchange: x,
		succession: crretry.Succession{
			Repeatable: x.route.Repeatable(),
			Resumable:  x.route.Resumable,
			MaxSilence: max(minStallTimeout, stallTimeoutGaps*x.route.MaxEventGap),
			Reserve:    x.reserveRepeat,
		},
		endpoint: crhop.Endpoint{Key: g.Endpoint.Key, Address: g.Endpoint.Address},
		timer:    time.NewTimer(firstStallCheck),
	}
}

// progress records a complete event. Parts of an event don't count, because bytes alone
// don't show progress. A pending successor is canceled.
func (m *stallMonitor) progress() {
	m.discard()
	m.succession.Progress()
	m.timer.Reset(stallCheckInterval)
}

// stop ends the monitor and cancels a pending successor.
func (m *stallMonitor) stop() {
	m.timer.Stop()
	m.discard()
}

// discard cancels a pending probe or successor.
func (m *stallMonitor) discard() {
	if m.results == nil {
		return
	}
	m.cancel(errSuperseded)
	if next := m.await(); next != nil {
		next.answer.Close()
		next.grant.Drop(time.Now())
	}
}

// await waits for the pending successor, if any, and returns its answer or nil. A pending
// probe is canceled.
func (m *stallMonitor) await() *attemptAnswer {
	if m.results == nil {
		return nil
	}
	if m.probing {
		m.cancel(errSuperseded)
	}
	r := <-m.results
	m.results = nil
	return r.successor
}

// silent is called when the timer fires. The parameter lastEvent is the id of the last
// event that the caller has.
func (m *stallMonitor) silent(ctx context.Context, lastEvent string) {
	m.timer.Reset(stallCheckInterval)
	m.take(ctx, m.succession.Silent(stallCheckInterval), lastEvent)
}

// finish takes the result of a probe or successor. It returns the answer of a successor
// that has one.
func (m *stallMonitor) finish(ctx context.Context, r stepResult, lastEvent string) *attemptAnswer {
	m.results = nil
	switch {
	case r.probe:
		m.take(ctx, m.succession.Probed(r.probeErr == nil), lastEvent)
	case r.successor == nil:
		m.succession.Refused()
		m.logKept()
	}
	return r.successor
}

// take starts what a step of the succession asks for.
func (m *stallMonitor) take(ctx context.Context, step crretry.Step, lastEvent string) {
	if step == crretry.Wait {
		return
	}
	ctx, m.cancel = context.WithCancelCause(ctx)
	m.probing = step == crretry.Probe
	// The buffer lets the goroutine end if nobody waits for the result.
	results := make(chan stepResult, 1)
	m.results = results
	go func() {
		if step == crretry.Probe {
			err := m.Client.Probe(ctx, m.endpoint)
			results <- stepResult{probe: true, probeErr: err}
			return
		}
		results <- stepResult{successor: m.replace(ctx, nil, lastEvent, m.abandon != nil)}
	}()
}

// replace sends the request to another endpoint, to continue after the given event. The first
// attempt uses the grant g if it isn't nil. It returns nil if that isn't allowed or no endpoint
// takes it. If unanswered is true, the
// caller has no part of an answer yet, so that one with any status below 500 is returned
// and one above is kept as the failure to report.
func (x *exchange) replace(ctx context.Context, g *crgrant.Grant, lastEvent string, unanswered bool) *attemptAnswer {
	for unsent := 0; unsent < maxUnsentAttempts && x.mayRepeat(); unsent++ {
		if g == nil || unsent > 0 {
			g = x.grant(ctx)
		}
		if g.Endpoint == nil {
			// Nothing was sent, so the repeat is kept for a later attempt.
			x.reserved.Store(true)
			return nil
		}
		x.tried = append(x.tried, g.Endpoint.Key)
		x.trace.attempts++
		answer, err := x.send(ctx, g, lastEvent)
		if err != nil {
			if errors.Is(context.Cause(ctx), errSuperseded) {
				g.Drop(time.Now())
				return nil
			}
			if x.classifyFailure(g, err).verdict == unknown {
				x.trace.mayHaveRun = true
			}
			if !x.keyValid() {
				return nil
			}
			continue
		}
		if x.spurious(answer) {
			answer.Close()
			x.classifyFailure(g, &crhop.Error{Sent: true, Cause: errSpurious})
			x.trace.mayHaveRun = true
			continue
		}
		notRun := x.Codec.NotRun(answer.Status, answer.Header)
		if unanswered && !notRun && answer.Status >= 500 {
			x.keepFailure(g, answer)
			continue
		}
		if notRun || !unanswered && !x.continuesStream(answer) {
			x.trace.mayHaveRun = x.trace.mayHaveRun || !notRun
			answer.Close()
			x.endGrant(g, crhealth.Refused)
			continue
		}
		if x.beginsBody(answer) {
			if err := awaitBody(ctx, answer); err != nil {
				answer.Close()
				x.trace.mayHaveRun = true
				if errors.Is(context.Cause(ctx), errSuperseded) {
					g.Drop(time.Now())
					return nil
				}
				x.reportCrash(g, err)
				x.classifyFailure(g, &crhop.Error{Sent: true, Cause: err})
				continue
			}
		}
		x.trace.recordGrant(g, time.Since(x.start))
		if unanswered {
			x.logReplaced(g)
		} else {
			x.logResumed(g, lastEvent)
		}
		return &attemptAnswer{g, answer}
	}
	return nil
}

// continuesStream reports whether an answer may go on with the stream that is passed on. An
// answer of another media type isn't one.
func (x *exchange) continuesStream(answer *crhop.Answer) bool {
	mediaType := answer.Header.Get("Content-Type")
	return answer.Status < http.StatusMultipleChoices && (mediaType == x.mediaType || mediaType == "" || x.mediaType == "")
}

// beginsBody reports whether an answer only counts as one once its body has begun: a success
// that another attempt could give as well.
func (x *exchange) beginsBody(answer *crhop.Answer) bool {
	return x.route.Repeatable() && answer.Status < http.StatusMultipleChoices &&
		!x.spurious(answer) && !x.Codec.NotRun(answer.Status, answer.Header)
}

// awaitBody waits for the first byte of an answer's body, or its end. A header alone doesn't
// show that the endpoint makes progress. The answer is closed if the context ends first.
func awaitBody(ctx context.Context, answer *crhop.Answer) error {
	stop := context.AfterFunc(ctx, answer.Close)
	defer stop()
	reader := bufio.NewReaderSize(answer.Body, streamBuffer)
	answer.Body = reader
	if _, err := reader.Peek(1); err != io.EOF {
		return err
	}
	return nil
}

// keepFailure reads an answer with a status of 500 or above, which the caller gets if no
// other attempt is answered.
func (x *exchange) keepFailure(g *crgrant.Grant, answer *crhop.Answer) {
	defer answer.Close()
	x.trace.mayHaveRun = true
	body, more, err := x.readBuffered(answer)
	if err == nil && more {
		err = errTooLong
	}
	if err != nil {
		x.classifyFailure(g, &crhop.Error{Sent: true, Cause: err})
		return
	}
	x.failure = &bufferedAnswer{answer.Status, answer.Header, body}
	x.endGrant(g, crhealth.Failed)
}
