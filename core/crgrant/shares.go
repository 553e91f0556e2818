package crgrant

import (
	"math"
	"math/rand/v2"
	"time"

	"crocusrack/core/crhealth"
	"crocusrack/core/crledger"
	"crocusrack/core/crplace"
	"crocusrack/core/crretry"
	"crocusrack/core/crshare"
	"crocusrack/core/crswitch"
)

const (
	// holdMargin is the multiple of the mean time of an attempt in flight that an attempt is
	// assumed to take at most, as its wait for a slot is uncertain.
	holdMargin = 2.0
	// patientShare is the fraction of the time left after which refused callers retry at the
	// latest.
	patientShare = 1.0 / 3
	// timeoutStep is the resolution of the times that callers wait, which are measured a
	// moment after the request has arrived.
	timeoutStep = 5 * time.Millisecond
)

// admission is the decision whether a request may be placed, and how.
type admission struct {
	// choice has the reason Chosen if the request may be placed.
	choice crplace.Choice
	// spread is true if the endpoint is to be drawn.
	spread bool
}

// admit decides whether a request to a service without prompts may be placed, by the shares of
// the client accounts and the time that is left.
func (s *State) admit(now time.Time, a Request) admission {
	if !s.sharesApply(a) {
		return admission{}
	}
	if len(a.Tried) == 0 {
		s.observePatience(now, a)
	}
	r := crshare.Request{Service: a.Service.Name, Account: a.Account, Weight: a.Weight, Priority: a.Priority, Retry: len(a.Tried) > 0}
	if !s.shares.Scarce(now, a.Service.Name) {
		s.shares.Count(now, r)
		return admission{}
	}
	load := s.placer.Load(now, a.Service.Name)
	r.InFlight, r.Own, r.Slots = load.InFlight, load.Own, load.Slots
	r.Late, r.Retry = s.isLate(now, a), r.Retry || s.waited(now, a) > 0
	if s.shares.ObserveLoad(now, r.Service, r.InFlight, r.Slots) {
		s.reportSaturation(now, a.Service.Name, load)
	}
	verdict := s.shares.Admit(now, r)
	refused := crplace.Choice{MeanInFlight: float64(load.InFlight), ServiceInFlight: load.InFlight}
	switch verdict {
	case crshare.OverShare:
		refused.Reason = crplace.OverShare
		return admission{choice: refused}
	case crshare.Full:
		refused.Reason = crplace.Busy
		return admission{choice: refused}
	}
	return admission{spread: 2*load.Own <= load.InFlight}
}

// observeLoad records the load that a placement saw.
func (s *State) observeLoad(now time.Time, a Request, c crplace.Choice) {
	if s.sharesApply(a) && s.shares.ObserveLoad(now, a.Service.Name, c.Load.InFlight, c.Load.Slots) {
		s.reportSaturation(now, a.Service.Name, c.Load)
	}
}

// sharesApply reports whether a request's service is shared by client accounts.
func (s *State) sharesApply(a Request) bool {
	return !a.Service.Engine && len(a.Links) == 0 && !s.Disabled.Has(crswitch.AccountShares)
}

// left returns the time that the caller still waits, rounded up to timeoutStep, or zero if it
// isn't known.
func left(now time.Time, a Request) time.Duration {
	if a.Deadline.IsZero() {
		return 0
	}
	return max(0, a.Deadline.Sub(now)+timeoutStep-1).Truncate(timeoutStep)
}

// observePatience records how long the caller of a request waits.
func (s *State) observePatience(now time.Time, a Request) {
	wait := left(now, a)
	if wait <= 0 {
		return
	}
	p := s.patience[a.Route]
	if p == nil {
		if s.patience == nil {
			s.patience = make(map[string]*crretry.Patience)
		}
		p = &crretry.Patience{}
		s.patience[a.Route] = p
	}
	p.Observe(now, wait)
}

// waited returns how long ago the caller of a request asked first.
func (s *State) waited(now time.Time, a Request) time.Duration {
	if p, wait := s.patience[a.Route], left(now, a); p != nil && wait > 0 {
		return p.Since(wait)
	}
	return 0
}

// isLate reports whether no answer to a request can be in time: its caller asked so long ago
// that the target will be exceeded.
func (s *State) isLate(now time.Time, a Request) bool {
	if a.Target <= 0 {
		return false
	}
	waited := s.waited(now, a)
	return waited > 0 && waited+s.returnsFor(a.Service.Name).HoldTime() > a.Target
}

// patientReturn returns when a request without a prompt retries that was refused since all slots
// are taken. The parameter after is when a slot is forecast to be free. While the service is
// saturated, a retry is told to come while it can still be in time, or else after half of the time
// that its caller waits for a retry, at random.
func (s *State) patientReturn(now time.Time, a Request, after time.Duration) time.Duration {
	if !s.sharesApply(a) {
		return after
	}
	most := time.Duration(math.MaxInt64)
	if wait := left(now, a); wait > 0 {
		most = time.Duration(patientShare * float64(wait))
	}
	if p := s.patience[a.Route]; p != nil {
		p.Refused(now)
	}
	inTime := a.Target - s.waited(now, a) - time.Duration(holdMargin*float64(s.returnsFor(a.Service.Name).HoldTime()))
	saturated := s.shares.Saturated(now, a.Service.Name)
	switch {
	case a.Target > 0 && inTime > crretry.MinReturnDelay && (saturated || after > most):
		span := min(inTime, most) - crretry.MinReturnDelay
		after = crretry.MinReturnDelay + time.Duration(rand.Float64()*float64(span))
	case after > most:
		after = time.Duration((0.5 + 0.5*rand.Float64()) * float64(most))
	}
	return max(crretry.MinReturnDelay, after)
}

// recordForShares records the outcome of an attempt.
func (g *Grant) recordForShares(now time.Time, o crhealth.Outcome) {
	s := g.state
	if len(g.links) > 0 || s.Disabled.Has(crswitch.AccountShares) {
		return
	}
	switch o {
	case crhealth.Good:
		// An attempt that waits for a slot takes longer in proportion to the queue.
		queued := 1.0
		if slots := g.Endpoint.Slots; slots > 0 {
			queued = max(1, float64(g.InFlight+1)/float64(slots))
		}
		s.shares.Completed(now, g.Endpoint.Service, time.Duration(float64(now.Sub(g.started))/queued))
	case crhealth.Refused:
		s.shares.Rejected(now, g.Endpoint.Service)
	}
}

// maxFullRefusals is the number of refusals of an endpoint without another outcome in between
// that are taken for those of a full one. One that refuses everything is ejected.
const maxFullRefusals = 8

// refusedAsFull reports whether an outcome is the refusal of an endpoint that is only full,
// because its service is. It must not be ejected: the requests would overload the others.
func (s *State) refusedAsFull(now time.Time, g *Grant, o crhealth.Outcome) bool {
	k := g.Endpoint.Key
	if o != crhealth.Refused || len(g.links) > 0 || s.Disabled.Has(crswitch.AccountShares) {
		delete(s.fullRefusals, k)
		return false
	}
	if !s.shares.Loaded(g.Endpoint.Service) || s.fullRefusals[k] >= maxFullRefusals {
		return false
	}
	if s.fullRefusals == nil {
		s.fullRefusals = make(map[crledger.Key]int)
	}
	s.fullRefusals[k]++
	return true
}
