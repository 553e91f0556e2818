package crexecution

import (
	"crypto/hmac"
	"crypto/sha256"
	"errors"
	"fmt"
	"hash"
	"math"
	"time"

	"crocusrack/schema/crcaller"
)

// maxElapsed bounds the elapsed time of a run.
const maxElapsed = time.Duration(math.MaxInt64 / 4)

// KeyBytes is the length of a run's secret key, in bytes.
const KeyBytes = 32

// ErrLimit is returned by Issue while the registry holds Registry.MaxTokens tokens.
var ErrLimit = errors.New("too many execution tokens are in use")

// Outcome describes how a request ended.
type Outcome struct {
	Kind   crcaller.OutcomeKind
	Reason crcaller.Reason
	// Detail is a short explanation for people.
	Detail   string
	Endpoint string
	Body     []byte
	// BodyDropped is true if the request was answered but the body of the answer
	// exceeded the registry's limits and wasn't kept.
	BodyDropped bool
}

// Decision tells what to do with an attempt to execute a token.
type Decision uint8

const (
	// Start means that the request must be executed now. The code that called Begin
	// then calls Finish or Release once.
	Start Decision = iota + 1
	// Join means that an earlier attempt is running. Wait for Done, then call Begin
	// again.
	Join
	// Recorded means that the request has ended. Outcome holds its outcome.
	Recorded
	// Void means that the token can't start any more. Outcome tells whether it may
	// have run.
	Void
	// Mismatch means that the token was altered, or belongs to another service or
	// client account. Outcome tells which.
	Mismatch
	// Elsewhere means that another instance has issued the token. The request must
	// be routed there.
	Elsewhere
)

// String returns the name of the decision in lower case.
func (d Decision) String() string {
	names := [...]string{"invalid", "start", "join", "recorded", "void", "mismatch", "elsewhere"}
	if int(d) < len(names) {
		return names[d]
	}
	return names[0]
}

// BeginResult is the result of Registry.Begin for one attempt to execute a token.
type BeginResult struct {
	Decision Decision
	Token    Token
	// Outcome is the outcome to answer with. It is set for Recorded, Void and
	// Mismatch.
	Outcome Outcome
	// Done is set for Join, and closed when the running attempt ends.
	Done <-chan struct{}
}

// State is the state of the request of a token, as returned by Lookup.
type State uint8

const (
	// Unstarted means that the token has not started, and still may.
	Unstarted State = iota + 1
	// Running means that an attempt is running.
	Running
	// Ended means that the request will not run any more, and its outcome is known.
	// An id that isn't a genuine token, because it can't be parsed or was altered, is
	// Ended too: no request runs with it.
	Ended
	// Forgotten means that the token can't start any more, and that the registry
	// doesn't know whether it has run.
	Forgotten
	// Foreign means that the token was issued by another instance.
	Foreign
)

// Registry issues the execution tokens of one run of an instance and records
// which have started. A request that has started is kept while it runs, and its
// outcome for at least OutcomeLifetime after the expiry of the token. Set the
// exported fields before first use. Registry is not safe for concurrent use: guard
// every call with a lock.
type Registry struct {
	Instance string
	// Run identifies the run. It is random, so that no two runs of any instances
	// share it.
	Run uint64
	// Key is the key of the MAC of tokens. It is random and never leaves the process.
	Key [KeyBytes]byte
	// TokenLifetime is how long a token may start after it was issued.
	TokenLifetime time.Duration
	// OutcomeLifetime is how long the outcome of a request is kept after its token
	// can no longer start.
	OutcomeLifetime time.Duration
	// MaxTokens bounds the number of tokens that may still start, are running, or have
	// an outcome kept. While it is reached, Issue returns ErrLimit. Every issued
	// token is counted, so that it can start without another check of the limit.
	MaxTokens int
	// MaxTotalBodyBytes bounds the total size of the kept bodies, and MaxBodyBytes the size
	// of each, in bytes. Zero in MaxBodyBytes means no bound. An answer that exceeds
	// a limit is recorded without its body.
	MaxTotalBodyBytes, MaxBodyBytes int

	mac         hash.Hash
	started     time.Time
	elapsed     time.Duration
	sequence    uint64
	unstarted   expiryCounts
	requests    map[uint64]*request
	oldestEnded *request // of the ended ones
	newestEnded *request
	bodyBytes   int
}

// request is the state of a token that has started. Ended requests form a linked
// list, in the order in which they ended.
type request struct {
	sequence uint64
	// done is created when the first retry joins, and closed when the attempt ends.
	done     chan struct{}
	ended    bool
	forgetAt time.Duration
	outcome  Outcome
	next     *request
}

// advance moves the run's monotonic clock forward, and removes expired tokens and
// outcomes.
func (g *Registry) advance(now time.Time) {
	if g.mac == nil {
		g.mac = hmac.New(sha256.New, g.Key[:])
		g.requests = map[uint64]*request{}
		g.started = now
	}
	g.elapsed = min(max(g.elapsed, now.Sub(g.started)), maxElapsed)
	g.unstarted.expire(g.elapsed)
	for g.oldestEnded != nil && g.oldestEnded.forgetAt <= g.elapsed {
		r := g.oldestEnded
		g.oldestEnded = r.next
		g.bodyBytes -= len(r.outcome.Body)
		delete(g.requests, r.sequence)
	}
	if g.oldestEnded == nil {
		g.newestEnded = nil
	}
}

// RemoveExpired removes expired tokens and outcomes. Issue, Begin, Finish, Release and
// Lookup do so too; RemoveExpired does it while none of them is called.
func (g *Registry) RemoveExpired(now time.Time) { g.advance(now) }

// Len returns the number of tokens that count towards the limit.
func (g *Registry) Len() int { return g.unstarted.total + len(g.requests) }

// Issue returns a new token for one request of the client account to the
// service, or ErrLimit.
func (g *Registry) Issue(now time.Time, service, account string) (string, error) {
	g.advance(now)
	if g.Len() >= g.MaxTokens {
		return "", fmt.Errorf("%w: limit %d", ErrLimit, g.MaxTokens)
	}
	g.sequence++
	k := Token{
		Instance: g.Instance,
		Run:      g.Run,
		Sequence: g.sequence,
		Expiry:   (g.elapsed + g.TokenLifetime).Truncate(time.Millisecond),
		Binding:  computeBinding(g.mac, service, account),
	}
	k.MAC = k.computeMAC(g.mac)
	g.unstarted.add(k.Expiry)
	return k.String(), nil
}

// Begin decides whether an attempt may execute the request that has the token as
// its id. At most one attempt with a token is started at a time, and none after
// Finish.
func (g *Registry) Begin(now time.Time, text, service, account string) BeginResult {
	g.advance(now)
	k, refusal := g.parseOwn(text)
	if refusal != nil {
		return *refusal
	}
	if k.Binding != computeBinding(g.mac, service, account) {
		return BeginResult{Decision: Mismatch, Token: k, Outcome: wrongOwnerOutcome()}
	}
	if r := g.requests[k.Sequence]; r != nil {
		return r.answerRetry(k)
	}
	if k.Expiry < g.elapsed {
		return BeginResult{Decision: Void, Token: k, Outcome: g.expiredOutcome(k)}
	}
	g.requests[k.Sequence] = &request{sequence: k.Sequence}
	g.unstarted.remove(k.Expiry)
	return BeginResult{Decision: Start, Token: k}
}

// parseOwn parses a token of this run. For a token that this run must not
// execute it returns the refusal as well.
func (g *Registry) parseOwn(text string) (Token, *BeginResult) {
	k, err := Parse(text)
	switch {
	case err != nil:
		return k, &BeginResult{Decision: Mismatch, Outcome: invalidTokenOutcome(err)}
	case k.Instance != g.Instance:
		return k, &BeginResult{Decision: Elsewhere, Token: k}
	case k.Run != g.Run:
		return k, &BeginResult{Decision: Void, Token: k, Outcome: RunEndedOutcome()}
	case !k.hasValidMAC(g.mac):
		return k, &BeginResult{Decision: Mismatch, Token: k, Outcome: invalidTokenOutcome(ErrInvalidToken)}
	}
	return k, nil
}

// answerRetry returns the answer to an attempt with a token that has started.
func (r *request) answerRetry(k Token) BeginResult {
	if r.ended {
		return BeginResult{Decision: Recorded, Token: k, Outcome: r.outcome}
	}
	if r.done == nil {
		r.done = make(chan struct{})
	}
	return BeginResult{Decision: Join, Token: k, Done: r.done}
}

// Finish records the outcome of the started attempt and notifies the attempts
// that joined it. Only the first outcome of a token is recorded. The outcome "not
// run" must be recorded before it is sent to the caller: otherwise a delayed copy of
// the request could start after the caller has learned that it was not run and has
// asked for a new token.
func (g *Registry) Finish(now time.Time, text string, o Outcome) {
	g.advance(now)
	r := g.runningRequest(text)
	if r == nil {
		return
	}
	if !g.bodyFits(len(o.Body)) {
		o.Body = nil
		o.BodyDropped = true
	}
	g.bodyBytes += len(o.Body)
	r.ended = true
	r.outcome = o
	// The token expires at most TokenLifetime from now, so that the outcome is kept for
	// at least OutcomeLifetime after the expiry.
	r.forgetAt = g.elapsed + g.TokenLifetime + g.OutcomeLifetime
	if g.newestEnded == nil {
		g.oldestEnded = r
	} else {
		g.newestEnded.next = r
	}
	g.newestEnded = r
	r.notifyJoined()
}

// bodyFits reports whether a body of the given size in bytes is within the limits.
func (g *Registry) bodyFits(body int) bool {
	return g.bodyBytes+body <= g.MaxTotalBodyBytes && (g.MaxBodyBytes == 0 || body <= g.MaxBodyBytes)
}

// Release undoes the start of a token and notifies the attempts that joined. Call
// it only if it is certain that no endpoint has run the request or will run it,
// and before any answer is given, so that the request can be attempted again. The
// token may start again until it expires. If an answer is given, call Finish
// instead.
func (g *Registry) Release(now time.Time, text string) {
	g.advance(now)
	r := g.runningRequest(text)
	if r == nil {
		return
	}
	delete(g.requests, r.sequence)
	if k, _ := Parse(text); k.Expiry >= g.elapsed {
		g.unstarted.add(k.Expiry)
	}
	r.notifyJoined()
}

// runningRequest returns the request of a valid token that has started and not
// ended, or nil.
func (g *Registry) runningRequest(text string) *request {
	k, refusal := g.parseOwn(text)
	if refusal != nil {
		return nil
	}
	r := g.requests[k.Sequence]
	if r == nil || r.ended {
		return nil
	}
	return r
}

// notifyJoined closes the done channel, so that joined attempts call Begin again.
func (r *request) notifyJoined() {
	if r.done == nil {
		return
	}
	close(r.done)
	r.done = nil
}

// Lookup returns the state of a token. The outcome is set for Ended and Forgotten.
func (g *Registry) Lookup(now time.Time, text string) (Outcome, State) {
	g.advance(now)
	k, refusal := g.parseOwn(text)
	if refusal != nil {
		return refusal.Outcome, refusal.state()
	}
	r := g.requests[k.Sequence]
	switch {
	case r != nil && r.ended:
		return r.outcome, Ended
	case r != nil:
		return Outcome{}, Running
	case k.Expiry >= g.elapsed:
		return Outcome{}, Unstarted
	}
	o := g.expiredOutcome(k)
	if o.Kind == crcaller.OutcomeKind_OUTCOME_KIND_NOT_RUN {
		return o, Ended
	}
	return o, Forgotten
}

// state returns the state of a token that parseOwn refused.
func (b *BeginResult) state() State {
	switch b.Decision {
	case Elsewhere:
		return Foreign
	case Void:
		return Forgotten
	}
	return Ended
}
