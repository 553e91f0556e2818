package crengine

import (
	"context"
	"time"

	"crocusrack/schema/crendpoint"

	"connectrpc.com/connect"
)

type handler struct{ engine *Engine }

// Generate runs a request, or follows the one that runs or ended here already.
func (h handler) Generate(ctx context.Context, r *connect.Request[crendpoint.GenerateRequest], stream *connect.ServerStream[crendpoint.GenerateResponse]) error {
	e := h.engine
	if err := e.faults.Pause(ctx); err != nil {
		return err
	}
	a, err := e.accept(r.Msg)
	if err != nil {
		return err
	}
	if a.refusal != crendpoint.Refusal_REFUSAL_UNSPECIFIED {
		return stream.Send(&crendpoint.GenerateResponse{
			RequestId: r.Msg.GetRequestId(),
			Attempt:   r.Msg.GetAttempt(),
			Refusal:   a.refusal,
			Epoch:     a.epoch,
		})
	}
	if a.started && e.OnStart != nil {
		e.OnStart(r.Msg.GetRequestId())
	}
	f := follower{engine: e, run: a.run, attempt: r.Msg.GetAttempt(), offset: len(r.Msg.GetReceived())}
	return f.follow(ctx, stream)
}

// acceptance is the engine's answer to a request: a run or a refusal.
type acceptance struct {
	run     *run
	started bool
	refusal crendpoint.Refusal
	epoch   uint64
}

func (e *Engine) accept(m *crendpoint.GenerateRequest) (acceptance, error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	a := acceptance{epoch: e.epoch}
	a.refusal = e.check(m)
	if a.refusal != crendpoint.Refusal_REFUSAL_UNSPECIFIED {
		return a, nil
	}
	if known := e.runs[m.GetRequestId()]; known != nil {
		a.run = known
		return a, known.takeOver(m.GetAttempt())
	}
	a.refusal = e.checkNew(m)
	if a.refusal == crendpoint.Refusal_REFUSAL_UNSPECIFIED {
		a.run = e.start(m)
		a.started = true
	}
	return a, nil
}

// check tells why a request is refused even if it is known here.
func (e *Engine) check(m *crendpoint.GenerateRequest) crendpoint.Refusal {
	switch {
	case m.GetRequestId() == "" || m.GetMaxTokens() == 0:
		return crendpoint.Refusal_REFUSAL_INVALID
	case m.GetEpoch() != 0 && m.GetEpoch() != e.epoch:
		return crendpoint.Refusal_REFUSAL_EPOCH
	default:
		return crendpoint.Refusal_REFUSAL_UNSPECIFIED
	}
}

// checkNew tells why a request that isn't known here is refused.
func (e *Engine) checkNew(m *crendpoint.GenerateRequest) crendpoint.Refusal {
	switch {
	case m.GetResumeOnly():
		return crendpoint.Refusal_REFUSAL_UNKNOWN_REQUEST
	case e.faults.Faults().GetLeaving():
		return crendpoint.Refusal_REFUSAL_LEAVING
	case m.GetModel() != "" && !e.orders.has(m.GetModel()):
		return crendpoint.Refusal_REFUSAL_MODEL_NOT_LOADED
	default:
		return crendpoint.Refusal_REFUSAL_UNSPECIFIED
	}
}

// takeOver makes a later attempt the one that gets the tokens.
func (r *run) takeOver(attempt uint32) error {
	if attempt <= r.attempt {
		return errOldAttempt
	}
	r.attempt = attempt
	if r.abandon != nil {
		r.abandon.Stop()
	}
	r.notify()
	return nil
}

// follower sends the tokens of a run to one client.
type follower struct {
	engine  *Engine
	run     *run
	attempt uint32
	offset  int
}

func (f *follower) follow(ctx context.Context, stream *connect.ServerStream[crendpoint.GenerateResponse]) error {
	for {
		response, changed, err := f.next()
		if err != nil {
			return err
		}
		if response == nil {
			select {
			case <-changed:
				continue
			case <-ctx.Done():
				f.leave()
				return ctx.Err()
			}
		}
		if err := stream.Send(response); err != nil {
			f.leave()
			return err
		}
		if response.GetEnd() != nil {
			return nil
		}
	}
}

// next returns the next message, or a channel that is closed when there may be
// one.
func (f *follower) next() (*crendpoint.GenerateResponse, <-chan struct{}, error) {
	f.engine.mu.Lock()
	defer f.engine.mu.Unlock()
	r := f.run
	if r.attempt != f.attempt {
		return nil, nil, errTakenOver
	}
	if r.err != nil {
		return nil, nil, r.err
	}
	response := &crendpoint.GenerateResponse{
		RequestId: r.id,
		Attempt:   f.attempt,
		Offset:    uint32(f.offset),
		Epoch:     r.epoch,
	}
	for f.offset < r.produced {
		response.Tokens = append(response.Tokens, token(r.seed, f.offset))
		f.offset++
	}
	if r.done() {
		response.End = &crendpoint.GenerateEnd{
			TokenCount:   uint32(r.length),
			PromptTokens: uint32(r.promptTokens),
			CachedTokens: uint32(r.cachedTokens),
		}
	}
	if len(response.GetTokens()) == 0 && response.GetEnd() == nil {
		return nil, r.changed, nil
	}
	return response, nil, nil
}

// leave lets the run go on for the grace time, for a client that resumes it.
func (f *follower) leave() {
	e := f.engine
	e.mu.Lock()
	defer e.mu.Unlock()
	r := f.run
	if r.attempt == f.attempt && !r.done() {
		r.abandon = time.AfterFunc(e.Grace, func() { e.abandon(r, f.attempt) })
	}
}

func (e *Engine) abandon(r *run, attempt uint32) {
	e.mu.Lock()
	current := r.attempt == attempt
	e.mu.Unlock()
	if current {
		e.stop(r, errAbandoned)
	}
}

// Cancel stops a request.
func (h handler) Cancel(ctx context.Context, r *connect.Request[crendpoint.CancelRequest]) (*connect.Response[crendpoint.CancelResponse], error) {
	e := h.engine
	if err := e.faults.Pause(ctx); err != nil {
		return nil, err
	}
	e.mu.Lock()
	known := e.runs[r.Msg.GetRequestId()]
	found := known != nil && !known.done() && (r.Msg.GetAttempt() == 0 || known.attempt <= r.Msg.GetAttempt())
	e.mu.Unlock()
	if found {
		e.stop(known, errCancelled)
	}
	return connect.NewResponse(&crendpoint.CancelResponse{Found: found}), nil
}
