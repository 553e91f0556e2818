package crretry

import (
	"math/rand/v2"
	"time"

	"crocusrack/schema/crcaller"
)

// Policy decides what happens after a failed attempt. Set the exported fields before first
// use. A Policy is not safe for concurrent use: the caller holds a lock. Each instance has
// one Policy per service.
type Policy struct {
	Budget
	// Base and Cap bound the backoff before a retry. It is random between zero and Base,
	// doubled with each attempt (full jitter), and at most Cap.
	Base, Cap time.Duration
	// MaxAttempts bounds the attempts of one request, including the first. Zero means that
	// only the budget and the deadline bound them.
	MaxAttempts int
	// Rand is the source of jitter.
	Rand *rand.Rand
}

// Attempt describes a failed attempt of a request.
type Attempt struct {
	// Number is the number of the attempt within the request, starting at 1.
	Number int
	Kind   crcaller.OutcomeKind
	Reason crcaller.Reason
	// Repeatable means that running the request twice does no harm.
	Repeatable bool
	// Deadline is when the caller stops waiting. Zero means no deadline.
	Deadline time.Time
	// RetryAfter is the delay requested by the side that refused the attempt. Zero means
	// that it requested none.
	RetryAfter time.Duration
}

// Decision is the decision after a failed attempt: a retry, or the outcome to return at
// once.
type Decision struct {
	// Retry means that the request is to be retried.
	Retry bool
	// After is the delay before the retry.
	After time.Duration
	// Elsewhere means that the retry must use another endpoint or instance.
	Elsewhere bool
	// Kind and Reason are the outcome if Retry is false.
	Kind   crcaller.OutcomeKind
	Reason crcaller.Reason
	// RetryAfter is the delay after which the caller may send the request again. It is set
	// only if a new request does no harm and may succeed.
	RetryAfter time.Duration
}

// minRetryAfter is the minimum RetryAfter returned to a caller.
const minRetryAfter = 100 * time.Millisecond

// Decide decides what happens after a failed attempt. It retries only requests that were
// not run or that are repeatable, within the budget and the deadline. If it gives up, the
// outcome is to be returned at once, not held back until the deadline is near.
func (p *Policy) Decide(now time.Time, a Attempt) Decision {
	if !safeToRetry(a) || retryModeOf(a.Reason) == callerOnly || retryModeOf(a.Reason) == noRetry {
		return p.giveUp(now, a, a.Reason)
	}
	if p.MaxAttempts > 0 && a.Number >= p.MaxAttempts {
		return p.giveUp(now, a, a.Reason)
	}
	elsewhere := retryModeOf(a.Reason) == otherDestination
	wait := p.backoff(a.Number)
	if !elsewhere {
		wait = max(wait, a.RetryAfter)
	}
	// The caller isn't kept waiting for longer than Cap; it gets a RetryAfter instead.
	if wait > p.Cap || !a.Deadline.IsZero() && !now.Add(wait).Before(a.Deadline) {
		return p.giveUp(now, a, a.Reason)
	}
	if !p.Spend(now) {
		return p.giveUp(now, a, crcaller.Reason_REASON_RETRY_BUDGET)
	}
	return Decision{Retry: true, After: wait, Elsewhere: elsewhere}
}

// safeToRetry reports whether another attempt does no harm.
func safeToRetry(a Attempt) bool {
	switch a.Kind {
	case crcaller.OutcomeKind_OUTCOME_KIND_NOT_RUN:
		return true
	case crcaller.OutcomeKind_OUTCOME_KIND_UNKNOWN:
		return a.Repeatable
	}
	return false
}

// retryMode tells who may retry after a failure, and where.
type retryMode uint8

const (
	// afterDelay means a retry after a delay.
	afterDelay retryMode = iota
	// otherDestination means a retry at another endpoint or instance.
	otherDestination
	// callerOnly means that only the caller may retry, with a new request after a delay.
	callerOnly
	// noRetry means that the same request would get the same answer again.
	noRetry
)

// retryModeOf returns the retry mode for the reason of a failure.
func retryModeOf(r crcaller.Reason) retryMode {
	switch r {
	case crcaller.Reason_REASON_OVER_BOUND,
		crcaller.Reason_REASON_DRAINING,
		crcaller.Reason_REASON_NOT_READY,
		crcaller.Reason_REASON_CONNECTION_LOST,
		crcaller.Reason_REASON_ENDPOINT_FAILED,
		crcaller.Reason_REASON_INCOMPLETE:
		return otherDestination
	case crcaller.Reason_REASON_QUOTA,
		crcaller.Reason_REASON_SHED,
		crcaller.Reason_REASON_DEADLINE,
		crcaller.Reason_REASON_STORE_UNAVAILABLE,
		crcaller.Reason_REASON_RETRY_BUDGET:
		return callerOnly
	case crcaller.Reason_REASON_UNKNOWN_SERVICE,
		crcaller.Reason_REASON_UNKNOWN_CLIENT_ACCOUNT,
		crcaller.Reason_REASON_INVALID,
		crcaller.Reason_REASON_TOKEN_REQUIRED,
		crcaller.Reason_REASON_TOKEN_VOID,
		crcaller.Reason_REASON_TOKEN_MISMATCH:
		return noRetry
	}
	return afterDelay
}

// backoff returns a random delay before the attempt that follows the given one.
func (p *Policy) backoff(attempt int) time.Duration {
	limit := p.Base
	for i := 1; i < attempt && limit < p.Cap; i++ {
		limit *= 2
	}
	limit = min(limit, p.Cap)
	if limit <= 0 {
		return 0
	}
	return time.Duration(p.Rand.Int64N(int64(limit)))
}

// giveUp returns the outcome of the attempt as the outcome of the request. reason replaces
// the attempt's reason only if the request was not run: if it may have run, the attempt's
// reason tells what happened.
func (p *Policy) giveUp(now time.Time, a Attempt, reason crcaller.Reason) Decision {
	v := Decision{Kind: a.Kind, Reason: a.Reason}
	if a.Kind == crcaller.OutcomeKind_OUTCOME_KIND_NOT_RUN {
		v.Reason = reason
	}
	if safeToRetry(a) && retryModeOf(a.Reason) != noRetry {
		v.RetryAfter = p.retryAfter(now, a)
	}
	return v
}

// retryAfter returns the delay after which the caller may retry. Its random part keeps
// callers that were refused together from retrying together.
func (p *Policy) retryAfter(now time.Time, a Attempt) time.Duration {
	wait := max(a.RetryAfter, p.RetryAfter(now), minRetryAfter)
	return wait + p.backoff(a.Number)
}
