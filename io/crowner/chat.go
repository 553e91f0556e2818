package crowner

import (
	"context"
	"errors"
	"time"

	"google.golang.org/protobuf/types/known/timestamppb"

	"crocusrack/core/cradmit"
	"crocusrack/core/crhash"
	"crocusrack/core/crprefix"
	"crocusrack/core/crretry"
	"crocusrack/io/crendpoint"
	"crocusrack/io/crrequest"
	"crocusrack/schema/crcaller"
	"crocusrack/schema/crcatalogue"
	endpointpb "crocusrack/schema/crendpoint"
	"crocusrack/schema/crpeer"
)

// Causes with which the context of a chat is cancelled.
var (
	errCancelled  = errors.New("the caller cancelled the request")
	errSuperseded = errors.New("the caller sent the request again")
)

// Chat runs a chat at an endpoint of the shard that the request names and passes
// the generated tokens to send. After a broken stream, it resumes the chat at
// another endpoint of the shard. Chat returns the end message and doesn't send it.
func (o *Owner) Chat(ctx context.Context, r *crpeer.ServeChatRequest, s *crcatalogue.Service, send func(*crcaller.ChatResponse) error) *crcaller.ChatEnd {
	ctx, end, ok := o.register(ctx, r.Request.RequestId, r.Request.Attempt)
	if !ok {
		return &crcaller.ChatEnd{
			Outcome:    crrequest.Cancelled(),
			TokenCount: uint32(len(r.Request.Received)),
			Instance:   o.Instance,
		}
	}
	defer end()
	deadline := crrequest.Deadline(time.Now(), r.Request.Deadline, s)
	ctx, cancel := context.WithDeadline(ctx, deadline)
	defer cancel()
	c := &chat{
		owner:    o,
		request:  r.Request,
		service:  s,
		send:     send,
		deadline: deadline,
		received: append([]string(nil), r.Request.Received...),
	}
	c.admission = c.admissionRequest(r)
	return c.run(ctx)
}

// chat is a chat request in progress.
type chat struct {
	owner     *Owner
	request   *crcaller.ChatRequest
	service   *crcatalogue.Service
	send      func(*crcaller.ChatResponse) error
	deadline  time.Time
	admission *cradmit.Request
	// received holds the tokens of the answer so far, in order, including those
	// that the caller received before it sent the request again.
	received []string
	// started is set when an endpoint may have run the chat, wholly or in part.
	started bool
}

// admissionRequest returns the request for admission of the chat. A chat that may not
// queue at this shard may still wait for an endpoint that holds its context.
func (c *chat) admissionRequest(r *crpeer.ServeChatRequest) *cradmit.Request {
	maxWait := defaultQueueWait
	if d := c.service.GetLimits().GetMaxQueueWait(); d != nil {
		maxWait = d.AsDuration()
	}
	return &cradmit.Request{
		Service:          c.service.Name,
		Shard:            shardKey(r.ShardService, r.ShardFailureDomain, r.ShardIndex),
		Chat:             crhash.Of(c.request.ChatKey),
		Prefixes:         crprefix.Hashes(c.request.Prompt, nil),
		PromptTokens:     crprefix.Count(c.request.Prompt),
		Class:            requestClass(c.request.Class, c.service),
		Account:          c.request.ClientAccount,
		Deadline:         c.deadline,
		MaxWait:          maxWait,
		RefusedElsewhere: r.Walked,
		HolderOnly:       !r.MayQueue,
	}
}

// run tries up to maxTries endpoints and returns the end message.
func (c *chat) run(ctx context.Context) *crcaller.ChatEnd {
	var last *crcaller.Outcome
	for try := range uint32(maxTries) {
		grant, refused := c.owner.admit(ctx, c.admission)
		if refused != nil {
			if c.started && last != nil {
				return c.end(last, grant, nil)
			}
			return c.end(refused, grant, nil)
		}
		result, firstToken := c.generate(ctx, grant, try)
		c.release(grant, try, result, firstToken)
		if result.Fate == crendpoint.Finished {
			return c.finish(grant, result)
		}
		if result.Fate == crendpoint.Broken {
			c.started = true
		}
		if ctx.Err() != nil {
			return c.end(c.stoppedOutcome(ctx), grant, nil)
		}
		c.admission.Avoid = grant.Endpoint
		last = failureOutcome(result, c.started)
	}
	return c.end(last, cradmit.Grant{}, nil)
}

// release gives a grant back to admission. If the result is Broken, for example because
// the stream failed or the request's context ended, the endpoint may still run the chat
// at the same time as the request that gets the freed capacity. release therefore
// cancels the chat at the endpoint first. If the cancellation times out, the grant is
// held for another orphanTime.
func (c *chat) release(g cradmit.Grant, try uint32, r crendpoint.Result, firstToken time.Duration) {
	done := func() { c.owner.done(c.service.Name, g, observationOf(r, firstToken)) }
	if r.Fate != crendpoint.Broken {
		done()
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), stopTimeout)
	defer cancel()
	err := c.owner.Endpoints.Cancel(ctx, g.Address, c.request.RequestId, c.attempt(try))
	if err != nil && ctx.Err() != nil {
		time.AfterFunc(orphanTime, done)
		return
	}
	done()
}

// attempt returns the attempt number that identifies one try at an endpoint among
// all tries of the request.
func (c *chat) attempt(try uint32) uint32 { return c.request.Attempt*attemptsPerSend + try }

// generate sends the chat to the endpoint of the grant, forwards the tokens that
// it generates, and returns the result and the time to first token. The time is
// zero if no message arrived.
func (c *chat) generate(ctx context.Context, g cradmit.Grant, try uint32) (crendpoint.Result, time.Duration) {
	start := time.Now()
	var firstToken time.Duration
	assembler := crretry.Assembler{RequestID: c.request.RequestId, Attempt: c.attempt(try)}
	if _, err := assembler.Accept(assembler.RequestID, assembler.Attempt, 0, c.received); err != nil {
		panic(err)
	}
	result := c.owner.Endpoints.Generate(ctx, g.Address, &endpointpb.GenerateRequest{
		RequestId: c.request.RequestId,
		Attempt:   assembler.Attempt,
		Model:     c.service.Model,
		Prompt:    c.request.Prompt,
		Received:  c.received,
		MaxTokens: c.maxTokens(),
		Priority:  uint32(c.admission.Class),
		Deadline:  timestamppb.New(c.deadline),
		Epoch:     g.Epoch,
	}, func(m *endpointpb.GenerateResponse) error {
		if firstToken == 0 {
			firstToken = time.Since(start)
		}
		newTokens, err := assembler.Accept(m.RequestId, m.Attempt, m.Offset, m.Tokens)
		if err != nil || len(newTokens) == 0 {
			return err
		}
		return c.forward(newTokens)
	})
	if result.Fate == crendpoint.Finished {
		if err := assembler.Finish(result.End.TokenCount); err != nil {
			result.Fate = crendpoint.Broken
			result.Err = err
		}
	}
	return result, firstToken
}

// maxTokens returns the limit on the length of the answer in tokens.
func (c *chat) maxTokens() uint32 {
	if c.request.MaxTokens > 0 {
		return c.request.MaxTokens
	}
	return crrequest.DefaultMaxTokens
}

// forward records new tokens and sends them to the caller.
func (c *chat) forward(newTokens []string) error {
	offset := uint32(len(c.received))
	c.received = append(c.received, newTokens...)
	return c.send(&crcaller.ChatResponse{
		RequestId: c.request.RequestId,
		Attempt:   c.request.Attempt,
		Offset:    offset,
		Tokens:    newTokens,
	})
}

// finish reports an answered chat to OnAnswer and OnContext and returns its end
// message.
func (c *chat) finish(g cradmit.Grant, r crendpoint.Result) *crcaller.ChatEnd {
	if f := c.owner.OnAnswer; f != nil {
		f(c.service.Name, int(r.End.PromptTokens), int(r.End.CachedTokens))
	}
	c.owner.rememberContext(c.admission, g, c.request.Prompt, c.received)
	return c.end(crrequest.Answered(), g, r.End)
}

// end returns the end message. e may be nil.
func (c *chat) end(o *crcaller.Outcome, g cradmit.Grant, e *endpointpb.GenerateEnd) *crcaller.ChatEnd {
	return &crcaller.ChatEnd{
		Outcome:      o,
		TokenCount:   uint32(len(c.received)),
		PromptTokens: e.GetPromptTokens(),
		CachedTokens: e.GetCachedTokens(),
		Endpoint:     g.Endpoint,
		Instance:     c.owner.Instance,
	}
}

// stoppedOutcome returns the outcome of a chat whose context has ended.
func (c *chat) stoppedOutcome(ctx context.Context) *crcaller.Outcome {
	if context.Cause(ctx) != context.DeadlineExceeded {
		return crrequest.Cancelled()
	}
	if !c.started {
		return notRunOutcome(ctx)
	}
	return crrequest.Unknown(crcaller.Reason_REASON_DEADLINE, "the deadline passed while the request ran")
}

// failureOutcome returns the outcome of a request after a failure at an endpoint,
// if it isn't tried again here. If started is set, an endpoint may have run the request.
func failureOutcome(r crendpoint.Result, started bool) *crcaller.Outcome {
	if started {
		return crrequest.Unknown(crcaller.Reason_REASON_ENDPOINT_FAILED, "the answer broke off at the endpoint")
	}
	if r.Fate == crendpoint.Refused {
		return crrequest.NotRun(crcaller.Reason_REASON_ENDPOINT_FAILED, retryAfterFailure, "the endpoints refused the request: %v", r.Refusal)
	}
	return crrequest.NotRun(crcaller.Reason_REASON_ENDPOINT_FAILED, retryAfterFailure, "the endpoints could not be reached")
}

// observationOf converts the result of a request at an endpoint to the observation
// that is reported to admission.
func observationOf(r crendpoint.Result, firstToken time.Duration) cradmit.Observation {
	b := cradmit.Observation{
		Epoch:        r.Epoch,
		FirstToken:   firstToken,
		PromptTokens: int(r.End.GetPromptTokens()),
		CachedTokens: int(r.End.GetCachedTokens()),
	}
	switch r.Fate {
	case crendpoint.Finished:
		b.Outcome = cradmit.Success
	case crendpoint.Refused:
		b.Outcome = refusalOutcome(r.Refusal)
	default:
		b.Outcome = cradmit.Failure
		if errors.Is(r.Err, context.Canceled) {
			b.Outcome = cradmit.Cancelled
		}
	}
	return b
}

// refusalOutcome converts an endpoint's refusal to the outcome that is reported to
// admission.
func refusalOutcome(r endpointpb.Refusal) cradmit.Outcome {
	switch r {
	case endpointpb.Refusal_REFUSAL_EPOCH:
		return cradmit.RefusedEpoch
	case endpointpb.Refusal_REFUSAL_LEAVING:
		return cradmit.RefusedLeaving
	}
	return cradmit.RefusedOverload
}
