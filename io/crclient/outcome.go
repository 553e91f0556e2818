package crclient

import (
	"context"
	"errors"
	"fmt"
	"time"

	"crocusrack/schema/crcaller"

	"connectrpc.com/connect"
)

var (
	errNoSeeds    = errors.New("the client has no seeds")
	errSilent     = errors.New("the instance fell silent")
	errCrossed    = errors.New("the answer belongs to another request or attempt")
	errNoEnd      = errors.New("the answer has no end")
	errMayHaveRun = errors.New("the caller cancelled the request, which may have been run")
	errCancelled  = errors.New("the caller cancelled the request before it was run")
	errNoToken    = errors.New("the fleet gave no execution token")
)

// Outcome is the one end of a request.
type Outcome struct {
	Kind   crcaller.OutcomeKind
	Reason crcaller.Reason
	// Detail is a short sentence for people.
	Detail string
	// RetryAfter is when to come back, if the fleet said so.
	RetryAfter time.Duration
}

// Answered reports whether the whole answer arrived.
func (o Outcome) Answered() bool { return o.Kind == crcaller.OutcomeKind_OUTCOME_KIND_ANSWERED }

// NotRun reports whether no endpoint has run the request, so that repeating it
// is safe.
func (o Outcome) NotRun() bool { return o.Kind == crcaller.OutcomeKind_OUTCOME_KIND_NOT_RUN }

// Unknown reports whether an endpoint may have run the request.
func (o Outcome) Unknown() bool { return o.Kind == crcaller.OutcomeKind_OUTCOME_KIND_UNKNOWN }

// Cancelled reports whether the caller cancelled the request.
func (o Outcome) Cancelled() bool { return o.Kind == crcaller.OutcomeKind_OUTCOME_KIND_CANCELLED }

// String returns the outcome in words.
func (o Outcome) String() string {
	return fmt.Sprintf("%v, %v: %s", o.Kind, o.Reason, o.Detail)
}

func outcomeOf(m *crcaller.Outcome) Outcome {
	return Outcome{
		Kind:       m.GetKind(),
		Reason:     m.GetReason(),
		Detail:     m.GetDetail(),
		RetryAfter: m.GetRetryAfter().AsDuration(),
	}
}

func notRun(reason crcaller.Reason, err error) Outcome {
	return Outcome{Kind: crcaller.OutcomeKind_OUTCOME_KIND_NOT_RUN, Reason: reason, Detail: err.Error()}
}

func unknown(reason crcaller.Reason, err error) Outcome {
	return Outcome{Kind: crcaller.OutcomeKind_OUTCOME_KIND_UNKNOWN, Reason: reason, Detail: err.Error()}
}

// failure is the outcome of a sending that failed below the protocol. Sent tells
// whether any of it may have reached the instance.
func failure(err error, sent bool) Outcome {
	switch {
	case !sent:
		return notRun(crcaller.Reason_REASON_CONNECTION_LOST, err)
	case refusedByServer(err):
		return notRun(crcaller.Reason_REASON_INVALID, err)
	default:
		return unknown(crcaller.Reason_REASON_CONNECTION_LOST, err)
	}
}

// refusedByServer reports whether an instance answered that it doesn't take
// such a call at all.
func refusedByServer(err error) bool {
	if !connect.IsWireError(err) {
		return false
	}
	switch connect.CodeOf(err) {
	case connect.CodeInvalidArgument, connect.CodeUnimplemented,
		connect.CodePermissionDenied, connect.CodeUnauthenticated:
		return true
	default:
		return false
	}
}

// contextEnd is the outcome of a request whose context has ended. Lost tells
// that an endpoint may have run it.
func contextEnd(ctx context.Context, lost bool) Outcome {
	cancelled := errors.Is(ctx.Err(), context.Canceled)
	switch {
	case cancelled && lost:
		return Outcome{Kind: crcaller.OutcomeKind_OUTCOME_KIND_CANCELLED, Detail: errMayHaveRun.Error()}
	case cancelled:
		return Outcome{Kind: crcaller.OutcomeKind_OUTCOME_KIND_CANCELLED, Detail: errCancelled.Error()}
	case lost:
		return unknown(crcaller.Reason_REASON_DEADLINE, ctx.Err())
	default:
		return notRun(crcaller.Reason_REASON_DEADLINE, ctx.Err())
	}
}

// settles reports whether sending the request again can't change the outcome.
func (o Outcome) settles() bool {
	if o.Answered() || o.Cancelled() {
		return true
	}
	switch o.Reason {
	case crcaller.Reason_REASON_UNKNOWN_SERVICE,
		crcaller.Reason_REASON_UNKNOWN_CLIENT_ACCOUNT,
		crcaller.Reason_REASON_INVALID,
		crcaller.Reason_REASON_DEADLINE,
		crcaller.Reason_REASON_TOKEN_REQUIRED,
		crcaller.Reason_REASON_TOKEN_VOID,
		crcaller.Reason_REASON_TOKEN_MISMATCH:
		return true
	default:
		return false
	}
}

// movesOn reports whether the outcome is due to the instance, so that another
// may do better at once.
func (o Outcome) movesOn() bool {
	switch o.Reason {
	case crcaller.Reason_REASON_CONNECTION_LOST,
		crcaller.Reason_REASON_DRAINING,
		crcaller.Reason_REASON_NOT_READY,
		crcaller.Reason_REASON_INCOMPLETE:
		return true
	default:
		return false
	}
}
