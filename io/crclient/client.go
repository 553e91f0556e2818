// Package crclient is the callers' client. It asks the fleet which instances to
// use and keeps the answer until it expires, moves on when an instance leaves
// or fails, resumes broken answers, and repeats nothing that must not be
// repeated. How a request ended is told as a value.
package crclient

import (
	"context"
	"net/http"
	"net/netip"
	"sync"
	"time"

	"crocusrack/core/crbackoff"
	"crocusrack/core/crretry"
	"crocusrack/schema/crcaller"
	"crocusrack/schema/crcaller/crcallerconnect"

	"connectrpc.com/connect"
)

const (
	// DefaultScheme is the URL scheme of a Client that sets none.
	DefaultScheme = "https"
	// DefaultTries is how often a Client that sets no Tries sends a request.
	DefaultTries = 5
	// DefaultAddressTimeout bounds one question for addresses.
	DefaultAddressTimeout = 2 * time.Second
	// DefaultRetryShare is the share of requests that a Client that sets none
	// retries.
	DefaultRetryShare = 0.2
	// DefaultRetriesPerSecond is what it may retry besides.
	DefaultRetriesPerSecond = 10
	// DefaultSilence is the longest silence of an instance amid a chat.
	DefaultSilence = 20 * time.Second

	firstBackoff   = 50 * time.Millisecond
	longestBackoff = 5 * time.Second
	cancelTimeout  = 2 * time.Second
	// retryWindow is how long unused retries are kept.
	retryWindow = 10 * time.Second
)

// Client sends requests to the fleet. Its exported fields are set before the
// first use. It is safe for concurrent use.
type Client struct {
	// Seeds are caller addresses of some instances, to start from.
	Seeds []netip.AddrPort
	// HTTP makes the calls; nil is http.DefaultClient. For plain text it needs
	// HTTP/2 without TLS, as one of crtransport has. Its transport has to heed
	// the context's httptrace, as http.Transport does, which tells whether a
	// request was sent.
	HTTP *http.Client
	// Scheme is http or https; empty is DefaultScheme.
	Scheme string
	// Account is the client account, FailureDomain that of this process if it
	// is known.
	Account, FailureDomain string
	// Tries is how often a request is sent at most; 0 is DefaultTries.
	Tries int
	// RetryShare and RetriesPerSecond bound the retries of this process, so that
	// a fault doesn't multiply its load; 0 is the default. What was refused by
	// one instance, or couldn't be sent to it, goes to the next all the same.
	RetryShare, RetriesPerSecond float64
	// AddressTimeout bounds one question for addresses; 0 is
	// DefaultAddressTimeout.
	AddressTimeout time.Duration
	// Silence is the time without a message after which a chat moves on to
	// another instance; 0 is DefaultSilence.
	Silence time.Duration
	// Jitter replaces the random waits between retries.
	Jitter func(bound time.Duration) time.Duration

	once    sync.Once
	backoff crbackoff.Backoff

	mu        sync.Mutex
	stubs     map[netip.AddrPort]crcallerconnect.CallerServiceClient
	instances instances
	answers   addressCache
	retries   crretry.Budget
}

func (c *Client) setup() {
	c.once.Do(func() {
		if c.HTTP == nil {
			c.HTTP = http.DefaultClient
		}
		if c.Scheme == "" {
			c.Scheme = DefaultScheme
		}
		if c.Tries == 0 {
			c.Tries = DefaultTries
		}
		if c.AddressTimeout == 0 {
			c.AddressTimeout = DefaultAddressTimeout
		}
		if c.Silence == 0 {
			c.Silence = DefaultSilence
		}
		if c.RetryShare == 0 {
			c.RetryShare = DefaultRetryShare
		}
		if c.RetriesPerSecond == 0 {
			c.RetriesPerSecond = DefaultRetriesPerSecond
		}
		c.retries = crretry.Budget{Share: c.RetryShare, MinPerSecond: c.RetriesPerSecond, Window: retryWindow}
		c.backoff = crbackoff.Backoff{Base: firstBackoff, Max: longestBackoff, Jitter: c.Jitter}
		c.stubs = make(map[netip.AddrPort]crcallerconnect.CallerServiceClient)
		c.instances.init(c.Seeds)
		c.answers.init()
	})
}

// stub returns the client of one instance.
func (c *Client) stub(address netip.AddrPort) crcallerconnect.CallerServiceClient {
	c.mu.Lock()
	defer c.mu.Unlock()
	s := c.stubs[address]
	if s == nil {
		s = crcallerconnect.NewCallerServiceClient(c.HTTP, c.Scheme+"://"+address.String())
		c.stubs[address] = s
	}
	return s
}

// request counts a request, which adds to the retry budget.
func (c *Client) request() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.retries.Request(time.Now())
}

// retry takes a retry out of the budget and reports whether it was there.
func (c *Client) retry() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.retries.Spend(time.Now())
}

// Cancel stops a request that runs. It reports whether one was found.
func (c *Client) Cancel(ctx context.Context, service, chatKey, requestID string) (found bool, err error) {
	c.setup()
	request := &crcaller.CancelRequest{RequestId: requestID, Service: service, ChatKey: chatKey}
	response, err := ask(ctx, c, func(ctx context.Context, s crcallerconnect.CallerServiceClient) (*connect.Response[crcaller.CancelResponse], error) {
		return s.Cancel(ctx, connect.NewRequest(request))
	})
	return response.GetFound(), err
}

// Lookup is what the fleet still knows of an earlier request.
type Lookup struct {
	Running bool
	// NotStarted tells that the execution token has not started, and still may.
	// The outcome is unknown then: a copy of the request may be on its way.
	NotStarted bool
	// Outcome is the zero Outcome while the request runs.
	Outcome Outcome
	Body    []byte
	// BodyNotKept tells that the request was answered and its body isn't kept.
	BodyNotKept bool
}

// Lookup asks how an earlier request ended.
func (c *Client) Lookup(ctx context.Context, requestID string) (Lookup, error) {
	c.setup()
	request := &crcaller.OutcomeRequest{RequestId: requestID}
	response, err := ask(ctx, c, func(ctx context.Context, s crcallerconnect.CallerServiceClient) (*connect.Response[crcaller.OutcomeResponse], error) {
		return s.Outcome(ctx, connect.NewRequest(request))
	})
	if err != nil {
		return Lookup{}, err
	}
	return Lookup{
		Running:     response.GetRunning(),
		NotStarted:  response.GetNotStarted(),
		Outcome:     outcomeOf(response.GetOutcome()),
		Body:        response.GetBody(),
		BodyNotKept: response.GetBodyNotKept(),
	}, nil
}

// ask puts a question that any instance can answer to one after the other.
func ask[A any](ctx context.Context, c *Client, method func(context.Context, crcallerconnect.CallerServiceClient) (*connect.Response[A], error)) (*A, error) {
	err := errNoSeeds
	for _, address := range c.entries() {
		var response *connect.Response[A]
		response, err = askOne(ctx, c, address, method)
		if err == nil {
			return response.Msg, nil
		}
		if ctx.Err() != nil || refusedByServer(err) {
			return nil, err
		}
		c.failed(address)
	}
	return nil, err
}

func askOne[A any](ctx context.Context, c *Client, address netip.AddrPort, method func(context.Context, crcallerconnect.CallerServiceClient) (*connect.Response[A], error)) (*connect.Response[A], error) {
	ctx, cancel := context.WithTimeout(ctx, c.AddressTimeout)
	defer cancel()
	return method(ctx, c.stub(address))
}
