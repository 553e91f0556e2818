package crctl

import (
	"errors"
	"fmt"

	"connectrpc.com/connect"

	"crocusrack/io/crtransport"
)

// Status is the exit status of the program.
type Status int

// The exit statuses, as documented in Statuses.
const (
	Done Status = iota
	Refused
	Usage
	Unreachable
	Unknown
	NotEverywhere
	Cancelled
)

// StatusDoc describes one exit status.
type StatusDoc struct {
	Status Status
	Doc    string
}

// Statuses lists the exit statuses in order.
func Statuses() []StatusDoc {
	return []StatusDoc{
		{Done, "done"},
		{Refused, "refused, or in conflict with another change: nothing has changed, the request was not run"},
		{Usage, "wrong command line or faulty file: nothing was sent"},
		{Unreachable, "no instance was reached, or it could not reach the store: nothing has changed"},
		{Unknown, "outcome unknown: the change may be current, the request may have run"},
		{NotEverywhere, "the change is current, but was not seen in force at all instances before the timeout"},
		{Cancelled, "cancelled by the caller"},
	}
}

// failure is an error that ends the program with a status.
type failure struct {
	status Status
	err    error
}

func (f failure) Error() string { return f.err.Error() }

func (f failure) Unwrap() error { return f.err }

func failf(status Status, format string, args ...any) error {
	return failure{status: status, err: fmt.Errorf(format, args...)}
}

// statusOf returns the exit status for the end of a command.
func statusOf(err error) Status {
	var f failure
	switch {
	case err == nil:
		return Done
	case errors.As(err, &f):
		return f.status
	}
	return Refused
}

// readError turns the error of a call without effects into a failure.
func readError(err error) error {
	switch connect.CodeOf(err) {
	case connect.CodeUnavailable, connect.CodeDeadlineExceeded, connect.CodeUnknown:
		return failure{status: Unreachable, err: err}
	case connect.CodeCanceled:
		return failure{status: Cancelled, err: err}
	}
	return failure{status: Refused, err: err}
}

// writeError turns the error of a change into a failure. Only an answer of an
// instance, or that nothing was written, can say that nothing has changed.
func writeError(err error, sent *crtransport.Sent) error {
	if !sent.Wrote() {
		return failure{status: Unreachable, err: err}
	}
	if !connect.IsWireError(err) {
		return failure{status: Unknown, err: err}
	}
	switch connect.CodeOf(err) {
	case connect.CodeUnavailable:
		return failure{status: Unreachable, err: err}
	case connect.CodeUnknown, connect.CodeDeadlineExceeded, connect.CodeCanceled, connect.CodeInternal:
		return failure{status: Unknown, err: err}
	}
	return failure{status: Refused, err: err}
}
