// Package crendpoint is the client of endpoints: model engines and plain
// services. Its results are values: a request that an endpoint refused, or
// that was never written to it, is told apart from one that may have run.
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

// Fate tells what became of a request at an endpoint.
type Fate uint8

const (
	// Finished means that the endpoint ended the request itself.
	Finished Fate = iota
	// NotSent means that nothing was written to the endpoint.
	NotSent
	// Refused means that the endpoint said it won't run the request.
	Refused
	// Broken means that the request may have run, wholly or in part.
	Broken
)

// Result is the end of a request at an endpoint.
type Result struct {
	Fate    Fate
	Refusal crendpoint.Refusal
	// Epoch is the endpoint's, when it told one; otherwise 0.
	Epoch uint64
	// End is set when a generation finished.
	End *crendpoint.GenerateEnd
	// Body is set when an execution finished.
	Body []byte
	// Err is the cause when Fate is NotSent or Broken.
	Err error
}

// Client talks to any number of endpoints. Set the fields before use.
type Client struct {
	HTTP *http.Client
	// Scheme is http or https.
	Scheme string
	// Late, if set, is told of each answer of another request or attempt.
	Late func()

	mu      sync.Mutex
	engines map[netip.AddrPort]crendpointconnect.EngineServiceClient
	plains  map[netip.AddrPort]crendpointconnect.PlainServiceClient
}

var errCrossed = errors.New("the endpoint answered another request")

// Generate runs a request at a model engine and passes each message with
// tokens to emit, in order. Messages of another request or attempt are
// dropped. An error from emit cancels the request.
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

// Execute sends one request to a plain service.
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

// Report asks an endpoint for its own view of its load.
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

// Unreached reports whether an error of a report means that nothing answered.
// An endpoint that gives no reports answers that it doesn't know the call.
func Unreached(err error) bool {
	code := connect.CodeOf(err)
	return code == connect.CodeUnavailable || code == connect.CodeDeadlineExceeded
}

// Cancel asks a model engine to stop a request, unless a later attempt has
// taken it over.
func (c *Client) Cancel(ctx context.Context, at netip.AddrPort, requestID string, attempt uint32) error {
	_, err := c.engine(at).Cancel(ctx, connect.NewRequest(&crendpoint.CancelRequest{RequestId: requestID, Attempt: attempt}))
	if err != nil {
		return fmt.Errorf("cancel at %v: %w", at, err)
	}
	return nil
}

// CacheEvents passes the changes of an engine's prefix cache after a sequence
// number to take, until the context ends or the stream breaks. They come late
// and with gaps.
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

// MoveCache copies the cached prefix from one engine to another. It reports
// whether the second engine has stored it.
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
