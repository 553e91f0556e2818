// Package crforward is the HTTP handler for callers. It forwards each request to an
// endpoint: crroute finds the route, crgrant chooses the endpoint, and crhop sends the
// request. A Codec translates between the project's headers and Go values.
//
// A request ends in one of four ways: with an endpoint's answer; with 503 if no endpoint
// has run it and the caller may retry; with 502 or 504 if an endpoint may have run it;
// or with a closed connection if an answer that has begun can't be completed.
package crforward

import (
	"context"
	"io"
	"net/http"
	"net/netip"
	"strconv"
	"sync/atomic"
	"time"

	"go.uber.org/zap"
	"golang.org/x/sync/singleflight"

	"crocusrack/core/crcontext"
	"crocusrack/core/crgauge"
	"crocusrack/core/crgrant"
	"crocusrack/core/crledger"
	"crocusrack/core/crmemory"
	"crocusrack/core/crquarantine"
	"crocusrack/core/crroute"
	"crocusrack/core/crswitch"
	"crocusrack/core/crversion"
	"crocusrack/io/crhop"
	iomemory "crocusrack/io/crmemory"
)

const (
	// defaultTimeout applies when neither the caller nor the route sets a timeout. It is
	// also the upper bound of both.
	defaultTimeout = time.Minute
	// timeoutMargin is how long before its timeout a request without an answer is abandoned,
	// so that an error reaches the caller in time. It is at most a tenth of the timeout.
	timeoutMargin = 40 * time.Millisecond
	// defaultRetryAfter is the Retry-After time of a request that is refused because
	// this instance has no routing, or none that is fresh enough, and of refusals for
	// which no better estimate exists.
	defaultRetryAfter = 400 * time.Millisecond
	// leavingRetryAfter is the Retry-After time of a request that this instance can't
	// finish before its process ends. It is short because another instance can take the
	// request at once.
	leavingRetryAfter = 20 * time.Millisecond
	// bodyTimeout bounds reading the body of a caller's request.
	bodyTimeout = 10 * time.Second
	// writeTimeout bounds each write to a caller that doesn't read its stream.
	writeTimeout = 10 * time.Second
	// maxDenyAge is the age of the routing above which a missing route or an unknown key
	// is answered with 503 instead of 404 or 401: the route or key may have been added
	// since.
	maxDenyAge = 4 * time.Second
	// outcomeCallerLeft is the outcome of a request whose caller has disconnected.
	outcomeCallerLeft = "caller-left"
)

// Request holds the fields that Codec.Decode reads from a caller's request.
type Request struct {
	// ID identifies the caller's attempt; an endpoint's answer must repeat it.
	ID     string
	Header http.Header
	// Timeout is how long the caller waits. Zero means that the caller doesn't say.
	Timeout time.Duration
	// Key is the caller's API key. Empty means that the caller sent none.
	Key string
	// LastEvent is the id of the last event that the caller has of a stream; the stream
	// continues after it. Empty means from the start.
	LastEvent string
	// Resumes is the id of the caller's attempt that brought the first event of the stream that
	// continues. Empty means that the caller doesn't say.
	Resumes string
	// Model and Parts describe the prompt of a request to a model engine.
	Model string
	Parts []crcontext.Part
}

// Attempt holds what an endpoint is told about one attempt, in addition to the caller's
// own header.
type Attempt struct {
	// Endpoint is the id of the endpoint that the attempt is sent to.
	Endpoint string
	// Timeout is how long the endpoint may take.
	Timeout time.Duration
	// Account is the name of the client account. Empty means that the route needs no
	// key.
	Account string
	// LastEvent is the id of the event after which the stream continues. Empty means
	// from the start.
	LastEvent string
	// ContextSource is the address of an endpoint that holds context which this endpoint
	// lacks. The zero value means that there is none.
	ContextSource netip.AddrPort
	// Priority is the priority of the request; 0 is the highest.
	Priority int
	// Engine reports whether the service is a model engine.
	Engine bool
}

// Codec translates between headers and Go values. All fields must be set before first
// use.
type Codec struct {
	// Decode reads a caller's request. Its error says what is wrong with the request.
	Decode func(*http.Request) (Request, error)
	// Encode adds the fields of an attempt to the header that is sent to an endpoint.
	Encode func(http.Header, Attempt)
	// MatchesRequest reports whether an answer belongs to the request with the id. The
	// parameter first is true for the first answer on a connection, which can't be a late
	// copy of an earlier one.
	MatchesRequest func(status int, h http.Header, id string, first bool) bool
	// NotRun reports whether an answer says that the endpoint hasn't run the request.
	NotRun func(status int, h http.Header) bool
	// Genuine reports whether a successful answer bears what shows that the endpoint made
	// it. An answer that doesn't is broken, and none of it is passed on.
	Genuine func(h http.Header) bool
	// Leaving reports whether an answer says that the endpoint is about to stop.
	Leaving func(h http.Header) bool
	// Pause returns how long an endpoint that rejected a request wants to get no more
	// requests. Zero means that the answer doesn't say.
	Pause func(status int, h http.Header) time.Duration
	// Limit returns the number of requests per second that the endpoint takes from all
	// instances together, or crlimit.None if the answer names no limit. It returns false if
	// the answer isn't evidence of either.
	Limit func(status int, h http.Header) (float64, bool)
	// Gauge returns what the endpoint states of its load, or false if it states nothing
	// plausible. It may be nil.
	Gauge func(h http.Header) (crgauge.Statement, bool)
}

// Forwarder is the HTTP handler for callers. The exported fields must be set before
// first use.
type Forwarder struct {
	State  *crgrant.State
	Client *crhop.Client
	Codec  Codec
	Log    *zap.Logger
	// Metrics counts requests, connections and endpoint failures.
	Metrics *Metrics
	// MaxKeyAge is the age of the routing at which keys are no longer accepted, because
	// a key may have been revoked since.
	MaxKeyAge time.Duration
	// Closing reports whether each connection is to be closed after its answer.
	Closing func() bool
	// StopAt returns the time at which the process ends. Requests that may run longer
	// are refused. The zero time means that no stop is planned. StopAt may be nil.
	StopAt func() time.Time
	// Memory bounds the bytes of answers that are buffered.
	Memory Memory
	// Budget bounds the bytes that requests hold: themselves, their bodies and their answers.
	// A nil Budget has no bound.
	Budget *crmemory.Budget
	// Segments provides the memory of long bodies.
	Segments iomemory.Pool
	// MaxEventBytes is the size limit of an event of a stream. Zero means
	// crstream.DefaultLimit.
	MaxEventBytes int
	// MaxEventDelay is the time within which an event of a stream must reach its caller.
	// Zero means that each event is written at once, without coalescing.
	MaxEventDelay time.Duration
	// Disabled holds the mechanisms that are switched off.
	Disabled crswitch.Set
	// FindStream asks other instances for the version that began the stream that the caller's
	// attempt with the given id got. It returns zero if none of them knows. It may be nil.
	FindStream func(ctx context.Context, service, id string) crversion.Version
	// ReadVersions reads from the store which versions services have, for an instance whose list of
	// endpoints is too old to tell. It may be nil.
	ReadVersions func(ctx context.Context) error

	// crashProbes joins the probes of an endpoint that may have crashed.
	crashProbes singleflight.Group
	waits       waits
	// memoryLog and refusalLog bound the log lines about requests that were ended, and
	// refused, for lack of memory.
	memoryLog, refusalLog sampler
}

// exchange is the state of one caller's request while it is served.
type exchange struct {
	*Forwarder
	request  Request
	incoming *http.Request
	writer   http.ResponseWriter
	body     body
	start    time.Time
	// deadline is when a request without an answer is abandoned, and limit the caller's
	// deadline, at which a stream ends.
	deadline, limit time.Time
	// lifetime ends at the limit or when the caller disconnects.
	lifetime context.Context
	// path and target are those of Target.
	path, target string

	route    *crroute.Route
	service  crroute.Service
	account  *crroute.Account
	priority int
	links    []crcontext.Link
	// parts are the parts of the prompt that other prompts may have, too.
	parts    []crquarantine.Part
	table    *crroute.Table
	age      time.Duration
	ageKnown bool
	// sent counts the attempts that are being made or may have reached an endpoint.
	sent atomic.Int64
	// tried holds the endpoints of the attempts.
	tried []crledger.Key
	// mediaType is the Content-Type of the stream that is passed on.
	mediaType string
	// failure is the last answer with a status of 500 or above.
	failure *bufferedAnswer
	// events is the number of events of the stream that were read.
	events atomic.Int64
	// version is the crversion.Version that began the stream, or zero before the first event.
	// unrecorded is true before the first event of a stream that its caller takes up and that goes on
	// at the only version.
	version    atomic.Uint32
	unrecorded atomic.Bool
	// answered is true once an answer has settled.
	answered atomic.Bool
	// left is true once the caller's connection was found to be closed.
	left atomic.Bool
	// reserved is true while a repeat has been taken from the retry budget but not used.
	reserved atomic.Bool
	memoryAccount
	trace trace
}

// ServeHTTP serves one request of a caller.
func (f *Forwarder) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	f.Metrics.InFlight.Add(1)
	defer f.Metrics.InFlight.Add(-1)
	x := &exchange{Forwarder: f, incoming: r, writer: w, start: time.Now()}
	// A proxy in front of this server may find another end of a request that has both a
	// Content-Length and chunks (request smuggling). Go's server hides the
	// Content-Length of such a request, so the connection is closed after every chunked
	// request.
	if f.Closing() || len(r.TransferEncoding) > 0 {
		w.Header().Set("Connection", "close")
	}
	defer x.finish()
	defer x.closeAccount()
	if x.accept() {
		x.run()
	}
	if x.trace.reason == outcomeCallerLeft {
		// A caller that has closed its connection for writing alone still reads, and net/http
		// would answer 200.
		panic(http.ErrAbortHandler)
	}
}

// accept checks a request and reads its body. It returns false after it has answered the
// request itself.
func (x *exchange) accept() bool {
	var err error
	if x.request, err = x.Codec.Decode(x.incoming); err != nil {
		x.fail(http.StatusBadRequest, "bad-request", err)
		return false
	}
	x.age, x.ageKnown = x.State.Evidence.Age(x.State.Elapsed())
	if x.table = x.State.Table(); x.table == nil {
		x.refuse("no-routing", defaultRetryAfter)
		return false
	}
	if !x.findRoute() || !x.authenticate() {
		return false
	}
	x.setDeadline()
	if x.outlastsStop() {
		x.refuseLeaving()
		return false
	}
	if !x.openAccount() {
		x.refuseForMemory()
		return false
	}
	return x.readBody()
}

// refuseLeaving refuses a request that would outlast the process.
func (x *exchange) refuseLeaving() {
	x.writer.Header().Set("Connection", "close")
	x.refuse("leaving", leavingRetryAfter)
}

// outlastsStop reports whether the request's limit is after the planned end of the
// process, which would cut the request off.
func (x *exchange) outlastsStop() bool {
	if x.StopAt == nil {
		return false
	}
	stop := x.StopAt()
	return !stop.IsZero() && x.limit.After(stop)
}

// findRoute sets the route, the service and, for a model engine, the context links. It
// returns false after it has answered a request for which there is no route or service.
func (x *exchange) findRoute() bool {
	x.path, x.target = Target(x.incoming)
	x.route = x.table.Route(x.incoming.Host, x.path)
	if x.route == nil {
		x.deny(http.StatusNotFound, "no-route")
		return false
	}
	name := x.route.Service(x.request.ID)
	if name == "" {
		x.refuse("no-service", defaultRetryAfter)
		return false
	}
	x.service = x.table.Service(name)
	x.service.Name = name
	x.priority = x.route.Priority
	if x.service.Engine {
		x.links = crcontext.Chain(x.request.Model, x.request.Parts)
		x.parts = quarantineParts(name, x.request.Parts)
	}
	return true
}

// deny answers that the routing doesn't allow a request. If the routing is too old to be
// sure, it refuses the request with 503 instead.
func (x *exchange) deny(status int, reason string) {
	if !x.ageKnown || x.age > maxDenyAge {
		x.refuse("stale-"+reason, defaultRetryAfter)
		return
	}
	x.fail(status, reason, nil)
}

// authenticate sets the client account and its priority. It returns false after it has
// answered the request. A key is accepted only while the routing is fresh, since the key
// may have been revoked.
func (x *exchange) authenticate() bool {
	var ok bool
	if x.account, ok = x.table.Authorize(x.route, x.request.Key); !ok {
		x.deny(http.StatusUnauthorized, "unknown-key")
		return false
	}
	if !x.keysFresh() {
		x.refuse("stale-keys", defaultRetryAfter)
		return false
	}
	if x.account != nil && x.account.HasPriority {
		x.priority = x.account.Priority
	}
	return true
}

// keysFresh reports whether the routing is fresh enough to accept the request's key.
func (x *exchange) keysFresh() bool {
	if x.account == nil {
		return true
	}
	age, ok := x.State.Evidence.Age(x.State.Elapsed())
	return ok && age < x.MaxKeyAge
}

// keyValid reports whether the newest routing allows the request for the same client account,
// and is fresh if it has one. A route that is gone meanwhile counts as it was.
func (x *exchange) keyValid() bool {
	table := x.State.Table()
	if table == x.table {
		return x.keysFresh()
	}
	route := table.Route(x.incoming.Host, x.path)
	if route == nil {
		route = x.route
	}
	account, ok := table.Authorize(route, x.request.Key)
	return ok && x.keysFresh() && sameAccount(account, x.account)
}

// sameAccount reports whether two versions of the routing mean the same client account. A nil
// account is that of requests without a key.
func sameAccount(a, b *crroute.Account) bool {
	if a == nil || b == nil {
		return a == b
	}
	return a.Name == b.Name
}

// setDeadline sets the limit to the shortest of the caller's, the route's and the default
// timeout, and the deadline to a margin before it.
func (x *exchange) setDeadline() {
	limit := defaultTimeout
	if x.request.Timeout > 0 {
		limit = min(limit, x.request.Timeout)
	}
	if x.route.Timeout > 0 {
		limit = min(limit, x.route.Timeout)
	}
	x.limit = x.start.Add(limit)
	x.deadline = x.limit.Add(-min(timeoutMargin, limit/10))
}

// context sets the lifetime and returns a context that ends with it, at the deadline or with
// EndWaits.
func (x *exchange) context() (context.Context, context.CancelFunc) {
	lifetime, cancel := context.WithDeadline(x.incoming.Context(), x.limit)
	wait, cancelWait := context.WithCancelCause(lifetime)
	ctx, cancelDeadline := context.WithDeadline(wait, x.deadline)
	end := x.waits.add(cancelWait)
	x.lifetime = lifetime
	return ctx, func() {
		end()
		cancelDeadline()
		cancelWait(nil)
		cancel()
	}
}

// refuse answers with 503 and a Retry-After header. Use it only while no endpoint has
// run the request.
func (x *exchange) refuse(reason string, retryAfter time.Duration) {
	x.trace.retryAfter = max(retryAfter, time.Millisecond)
	seconds := strconv.FormatFloat(x.trace.retryAfter.Seconds(), 'f', 3, 64)
	x.writer.Header().Set("Retry-After", seconds)
	x.fail(http.StatusServiceUnavailable, reason, nil)
}

// fail answers with an error of this instance. The reason is both the body and the
// logged outcome; err is logged as the cause.
func (x *exchange) fail(status int, reason string, err error) {
	x.trace.recordEnd(status, reason, err)
	h := x.writer.Header()
	h.Set("Content-Type", "text/plain; charset=utf-8")
	x.beginWriting(x.answerTimeout())
	x.writer.WriteHeader(status)
	_, err = io.WriteString(x.writer, reason+"\n")
	x.trace.recordWriteError(err)
}
