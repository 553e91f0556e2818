package crentry

import (
	"context"
	"errors"
	"time"

	"connectrpc.com/connect"

	"crocusrack/core/crbackoff"
	"crocusrack/core/crhash"
	"crocusrack/core/crretry"
	"crocusrack/core/crshard"
	"crocusrack/io/crpeer"
	"crocusrack/io/crrequest"
	"crocusrack/schema/crcaller"
	pb "crocusrack/schema/crcatalogue"
	peerpb "crocusrack/schema/crpeer"
)

var (
	errCancelled = errors.New("the caller cancelled the request")
	errStopped   = errors.New("the instance stops")
)

// Chat serves one chat request of a caller. It streams the tokens of the answer and
// then one end message with the outcome.
func (e *Entry) Chat(ctx context.Context, r *connect.Request[crcaller.ChatRequest], stream *connect.ServerStream[crcaller.ChatResponse]) error {
	end := e.chat(ctx, r.Msg, stream.Send)
	e.OnRequestEnded(r.Msg.Service, end.Outcome)
	return stream.Send(&crcaller.ChatResponse{
		RequestId: r.Msg.RequestId,
		Attempt:   r.Msg.Attempt,
		Offset:    end.TokenCount,
		End:       end,
	})
}

func (e *Entry) chat(ctx context.Context, r *crcaller.ChatRequest, send func(*crcaller.ChatResponse) error) *crcaller.ChatEnd {
	s, refused := e.checkChat(r)
	if refused != nil {
		return e.newChatEnd(r, refused)
	}
	release, refused := e.admit(r.Service, r.ClientAccount)
	if refused != nil {
		return e.newChatEnd(r, refused)
	}
	defer release()
	e.Retries.recordRequest(r.Service)
	ctx, untrack := e.track(ctx, r.RequestId)
	defer untrack()
	deadline := crrequest.Deadline(time.Now(), r.Deadline, s)
	ctx, cancel := context.WithDeadline(ctx, deadline)
	defer cancel()
	c := &chat{
		entry:    e,
		request:  r,
		service:  s,
		send:     send,
		deadline: deadline,
		received: append([]string(nil), r.Received...),
		// A caller that already has tokens of the answer resumes a chat that has run.
		mayHaveRun: len(r.Received) > 0,
	}
	return c.run(ctx)
}

// checkChat returns the service of a valid chat, or the refusal of an invalid one.
func (e *Entry) checkChat(r *crcaller.ChatRequest) (*pb.Service, *crcaller.Outcome) {
	if refused := crrequest.CheckChat(r); refused != nil {
		return nil, refused
	}
	s, refused := e.check(r.Service, r.ClientAccount)
	if refused != nil {
		return nil, refused
	}
	if s.Kind != pb.ServiceKind_SERVICE_KIND_MODEL {
		return nil, crrequest.NotRun(crcaller.Reason_REASON_INVALID, 0, "service %q takes calls, not chats", s.Name)
	}
	return s, crrequest.CheckLimits(r, s)
}

// newChatEnd returns an end message with the outcome and the count of the tokens that
// the request has received.
func (e *Entry) newChatEnd(r *crcaller.ChatRequest, o *crcaller.Outcome) *crcaller.ChatEnd {
	return &crcaller.ChatEnd{Outcome: o, TokenCount: uint32(len(r.Received)), Instance: e.Instance}
}

// chat is one chat in progress.
type chat struct {
	entry    *Entry
	request  *crcaller.ChatRequest
	service  *pb.Service
	send     func(*crcaller.ChatResponse) error
	deadline time.Time
	// received holds the tokens of the answer received so far, in order.
	received []string
	// sends counts the times that the chat was sent to an owner.
	sends uint32
	// mayHaveRun tells whether an endpoint may have run the chat.
	mayHaveRun bool
}

// maxSends bounds how often one attempt of a caller is sent to owners. Each of these
// gets the attempt number Attempt*maxSends + sends, so the bound keeps the numbers of
// one attempt of the caller below those of its next.
const maxSends = 32

// run tries the shards until the chat ends, and tries them again after a failure
// while the retry budget and the deadline allow it.
func (c *chat) run(ctx context.Context) *crcaller.ChatEnd {
	for round := 1; ; round++ {
		end := c.tryShards(ctx)
		if ctx.Err() != nil && !isFinal(end.Outcome) {
			return c.entry.interrupted(ctx, c, end)
		}
		if isFinal(end.Outcome) {
			end.Outcome = c.requestOutcome(end.Outcome, 0)
			return end
		}
		d := c.entry.Retries.decide(c.request.Service, failedRound(round, end.Outcome, true, c.deadline))
		if !d.Retry {
			end.Outcome = c.requestOutcome(end.Outcome, d.RetryAfter)
			return end
		}
		if crbackoff.Sleep(ctx, d.After) != nil {
			return c.entry.interrupted(ctx, c, end)
		}
		if _, refused := c.entry.check(c.request.Service, c.request.ClientAccount); refused != nil {
			end.Outcome = c.requestOutcome(refused, 0)
			return end
		}
	}
}

// requestOutcome returns the outcome of the whole request, given the outcome of its
// last round over the shards. A chat that may have run in an earlier round can't end
// as "not run".
func (c *chat) requestOutcome(o *crcaller.Outcome, retryAfter time.Duration) *crcaller.Outcome {
	if c.mayHaveRun && o.Kind == crcaller.OutcomeKind_OUTCOME_KIND_NOT_RUN {
		return crrequest.Unknown(o.Reason, "the answer broke off and could not go on: %s", o.Detail)
	}
	return withRetryAfter(o, retryAfter)
}

// isFinal reports whether the request must not be tried again after this outcome.
func isFinal(o *crcaller.Outcome) bool {
	return o.Kind == crcaller.OutcomeKind_OUTCOME_KIND_ANSWERED ||
		o.Kind == crcaller.OutcomeKind_OUTCOME_KIND_CANCELLED ||
		o.Reason == crcaller.Reason_REASON_DEADLINE
}

// tryShards tries the shards in the order of the chat's affinity.
func (c *chat) tryShards(ctx context.Context) *crcaller.ChatEnd {
	end := c.entry.newChatEnd(c.request, noEndpoint(c.request.Service))
	hash := crhash.Of(c.request.ChatKey)
	for _, s := range c.entry.plan(c.request.Service, hash) {
		if c.sends++; c.sends >= maxSends {
			break
		}
		c.entry.reportRetry(c.sends)
		end = withShorterRetryAfter(end, c.sendToOwner(ctx, s))
		if end.Outcome.Kind == crcaller.OutcomeKind_OUTCOME_KIND_ANSWERED {
			c.entry.chatShards.record(hash, s)
		}
		if isFinal(end.Outcome) || ctx.Err() != nil {
			break
		}
	}
	end.TokenCount = uint32(len(c.received))
	return end
}

func noEndpoint(service string) *crcaller.Outcome {
	return crrequest.NotRun(crcaller.Reason_REASON_NO_ENDPOINT, notReadyRetry, "no endpoint of service %q is usable", service)
}

// withShorterRetryAfter returns the later end. If both ends have a RetryAfter, the
// result has the shorter one.
func withShorterRetryAfter(earlier, later *crcaller.ChatEnd) *crcaller.ChatEnd {
	before, after := earlier.Outcome.RetryAfter, later.Outcome.RetryAfter
	if before != nil && after != nil && before.AsDuration() < after.AsDuration() {
		later.Outcome.RetryAfter = before
	}
	return later
}

// sendToOwner runs the chat at the owner of one shard.
func (c *chat) sendToOwner(ctx context.Context, s crshard.Step) *crcaller.ChatEnd {
	request := &peerpb.ServeChatRequest{
		Request:            c.nextRequest(),
		ShardService:       s.Service,
		ShardFailureDomain: s.FailureDomain,
		ShardIndex:         int32(s.Index),
		Walked:             s.RefusedElsewhere,
		MayQueue:           s.MayQueue,
	}
	assembler := &crretry.Assembler{RequestID: c.request.RequestId, Attempt: request.Request.Attempt}
	if _, err := assembler.Accept(assembler.RequestID, assembler.Attempt, 0, c.received); err != nil {
		panic(err)
	}
	forward := func(m *crcaller.ChatResponse) error { return c.forward(assembler, m) }
	var end *crcaller.ChatEnd
	if s.Owner == c.entry.Instance {
		end = c.entry.Owner.Chat(ctx, request, c.service, forward)
	} else {
		end = c.sendToPeer(ctx, s.Owner, request, forward)
	}
	return c.checkEnd(end)
}

// nextRequest returns the request with the tokens received so far and an attempt number
// of its own.
func (c *chat) nextRequest() *crcaller.ChatRequest {
	r := &crcaller.ChatRequest{
		RequestId:     c.request.RequestId,
		Attempt:       c.request.Attempt*maxSends + c.sends,
		Service:       c.request.Service,
		ClientAccount: c.request.ClientAccount,
		ChatKey:       c.request.ChatKey,
		Prompt:        c.request.Prompt,
		MaxTokens:     c.request.MaxTokens,
		Deadline:      timestamp(c.deadline),
		Class:         c.request.Class,
		Received:      c.received[:len(c.received):len(c.received)],
	}
	return r
}

// forward sends the tokens of m that the caller doesn't have yet to the caller.
func (c *chat) forward(a *crretry.Assembler, m *crcaller.ChatResponse) error {
	tokens, err := a.Accept(m.RequestId, m.Attempt, m.Offset, m.Tokens)
	if err != nil || len(tokens) == 0 {
		return err
	}
	offset := uint32(len(c.received))
	c.received = append(c.received, tokens...)
	return c.send(&crcaller.ChatResponse{
		RequestId: c.request.RequestId,
		Attempt:   c.request.Attempt,
		Offset:    offset,
		Tokens:    tokens,
	})
}

// checkEnd records whether the chat may have run, and changes the outcome "answered" to
// "unknown" if tokens are missing.
func (c *chat) checkEnd(end *crcaller.ChatEnd) *crcaller.ChatEnd {
	switch end.Outcome.Kind {
	case crcaller.OutcomeKind_OUTCOME_KIND_UNKNOWN:
		c.mayHaveRun = true
	case crcaller.OutcomeKind_OUTCOME_KIND_ANSWERED:
		if int(end.TokenCount) != len(c.received) {
			c.mayHaveRun = true
			end.Outcome = crrequest.Unknown(crcaller.Reason_REASON_INCOMPLETE, "%d of %d tokens arrived", len(c.received), end.TokenCount)
		}
	}
	return end
}

// sendToPeer runs the chat at another instance and passes the messages of its stream
// to forward.
func (c *chat) sendToPeer(ctx context.Context, owner string, r *peerpb.ServeChatRequest, forward func(*crcaller.ChatResponse) error) *crcaller.ChatEnd {
	client, ok := c.entry.peerClient(owner)
	if !ok {
		return c.entry.newChatEnd(c.request, unreachable(owner))
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	var sent crpeer.Sent
	stream, err := client.ServeChat(sent.Trace(ctx), r)
	if err != nil {
		return c.connectionLost(owner, &sent)
	}
	for {
		m, err := stream.Recv()
		if err != nil {
			return c.connectionLost(owner, &sent)
		}
		if m.End != nil {
			return m.End
		}
		if forward(m) != nil {
			return c.connectionLost(owner, &sent)
		}
	}
}

// connectionLost returns the end of a chat whose connection to the owner failed. The
// outcome is "not run" only if nothing of the request was written.
func (c *chat) connectionLost(owner string, sent *crpeer.Sent) *crcaller.ChatEnd {
	if !sent.Wrote() {
		return c.entry.newChatEnd(c.request, unreachable(owner))
	}
	o := crrequest.Unknown(crcaller.Reason_REASON_CONNECTION_LOST, "the connection to instance %q was lost", owner)
	return c.entry.newChatEnd(c.request, o)
}

func unreachable(owner string) *crcaller.Outcome {
	return crrequest.NotRun(crcaller.Reason_REASON_CONNECTION_LOST, notReadyRetry, "instance %q can't be reached", owner)
}

// interrupted returns the end of a chat whose context ended: its deadline passed or it
// was cancelled.
func (e *Entry) interrupted(ctx context.Context, c *chat, end *crcaller.ChatEnd) *crcaller.ChatEnd {
	end.Outcome = crrequest.Cancelled()
	if errors.Is(context.Cause(ctx), context.DeadlineExceeded) {
		end.Outcome = crrequest.NotRun(crcaller.Reason_REASON_DEADLINE, 0, "the deadline passed before the request was run")
		if c.mayHaveRun {
			end.Outcome = crrequest.Unknown(crcaller.Reason_REASON_DEADLINE, "the deadline passed while the request ran")
		}
	}
	end.TokenCount = uint32(len(c.received))
	return end
}
