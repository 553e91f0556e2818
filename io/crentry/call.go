package crentry

import (
	"context"
	"time"

	"connectrpc.com/connect"
	"google.golang.org/protobuf/types/known/durationpb"
	"google.golang.org/protobuf/types/known/timestamppb"

	"crocusrack/core/crbackoff"
	"crocusrack/core/crexecution"
	"crocusrack/core/crhash"
	"crocusrack/core/crshard"
	"crocusrack/io/crpeer"
	"crocusrack/io/crrequest"
	"crocusrack/schema/crcaller"
	pb "crocusrack/schema/crcatalogue"
	peerpb "crocusrack/schema/crpeer"
)

// Call serves one request of a caller to a plain service.
func (e *Entry) Call(ctx context.Context, r *connect.Request[crcaller.CallRequest]) (*connect.Response[crcaller.CallResponse], error) {
	answer := e.ServeCall(ctx, r.Msg)
	e.OnRequestEnded(r.Msg.Service, answer.Outcome)
	return connect.NewResponse(answer), nil
}

// ServeCall runs a call that comes from a caller, or from another instance that
// received the call together with an execution token of this instance. A call that
// must not be repeated needs an execution token as its request id; callers get it with
// the answer to Address. Only the process that issued the token, which its instance and
// run identify, executes the call or refuses it as not run, because no other process
// knows of an earlier execution.
func (e *Entry) ServeCall(ctx context.Context, r *crcaller.CallRequest) *crcaller.CallResponse {
	if !r.NotRepeatable && !crexecution.IsToken(r.RequestId) {
		s, refused := e.checkCall(r)
		if refused != nil {
			return e.newCallResponse(r, refused)
		}
		return e.admitAndRun(ctx, r, s)
	}
	r.NotRepeatable = true
	token, err := crexecution.Parse(r.RequestId)
	if err != nil {
		o := crrequest.NotRun(crcaller.Reason_REASON_TOKEN_REQUIRED, 0, "a not-repeatable call needs the execution token of an address answer as its request-id")
		return e.newCallResponse(r, o)
	}
	if token.Instance != e.Instance || token.Run != e.Run {
		return e.forwardToIssuer(ctx, r, token)
	}
	return e.executeOnce(ctx, r)
}

// checkCall returns the service of a valid call, or the refusal of an invalid one.
func (e *Entry) checkCall(r *crcaller.CallRequest) (*pb.Service, *crcaller.Outcome) {
	if refused := crrequest.CheckCall(r); refused != nil {
		return nil, refused
	}
	s, refused := e.check(r.Service, r.ClientAccount)
	if refused != nil {
		return nil, refused
	}
	if s.Kind != pb.ServiceKind_SERVICE_KIND_PLAIN {
		return nil, crrequest.NotRun(crcaller.Reason_REASON_INVALID, 0, "service %q takes chats, not calls", s.Name)
	}
	return s, nil
}

func (e *Entry) newCallResponse(r *crcaller.CallRequest, o *crcaller.Outcome) *crcaller.CallResponse {
	return &crcaller.CallResponse{RequestId: r.RequestId, Attempt: r.Attempt, Outcome: o, Instance: e.Instance}
}

// forwardToIssuer forwards a call to the process run that issued its execution token.
func (e *Entry) forwardToIssuer(ctx context.Context, r *crcaller.CallRequest, t crexecution.Token) *crcaller.CallResponse {
	member, ok := e.Member(t.Instance)
	if !ok || member.Run != t.Run {
		return e.newCallResponse(r, tokenLost())
	}
	client, ok := e.peerClient(t.Instance)
	if !ok {
		return e.newCallResponse(r, issuerUnreachable())
	}
	answer, err := client.ServeCall(ctx, &peerpb.ServeCallRequest{Request: r})
	if err != nil {
		return e.newCallResponse(r, issuerUnreachable())
	}
	return answer
}

// executeOnce runs a call whose execution token was issued by this process run. If
// the token has started already, executeOnce waits for that execution and returns
// its recorded outcome.
func (e *Entry) executeOnce(ctx context.Context, r *crcaller.CallRequest) *crcaller.CallResponse {
	for {
		b := e.Executions.begin(r)
		switch b.Decision {
		case crexecution.Start:
			return e.executeAndRecord(context.WithoutCancel(ctx), r)
		case crexecution.Join:
			select {
			case <-b.Done:
			case <-ctx.Done():
				return e.newCallResponse(r, crrequest.Unknown(crcaller.Reason_REASON_DEADLINE, "an earlier attempt still runs"))
			}
		default:
			return e.recordedResponse(r, b.Outcome)
		}
	}
}

// executeAndRecord runs the only execution of a token and records its outcome before
// it returns the outcome to the caller, so that a token that was reported as "not run"
// never starts later. ctx must outlive the caller's connection, so that a retry
// finds the outcome.
func (e *Entry) executeAndRecord(ctx context.Context, r *crcaller.CallRequest) *crcaller.CallResponse {
	answer := e.execute(ctx, r)
	e.Executions.finish(r.RequestId, crexecution.Outcome{
		Kind:     answer.Outcome.Kind,
		Reason:   answer.Outcome.Reason,
		Detail:   answer.Outcome.Detail,
		Endpoint: answer.Endpoint,
		Body:     answer.Body,
	})
	return answer
}

// execute checks the call, takes the durable claim if the service requires one, and
// runs the call.
func (e *Entry) execute(ctx context.Context, r *crcaller.CallRequest) *crcaller.CallResponse {
	s, refused := e.checkCall(r)
	if refused != nil {
		return e.newCallResponse(r, refused)
	}
	if s.DurableClaims {
		if c := e.Claim(ctx, r.RequestId); c != crexecution.Claimed {
			return e.newCallResponse(r, newOutcome(c.Outcome()))
		}
	}
	return e.admitAndRun(ctx, r, s)
}

// recordedResponse returns the response for an execution that has already ended.
func (e *Entry) recordedResponse(r *crcaller.CallRequest, o crexecution.Outcome) *crcaller.CallResponse {
	answer := e.newCallResponse(r, newOutcome(o))
	answer.Body = o.Body
	answer.BodyNotKept = o.BodyDropped
	answer.Endpoint = o.Endpoint
	return answer
}

func newOutcome(o crexecution.Outcome) *crcaller.Outcome {
	return &crcaller.Outcome{Kind: o.Kind, Reason: o.Reason, Detail: o.Detail}
}

// admitAndRun runs a checked call if the client account's quota admits it.
func (e *Entry) admitAndRun(ctx context.Context, r *crcaller.CallRequest, s *pb.Service) *crcaller.CallResponse {
	release, refused := e.admit(r.Service, r.ClientAccount)
	if refused != nil {
		return e.newCallResponse(r, refused)
	}
	defer release()
	e.Retries.recordRequest(r.Service)
	ctx, untrack := e.track(ctx, r.RequestId)
	defer untrack()
	deadline := crrequest.Deadline(time.Now(), r.Deadline, s)
	ctx, cancel := context.WithDeadline(ctx, deadline)
	defer cancel()
	c := &call{entry: e, request: r, service: s, deadline: deadline}
	return c.run(ctx)
}

// call is one call in progress.
type call struct {
	entry    *Entry
	request  *crcaller.CallRequest
	service  *pb.Service
	deadline time.Time
	// sends counts the times that the call was sent to an owner.
	sends uint32
	// mayHaveRun tells whether an endpoint may have run the call.
	mayHaveRun bool
}

// run tries the shards until the call ends, and tries them again after a failure
// while the retry budget and the deadline allow it. A call that must not be repeated
// isn't retried once an endpoint may have run it.
func (c *call) run(ctx context.Context) *crcaller.CallResponse {
	for round := 1; ; round++ {
		answer := c.tryShards(ctx)
		if isFinal(answer.Outcome) || ctx.Err() != nil {
			return answer
		}
		if c.mayHaveRun && c.request.NotRepeatable {
			return answer
		}
		d := c.entry.Retries.decide(c.request.Service, failedRound(round, answer.Outcome, !c.request.NotRepeatable, c.deadline))
		if !d.Retry {
			answer.Outcome = withRetryAfter(answer.Outcome, d.RetryAfter)
			return answer
		}
		if crbackoff.Sleep(ctx, d.After) != nil {
			return answer
		}
		if _, refused := c.entry.check(c.request.Service, c.request.ClientAccount); refused != nil {
			answer.Outcome = c.requestOutcome(refused)
			return answer
		}
	}
}

// requestOutcome returns the outcome of the whole call, given that of its last sending. A call
// that may have run earlier can't end as "not run".
func (c *call) requestOutcome(o *crcaller.Outcome) *crcaller.Outcome {
	if c.mayHaveRun && o.Kind == crcaller.OutcomeKind_OUTCOME_KIND_NOT_RUN {
		// The text ends with the detail of the last sending.
		return crrequest.Unknown(o.Reason, "an earlier sending may have run: %s", o.Detail)
	}
	return o
}

// tryShards tries the shards in the order that plan returns for the chat key, or for the
// request id if the call has no chat key. It stops at a final outcome. If the call must
// not be repeated, it also stops once an endpoint may have run it.
func (c *call) tryShards(ctx context.Context) *crcaller.CallResponse {
	answer := c.entry.newCallResponse(c.request, noEndpoint(c.request.Service))
	key := c.request.ChatKey
	if key == "" {
		key = c.request.RequestId
	}
	for _, s := range c.entry.plan(c.request.Service, crhash.Of(key)) {
		if c.sends++; c.sends >= maxSends {
			break
		}
		c.entry.reportRetry(c.sends)
		answer = c.sendToOwner(ctx, s)
		if answer.Outcome.Kind == crcaller.OutcomeKind_OUTCOME_KIND_UNKNOWN {
			c.mayHaveRun = true
		}
		if isFinal(answer.Outcome) || ctx.Err() != nil || c.mayHaveRun && c.request.NotRepeatable {
			break
		}
	}
	answer.Outcome = c.requestOutcome(answer.Outcome)
	return answer
}

// sendToOwner runs the call at the owner of one shard. Walked tells the owner that another
// shard was tried before. TokenSpent tells it to run the call as the owner of the shard.
// Without TokenSpent, it would take over the call as the issuer of its execution token.
func (c *call) sendToOwner(ctx context.Context, s crshard.Step) *crcaller.CallResponse {
	request := &peerpb.ServeCallRequest{
		Request:            c.nextRequest(),
		ShardService:       s.Service,
		ShardFailureDomain: s.FailureDomain,
		ShardIndex:         int32(s.Index),
		Walked:             s.RefusedElsewhere,
		MayQueue:           s.MayQueue,
		TokenSpent:         true,
	}
	var answer *crcaller.CallResponse
	if s.Owner == c.entry.Instance {
		answer = c.entry.Owner.Call(ctx, request, c.service)
	} else {
		answer = c.sendToPeer(ctx, s.Owner, request)
	}
	answer.RequestId = c.request.RequestId
	answer.Attempt = c.request.Attempt
	return answer
}

// nextRequest returns the request with an attempt number of its own.
func (c *call) nextRequest() *crcaller.CallRequest {
	return &crcaller.CallRequest{
		RequestId:     c.request.RequestId,
		Attempt:       c.request.Attempt*maxSends + c.sends,
		Service:       c.request.Service,
		ClientAccount: c.request.ClientAccount,
		Method:        c.request.Method,
		Body:          c.request.Body,
		NotRepeatable: c.request.NotRepeatable,
		Deadline:      timestamp(c.deadline),
		Class:         c.request.Class,
		ChatKey:       c.request.ChatKey,
	}
}

// sendToPeer runs the call at another instance. If the connection fails, the outcome
// is "not run" only if nothing of the call was written.
func (c *call) sendToPeer(ctx context.Context, owner string, r *peerpb.ServeCallRequest) *crcaller.CallResponse {
	client, ok := c.entry.peerClient(owner)
	if !ok {
		return c.entry.newCallResponse(c.request, unreachable(owner))
	}
	var sent crpeer.Sent
	answer, err := client.ServeCall(sent.Trace(ctx), r)
	if err == nil {
		return answer
	}
	if !sent.Wrote() {
		return c.entry.newCallResponse(c.request, unreachable(owner))
	}
	return c.entry.newCallResponse(c.request, crrequest.Unknown(crcaller.Reason_REASON_CONNECTION_LOST, "the connection to instance %q was lost", owner))
}

func (x *Executions) begin(r *crcaller.CallRequest) crexecution.BeginResult {
	x.mu.Lock()
	defer x.mu.Unlock()
	return x.Registry.Begin(time.Now(), r.RequestId, r.Service, r.ClientAccount)
}

func (x *Executions) finish(id string, o crexecution.Outcome) {
	x.mu.Lock()
	defer x.mu.Unlock()
	x.Registry.Finish(time.Now(), id, o)
}

func (x *Executions) issue(service, account string) (string, error) {
	x.mu.Lock()
	defer x.mu.Unlock()
	return x.Registry.Issue(time.Now(), service, account)
}

func (x *Executions) lookup(id string) *crcaller.OutcomeResponse {
	x.mu.Lock()
	o, state := x.Registry.Lookup(time.Now(), id)
	x.mu.Unlock()
	switch state {
	case crexecution.Running:
		return &crcaller.OutcomeResponse{Running: true}
	case crexecution.Unstarted:
		// The outcome isn't "not run", because a copy of the request may still arrive.
		o := crrequest.Unknown(crcaller.Reason_REASON_UNSPECIFIED, "the execution token has not started, and still may")
		return &crcaller.OutcomeResponse{NotStarted: true, Outcome: o}
	}
	return &crcaller.OutcomeResponse{Outcome: newOutcome(o), Body: o.Body, BodyNotKept: o.BodyDropped}
}

// Len returns the number of execution tokens in the registry.
func (x *Executions) Len() int {
	x.mu.Lock()
	defer x.mu.Unlock()
	return x.Registry.Len()
}

// Tick removes expired tokens and outcomes.
func (x *Executions) Tick(now time.Time) {
	x.mu.Lock()
	defer x.mu.Unlock()
	x.Registry.RemoveExpired(now)
}

// withRetryAfter sets RetryAfter to d in an outcome "not run" that has none, and
// returns the outcome. Zero d leaves the outcome unchanged.
func withRetryAfter(o *crcaller.Outcome, d time.Duration) *crcaller.Outcome {
	if d > 0 && o.RetryAfter == nil && o.Kind == crcaller.OutcomeKind_OUTCOME_KIND_NOT_RUN {
		o.RetryAfter = durationpb.New(d)
	}
	return o
}

func timestamp(t time.Time) *timestamppb.Timestamp { return timestamppb.New(t) }
