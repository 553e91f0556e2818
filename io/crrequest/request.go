// Package crrequest validates callers' requests against fixed limits and the
// limits in the catalogue, and creates the outcomes of requests.
package crrequest

import (
	"fmt"
	"time"

	"google.golang.org/protobuf/types/known/durationpb"
	"google.golang.org/protobuf/types/known/timestamppb"

	"crocusrack/schema/crcaller"
	"crocusrack/schema/crcatalogue"
)

const (
	// MaxNameBytes is the maximum length of the names of services, client
	// accounts, methods and classes, in bytes.
	MaxNameBytes = 128
	// MaxKeyBytes is the maximum length of chat keys and request ids, in bytes.
	MaxKeyBytes = 512
	// DefaultDuration is the longest duration of a request whose service sets no
	// limit.
	DefaultDuration = time.Minute
	// DefaultMaxTokens is the maximum length of an answer, in tokens, if the
	// request sets none.
	DefaultMaxTokens = 256
)

// NotRun returns the outcome of a request that no endpoint has run. The caller may
// retry it after retryAfter; zero means that the outcome names no such time. The
// detail is formatted as by fmt.Sprintf.
func NotRun(r crcaller.Reason, retryAfter time.Duration, format string, args ...any) *crcaller.Outcome {
	o := &crcaller.Outcome{
		Kind:   crcaller.OutcomeKind_OUTCOME_KIND_NOT_RUN,
		Reason: r,
		Detail: fmt.Sprintf(format, args...),
	}
	if retryAfter > 0 {
		o.RetryAfter = durationpb.New(retryAfter)
	}
	return o
}

// Unknown returns the outcome of a request that an endpoint may have run. The
// detail is formatted as by fmt.Sprintf.
func Unknown(r crcaller.Reason, format string, args ...any) *crcaller.Outcome {
	return &crcaller.Outcome{
		Kind:   crcaller.OutcomeKind_OUTCOME_KIND_UNKNOWN,
		Reason: r,
		Detail: fmt.Sprintf(format, args...),
	}
}

// Answered returns the outcome of a request whose answer was delivered in full.
func Answered() *crcaller.Outcome {
	return &crcaller.Outcome{Kind: crcaller.OutcomeKind_OUTCOME_KIND_ANSWERED}
}

// Cancelled returns the outcome of a request that its caller cancelled.
func Cancelled() *crcaller.Outcome {
	return &crcaller.Outcome{Kind: crcaller.OutcomeKind_OUTCOME_KIND_CANCELLED}
}

// CheckChat returns the outcome that refuses a malformed chat request, or nil if
// the request is well-formed.
func CheckChat(r *crcaller.ChatRequest) *crcaller.Outcome {
	if r.RequestId == "" {
		return invalid("request-id is missing")
	}
	if r.ChatKey == "" {
		return invalid("chat-key is missing")
	}
	if r.Prompt == "" {
		return invalid("prompt is missing")
	}
	return checkNames(r.RequestId, r.ChatKey, r.Service, r.ClientAccount, r.Class)
}

// CheckCall returns the outcome that refuses a malformed call request, or nil if
// the request is well-formed.
func CheckCall(r *crcaller.CallRequest) *crcaller.Outcome {
	if r.RequestId == "" {
		return invalid("request-id is missing")
	}
	if len(r.Method) > MaxNameBytes {
		return invalid("method has %d bytes, at most %d are allowed", len(r.Method), MaxNameBytes)
	}
	return checkNames(r.RequestId, r.ChatKey, r.Service, r.ClientAccount, r.Class)
}

// CheckAddress returns the outcome that refuses a malformed address request, or
// nil if the request is well-formed.
func CheckAddress(r *crcaller.AddressRequest) *crcaller.Outcome {
	return checkNames("", r.ChatKey, r.Service, r.ClientAccount, "")
}

// checkNames checks that the service and the client account are set and that no
// field is longer than its limit.
func checkNames(requestID, chatKey, service, account, class string) *crcaller.Outcome {
	if service == "" {
		return invalid("service is missing")
	}
	if account == "" {
		return invalid("client-account is missing")
	}
	for _, f := range []struct {
		name, value string
		limit       int
	}{
		{"request-id", requestID, MaxKeyBytes},
		{"chat-key", chatKey, MaxKeyBytes},
		{"service", service, MaxNameBytes},
		{"client-account", account, MaxNameBytes},
		{"class", class, MaxNameBytes},
	} {
		if len(f.value) > f.limit {
			return invalid("%s has %d bytes, at most %d are allowed", f.name, len(f.value), f.limit)
		}
	}
	return nil
}

// invalid returns the outcome that refuses an invalid request.
func invalid(format string, args ...any) *crcaller.Outcome {
	return NotRun(crcaller.Reason_REASON_INVALID, 0, format, args...)
}

// CheckLimits returns the outcome that refuses a chat request that exceeds the
// limits that the catalogue sets for its service, or nil if it doesn't.
func CheckLimits(r *crcaller.ChatRequest, s *crcatalogue.Service) *crcaller.Outcome {
	limits := s.GetLimits()
	if n := limits.GetMaxPromptBytes(); n > 0 && len(r.Prompt) > int(n) {
		return invalid("prompt has %d bytes, service %s allows %d", len(r.Prompt), s.Name, n)
	}
	if n := limits.GetMaxTokens(); n > 0 && r.MaxTokens > n {
		return invalid("max-tokens is %d, service %s allows %d", r.MaxTokens, s.Name, n)
	}
	return nil
}

// Deadline returns the deadline of a request that arrived at now. It is the earlier
// of the deadline that the caller asked for, if any, and the end of the longest
// duration that the service allows.
func Deadline(now time.Time, requested *timestamppb.Timestamp, s *crcatalogue.Service) time.Time {
	maxDuration := DefaultDuration
	if d := s.GetLimits().GetMaxDuration(); d != nil {
		maxDuration = d.AsDuration()
	}
	latest := now.Add(maxDuration)
	if requested == nil || requested.AsTime().After(latest) {
		return latest
	}
	return requested.AsTime()
}
