package crclient

import (
	"context"
	"net/netip"
	"time"

	"crocusrack/core/crbackoff"
	"crocusrack/schema/crcaller"
)

// sending carries one request over instances and retries to its outcome.
type sending struct {
	client *Client
	place  place
	// again reports whether a request with this outcome may be sent again.
	again func(o Outcome) bool
	// send sends the request once and returns how that sending ended.
	send func(ctx context.Context, target netip.AddrPort, attempt uint32) Outcome

	targets []netip.AddrPort // those not tried yet, best first
	attempt uint32           // sendings so far
	lost    bool             // an earlier sending may have been run
}

// run sends the request until its outcome is settled, the tries are spent, or
// there is no time left for another.
func (s *sending) run(ctx context.Context) Outcome {
	s.client.request()
	for try := 0; ; try++ {
		o := s.once(ctx)
		if o.Answered() || o.Cancelled() {
			return o
		}
		if ctx.Err() != nil {
			return contextEnd(ctx, s.lost || o.Unknown())
		}
		s.lost = s.lost || o.Unknown()
		stop := o.settles() || !s.again(o) || try+1 >= s.client.Tries
		if stop || !s.wait(ctx, o, try) {
			return s.end(o)
		}
	}
}

// end makes the last sending's outcome that of the request: "not run" isn't
// true when an earlier sending may have been run.
func (s *sending) end(o Outcome) Outcome {
	if s.lost && o.NotRun() {
		o.Kind = crcaller.OutcomeKind_OUTCOME_KIND_UNKNOWN
	}
	return o
}

// once sends the request to the next instance.
func (s *sending) once(ctx context.Context) Outcome {
	c := s.client
	if len(s.targets) == 0 {
		answer, ok := c.kept(s.place)
		if !ok {
			var refusal Outcome
			answer, refusal = c.address(ctx, s.place, false)
			if answer.addresses == nil {
				return refusal
			}
		}
		s.targets = answer.addresses
	}
	target := s.targets[0]
	s.targets = s.targets[1:]
	s.attempt++
	o := s.send(ctx, target, s.attempt)
	if o.movesOn() && ctx.Err() == nil {
		c.failed(target)
		c.drop(s.place)
	}
	return o
}

// wait waits before the next try. It reports whether there is time and budget
// for one.
func (s *sending) wait(ctx context.Context, o Outcome, try int) bool {
	var pause time.Duration
	switch {
	case !o.movesOn():
		// The first choice may take the request later.
		s.targets = nil
		pause = o.RetryAfter + s.client.backoff.Wait(try)
	case len(s.targets) == 0:
		pause = max(o.RetryAfter, s.client.backoff.Wait(try))
	}
	if deadline, ok := ctx.Deadline(); ok && time.Until(deadline) <= pause {
		return false
	}
	// An instance that has passed nothing on costs the endpoints no retry.
	free := o.movesOn() && o.NotRun()
	if !free && !s.client.retry() {
		return false
	}
	return crbackoff.Sleep(ctx, pause) == nil
}
