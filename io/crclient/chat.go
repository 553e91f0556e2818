package crclient

import (
	"context"
	"crypto/rand"
	"net/netip"
	"slices"
	"time"

	"crocusrack/core/crretry"
	"crocusrack/io/crtransport"
	"crocusrack/schema/crcaller"

	"connectrpc.com/connect"
	"google.golang.org/protobuf/types/known/timestamppb"
)

// Chat is one turn of a chat. The context's deadline goes with it.
type Chat struct {
	Service string
	// Key names the chat; turns with the same key find their earlier context.
	Key string
	// Prompt is the whole context with the new turn at its end.
	Prompt    string
	MaxTokens uint32
	// Class overrides the service's class of work.
	Class string
	// RequestID names the request; a random one when empty.
	RequestID string
	// OnTokens, if set, gets each token of the answer once, in order.
	OnTokens func(tokens []string)
}

// ChatAnswer is the answer to a chat. Unless the outcome is answered, the
// tokens are only its beginning.
type ChatAnswer struct {
	Outcome
	RequestID string
	Tokens    []string
	// Attempts counts the sendings.
	Attempts     uint32
	PromptTokens uint32
	// CachedTokens are those of the prompt that the engine had in its cache.
	CachedTokens       uint32
	Endpoint, Instance string
}

// Chat sends a chat and returns its answer. A broken answer is resumed at
// another instance.
func (c *Client) Chat(ctx context.Context, chat Chat) ChatAnswer {
	c.setup()
	if chat.RequestID == "" {
		chat.RequestID = rand.Text()
	}
	t := &turn{
		client:    c,
		chat:      chat,
		answer:    ChatAnswer{RequestID: chat.RequestID},
		assembler: crretry.Assembler{RequestID: chat.RequestID},
	}
	s := sending{
		client: c,
		place:  place{chat.Service, chat.Key},
		again:  func(Outcome) bool { return true },
		send:   t.send,
	}
	t.answer.Outcome = s.run(ctx)
	t.answer.Attempts = s.attempt
	if t.answer.Cancelled() && s.attempt > 0 {
		c.cancelLate(ctx, s.place, chat.RequestID)
	}
	return t.answer
}

// cancelLate tells the fleet of a cancellation, as far as that works.
func (c *Client) cancelLate(ctx context.Context, p place, requestID string) {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), cancelTimeout)
	defer cancel()
	c.Cancel(ctx, p.service, p.chatKey, requestID)
}

// turn collects the answer to one chat over its sendings.
type turn struct {
	client    *Client
	chat      Chat
	answer    ChatAnswer
	assembler crretry.Assembler
}

func (t *turn) request(ctx context.Context, attempt uint32) *crcaller.ChatRequest {
	m := &crcaller.ChatRequest{
		RequestId:     t.chat.RequestID,
		Attempt:       attempt,
		Service:       t.chat.Service,
		ClientAccount: t.client.Account,
		ChatKey:       t.chat.Key,
		Prompt:        t.chat.Prompt,
		MaxTokens:     t.chat.MaxTokens,
		Class:         t.chat.Class,
		Received:      slices.Clone(t.answer.Tokens),
	}
	if deadline, ok := ctx.Deadline(); ok {
		m.Deadline = timestamppb.New(deadline)
	}
	return m
}

// send sends the chat to one instance and takes in what it answers.
func (t *turn) send(ctx context.Context, target netip.AddrPort, attempt uint32) Outcome {
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	silence := time.AfterFunc(t.client.Silence, func() { cancel(errSilent) })
	defer silence.Stop()
	var sent crtransport.Sent
	request := connect.NewRequest(t.request(ctx, attempt))
	stream, err := t.client.stub(target).Chat(sent.Trace(ctx), request)
	if err != nil {
		return failure(err, sent.Wrote())
	}
	defer stream.Close()
	t.assembler.Resume(attempt)
	for stream.Receive() {
		silence.Reset(t.client.Silence)
		m := stream.Msg()
		if t.crossed(m, attempt) {
			continue
		}
		if err := t.take(m); err != nil {
			return unknown(crcaller.Reason_REASON_INCOMPLETE, err)
		}
		if m.GetEnd() != nil {
			return t.end(m.GetEnd())
		}
	}
	if err := stream.Err(); err != nil {
		return failure(err, sent.Wrote())
	}
	return unknown(crcaller.Reason_REASON_INCOMPLETE, errNoEnd)
}

// crossed reports whether a message belongs to another request or attempt.
func (t *turn) crossed(m *crcaller.ChatResponse, attempt uint32) bool {
	return m.GetRequestId() != t.chat.RequestID || m.GetAttempt() != attempt
}

// take adds the tokens of a message that aren't there yet. Those that are have
// to be the same.
func (t *turn) take(m *crcaller.ChatResponse) error {
	fresh, err := t.assembler.Accept(m.GetRequestId(), m.GetAttempt(), m.GetOffset(), m.GetTokens())
	if err != nil {
		return err
	}
	repeated := m.GetTokens()[:len(m.GetTokens())-len(fresh)]
	held := t.answer.Tokens[min(int(m.GetOffset()), len(t.answer.Tokens)):]
	if !slices.Equal(repeated, held[:min(len(repeated), len(held))]) {
		return errCrossed
	}
	t.answer.Tokens = append(t.answer.Tokens, fresh...)
	if len(fresh) > 0 && t.chat.OnTokens != nil {
		t.chat.OnTokens(fresh)
	}
	return nil
}

// end checks that an answer is whole.
func (t *turn) end(m *crcaller.ChatEnd) Outcome {
	t.answer.PromptTokens = m.GetPromptTokens()
	t.answer.CachedTokens = m.GetCachedTokens()
	t.answer.Endpoint = m.GetEndpoint()
	t.answer.Instance = m.GetInstance()
	o := outcomeOf(m.GetOutcome())
	if o.Answered() {
		if err := t.assembler.Finish(m.GetTokenCount()); err != nil {
			return unknown(crcaller.Reason_REASON_INCOMPLETE, err)
		}
	}
	if o.Kind == crcaller.OutcomeKind_OUTCOME_KIND_UNSPECIFIED {
		return unknown(crcaller.Reason_REASON_INCOMPLETE, errNoEnd)
	}
	return o
}
