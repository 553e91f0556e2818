// Package crforward serves HTTP requests of callers by forwarding them to
// endpoints. It decides by crgrant and crroute, sends by crhop, and leaves the
// names of headers to a Codec.
//
// A request ends in one of four ways: with an endpoint's answer; with 503, when
// no endpoint has run it and it may come back; with 502 or 504, when one may
// have run it; or with a closed connection, when an answer that had begun can't
// be completed.
package crforward

import (
	"context"
	"errors"
	"io"
	"net/http"
	"net/netip"
	"strconv"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"crocusrack/core/crcontext"
	"crocusrack/core/crgrant"
	"crocusrack/core/crroute"
	"crocusrack/core/crswitch"
	"crocusrack/io/crhop"
)

const (
	// defaultTimeout ends requests that neither caller nor route bound.
	defaultTimeout = time.Minute
	// timeoutMargin is how much before its timeout a request is given up, so
	// that its caller has the answer in time.
	timeoutMargin = 40 * time.Millisecond
	// firstRetry is after what time a request may come back to an instance
	// that has no routing yet, or none that is fresh enough.
	firstRetry = 400 * time.Millisecond
	// leavingRetry is after what time a request may come back that this instance
	// can't finish before it ends: another one takes it at once.
	leavingRetry = 20 * time.Millisecond
	// bodyTimeout bounds the wait for a request's body.
	bodyTimeout = 10 * time.Second
	// writeTimeout bounds the wait for a caller that doesn't read.
	writeTimeout = 10 * time.Second
	// staleRoutes is the age of the routing beyond which a missing route or key
	// isn't taken for certain: it may have been added since.
	staleRoutes = 4 * time.Second
)

// Request is a request of a caller, decoded.
type Request struct {
	// ID names the caller's attempt.
	ID     string
	Header http.Header
	// Deadline is how long the caller waits; zero when it doesn't say.
	Deadline time.Duration
	// Key is the caller's key; empty when there is none.
	Key string
	// LastEvent is the event after which the caller wants a stream to go on.
	LastEvent string
	// Model and Parts are the prompt of a model request.
	Model string
	Parts []crcontext.Part
}

// Attempt is what an endpoint is told beside the caller's own header.
type Attempt struct {
	// Endpoint is the id of the endpoint that is meant.
	Endpoint string
	// Left is how long an answer is awaited.
	Left time.Duration
	// Account is the client account; empty when the route needs no key.
	Account string
	// LastEvent is the event after which a stream is to go on; empty from the
	// start.
	LastEvent string
	// Source is an endpoint that holds context which this one lacks; invalid
	// when there is none.
	Source netip.AddrPort
	// Priority is the rank of the request; 0 is the highest.
	Priority int
	// Engine is true for model engines.
	Engine bool
}

// Codec translates headers. All fields are set before first use.
type Codec struct {
	// Decode reads a caller's request; an error says what is wrong with it.
	Decode func(*http.Request) (Request, error)
	// Encode adds an attempt to the header that goes to an endpoint.
	Encode func(http.Header, Attempt)
	// Echoed reports whether an answer is one to the request with the id. The first
	// answer on a connection can't be a late copy of an earlier one.
	Echoed func(status int, h http.Header, id string, first bool) bool
	// NotRun reports whether an answer says that the endpoint has not run the
	// request.
	NotRun func(status int, h http.Header) bool
	// Leaving reports whether an answer says that the endpoint leaves.
	Leaving func(h http.Header) bool
	// Pause returns the time for which an endpoint that turned a request away
	// wants no more of them; zero when it doesn't say.
	Pause func(status int, h http.Header) time.Duration
}

// Forwarder is the handler for callers. Set the exported fields before first
// use.
type Forwarder struct {
	State *crgrant.State
	Hop   *crhop.Client
	Codec Codec
	Log   *zap.Logger
	// Metrics counts what happens.
	Metrics *Metrics
	// MaxKeyAge is the age of the routing beyond which no key is believed: the
	// key may have been taken away.
	MaxKeyAge time.Duration
	// Closing reports whether connections are to be closed after their answer.
	Closing func() bool
	// StopAt returns when the process ends, once it takes only requests that end
	// before that; the zero time until then. It may be nil.
	StopAt func() time.Time
	// Memory bounds what is kept of answers.
	Memory Memory
	// EventBytes is the largest event of a stream; crstream.DefaultLimit when zero.
	EventBytes int
	// EventDelay is the time within which an event of a stream is to reach its caller;
	// no two events share a write when it is zero.
	EventDelay time.Duration
	// Disabled are the mechanisms that are switched off.
	Disabled crswitch.Set
}

// exchange is one request on its way.
type exchange struct {
	*Forwarder
	request  Request
	incoming *http.Request
	writer   http.ResponseWriter
	body     []byte
	start    time.Time
	deadline time.Time
	route    *crroute.Route
	service  crroute.Service
	account  *crroute.Account
	priority int
	links    []crcontext.Link
	table    *crroute.Table
	age      time.Duration
	aged     bool
	// sent is how many endpoints may have got the request.
	sent int
	// reserved is true when a repeat was taken from the budget ahead.
	reserved atomic.Bool
	// held is the memory that the request has taken beside its first step.
	held int64

	trace trace
}

// ServeHTTP serves one request.
func (f *Forwarder) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	f.Metrics.InFlight.Add(1)
	defer f.Metrics.InFlight.Add(-1)
	x := &exchange{Forwarder: f, incoming: r, writer: w, start: time.Now()}
	// A request with both a length and chunks may have been read to another end
	// by what stands before this server. Go's server hides the length of such a
	// one, so nothing after any request in chunks is taken for a request.
	if f.Closing() || len(r.TransferEncoding) > 0 {
		w.Header().Set("Connection", "close")
	}
	defer x.finish()
	defer x.release()
	if x.accept() {
		x.run()
	}
}

// accept checks a request and reads its body. It answers by itself when the
// request can't go on.
func (x *exchange) accept() bool {
	var err error
	if x.request, err = x.Codec.Decode(x.incoming); err != nil {
		x.fail(http.StatusBadRequest, "bad-request", err)
		return false
	}
	x.age, x.aged = x.State.Evidence.Age(x.State.Elapsed())
	if x.table = x.State.Table(); x.table == nil {
		x.refuse("no-routing", firstRetry)
		return false
	}
	if !x.findRoute() || !x.authenticate() {
		return false
	}
	x.setDeadline()
	if x.outlastsStop() {
		x.writer.Header().Set("Connection", "close")
		x.refuse("leaving", leavingRetry)
		return false
	}
	return x.readBody()
}

// outlastsStop reports whether the request may still be running when the process
// ends, which would cut it off.
func (x *exchange) outlastsStop() bool {
	if x.StopAt == nil {
		return false
	}
	stop := x.StopAt()
	return !stop.IsZero() && x.deadline.After(stop)
}

func (x *exchange) findRoute() bool {
	x.route = x.table.Route(x.incoming.Host, x.incoming.URL.Path)
	if x.route == nil {
		x.deny(http.StatusNotFound, "no-route")
		return false
	}
	name := x.route.Service(x.request.ID)
	if name == "" {
		x.refuse("no-service", firstRetry)
		return false
	}
	x.service = x.table.Service(name)
	x.service.Name = name
	x.priority = x.route.Priority
	if x.service.Engine {
		x.links = crcontext.Chain(x.request.Model, x.request.Parts)
	}
	return true
}

// deny answers that the routing doesn't allow a request, if it is fresh enough
// to say so.
func (x *exchange) deny(status int, reason string) {
	if !x.aged || x.age > staleRoutes {
		x.refuse("stale-"+reason, firstRetry)
		return
	}
	x.fail(status, reason, nil)
}

// authenticate finds the client account. A key is believed only while the
// routing is fresh: it may have been taken away since.
func (x *exchange) authenticate() bool {
	if x.route.Anonymous || !x.table.HasAccounts() {
		return true
	}
	x.account = x.table.Account(x.request.Key)
	if x.account == nil {
		x.deny(http.StatusUnauthorized, "unknown-key")
		return false
	}
	if !x.keysFresh() {
		x.refuse("stale-keys", firstRetry)
		return false
	}
	if x.account.HasPriority {
		x.priority = x.account.Priority
	}
	return true
}

// keysFresh reports whether the routing is fresh enough to believe a key.
func (x *exchange) keysFresh() bool {
	if x.account == nil {
		return true
	}
	age, ok := x.State.Evidence.Age(x.State.Elapsed())
	return ok && age < x.MaxKeyAge
}

// keyHolds reports whether the key is still in force, by the newest routing.
func (x *exchange) keyHolds() bool {
	if x.account == nil {
		return true
	}
	table := x.State.Table()
	return x.keysFresh() && table.Account(x.request.Key) != nil
}

func (x *exchange) setDeadline() {
	limit := defaultTimeout
	if x.request.Deadline > 0 {
		limit = min(limit, x.request.Deadline)
	}
	if x.route.Timeout > 0 {
		limit = min(limit, x.route.Timeout)
	}
	x.deadline = x.start.Add(limit - min(timeoutMargin, limit/10))
}

func (x *exchange) readBody() bool {
	limit := x.table.Limits.BodyBytes
	if limit > 0 && x.incoming.ContentLength > limit {
		x.writer.Header().Set("Connection", "close")
		x.fail(http.StatusRequestEntityTooLarge, "body-too-large", nil)
		return false
	}
	reader := io.Reader(x.incoming.Body)
	if limit > 0 {
		reader = http.MaxBytesReader(x.writer, x.incoming.Body, limit)
	}
	// A connection without deadlines is one of a test.
	_ = http.NewResponseController(x.writer).SetReadDeadline(time.Now().Add(bodyTimeout))
	var err error
	x.body, err = io.ReadAll(reader)
	_ = http.NewResponseController(x.writer).SetReadDeadline(time.Time{})
	var tooLarge *http.MaxBytesError
	switch {
	case errors.As(err, &tooLarge):
		x.fail(http.StatusRequestEntityTooLarge, "body-too-large", err)
		return false
	case err != nil:
		x.writer.Header().Set("Connection", "close")
		x.fail(http.StatusBadRequest, "body-incomplete", err)
		return false
	}
	return true
}

// context returns the context of the request's work: it ends with the caller
// and at the deadline.
func (x *exchange) context() (context.Context, context.CancelFunc) {
	return context.WithDeadline(x.incoming.Context(), x.deadline)
}

// refuse answers that the request has not run and when it may come back.
func (x *exchange) refuse(reason string, retryAfter time.Duration) {
	x.trace.comeBack = max(retryAfter, time.Millisecond)
	seconds := strconv.FormatFloat(x.trace.comeBack.Seconds(), 'f', 3, 64)
	x.writer.Header().Set("Retry-After", seconds)
	x.fail(http.StatusServiceUnavailable, reason, nil)
}

// fail answers with a failure of this instance.
func (x *exchange) fail(status int, reason string, err error) {
	x.trace.end(status, reason, err)
	h := x.writer.Header()
	h.Set("Content-Type", "text/plain; charset=utf-8")
	x.writer.WriteHeader(status)
	_, err = io.WriteString(x.writer, reason+"\n")
	x.trace.wrote(err)
}
