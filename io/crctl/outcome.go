package crctl

import (
	"fmt"

	"google.golang.org/protobuf/types/known/durationpb"

	"crocusrack/io/crclient"
	"crocusrack/io/crmetric"
	pb "crocusrack/schema/crcaller"
)

// outcomeError turns the outcome of a request into a failure, or nil.
func outcomeError(o crclient.Outcome) error {
	text := fmt.Sprintf("%s: %s", outcomeText(o), o.Detail)
	if o.RetryAfter > 0 {
		text += fmt.Sprintf(" (come back in %s)", o.RetryAfter)
	}
	switch {
	case o.Answered():
		return nil
	case o.NotRun() && o.Reason == pb.Reason_REASON_CONNECTION_LOST:
		return failf(Unreachable, "%s", text)
	case o.NotRun():
		return failf(Refused, "%s", text)
	case o.Cancelled():
		return failf(Cancelled, "%s", text)
	}
	return failf(Unknown, "%s", text)
}

// outcomeText returns the outcome and its reason, such as not-run (over-bound).
func outcomeText(o crclient.Outcome) string {
	text := crmetric.Outcome(o.Kind)
	if o.Reason == pb.Reason_REASON_UNSPECIFIED {
		return text
	}
	return fmt.Sprintf("%s (%s)", text, crmetric.Reason(o.Reason))
}

func outcomeOf(m *pb.Outcome) crclient.Outcome {
	return crclient.Outcome{
		Kind: m.GetKind(), Reason: m.GetReason(), Detail: m.GetDetail(), RetryAfter: m.GetRetryAfter().AsDuration(),
	}
}

func outcomeMessage(o crclient.Outcome) *pb.Outcome {
	m := &pb.Outcome{Kind: o.Kind, Reason: o.Reason, Detail: o.Detail}
	if o.RetryAfter > 0 {
		m.RetryAfter = durationpb.New(o.RetryAfter)
	}
	return m
}
