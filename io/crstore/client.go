// Package crstore is the client of the platform's object API and list of
// instances. It keeps to a rate budget, retries with jitter, finds out by
// reading back whether a write whose answer was lost took effect, and keeps a
// watch going over failures.
package crstore

import (
	"context"
	"errors"
	"net/http"
	"sync"
	"time"

	"crocusrack/core/crbackoff"
	"crocusrack/io/crtransport"
	"crocusrack/schema/crplatform/crplatformconnect"

	"connectrpc.com/connect"
	"golang.org/x/time/rate"
)

const (
	// DefaultTimeout bounds one call of a Client that sets no Timeout.
	DefaultTimeout = 2 * time.Second
	// DefaultTries is how often a Client that sets no Tries sends a call.
	DefaultTries = 4
	// DefaultReadsPerSecond and DefaultWritesPerSecond are the budget of a
	// Client that sets none.
	DefaultReadsPerSecond  = 20
	DefaultWritesPerSecond = 5

	firstBackoff = 100 * time.Millisecond
	// longestBackoff bounds the waits between retries and reconnections.
	longestBackoff = 10 * time.Second
)

// Client calls the platform. Its exported fields are set before the first use.
// It is safe for concurrent use.
type Client struct {
	// URL is the base URL of the platform's API.
	URL string
	// HTTP makes the calls. It should notice dead connections by itself, as one
	// of crtransport does, since a watch may be silent for long. Its transport has to heed
	// the context's httptrace, as http.Transport does, which tells whether a
	// call was sent.
	HTTP *http.Client
	// Timeout bounds each call; 0 is DefaultTimeout.
	Timeout time.Duration
	// Tries is how often a call is sent at most; 0 is DefaultTries.
	Tries int
	// ReadsPerSecond and WritesPerSecond are the budget of this process; 0 is
	// the default. Calls wait for it.
	ReadsPerSecond, WritesPerSecond int
	// Jitter replaces the random waits between retries.
	Jitter func(bound time.Duration) time.Duration
	// Called is told of each call that was sent or tried, and whether it failed
	// in a way that a retry may mend; may be nil. A watch is told of when it
	// opens; that it breaks later is no call.
	Called func(kind Kind, failed bool)

	once      sync.Once
	objects   crplatformconnect.ObjectServiceClient
	instances crplatformconnect.InstanceServiceClient
	reads     *rate.Limiter
	writes    *rate.Limiter
	backoff   crbackoff.Backoff
}

// Kind is the kind of a call.
type Kind string

// The kinds of calls.
const (
	KindRead  Kind = "read"
	KindWrite Kind = "write"
	KindWatch Kind = "watch"
)

func (c *Client) called(kind Kind, err error) {
	if c.Called != nil {
		c.Called(kind, err != nil && retryable(err))
	}
}

func (c *Client) setup() {
	c.once.Do(func() {
		if c.Timeout == 0 {
			c.Timeout = DefaultTimeout
		}
		if c.Tries == 0 {
			c.Tries = DefaultTries
		}
		c.objects = crplatformconnect.NewObjectServiceClient(c.HTTP, c.URL)
		c.instances = crplatformconnect.NewInstanceServiceClient(c.HTTP, c.URL)
		c.reads = limiter(c.ReadsPerSecond, DefaultReadsPerSecond)
		c.writes = limiter(c.WritesPerSecond, DefaultWritesPerSecond)
		c.backoff = crbackoff.Backoff{Base: firstBackoff, Max: longestBackoff, Jitter: c.Jitter}
	})
}

func limiter(perSecond, byDefault int) *rate.Limiter {
	if perSecond == 0 {
		perSecond = byDefault
	}
	return rate.NewLimiter(rate.Limit(perSecond), perSecond)
}

// lost reports whether a call that failed with err may have taken effect: it
// was sent, and the store didn't answer that it had done nothing.
func lost(err error) bool {
	var unsent *unsentError
	if errors.As(err, &unsent) {
		return false
	}
	if !connect.IsWireError(err) {
		return true
	}
	switch connect.CodeOf(err) {
	case connect.CodeCanceled, connect.CodeDeadlineExceeded, connect.CodeUnknown, connect.CodeInternal:
		return true
	default:
		return false
	}
}

// retryable reports whether a call that failed with err may fare better later.
func retryable(err error) bool {
	switch connect.CodeOf(err) {
	case connect.CodeNotFound, connect.CodeAlreadyExists, connect.CodeAborted,
		connect.CodeInvalidArgument, connect.CodeOutOfRange, connect.CodeUnimplemented,
		connect.CodePermissionDenied, connect.CodeUnauthenticated:
		return false
	default:
		return true
	}
}

// call makes one call within the budget and the timeout.
func call[Q, A any](ctx context.Context, c *Client, budget *rate.Limiter, method func(context.Context, *connect.Request[Q]) (*connect.Response[A], error), request *Q) (*A, error) {
	if err := budget.Wait(ctx); err != nil {
		return nil, &unsentError{err}
	}
	ctx, cancel := context.WithTimeout(ctx, c.Timeout)
	defer cancel()
	var sent crtransport.Sent
	response, err := method(sent.Trace(ctx), connect.NewRequest(request))
	c.called(c.kind(budget), err)
	switch {
	case err == nil:
		return response.Msg, nil
	case sent.Wrote():
		return nil, err
	default:
		return nil, &unsentError{err}
	}
}

// kind returns the kind of the calls that a budget bounds.
func (c *Client) kind(budget *rate.Limiter) Kind {
	if budget == c.writes {
		return KindWrite
	}
	return KindRead
}

// unsentError tells that a call wasn't sent: there was no connection, or ctx
// ended before the budget allowed it.
type unsentError struct{ error }

// Unwrap returns the cause.
func (e *unsentError) Unwrap() error { return e.error }
