// Package crowner serves requests at the endpoints of the shards that this
// instance owns. Package cradmit decides on the admission of a request. Package
// crowner waits for the decision, runs the request at the granted endpoint and
// reports the result to cradmit.
//
// Every request ends with an outcome. A request whose context ends while it waits
// for admission is not run. If it is granted at the same moment, the grant is
// returned unused.
package crowner

import (
	"context"
	"sync"
	"time"

	"go.uber.org/zap"

	"crocusrack/core/cradmit"
	"crocusrack/core/crrecent"
	"crocusrack/core/crshard"
	"crocusrack/io/crendpoint"
	"crocusrack/io/crrequest"
	"crocusrack/schema/crcaller"
)

const (
	// tickInterval is how often waiting requests are checked for expiry.
	tickInterval = 20 * time.Millisecond
	// stopTimeout bounds the call that cancels a chat at an endpoint.
	stopTimeout = 300 * time.Millisecond
	// orphanTime is how long an endpoint may keep running a chat when the
	// cancellation timed out.
	orphanTime = 10 * time.Second
	// maxTries is the maximum number of endpoints to which this instance sends
	// one request.
	maxTries = 4
	// attemptsPerSend is the number of attempt numbers set aside for each time that an
	// entry sends a request to an owner. The owner uses one for each endpoint that it
	// tries. attemptsPerSend exceeds maxTries, so a later send always has higher
	// numbers.
	attemptsPerSend = maxTries + 1
)

// Owner serves the shards of this instance. Set the exported fields before Run.
// An Owner is safe for concurrent use.
type Owner struct {
	// Instance is the name of this instance.
	Instance string
	// Admitter decides on admission. It is accessed under the lock; see WithAdmitter.
	Admitter *cradmit.Admitter
	// Endpoints sends requests to endpoints.
	Endpoints *crendpoint.Client
	Log       *zap.Logger
	// MayUse reports whether a client account may use a service by this instance's catalogue.
	MayUse func(account, service string) bool
	// Baseline replaces admission if it isn't nil.
	Baseline *Baseline
	// OnAnswer, if not nil, is called for each answered chat with the number of
	// tokens of its prompt and how many of them the endpoint had cached.
	OnAnswer func(service string, prompt, cached int)
	// OnContext, if not nil, is called with the context of each answered chat that
	// is at least one block long.
	OnContext func(Context)

	mu sync.Mutex // guards Admitter and the fields below
	// waiters maps the ids of waiting requests to the channels that receive
	// their decisions.
	waiters map[uint64]chan cradmit.Decision
	// activeChats maps request ids to the chats in progress.
	activeChats map[string]*activeChat
	// activeCalls is the number of calls in progress.
	activeCalls int
	// contexts holds the contexts of recently answered chats.
	contexts crrecent.Map[contextKey, Context]
}

// activeChat is a chat request in progress at this instance.
type activeChat struct {
	attempt uint32
	cancel  context.CancelCauseFunc
	// done is closed when the request has ended.
	done chan struct{}
}

// Run calls the admitter's Tick every tickInterval until the context ends, so that
// waiting requests expire.
func (o *Owner) Run(ctx context.Context) {
	t := time.NewTicker(tickInterval)
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-t.C:
			o.WithAdmitter(func(a *cradmit.Admitter) { a.Tick(time.Now()) })
		}
	}
}

// WithAdmitter calls f with the admitter locked. It then delivers the decisions on waiting
// requests that f caused.
func (o *Owner) WithAdmitter(f func(*cradmit.Admitter)) {
	o.mu.Lock()
	defer o.mu.Unlock()
	f(o.Admitter)
	o.deliverDecisions()
}

// deliverDecisions delivers the admitter's new decisions, grants and refusals, to the
// waiting requests. o.mu must be held.
func (o *Owner) deliverDecisions() {
	for _, d := range o.Admitter.Decisions() {
		ch, ok := o.waiters[d.Waiter]
		if !ok {
			// Decisions are made and delivered, and waiters are removed, under the
			// same lock, so a decided request always has its channel here.
			panic("crowner: a decision without a waiter")
		}
		delete(o.waiters, d.Waiter)
		ch <- d
	}
}

// admit waits for the admission decision on r. It returns the grant, or the
// outcome of a request that was refused or whose context ended.
func (o *Owner) admit(ctx context.Context, r *cradmit.Request) (cradmit.Grant, *crcaller.Outcome) {
	if o.Baseline != nil {
		return o.Baseline.grant(r)
	}
	o.mu.Lock()
	d := o.Admitter.Admit(time.Now(), r)
	var ch chan cradmit.Decision
	if d.Verdict == cradmit.Waiting {
		ch = make(chan cradmit.Decision, 1)
		if o.waiters == nil {
			o.waiters = make(map[uint64]chan cradmit.Decision)
		}
		o.waiters[d.Waiter] = ch
	}
	o.deliverDecisions()
	o.mu.Unlock()
	if ch != nil {
		// An account that isn't known here may be newer than this instance's catalogue.
		allowed := o.MayUse(r.Account, r.Service)
		var outcome *crcaller.Outcome
		d, outcome = o.awaitDecision(ctx, d.Waiter, ch)
		if outcome != nil {
			return cradmit.Grant{}, outcome
		}
		if d.Verdict == cradmit.Granted && allowed && !o.MayUse(r.Account, r.Service) {
			o.done(r.Service, d.Grant, cradmit.Observation{Outcome: cradmit.Cancelled})
			return cradmit.Grant{}, crrequest.NotRun(crcaller.Reason_REASON_UNKNOWN_CLIENT_ACCOUNT, 0,
				"client account %q may no longer use service %q", r.Account, r.Service)
		}
	}
	if d.Verdict == cradmit.Refused {
		return cradmit.Grant{}, refusal(d)
	}
	return d.Grant, nil
}

// awaitDecision returns the decision on a waiting request, or its outcome if its
// context ends first.
func (o *Owner) awaitDecision(ctx context.Context, waiter uint64, ch chan cradmit.Decision) (cradmit.Decision, *crcaller.Outcome) {
	select {
	case d := <-ch:
		return d, nil
	case <-ctx.Done():
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	select {
	case d := <-ch:
		// The decision arrived when the context ended: return the grant unused.
		if d.Verdict == cradmit.Granted {
			o.Admitter.Done(time.Now(), d.Grant.ID, cradmit.Observation{Outcome: cradmit.Cancelled})
		}
	default:
		delete(o.waiters, waiter)
		o.Admitter.Abandon(time.Now(), waiter)
	}
	o.deliverDecisions()
	return cradmit.Decision{}, notRunOutcome(ctx)
}

// notRunOutcome returns the outcome of a request that has not run and whose
// context has ended.
func notRunOutcome(ctx context.Context) *crcaller.Outcome {
	if context.Cause(ctx) == context.DeadlineExceeded {
		return crrequest.NotRun(crcaller.Reason_REASON_DEADLINE, 0, "the deadline passed before the request was run")
	}
	return crrequest.Cancelled()
}

// refusal converts a refusal by admission to an outcome.
func refusal(d cradmit.Decision) *crcaller.Outcome {
	reason := crcaller.Reason_REASON_OVER_BOUND
	switch d.Reason {
	case cradmit.ReasonShed:
		reason = crcaller.Reason_REASON_SHED
	case cradmit.ReasonNoEndpoint, cradmit.ReasonNotOwner:
		reason = crcaller.Reason_REASON_NO_ENDPOINT
	case cradmit.ReasonDeadline:
		reason = crcaller.Reason_REASON_DEADLINE
	}
	return crrequest.NotRun(reason, d.RetryAfter, "%s", d.Reason)
}

// done gives a grant back to admission and reports what was observed of the request. With
// a Baseline, it gives the grant back there and reports nothing.
func (o *Owner) done(service string, g cradmit.Grant, b cradmit.Observation) {
	if o.Baseline != nil {
		o.Baseline.done(service, g.Endpoint)
		return
	}
	o.WithAdmitter(func(a *cradmit.Admitter) { a.Done(time.Now(), g.ID, b) })
}

// register registers a chat request as in progress and returns its context and a
// function that ends the registration. If a request with the same id is already in
// progress, its caller has given up on it and sent it again. register cancels it
// first and waits for its end. The new request resumes the answer where it stands.
// If the request in progress has a higher attempt, the new one has arrived late, and
// register returns false.
func (o *Owner) register(ctx context.Context, id string, attempt uint32) (context.Context, func(), bool) {
	for {
		o.mu.Lock()
		old, ok := o.activeChats[id]
		if !ok {
			break
		}
		o.mu.Unlock()
		if attempt < old.attempt {
			return nil, nil, false
		}
		old.cancel(errSuperseded)
		select {
		case <-old.done:
		case <-ctx.Done():
			return ctx, func() {}, true
		}
	}
	defer o.mu.Unlock()
	ctx, cancel := context.WithCancelCause(ctx)
	r := &activeChat{attempt: attempt, cancel: cancel, done: make(chan struct{})}
	if o.activeChats == nil {
		o.activeChats = make(map[string]*activeChat)
	}
	o.activeChats[id] = r
	return ctx, func() {
		o.mu.Lock()
		delete(o.activeChats, id)
		o.mu.Unlock()
		cancel(nil)
		close(r.done)
	}, true
}

// Cancel cancels the chat with the request id and reports whether it was in
// progress at this instance.
func (o *Owner) Cancel(id string) bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	r, ok := o.activeChats[id]
	if ok {
		r.cancel(errCancelled)
	}
	return ok
}

// Holder returns the shard of this instance with an endpoint that holds the
// context of a chat, and whether there is one. chat is the hash of the chat key.
func (o *Owner) Holder(service string, chat uint64) (crshard.Key, bool) {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.Admitter.Holder(service, chat)
}

// countCall adds n to the number of calls in progress.
func (o *Owner) countCall(n int) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.activeCalls += n
}

// InFlight returns the number of chats and calls in progress at this instance.
func (o *Owner) InFlight() int {
	o.mu.Lock()
	defer o.mu.Unlock()
	return len(o.activeChats) + o.activeCalls
}

// shardKey returns the key of the shard that a peer's request names.
func shardKey(service, domain string, index int32) crshard.Key {
	return crshard.Key{Service: service, FailureDomain: domain, Index: int(index)}
}
