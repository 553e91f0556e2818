package crforward

import (
	"context"
	"errors"
	"net/http"
	"slices"
	"time"

	"crocusrack/core/crbackoff"
	"crocusrack/core/crgrant"
	"crocusrack/core/crhash"
	"crocusrack/core/crhealth"
	"crocusrack/core/crledger"
	"crocusrack/core/crroute"
	"crocusrack/core/crswitch"
	"crocusrack/core/crversion"
	"crocusrack/io/crhop"
)

const (
	// maxBufferedBody is the largest answer, in bytes, that is buffered before any of it
	// is passed on, so that the request can be repeated if the answer breaks off. It
	// doesn't apply to streams.
	maxBufferedBody = 256 << 10
	// earlyRepeatTargets is the multiple of the route's target latency after which an
	// unanswered idempotent request is sent to another endpoint.
	earlyRepeatTargets = 2.5
	// minEarlyRepeatDelay is the lower bound of that time.
	minEarlyRepeatDelay = 250 * time.Millisecond
	// maxUnsentAttempts bounds the attempts in which a request didn't reach an endpoint, and
	// maxQuickAttempts those that all failed within quickAttempts, as with endpoints that
	// have crashed: their addresses refuse connections at once.
	maxUnsentAttempts = 3
	maxQuickAttempts  = 8
	quickAttempts     = 150 * time.Millisecond
)

// run sends the request to one endpoint after another until it has an answer or may not
// be repeated.
func (x *exchange) run() {
	ctx, cancel := x.context()
	defer cancel()
	x.State.CountRequest(time.Now(), x.service.Name)
	if !x.findVersion(ctx) {
		x.refuse("stream-version-unknown", x.versionRetryAfter())
		return
	}
	unsent := 0
	// begun is when the first attempt began that didn't reach an endpoint, or may not.
	var begun time.Time
	// retryAfter is the Retry-After time if no endpoint has run the request.
	retryAfter := defaultRetryAfter
	for {
		if x.sent.Load() > 0 && (errors.Is(context.Cause(ctx), errLeaving) || !x.mayRepeat()) {
			break
		}
		grant := x.grant(ctx)
		if x.sent.Load() == 0 && (x.outlastsStop() || errors.Is(context.Cause(ctx), errLeaving)) {
			// The stop began while the body was read or an endpoint was waited for.
			if grant.Endpoint != nil {
				grant.Drop(time.Now())
			}
			x.refuseLeaving()
			return
		}
		if x.sent.Load() == 0 && !x.body.available() {
			if grant.Endpoint != nil {
				grant.Drop(time.Now())
			}
			x.refuseForMemory()
			return
		}
		if grant.Endpoint == nil {
			if x.sent.Load() == 0 {
				x.refuse(refusalReason(grant), grant.RetryAfter)
				return
			}
			retryAfter = grant.RetryAfter
			break
		}
		x.trace.attempts++
		x.trace.recordGrant(grant, time.Since(x.start))
		x.tried = append(x.tried, grant.Endpoint.Key)
		if unsent == 0 {
			begun = time.Now()
		}
		result := x.attempt(ctx, grant, x.request.LastEvent)
		switch result.verdict {
		case done:
			return
		case notSent, withdrawn:
			unsent++
			quick := result.verdict == notSent && unsent < maxQuickAttempts && time.Since(begun) < quickAttempts
			if (quick || unsent < maxUnsentAttempts) && x.keyValid() {
				if result.verdict == withdrawn {
					x.tried = slices.DeleteFunc(x.tried, func(k crledger.Key) bool { return k == grant.Endpoint.Key })
				}
				continue
			}
			if x.sent.Load() == 0 {
				x.refuse(unsentReasons[result.verdict], defaultRetryAfter)
				return
			}
		case notRun:
			x.trace.notRun++
			retryAfter = x.State.ReturnAfter(time.Now(), x.grantRequest(true), defaultRetryAfter)
			continue
		case failed:
			x.trace.mayHaveRun = true
			x.failure = result.answer
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
	x.answerFailure(ctx, retryAfter)
}

// unsentReasons maps a verdict to the outcome of a request that was sent to no endpoint.
// With "changed-meanwhile", the grant or the key became invalid before the request was
// sent.
var unsentReasons = map[verdict]string{notSent: "endpoints-unreachable", withdrawn: "changed-meanwhile"}

// prefillPollInterval is how often the grant is asked for again while an endpoint runs
// the prefill of a shared prompt.
const prefillPollInterval = 20 * time.Millisecond

// grant asks crgrant for an endpoint. While an endpoint runs the prefill of a long part
// of the request's prompt for another request, it waits and asks again.
func (x *exchange) grant(ctx context.Context) *crgrant.Grant {
	asked := time.Now()
	for {
		g := x.State.Grant(time.Now(), x.grantRequest(ctx.Err() != nil))
		if g.PrefillWait <= 0 {
			x.trace.prefillWait += time.Since(asked)
			return g
		}
		// The error is ignored: once the context has ended, the next Request has
		// SkipPrefillWait set and doesn't wait.
		_ = crbackoff.Sleep(ctx, min(g.PrefillWait, prefillPollInterval))
	}
}

// grantRequest returns what crgrant is told of the request.
func (x *exchange) grantRequest(skipPrefillWait bool) crgrant.Request {
	r := crgrant.Request{
		Service: x.service, Route: x.route.Name, Draw: crhash.Of(x.request.ID),
		Links: x.links, Parts: x.parts, Tried: x.tried, Target: x.route.Target, SkipPrefillWait: skipPrefillWait,
		Priority: x.priority, Deadline: x.limit, Stream: x.progress(), Version: crversion.Version(x.version.Load()),
		Resumable: x.route.Kind == crroute.Stream && x.route.Resumable,
	}
	if x.account != nil {
		r.Account, r.Weight = x.account.Name, x.account.Weight
	}
	return r
}

// refusalReason returns the reason of a refusal, with the cause if the service has no usable
// endpoint.
func refusalReason(g *crgrant.Grant) string {
	if g.Cause == "" {
		return g.Reason.String()
	}
	return g.Reason.String() + "-" + g.Cause
}

// reserveRepeat reports whether the request may be sent once more, and reserves that
// repeat: it is taken from the retry budget now, and mayRepeat uses the reservation up
// later.
func (x *exchange) reserveRepeat() bool {
	if !x.reserved.Load() && x.attemptsLeft() && x.State.SpendRetry(time.Now(), x.service.Name) {
		x.reserved.Store(true)
	}
	return x.reserved.Load()
}

// mayRepeat reports whether the request may be sent once more. It uses up the reservation,
// or else takes the repeat from the retry budget.
func (x *exchange) mayRepeat() bool {
	return x.attemptsLeft() && (x.reserved.CompareAndSwap(true, false) || x.State.SpendRetry(time.Now(), x.service.Name))
}

// attemptsLeft reports whether the route and the deadline allow another attempt, and the body
// is still there.
func (x *exchange) attemptsLeft() bool {
	return int(x.sent.Load()) < x.route.MaxAttempts && time.Until(x.deadline) > 0 && x.body.available()
}

// answerFailure answers a request that was sent at least once without success.
func (x *exchange) answerFailure(ctx context.Context, retryAfter time.Duration) {
	switch {
	case x.callerLeft():
		x.trace.recordEnd(0, outcomeCallerLeft, nil)
	case x.failure != nil:
		x.writeAnswer(x.failure)
	case !x.trace.mayHaveRun:
		x.refuse("endpoints-refused", retryAfter)
	case errors.Is(context.Cause(ctx), errLeaving):
		x.writer.Header().Set("Connection", "close")
		x.fail(http.StatusBadGateway, "leaving", nil)
	case ctx.Err() != nil:
		x.fail(http.StatusGatewayTimeout, "timeout", nil)
	default:
		x.fail(http.StatusBadGateway, "answer-lost", x.trace.lastErr)
	}
}

// verdict is the result of an attempt, which decides whether another one may follow.
type verdict uint8

const (
	// done: the caller has its answer or has disconnected.
	done verdict = iota
	// notSent: the request reached no endpoint.
	notSent
	// withdrawn: the grant or the key was no longer valid when the request was to be
	// sent.
	withdrawn
	// notRun: the endpoint answered that it hasn't run the request.
	notRun
	// failed: the endpoint answered with a status of 500 or above.
	failed
	// unknown: the endpoint may have run the request, but there is no complete answer.
	unknown
)

// result is the verdict of an attempt. The answer is set only if the verdict is failed.
type result struct {
	verdict verdict
	answer  *bufferedAnswer
}

// bufferedAnswer is an answer that was read to its end.
type bufferedAnswer struct {
	status int
	header http.Header
	body   bufferedBody
}

// attempt sends the request to the endpoint of a grant and handles the answer.
func (x *exchange) attempt(ctx context.Context, g *crgrant.Grant, lastEvent string) result {
	answered, err := x.sendWatched(ctx, g, lastEvent, x.waitLimit())
	g, answer := answered.grant, answered.answer
	if err != nil {
		return x.classifyFailure(g, err)
	}
	defer answer.Close()
	if x.spurious(answer) {
		return x.classifyFailure(g, &crhop.Error{Sent: true, Cause: errSpurious})
	}
	if x.Codec.NotRun(answer.Status, answer.Header) {
		// Reading the answer to its end lets the connection be reused.
		if _, _, err := x.readBuffered(answer); err != nil {
			x.trace.lastErr = err
		}
		x.endGrant(g, crhealth.Refused)
		return result{verdict: notRun}
	}
	if !x.route.Repeatable() {
		x.body.drop()
	}
	if answer.Status < 300 && x.route.Kind == crroute.Stream {
		return x.handleStream(ctx, g, answer)
	}
	return x.handlePlain(g, answer)
}

// errSpurious means that a successful answer doesn't show that the endpoint made it.
var errSpurious = errors.New("the answer isn't the endpoint's")

// spurious reports whether an answer claims success without showing that the endpoint made
// it.
func (x *exchange) spurious(answer *crhop.Answer) bool {
	return answer.Status < http.StatusMultipleChoices && !x.Codec.Genuine(answer.Header)
}

// waitLimit returns how long the first attempt of an idempotent request may be unanswered
// before it gets a successor, which can then still answer in time. Zero means no limit.
func (x *exchange) waitLimit() time.Duration {
	if x.route.Kind != crroute.Idempotent || x.sent.Load() > 0 || x.route.MaxAttempts < 2 || x.Disabled.Has(crswitch.EarlyRepeats) {
		return 0
	}
	return max(time.Duration(earlyRepeatTargets*float64(x.route.Target)), minEarlyRepeatDelay)
}

// send makes one attempt at the endpoint of a grant. While it lasts, and afterwards if the
// request may have been sent, the attempt counts as sent. The context bounds the attempt until
// an answer begins that is passed on as it arrives, which may go on for the lifetime of the
// request.
func (x *exchange) send(ctx context.Context, g *crgrant.Grant, lastEvent string) (*crhop.Answer, error) {
	body, ok := x.body.acquire()
	if !ok {
		return nil, &crhop.Error{Cause: errNoMemory}
	}
	header := x.request.Header.Clone()
	attempt := Attempt{
		Endpoint:  g.Endpoint.ID,
		Timeout:   time.Until(x.attemptEnd()),
		LastEvent: lastEvent,
		Priority:  x.priority,
		Engine:    x.service.Engine,
	}
	if x.account != nil {
		attempt.Account = x.account.Name
	}
	if g.Source != nil {
		attempt.ContextSource = g.Source.Address
	}
	x.Codec.Encode(header, attempt)
	x.sent.Add(1)
	sendCtx, settle := x.attemptContext(ctx)
	answer, err := x.Client.Send(sendCtx, crhop.Endpoint{Key: g.Endpoint.Key, Address: g.Endpoint.Address}, &crhop.Request{
		Method:  x.incoming.Method,
		Target:  x.target,
		Host:    x.incoming.Host,
		Header:  header,
		Body:    body,
		Written: x.body.release,
		Once:    !x.route.Repeatable(),
		Echoed: func(status int, h http.Header, first bool) bool {
			return x.Codec.MatchesRequest(status, h, x.request.ID, first)
		},
		Allowed: func() bool { return !x.callerLeft() && g.Valid(time.Now()) && x.keyValid() },
	})
	var failure *crhop.Error
	if errors.As(err, &failure) && !failure.Sent {
		x.sent.Add(-1)
	}
	settle(answer, err)
	if err != nil {
		x.reportCrash(g, err)
		return answer, err
	}
	x.applyEndpointHints(g, answer)
	return answer, nil
}

// attemptEnd returns when an attempt must end.
func (x *exchange) attemptEnd() time.Time {
	if x.route.Kind == crroute.Stream {
		return x.limit
	}
	return x.deadline
}

// attemptContext returns the context of an attempt, and the function to call with its answer
// or error. The context ends with ctx unless the answer is passed on as it arrives.
func (x *exchange) attemptContext(ctx context.Context) (context.Context, func(*crhop.Answer, error)) {
	attemptCtx, cancel := context.WithCancelCause(x.lifetime)
	stop := context.AfterFunc(ctx, func() { cancel(context.Cause(ctx)) })
	return attemptCtx, func(answer *crhop.Answer, err error) {
		switch {
		case err != nil:
			stop()
			cancel(err)
		case x.passedOn(answer):
			stop()
		}
	}
}

// passedOn reports whether an answer is passed on as it arrives, so that no error can take its
// place.
func (x *exchange) passedOn(answer *crhop.Answer) bool {
	switch {
	case x.Codec.NotRun(answer.Status, answer.Header):
		return false
	case x.route.Kind == crroute.Stream && answer.Status < http.StatusMultipleChoices:
		return true
	}
	return answer.Length > maxBufferedBody && answer.Status < 500
}

// applyEndpointHints applies what the header of an answer says about its endpoint: that
// it is about to stop, wants no requests for a time, or limits their rate.
func (x *exchange) applyEndpointHints(g *crgrant.Grant, answer *crhop.Answer) {
	if x.Codec.Leaving(answer.Header) && g.MarkLeaving(time.Now()) {
		x.logLeaving(g)
	}
	if d := x.Codec.Pause(answer.Status, answer.Header); d > 0 {
		x.logPaused(g, d, g.Pause(time.Now(), d))
	}
	if perSecond, ok := x.Codec.Limit(answer.Status, answer.Header); ok && g.RecordLimit(time.Now(), perSecond) {
		x.logLimit(g, perSecond)
	}
	if x.Codec.Gauge == nil || answer.Status == http.StatusMisdirectedRequest {
		// A 421 may come from another server at the address.
		return
	}
	if statement, ok := x.Codec.Gauge(answer.Header); ok {
		g.RecordGauge(time.Now(), statement)
		if g == x.trace.grant {
			x.trace.stated = &statement
		}
	}
}

// endGrant reports the outcome to the grant, and logs if that ejected the endpoint.
func (x *exchange) endGrant(g *crgrant.Grant, o crhealth.Outcome) {
	if g.End(time.Now(), o) {
		x.logEjected(g, o)
	}
}

// classifyFailure reports a failed attempt to the grant and returns the verdict. If the
// caller has disconnected, the verdict is done and nothing is held against the endpoint.
func (x *exchange) classifyFailure(g *crgrant.Grant, err error) result {
	x.trace.lastErr = err
	if x.callerLeft() {
		g.Drop(time.Now())
		x.trace.recordEnd(0, outcomeCallerLeft, nil)
		return result{verdict: done}
	}
	var failure *crhop.Error
	if !errors.As(err, &failure) {
		failure = &crhop.Error{Sent: true, Cause: err}
	}
	switch {
	case failure.Unreachable:
		x.endGrant(g, crhealth.Unreachable)
	case !failure.Sent, errors.Is(err, errLeaving):
		g.Drop(time.Now())
	default:
		x.endGrant(g, crhealth.Broken)
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

// abort closes the caller's connection, so that an incomplete answer can't look
// complete. It panics with http.ErrAbortHandler and doesn't return.
func (x *exchange) abort(reason string, err error) {
	x.trace.recordEnd(x.trace.status, reason, err)
	panic(http.ErrAbortHandler)
}
