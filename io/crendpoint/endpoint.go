// Package crendpoint implements the client of endpoints, which are model engines and plain
// services. A Result says whether a request was refused, was never sent, or may have run.
package crendpoint

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"net/netip"
	"sync"

	"connectrpc.com/connect"

	"crocusrack/io/crtransport"
	"crocusrack/schema/crendpoint"
	"crocusrack/schema/crendpoint/crendpointconnect"
)

// Fate is the way in which a request to an endpoint ended.
type Fate uint8

const (
	// Finished means that the endpoint completed the request.
	Finished Fate = iota
	// NotSent means that nothing was sent to the endpoint.
	NotSent
	// Refused means that the endpoint answered that it won't run the request.
	Refused
	// Broken means that the request may have run completely or in part.
	Broken
)

// Result is the result of a request to an endpoint.
type Result struct {
	Fate Fate
	// Refusal is the endpoint's reason. It is set if Fate is Refused.
	Refusal crendpoint.Refusal
	// Epoch is the epoch in the endpoint's answer, or 0 if there was none.
	Epoch uint64
	// End is the last message of a generation. It is set if Fate is Finished.
	End *crendpoint.GenerateEnd
	// Body is the answer of a plain service. It is set if Fate is Finished.
	Body []byte
	// Err is the cause if Fate is NotSent or Broken.
	Err error
}

// Client sends requests to endpoints. Set the exported fields before first use. It is safe
// for concurrent use.
type Client struct {
	HTTP *http.Client
	// Scheme is http or https.
	Scheme string
	// Late is called for each answer that belongs to another request or attempt. It may be
	// nil.
	Late func()

	mu      sync.Mutex
	engines map[netip.AddrPort]crendpointconnect.EngineServiceClient
	plains  map[netip.AddrPort]crendpointconnect.PlainServiceClient
}

var errCrossed = errors.New("the endpoint answered another request")

// Generate sends a request to a model engine and calls emit for each message that contains
// tokens, in order. Messages of other requests or attempts are dropped. An error of emit
// cancels the request.
func (c *Client) Generate(ctx context.Context, at netip.AddrPort, r *crendpoint.GenerateRequest, emit func(*crendpoint.GenerateResponse) error) Result {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	var sent crtransport.Sent
	stream, err := c.engine(at).Generate(sent.Trace(ctx), connect.NewRequest(r))
	if err != nil {
		return failure(&sent, err)
	}
	defer stream.Close()
	result := Result{Fate: Broken}
	for stream.Receive() {
		m := stream.Msg()
		if m.RequestId != r.RequestId || m.Attempt != r.Attempt {
			c.late()
			continue
		}
		result.Epoch = m.Epoch
		if m.Refusal != crendpoint.Refusal_REFUSAL_UNSPECIFIED {
			result.Fate = Refused
			result.Refusal = m.Refusal
			return result
		}
		if len(m.Tokens) > 0 {
			if err := emit(m); err != nil {
				result.Err = err
				return result
			}
		}
		if m.End != nil {
			result.Fate = Finished
			result.End = m.End
			return result
		}
	}
	result.Err = stream.Err()
	if result.Err == nil {
		result.Err = errors.New("the stream ended without an end message")
	}
	if !sent.Wrote() {
		result.Fate = NotSent
	}
	return result
}

// Execute sends a request to an endpoint of a plain service.
func (c *Client) Execute(ctx context.Context, at netip.AddrPort, r *crendpoint.ExecuteRequest) Result {
	var sent crtransport.Sent
	response, err := c.plain(at).Execute(sent.Trace(ctx), connect.NewRequest(r))
	if err != nil {
		return failure(&sent, err)
	}
	m := response.Msg
	if m.RequestId != r.RequestId || m.Attempt != r.Attempt {
		c.late()
		return Result{Fate: Broken, Err: errCrossed}
	}
	if m.Refusal != crendpoint.Refusal_REFUSAL_UNSPECIFIED {
		return Result{Fate: Refused, Refusal: m.Refusal, Epoch: m.Epoch}
	}
	return Result{Fate: Finished, Epoch: m.Epoch, Body: m.Body}
}

// Report returns the load that an endpoint reports about itself. engine is true for a model
// engine.
func (c *Client) Report(ctx context.Context, at netip.AddrPort, engine bool) (*crendpoint.ReportResponse, error) {
	request := connect.NewRequest(&crendpoint.ReportRequest{})
	ask := c.plain(at).Report
	if engine {
		ask = c.engine(at).Report
	}
	response, err := ask(ctx, request)
	if err != nil {
		return nil, fmt.Errorf("report of %v: %w", at, err)
	}
	return response.Msg, nil
}

// Unreached reports whether an error of Report means that the endpoint didn't answer. An
// endpoint that sends no reports answers that it doesn't implement the call.
func Unreached(err error) bool {
	code := connect.CodeOf(err)
	return code == connect.CodeUnavailable || code == connect.CodeDeadlineExceeded
}

// Cancel asks a model engine to stop an attempt of a request. The engine ignores it if it
// runs a later attempt.
func (c *Client) Cancel(ctx context.Context, at netip.AddrPort, requestID string, attempt uint32) error {
	_, err := c.engine(at).Cancel(ctx, connect.NewRequest(&crendpoint.CancelRequest{RequestId: requestID, Attempt: attempt}))
	if err != nil {
		return fmt.Errorf("cancel at %v: %w", at, err)
	}
	return nil
}

// CacheEvents calls take for each change of an engine's prefix cache after a sequence number,
// until the context ends or the stream breaks off. Changes arrive late, and some are
// missing.
func (c *Client) CacheEvents(ctx context.Context, at netip.AddrPort, after uint64, take func(*crendpoint.CacheEvent)) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	stream, err := c.engine(at).CacheEvents(ctx, connect.NewRequest(&crendpoint.CacheEventsRequest{AfterSequence: after}))
	if err != nil {
		return fmt.Errorf("cache events of %v: %w", at, err)
	}
	defer stream.Close()
	for stream.Receive() {
		take(stream.Msg())
	}
	if err := stream.Err(); err != nil {
		return fmt.Errorf("cache events of %v: %w", at, err)
	}
	return nil
}

// MoveCache copies a cached prefix from one engine to another. It reports whether the second
// engine has stored it. The first engine keeps it.
func (c *Client) MoveCache(ctx context.Context, from, to netip.AddrPort, prefix uint64) (bool, error) {
	exported, err := c.engine(from).ExportCache(ctx, connect.NewRequest(&crendpoint.ExportCacheRequest{Prefix: prefix}))
	if err != nil {
		return false, fmt.Errorf("export from %v: %w", from, err)
	}
	if !exported.Msg.Found {
		return false, nil
	}
	imported, err := c.engine(to).ImportCache(ctx, connect.NewRequest(&crendpoint.ImportCacheRequest{
		Prefix: prefix,
		Cache:  exported.Msg.Cache,
		Tokens: exported.Msg.Tokens,
	}))
	if err != nil {
		return false, fmt.Errorf("import to %v: %w", to, err)
	}
	return imported.Msg.Stored, nil
}

func (c *Client) late() {
	if c.Late != nil {
		c.Late()
	}
}

func failure(sent *crtransport.Sent, err error) Result {
	if sent.Wrote() {
		return Result{Fate: Broken, Err: err}
	}
	return Result{Fate: NotSent, Err: err}
}

func (c *Client) engine(at netip.AddrPort) crendpointconnect.EngineServiceClient {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.engines == nil {
		c.engines = make(map[netip.AddrPort]crendpointconnect.EngineServiceClient)
	}
	client, ok := c.engines[at]
	if !ok {
		client = crendpointconnect.NewEngineServiceClient(c.HTTP, c.url(at))
		c.engines[at] = client
	}
	return client
}

func (c *Client) plain(at netip.AddrPort) crendpointconnect.PlainServiceClient {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.plains == nil {
		c.plains = make(map[netip.AddrPort]crendpointconnect.PlainServiceClient)
	}
	client, ok := c.plains[at]
	if !ok {
		client = crendpointconnect.NewPlainServiceClient(c.HTTP, c.url(at))
		c.plains[at] = client
	}
	return client
}

func (c *Client) url(at netip.AddrPort) string {
	return c.Scheme + "://" + at.String()
}
