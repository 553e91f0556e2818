package crexecution

import "crocusrack/schema/crcaller"

// RunEndedOutcome returns the outcome of a token whose run has ended. The token
// may have started before the run ended, and can't start again.
func RunEndedOutcome() Outcome {
	return Outcome{
		Kind:   crcaller.OutcomeKind_OUTCOME_KIND_UNKNOWN,
		Reason: crcaller.Reason_REASON_TOKEN_VOID,
		Detail: "The process that issued the execution token has ended. The request may have run; it will not run again.",
	}
}

// expiredOutcome returns the outcome of an expired token that isn't in the
// registry. Until OutcomeLifetime after the expiry, the registry would still hold
// the token if it had started, so that it is known not to have run.
func (g *Registry) expiredOutcome(k Token) Outcome {
	o := Outcome{
		Kind:   crcaller.OutcomeKind_OUTCOME_KIND_UNKNOWN,
		Reason: crcaller.Reason_REASON_TOKEN_VOID,
		Detail: "The execution token expired long ago. The request may have run; it will not run again.",
	}
	if g.elapsed < k.Expiry+g.OutcomeLifetime {
		o.Kind = crcaller.OutcomeKind_OUTCOME_KIND_NOT_RUN
		o.Detail = "The execution token expired before the request came. Ask for a new one."
	}
	return o
}

// invalidTokenOutcome returns the outcome of a text that is not a valid token.
func invalidTokenOutcome(err error) Outcome {
	return Outcome{
		Kind:   crcaller.OutcomeKind_OUTCOME_KIND_NOT_RUN,
		Reason: crcaller.Reason_REASON_TOKEN_MISMATCH,
		Detail: "The request id is no genuine execution token: " + err.Error() + ".",
	}
}

// wrongOwnerOutcome returns the outcome of a valid token that was sent with
// another service or client account. The token may still run with its own.
func wrongOwnerOutcome() Outcome {
	return Outcome{
		Kind:   crcaller.OutcomeKind_OUTCOME_KIND_UNKNOWN,
		Reason: crcaller.Reason_REASON_TOKEN_MISMATCH,
		Detail: "The execution token belongs to another service or client account. Nothing was run for this request; the outcome of the token is not told.",
	}
}
