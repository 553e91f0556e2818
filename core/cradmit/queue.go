package cradmit

import (
	"cmp"
	"slices"
	"time"
)

// dispatchInterval is the time between checks of a waiter. Bounds rise with the
// fleet-wide mean, so a waiter may be admissible without any other event.
const dispatchInterval = 20 * time.Millisecond

// prefillWeight is the weight of prefill time against waiting time. Prefill delays the
// request itself and the other requests at the same engine.
const prefillWeight = 2

// waiter is a queued request.
type waiter struct {
	id               uint64
	shard            *shard
	account          *account
	chat             uint64
	refusedElsewhere bool
	prefixes         [MaxPrefixes]uint64
	// prefixCount is the number of prefixes in use.
	prefixCount int
	avoid       string
	class       Class
	deadline    time.Time
	// expiresAt is when the wait ends with a refusal.
	expiresAt time.Time
	// Until holdUntil the request waits only for holder. After that, it takes any
	// endpoint.
	holder    *endpoint
	holdUntil time.Time
	// returning reports that an endpoint held the chat or the whole prompt when the
	// request arrived.
	returning bool
	// preferred is the holder, or the chat's first choice if there is no holder.
	preferred *endpoint
	// arrival is the sequence number of the request in order of arrival.
	arrival uint64
}

// waitsForHolder reports whether the waiter takes no other endpoint than its holder.
func (w *waiter) waitsForHolder(now time.Time) bool {
	return w.holder != nil && now.Before(w.holdUntil)
}

func (w *waiter) placementQuery(s *shard) placementQuery {
	return placementQuery{chat: w.chat, refusedElsewhere: w.refusedElsewhere, prefixes: w.prefixes[:w.prefixCount], avoid: s.avoidedEndpoint(w.avoid)}
}

// compareWaiters orders waiters for dispatch: by class, then by the account with the
// fewest requests in flight, then by the account whose last grant was earliest. Within
// an account, returning chats come before new ones, then the earliest deadline comes
// first.
func compareWaiters(a, b *waiter) int {
	if a.account != b.account {
		return cmp.Or(
			cmp.Compare(a.class, b.class),
			cmp.Compare(a.account.inFlight, b.account.inFlight),
			cmp.Compare(a.account.lastGrant, b.account.lastGrant),
			compareUrgency(a, b),
		)
	}
	return cmp.Or(cmp.Compare(a.class, b.class), compareUrgency(a, b))
}

func compareUrgency(a, b *waiter) int {
	if a.returning != b.returning {
		if a.returning {
			return -1
		}
		return 1
	}
	return cmp.Or(compareDeadlines(a.deadline, b.deadline), cmp.Compare(a.arrival, b.arrival))
}

// compareDeadlines compares deadlines. A zero time means no deadline and comes last.
func compareDeadlines(a, b time.Time) int {
	switch {
	case a.IsZero() && b.IsZero():
		return 0
	case a.IsZero():
		return 1
	case b.IsZero():
		return -1
	}
	return a.Compare(b)
}

// compareShedding orders waiters for load shedding, the first one to shed first: by the
// lowest class, then by the account with the most waiters, then by the latest deadline
// and the latest arrival.
func compareShedding(a, b *waiter) int {
	return cmp.Or(
		cmp.Compare(b.class, a.class),
		cmp.Compare(b.account.waiting, a.account.waiting),
		compareDeadlines(b.deadline, a.deadline),
		cmp.Compare(b.arrival, a.arrival),
	)
}

// holdTime returns how long the request waits for a holder without room even if another
// endpoint has room. It is at most the prefill time of the held part of the prompt
// elsewhere, or MinHold if that is longer. It is 0 if the holder isn't expected to have
// room within prefillWeight times that. MinHold accounts for the cost of the prefill to
// other requests of the other endpoint and to the next requests of the chat.
func (a *Admitter) holdTime(now time.Time, p *placement, r *Request) time.Duration {
	e := p.holder
	if e == nil || r.PromptTokens == 0 {
		return 0
	}
	cost := e.tokenCost
	if cost == 0 {
		cost = cmp.Or(a.TokenCost, DefaultTokenCost)
	}
	cost = max(cost*time.Duration(float64(r.PromptTokens)*p.heldFraction), cmp.Or(a.MinHold, DefaultMinHold))
	if expectedWait(e.serviceTime, e.waiting, e.load()) > prefillWeight*cost {
		return 0
	}
	hold := min(r.MaxWait, cost)
	if !r.Deadline.IsZero() {
		hold = min(hold, r.Deadline.Sub(now))
	}
	return hold
}

// expectedWait returns the expected waiting time behind the given number of waiters at
// endpoints with the given load. It is 0 if the service time is unknown.
func expectedWait(serviceTime time.Duration, ahead, load int) time.Duration {
	return serviceTime * time.Duration(ahead+1) / time.Duration(max(load, 1))
}

// keepOrRefuse keeps the new waiter in the queue, or refuses it if waiting is of no
// use. If the queue is too long, one of the waiters is shed.
func (a *Admitter) keepOrRefuse(now time.Time, s *shard, id uint64, r *Request) Decision {
	w := a.waiters.get(id)
	wait := expectedWait(s.serviceTime, s.waitingAtOrAbove(w.class)-1, s.inFlight())
	retryAfter := max(wait, minRetryAfter)
	switch {
	case w.waitsForHolder(now):
		return Decision{Verdict: Waiting, Waiter: id}
	case r.MaxWait <= 0 || r.HolderOnly:
		return a.removeRefused(now, id, s.refusalReason(a.view(now, s, 0)), retryAfter)
	case !r.Deadline.IsZero() && now.Add(wait).After(r.Deadline):
		return a.removeRefused(now, id, ReasonDeadline, retryAfter)
	case wait > r.MaxWait:
		return a.removeRefused(now, id, s.refusalReason(a.view(now, s, 0)), retryAfter)
	case len(s.waiters) <= a.maxWaiting(s):
		return Decision{Verdict: Waiting, Waiter: id}
	}
	shed := a.nextToShed(s)
	d := a.removeRefused(now, shed, ReasonShed, retryAfter)
	if shed == id {
		return d
	}
	d.Waiter = shed
	a.decisions = append(a.decisions, d)
	return Decision{Verdict: Waiting, Waiter: id}
}

// removeRefused removes a waiter from the queue and returns its refusal. The request
// counts as demand for refusalWindow.
func (a *Admitter) removeRefused(now time.Time, id uint64, reason Reason, retryAfter time.Duration) Decision {
	w := a.waiters.get(id)
	if !w.refusedElsewhere {
		w.shard.refusals.add(now, w.chat, &w.shard.demandChats)
	}
	a.removeWaiter(id)
	return refusal(reason, retryAfter)
}

// waitingAtOrAbove returns the number of waiters of the class and of higher classes.
func (s *shard) waitingAtOrAbove(c Class) int {
	n := 0
	for k := range s.waitingByClass {
		if Class(k) <= c {
			n += s.waitingByClass[k]
		}
	}
	return n
}

// refusalReason returns why the shard has no room.
func (s *shard) refusalReason(v view) Reason {
	if v.contested {
		return ReasonContested
	}
	for _, e := range s.endpoints {
		if e.load() < v.boundAt(e, e.capacity) {
			return ReasonWarmUp
		}
	}
	return ReasonOverBound
}

func (a *Admitter) addWaiter(now time.Time, s *shard, r *Request, p *placement) uint64 {
	id, w := a.waiters.take()
	a.arrivals++
	*w = waiter{
		id: id, shard: s, account: s.account(r.Account), chat: r.Chat, refusedElsewhere: r.RefusedElsewhere, avoid: r.Avoid, class: min(r.Class, Batch),
		deadline: r.Deadline, expiresAt: now.Add(r.MaxWait), holder: p.holder, preferred: p.first, returning: p.heldFraction == 1,
		arrival: a.arrivals,
	}
	w.prefixCount = copy(w.prefixes[:], longestPrefixes(r.Prefixes))
	if !r.Deadline.IsZero() && r.Deadline.Before(w.expiresAt) {
		w.expiresAt = r.Deadline
	}
	if p.holder != nil {
		w.preferred = p.holder
		if len(s.waiters) < a.maxWaiting(s) {
			w.holdUntil = now.Add(a.holdTime(now, p, r))
		}
		if r.HolderOnly {
			w.expiresAt = earliest(w.expiresAt, w.holdUntil)
		}
	}
	w.preferred.waiting++
	w.account.waiting++
	if !w.refusedElsewhere {
		s.demandChats.add(w.chat)
	}
	s.waitingByClass[w.class]++
	s.waiters = append(s.waiters, id)
	return id
}

// removeWaiter removes a waiter from the queue.
func (a *Admitter) removeWaiter(id uint64) {
	w := a.waiters.get(id)
	s := w.shard
	w.account.waiting--
	if !w.refusedElsewhere {
		s.demandChats.remove(w.chat)
	}
	w.preferred.waiting--
	s.waitingByClass[w.class]--
	i := slices.Index(s.waiters, id)
	s.waiters = slices.Delete(s.waiters, i, i+1)
	a.waiters.put(id)
}

// nextToShed returns the id of the waiter that is shed first.
func (a *Admitter) nextToShed(s *shard) uint64 {
	worst := a.waiters.get(s.waiters[0])
	for _, id := range s.waiters[1:] {
		if w := a.waiters.get(id); compareShedding(w, worst) < 0 {
			worst = w
		}
	}
	return worst.id
}

// dispatch grants endpoints to waiters until there is no room for any of them.
func (a *Admitter) dispatch(now time.Time, s *shard) {
	for len(s.waiters) > 0 {
		v := a.view(now, s, 0)
		w := a.nextWaiter(now, s, v)
		if w == nil {
			return
		}
		t := w.placementQuery(s)
		e := w.holder
		if e == nil || !v.hasRoom(e) {
			e = s.place(v, &t).endpoint
		}
		id, c := w.id, w.account
		d := Decision{Verdict: Granted, Waiter: id, Grant: a.grant(now, s, e, c, &t)}
		a.removeWaiter(id)
		a.decisions = append(a.decisions, d)
	}
}

// nextWaiter returns the first waiter in dispatch order for which there is room, or
// nil.
func (a *Admitter) nextWaiter(now time.Time, s *shard, v view) *waiter {
	withRoom, others := s.findRoom(v)
	if withRoom == nil {
		return nil
	}
	var best *waiter
	for _, id := range s.waiters {
		w := a.waiters.get(id)
		if best != nil && compareWaiters(w, best) >= 0 {
			continue
		}
		if w.waitsForHolder(now) {
			if !v.hasRoom(w.holder) {
				continue
			}
		} else if !others && s.avoidedEndpoint(w.avoid) == withRoom {
			continue
		}
		best = w
	}
	return best
}

// findRoom returns an endpoint with room, or nil, and whether there are others with
// room.
func (s *shard) findRoom(v view) (one *endpoint, others bool) {
	for _, e := range s.endpoints {
		if !v.hasRoom(e) {
			continue
		}
		if one != nil {
			return one, true
		}
		one = e
	}
	return one, false
}

// Abandon removes a queued request whose caller has gone away. It does nothing if the
// request has already been decided.
func (a *Admitter) Abandon(_ time.Time, id uint64) {
	if a.waiters.get(id) != nil {
		a.removeWaiter(id)
	}
}

// Tick refuses waiters whose time is over and grants waiters for which there is room
// because bounds have risen or the contested time has ended. It returns the time at
// which it must be called again, or zero if no request is queued.
func (a *Admitter) Tick(now time.Time) (next time.Time) {
	for _, s := range a.owned {
		if len(s.waiters) == 0 {
			continue
		}
		a.dispatch(now, s)
		a.expire(now, s)
		for _, id := range s.waiters {
			next = earliest(next, a.waiters.get(id).nextCheck(now))
		}
	}
	return next
}

// nextCheck returns when the waiter must be checked again.
func (w *waiter) nextCheck(now time.Time) time.Time {
	at := earliest(now.Add(dispatchInterval), w.expiresAt)
	if w.waitsForHolder(now) {
		at = earliest(at, w.holdUntil)
	}
	return at
}

// earliest returns the earlier of the times. It returns b if a is zero.
func earliest(a, b time.Time) time.Time {
	if a.IsZero() || b.Before(a) {
		return b
	}
	return a
}

// expire refuses the waiters whose time is over.
func (a *Admitter) expire(now time.Time, s *shard) {
	v := a.view(now, s, 0)
	for i := len(s.waiters) - 1; i >= 0; i-- {
		w := a.waiters.get(s.waiters[i])
		if now.Before(w.expiresAt) {
			continue
		}
		reason := s.refusalReason(v)
		if !w.deadline.IsZero() && !now.Before(w.deadline) {
			reason = ReasonDeadline
		}
		a.refuse(now, w, reason)
	}
}

// refuse removes a waiter from the queue and adds its refusal to the decisions.
func (a *Admitter) refuse(now time.Time, w *waiter, reason Reason) {
	s, id := w.shard, w.id
	d := a.removeRefused(now, id, reason, max(expectedWait(s.serviceTime, s.waitingAtOrAbove(w.class), s.inFlight()), minRetryAfter))
	d.Waiter = id
	a.decisions = append(a.decisions, d)
}

// refuseAll refuses all waiters of the shard.
func (a *Admitter) refuseAll(now time.Time, s *shard, reason Reason) {
	for len(s.waiters) > 0 {
		a.refuse(now, a.waiters.get(s.waiters[len(s.waiters)-1]), reason)
	}
}
