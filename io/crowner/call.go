package crowner

import (
	"context"
	"time"

	"google.golang.org/protobuf/types/known/timestamppb"

	"crocusrack/core/cradmit"
	"crocusrack/core/crhash"
	"crocusrack/io/crendpoint"
	"crocusrack/io/crrequest"
	"crocusrack/schema/crcaller"
	"crocusrack/schema/crcatalogue"
	endpointpb "crocusrack/schema/crendpoint"
	"crocusrack/schema/crpeer"
)

const (
	// defaultQueueWait is the longest time that a request waits for admission,
	// unless its service sets another limit for chats.
	defaultQueueWait = 2 * time.Second
	// retryAfterFailure is the time after which a caller may retry a request that
	// no endpoint could run.
	retryAfterFailure = time.Second
)

// Call runs a call at an endpoint of the shard that the request names. If that
// fails, Call tries another endpoint, unless the call may have run and isn't
// repeatable.
func (o *Owner) Call(ctx context.Context, r *crpeer.ServeCallRequest, s *crcatalogue.Service) *crcaller.CallResponse {
	o.countCall(1)
	defer o.countCall(-1)
	deadline := crrequest.Deadline(time.Now(), r.Request.Deadline, s)
	ctx, cancel := context.WithDeadline(ctx, deadline)
	defer cancel()
	c := &call{owner: o, request: r.Request, deadline: deadline}
	c.admission = &cradmit.Request{
		Service:          s.Name,
		Shard:            shardKey(r.ShardService, r.ShardFailureDomain, r.ShardIndex),
		Chat:             crhash.Of(endpointKey(r.Request)),
		Class:            requestClass(r.Request.Class, s),
		Account:          r.Request.ClientAccount,
		Deadline:         deadline,
		MaxWait:          defaultQueueWait,
		RefusedElsewhere: r.Walked,
		HolderOnly:       !r.MayQueue,
	}
	return c.run(ctx)
}

// endpointKey returns the key that determines the preferred endpoint of a call. A
// call without a chat key uses its request id, which spreads calls over endpoints.
func endpointKey(r *crcaller.CallRequest) string {
	if r.ChatKey != "" {
		return r.ChatKey
	}
	return r.RequestId
}

// call is a call in progress.
type call struct {
	owner     *Owner
	request   *crcaller.CallRequest
	deadline  time.Time
	admission *cradmit.Request
}

// run tries up to maxTries endpoints and returns the response to the caller.
func (c *call) run(ctx context.Context) *crcaller.CallResponse {
	var last *crcaller.Outcome
	started := false
	for try := range uint32(maxTries) {
		grant, refused := c.owner.admit(ctx, c.admission)
		if refused != nil {
			if started {
				return c.response(last, "", nil)
			}
			return c.response(refused, "", nil)
		}
		start := time.Now()
		result := c.execute(ctx, grant, try)
		c.owner.done(c.admission.Service, grant, observationOf(result, time.Since(start)))
		if result.Fate == crendpoint.Finished {
			return c.response(crrequest.Answered(), grant.Endpoint, result.Body)
		}
		if result.Fate == crendpoint.Broken {
			started = true
		}
		last = failureOutcome(result, started)
		if ctx.Err() != nil {
			return c.response(stoppedCallOutcome(ctx, started), grant.Endpoint, nil)
		}
		if started && c.request.NotRepeatable {
			return c.response(last, grant.Endpoint, nil)
		}
		c.admission.Avoid = grant.Endpoint
	}
	return c.response(last, "", nil)
}

// execute sends the call to the endpoint of the grant and waits for the result.
func (c *call) execute(ctx context.Context, g cradmit.Grant, try uint32) crendpoint.Result {
	return c.owner.Endpoints.Execute(ctx, g.Address, &endpointpb.ExecuteRequest{
		RequestId: c.request.RequestId,
		Attempt:   c.request.Attempt*attemptsPerSend + try,
		Method:    c.request.Method,
		Body:      c.request.Body,
		Deadline:  timestamppb.New(c.deadline),
		Epoch:     g.Epoch,
	})
}

// stoppedCallOutcome returns the outcome of a call whose context has ended. If
// started is set, an endpoint may have run the call.
func stoppedCallOutcome(ctx context.Context, started bool) *crcaller.Outcome {
	if started {
		return crrequest.Unknown(crcaller.Reason_REASON_DEADLINE, "the request was given up while it may have run")
	}
	return notRunOutcome(ctx)
}

func (c *call) response(o *crcaller.Outcome, endpoint string, body []byte) *crcaller.CallResponse {
	return &crcaller.CallResponse{
		RequestId: c.request.RequestId,
		Attempt:   c.request.Attempt,
		Outcome:   o,
		Body:      body,
		Endpoint:  endpoint,
		Instance:  c.owner.Instance,
	}
}

// requestClass returns the class of work that a request asks for, or else the
// default of its service. An unrecognized name counts as standard.
func requestClass(requested string, s *crcatalogue.Service) cradmit.Class {
	if requested == "" {
		requested = s.Class
	}
	switch requested {
	case "interactive":
		return cradmit.Interactive
	case "batch":
		return cradmit.Batch
	}
	return cradmit.Standard
}
