package crforward

import (
	"context"
	"errors"
	"io"
	"net/http"
	"slices"
	"time"

	"crocusrack/core/crbackoff"
	"crocusrack/core/crgrant"
	"crocusrack/core/crhealth"
	"crocusrack/core/crledger"
	"crocusrack/core/crroute"
	"crocusrack/core/crswitch"
	"crocusrack/io/crhop"
)

const (
	// wholeBody is the largest answer of a plain service that is read whole
	// before any of it is passed on, so that a cut one can be repeated.
	wholeBody = 256 << 10
	// silenceTargets is after how many times its target a plain idempotent
	// request is sent to another endpoint.
	silenceTargets = 2.5
	// minSilence is the least wait before that.
	minSilence = 250 * time.Millisecond
	// maxUnsent bounds the endpoints that a request is tried at without being
	// sent.
	maxUnsent = 3
)

// run sends the request until it has an answer or no more may be tried.
func (x *exchange) run() {
	ctx, cancel := x.context()
	defer cancel()
	x.State.Request(time.Now(), x.service.Name)
	var tried []crledger.Key
	unsent := 0
	// failure is the last answer of an endpoint that was one of failure.
	var failure *whole
	// back is when the request may come back if none has run it.
	back := firstRetry
	for {
		if x.sent > 0 && !x.mayRepeat() {
			break
		}
		grant := x.grant(ctx, tried)
		if grant.Endpoint == nil {
			if x.sent == 0 {
				x.refuse(grant.Reason.String(), grant.RetryAfter)
				return
			}
			back = grant.RetryAfter
			break
		}
		x.trace.attempt(grant, time.Since(x.start))
		result := x.attempt(ctx, grant, x.request.LastEvent)
		if result.verdict != withdrawn {
			tried = append(tried, grant.Endpoint.Key)
		}
		switch result.verdict {
		case done:
			return
		case notSent, withdrawn:
			if unsent++; unsent < maxUnsent && x.keyHolds() {
				continue
			}
			if x.sent == 0 {
				x.refuse(unsentReasons[result.verdict], firstRetry)
				return
			}
		case notRun:
			x.trace.notRun++
			continue
		case failed:
			x.trace.mayHaveRun = true
			failure = result.answer
			if x.route.Kind == crroute.Idempotent {
				continue
			}
		case unknown:
			x.trace.mayHaveRun = true
			if x.route.Repeatable() {
				continue
			}
		}
		break
	}
	x.giveUp(ctx, failure, back)
}

// unsentReasons tell why a request was sent to no endpoint.
var unsentReasons = map[verdict]string{notSent: "endpoints-unreachable", withdrawn: "changed-meanwhile"}

// readingPoll is how often a request asks again for an endpoint that reads its
// prompt.
const readingPoll = 20 * time.Millisecond

// grant asks for an endpoint. It waits for one that reads a long part of the
// request's prompt for another request.
func (x *exchange) grant(ctx context.Context, tried []crledger.Key) *crgrant.Grant {
	asked := time.Now()
	for {
		g := x.State.Grant(time.Now(), crgrant.Ask{
			Service: x.service, Links: x.links, Tried: tried, Target: x.route.Target, Hasty: ctx.Err() != nil,
		})
		if g.Reading <= 0 {
			x.trace.waited += time.Since(asked)
			return g
		}
		// An ended context makes the next ask a hasty one.
		_ = crbackoff.Sleep(ctx, min(g.Reading, readingPoll))
	}
}

// reserveRepeat reports whether a request of so many attempts that is given up may be
// sent once more, and keeps the repeat for it. It is safe for concurrent use.
func (x *exchange) reserveRepeat(attempts int) bool {
	if !x.reserved.Load() && x.mayRepeatAfter(attempts) && x.State.Retry(time.Now(), x.service.Name) {
		x.reserved.Store(true)
	}
	return x.reserved.Load()
}

// mayRepeat reports whether a request that was sent may be sent once more.
func (x *exchange) mayRepeat() bool {
	return x.mayRepeatAfter(x.sent) && (x.reserved.CompareAndSwap(true, false) || x.State.Retry(time.Now(), x.service.Name))
}

// mayRepeatAfter reports whether the route and the deadline allow another attempt.
func (x *exchange) mayRepeatAfter(attempts int) bool {
	return attempts < x.route.MaxAttempts && time.Until(x.deadline) > 0
}

// giveUp answers a request that was sent and has no success.
func (x *exchange) giveUp(ctx context.Context, failure *whole, back time.Duration) {
	switch {
	case x.incoming.Context().Err() != nil:
		x.trace.end(0, "caller-left", nil)
	case failure != nil:
		x.pass(failure)
	case !x.trace.mayHaveRun:
		x.refuse("endpoints-refused", back)
	case ctx.Err() != nil:
		x.fail(http.StatusGatewayTimeout, "timeout", nil)
	default:
		x.fail(http.StatusBadGateway, "answer-lost", x.trace.last)
	}
}

// verdict is how an attempt ended.
type verdict uint8

const (
	// done: the caller has its answer, or has left.
	done verdict = iota
	// notSent: no endpoint has got the request.
	notSent
	// withdrawn: the request was no longer allowed when it was to be sent.
	withdrawn
	// notRun: the endpoint said that it has not run the request.
	notRun
	// failed: the endpoint answered with a failure.
	failed
	// unknown: the endpoint may have run the request.
	unknown
)

type result struct {
	verdict verdict
	answer  *whole
}

// whole is an answer that was read to its end.
type whole struct {
	status int
	header http.Header
	body   []byte
}

// attempt sends the request to one endpoint.
func (x *exchange) attempt(ctx context.Context, g *crgrant.Grant, lastEvent string) result {
	limited, cancel := x.limit(ctx)
	defer cancel()
	answer, err := x.sendWatched(limited, g, lastEvent)
	if err != nil {
		return x.unanswered(ctx, g, err)
	}
	defer answer.Close()
	if x.Codec.NotRun(answer.Status, answer.Header) {
		// Reading the answer to its end keeps the connection.
		if _, _, err := x.readWhole(answer); err != nil {
			x.trace.last = err
		}
		x.end(g, crhealth.Refused)
		return result{verdict: notRun}
	}
	if answer.Status < 300 && x.route.Kind == crroute.Stream {
		return x.stream(ctx, g, answer)
	}
	return x.plain(ctx, g, answer)
}

// limit bounds the wait for the answer of a request that another endpoint can
// still answer in time.
func (x *exchange) limit(ctx context.Context) (context.Context, context.CancelFunc) {
	if x.route.Kind != crroute.Idempotent || x.sent > 0 || x.route.MaxAttempts < 2 || x.Disabled.Has(crswitch.EarlyRepeats) {
		return context.WithCancel(ctx)
	}
	silence := time.Duration(silenceTargets * float64(x.route.Target))
	return context.WithTimeout(ctx, max(silence, minSilence))
}

func (x *exchange) send(ctx context.Context, g *crgrant.Grant, lastEvent string) (*crhop.Answer, error) {
	header := x.request.Header.Clone()
	attempt := Attempt{
		Endpoint:  g.Endpoint.ID,
		Left:      time.Until(x.deadline),
		LastEvent: lastEvent,
		Priority:  x.priority,
		Engine:    x.service.Engine,
	}
	if x.account != nil {
		attempt.Account = x.account.Name
	}
	if g.Source != nil {
		attempt.Source = g.Source.Address
	}
	x.Codec.Encode(header, attempt)
	answer, err := x.Hop.Send(ctx, crhop.Endpoint{Key: g.Endpoint.Key, Address: g.Endpoint.Address}, &crhop.Request{
		Method: x.incoming.Method,
		Target: x.incoming.RequestURI,
		Host:   x.incoming.Host,
		Header: header,
		Body:   x.body,
		Once:   !x.route.Repeatable(),
		Echoed: func(status int, h http.Header, first bool) bool {
			return x.Codec.Echoed(status, h, x.request.ID, first)
		},
		Allowed: func() bool { return g.Valid(time.Now()) && x.keyHolds() },
	})
	var failure *crhop.Error
	if !errors.As(err, &failure) || failure.Sent {
		x.sent++
	}
	if err == nil {
		x.heed(g, answer)
	}
	return answer, err
}

// heed takes in what the head of an answer says of its endpoint.
func (x *exchange) heed(g *crgrant.Grant, answer *crhop.Answer) {
	if x.Codec.Leaving(answer.Header) && g.Leave(time.Now()) {
		x.logLeaves(g)
	}
	if d := x.Codec.Pause(answer.Status, answer.Header); d > 0 {
		x.logPaused(g, d, g.Pause(time.Now(), d))
	}
}

// end ends a grant and logs when its endpoint was put out of use.
func (x *exchange) end(g *crgrant.Grant, o crhealth.Outcome) {
	if g.End(time.Now(), o) {
		x.logEjected(g, o)
	}
}

// unanswered classifies a request that got no answer.
func (x *exchange) unanswered(ctx context.Context, g *crgrant.Grant, err error) result {
	x.trace.last = err
	if x.incoming.Context().Err() != nil {
		g.Drop(time.Now())
		x.trace.end(0, "caller-left", nil)
		return result{verdict: done}
	}
	var failure *crhop.Error
	if !errors.As(err, &failure) {
		failure = &crhop.Error{Sent: true, Cause: err}
	}
	switch {
	case failure.Unreachable:
		x.end(g, crhealth.Unreachable)
	case errors.Is(err, crhop.ErrWithdrawn), ctx.Err() != nil && !failure.Sent:
		g.Drop(time.Now())
	default:
		x.end(g, crhealth.Broken)
	}
	switch {
	case failure.Sent:
		return result{verdict: unknown}
	case errors.Is(err, crhop.ErrWithdrawn):
		return result{verdict: withdrawn}
	default:
		return result{verdict: notSent}
	}
}

// plain handles an answer that isn't a stream of events.
func (x *exchange) plain(ctx context.Context, g *crgrant.Grant, answer *crhop.Answer) result {
	if answer.Length > wholeBody && answer.Status < 500 {
		return x.copyThrough(ctx, g, answer, nil)
	}
	body, more, err := x.readWhole(answer)
	if err == nil && more && answer.Status >= 500 {
		err = errTooLong
	}
	if err != nil {
		return x.unanswered(ctx, g, &crhop.Error{Sent: true, Cause: err})
	}
	if more {
		return x.copyThrough(ctx, g, answer, body)
	}
	w := &whole{answer.Status, answer.Header, body}
	if answer.Status >= 500 {
		x.end(g, crhealth.Failed)
		return result{verdict: failed, answer: w}
	}
	x.end(g, crhealth.Good)
	x.pass(w)
	return result{verdict: done}
}

// errTooLong ends an answer that is longer than may be kept, or than one without a
// length may be.
var errTooLong = errors.New("the answer is too long")

// maxUnknown bounds an answer whose length isn't known ahead, in bytes.
const maxUnknown = 8 << 20

// readWhole reads an answer as far as it may be kept; more is true when it is
// longer.
func (x *exchange) readWhole(answer *crhop.Answer) (body []byte, more bool, err error) {
	for {
		if len(body) == cap(body) {
			if len(body) >= wholeBody || !x.hold(2*cap(body)) {
				return body, true, nil
			}
			body = slices.Grow(body, max(firstRead, cap(body)))
		}
		n, err := answer.Body.Read(body[len(body):cap(body)])
		body = body[:len(body)+n]
		if err == io.EOF {
			return body, false, nil
		}
		if err != nil {
			return body, false, err
		}
	}
}

// firstRead is the buffer for a short answer, in bytes.
const firstRead = 2 << 10

// pass gives the caller an endpoint's answer.
func (x *exchange) pass(w *whole) {
	x.trace.end(w.status, "answered", nil)
	copyHeader(x.writer.Header(), w.header)
	if w.header.Get("Content-Length") == "" && bodyAllowed(x.incoming.Method, w.status) {
		x.writer.Header().Set("Content-Length", lengthOf(w.body))
	}
	x.writer.WriteHeader(w.status)
	_, err := x.writer.Write(w.body)
	x.trace.wrote(err)
}

// copyThrough passes a long answer on as it comes, after what was read of it.
func (x *exchange) copyThrough(ctx context.Context, g *crgrant.Grant, answer *crhop.Answer, begin []byte) result {
	copyHeader(x.writer.Header(), answer.Header)
	x.writer.WriteHeader(answer.Status)
	_, err := x.writer.Write(begin)
	if err == nil {
		err = copyRest(x.writer, answer, int64(len(begin)))
	}
	if err != nil {
		x.unanswered(ctx, g, err)
		x.abort("answer-cut", err)
	}
	x.end(g, crhealth.Good)
	x.trace.end(answer.Status, "answered", nil)
	return result{verdict: done}
}

// copyRest copies what follows the first bytes of an answer.
func copyRest(w io.Writer, answer *crhop.Answer, read int64) error {
	if answer.Length >= 0 {
		_, err := io.Copy(w, answer.Body)
		return err
	}
	n, err := io.Copy(w, io.LimitReader(answer.Body, maxUnknown-read))
	if err == nil && n == maxUnknown-read {
		err = errTooLong
	}
	return err
}

// abort ends an answer that has begun in a way that can't look complete.
func (x *exchange) abort(reason string, err error) {
	x.trace.end(x.trace.status, reason, err)
	panic(http.ErrAbortHandler)
}
