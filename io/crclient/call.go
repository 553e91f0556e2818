package crclient

import (
	"context"
	"crypto/rand"
	"net/netip"

	"crocusrack/io/crtransport"
	"crocusrack/schema/crcaller"

	"connectrpc.com/connect"
	"google.golang.org/protobuf/types/known/timestamppb"
)

// Call is one request to a plain service. The context's deadline goes with it.
type Call struct {
	Service string
	Method  string
	Body    []byte
	// NotRepeatable makes the fleet run the call at most once. The call gets an
	// execution token.
	NotRepeatable bool
	// Key spreads calls over endpoints; empty is by request.
	Key string
	// Class overrides the service's class of work.
	Class string
	// RequestID names a repeatable call; a random one when empty.
	RequestID string
}

// CallAnswer is the answer to a call. Unless the outcome is answered it has no
// body. The body of a call that isn't repeatable, and was answered before this
// client heard of it, may not be kept.
type CallAnswer struct {
	Outcome
	// RequestID is the execution token of a call that isn't repeatable, for
	// Lookup.
	RequestID string
	Body      []byte
	// BodyNotKept tells that the call was answered and the fleet has no body any
	// more.
	BodyNotKept bool
	// Attempts counts the sendings with this request id.
	Attempts           uint32
	Endpoint, Instance string
}

// Call sends a call and returns its answer. A call that isn't repeatable is
// sent again only with the same execution token, under which the fleet runs it
// at most once, or with another token after the fleet said of the earlier one
// that it wasn't run and never will be.
func (c *Client) Call(ctx context.Context, call Call) CallAnswer {
	c.setup()
	if !call.NotRepeatable {
		if call.RequestID == "" {
			call.RequestID = rand.Text()
		}
		answer, _ := c.callOnce(ctx, call, nil)
		return answer
	}
	s := sending{client: c}
	for try := 0; ; try++ {
		answer, told := c.callWithToken(ctx, call)
		renew := told && (answer.Reason == crcaller.Reason_REASON_TOKEN_VOID || !answer.settles())
		if !renew || try+1 >= c.Tries || !s.wait(ctx, answer.Outcome, try) {
			return answer
		}
	}
}

// callWithToken gets an execution token and sends the call under it. Told
// reports whether the fleet has said that the token wasn't run.
func (c *Client) callWithToken(ctx context.Context, call Call) (answer CallAnswer, told bool) {
	for try := 0; ; try++ {
		granted, refusal := c.address(ctx, place{call.Service, call.Key}, true)
		switch {
		case granted.token != "":
			call.RequestID = granted.token
			return c.callOnce(ctx, call, granted.addresses)
		case granted.addresses != nil:
			refusal = notRun(crcaller.Reason_REASON_TOKEN_REQUIRED, errNoToken)
		}
		s := sending{client: c}
		if refusal.settles() || try+1 >= c.Tries || !s.wait(ctx, refusal, try) {
			return CallAnswer{Outcome: refusal}, false
		}
	}
}

// callOnce sends the call under one request id. Told reports whether the fleet
// has said of an execution token that it wasn't run.
func (c *Client) callOnce(ctx context.Context, call Call, targets []netip.AddrPort) (answer CallAnswer, told bool) {
	e := &exchange{client: c, call: call, answer: CallAnswer{RequestID: call.RequestID}}
	s := sending{
		client:  c,
		place:   place{call.Service, call.Key},
		again:   e.again,
		send:    e.send,
		targets: targets,
	}
	e.answer.Outcome = s.run(ctx)
	e.answer.Attempts = s.attempt
	if e.answer.Cancelled() && s.attempt > 0 {
		c.cancelLate(ctx, s.place, call.RequestID)
	}
	return e.answer, e.told && e.answer.NotRun()
}

// exchange collects the answer to one call over its sendings.
type exchange struct {
	client *Client
	call   Call
	answer CallAnswer
	// told is set when the fleet has said that the execution token wasn't run,
	// which is final for the token.
	told bool
}

// again lets a call that isn't repeatable be sent again only to learn what an
// instance couldn't say: the fleet runs it at most once under its token.
func (e *exchange) again(o Outcome) bool {
	return !e.call.NotRepeatable || !e.told && o.movesOn()
}

func (e *exchange) request(ctx context.Context, attempt uint32) *crcaller.CallRequest {
	m := &crcaller.CallRequest{
		RequestId:     e.call.RequestID,
		Attempt:       attempt,
		Service:       e.call.Service,
		ClientAccount: e.client.Account,
		Method:        e.call.Method,
		Body:          e.call.Body,
		NotRepeatable: e.call.NotRepeatable,
		Class:         e.call.Class,
		ChatKey:       e.call.Key,
	}
	if deadline, ok := ctx.Deadline(); ok {
		m.Deadline = timestamppb.New(deadline)
	}
	return m
}

// send sends the call to one instance.
func (e *exchange) send(ctx context.Context, target netip.AddrPort, attempt uint32) Outcome {
	var sent crtransport.Sent
	request := connect.NewRequest(e.request(ctx, attempt))
	response, err := e.client.stub(target).Call(sent.Trace(ctx), request)
	if err != nil {
		return failure(err, sent.Wrote())
	}
	m := response.Msg
	if m.GetRequestId() != e.call.RequestID || m.GetAttempt() != attempt {
		return unknown(crcaller.Reason_REASON_INCOMPLETE, errCrossed)
	}
	o := outcomeOf(m.GetOutcome())
	if o.Kind == crcaller.OutcomeKind_OUTCOME_KIND_UNSPECIFIED {
		return unknown(crcaller.Reason_REASON_INCOMPLETE, errNoEnd)
	}
	e.answer.Endpoint = m.GetEndpoint()
	e.answer.Instance = m.GetInstance()
	if o.Answered() {
		e.answer.Body = m.GetBody()
		e.answer.BodyNotKept = m.GetBodyNotKept()
	}
	if e.call.NotRepeatable && o.NotRun() {
		e.told = true
	}
	return o
}
