package cradmit

import (
	"math"
	"slices"
	"time"
)

const (
	// riseDeviations is how many standard deviations the shard's own demand must
	// be above the known mean before it overrides it.
	riseDeviations = 2
	// fallAllowance keeps bounds this much lower than the mean allows, since work
	// that was let in outlives a mean that falls.
	fallAllowance = 0.95
	// rounding keeps a bound that is a whole number from being rounded up.
	rounding = 1e-9

	// minRetryAfter is the shortest time after which a refused request may
	// come back, and noEndpointRetryAfter the time when there is no endpoint.
	minRetryAfter        = 50 * time.Millisecond
	noEndpointRetryAfter = time.Second
)

// view is what bounds are computed from, for one shard at one time.
type view struct {
	// perCapacity is the load multiple times the mean, in requests per unit of
	// capacity.
	perCapacity float64
	now         time.Time
	contested   bool
}

// view returns the view of the shard with some more requests than it knows.
func (a *Admitter) view(now time.Time, s *shard, more int) view {
	multiple := 0.0
	if a.LoadMultiple != nil {
		multiple = a.LoadMultiple(s.key.Service)
	}
	if multiple <= 0 {
		multiple = DefaultLoadMultiple
	}
	multiple *= fallAllowance
	return view{perCapacity: multiple * a.mean(now, s, more), now: now, contested: s.contested(now)}
}

// mean returns the mean demand per unit of capacity: the lower of the fleet-wide
// mean, which lags, and the shard's own demand, which is a sample. With the
// latter as the mean the shard as a whole has room for its demand, so that it
// costs no refusals.
//
// Chats are spread evenly over shards, so that the sample's deviation is known.
// When it shows that the service's demand has surely risen above the lagging
// mean, the least that it shows stands in for that mean. Requests of one chat
// all come to one shard, and those that another shard has refused may come from
// one that is overloaded alone, so that only different chats that come to their
// first choice are evidence.
func (a *Admitter) mean(now time.Time, s *shard, more int) float64 {
	s.refusals.expire(now, &s.chats)
	for _, e := range s.endpoints {
		e.endForeign(now)
		e.comeBack(now)
	}
	demand := float64(s.demand(now, more))
	capacity := float64(max(s.capacity, 1))
	if a.Mean == nil {
		return demand / capacity
	}
	mean, ok := a.Mean(s.key.Service, now)
	if !ok {
		return demand / capacity
	}
	chats := float64(s.chats.count + more)
	surely := (chats - riseDeviations*math.Sqrt(chats)) / capacity
	return min(max(mean, surely), demand/capacity)
}

// bound returns the most that may be in flight at the endpoint, at least 1.
func (v view) bound(e *endpoint) int { return v.boundAt(e, e.limit) }

// ownBound returns the most that may be in flight by this owner's grants. While
// the ownership is contested that is half of the bound, 0 for a bound of 1.
func (v view) ownBound(e *endpoint) int {
	if v.contested {
		return v.bound(e) / 2
	}
	return v.bound(e)
}

// boundAt returns the bound for some warm-up limit.
func (v view) boundAt(e *endpoint, limit int) int {
	if e.leaving || e.closed(v.now, v.contested) {
		return 0
	}
	b := math.Ceil(v.perCapacity*float64(e.capacity) - rounding)
	n := min(e.capacity, limit)
	if b < float64(n) {
		n = max(int(b), 1)
	}
	return n
}

// room reports whether the endpoint may take one more request.
func (v view) room(e *endpoint) bool {
	return e.load() < v.bound(e) && e.inFlight < v.ownBound(e)
}

// target is what placement looks at in a request.
type target struct {
	chat     uint64
	walked   bool
	prefixes []uint64
	avoid    *endpoint
}

// place is the result of a placement.
type place struct {
	// endpoint has room; nil when none has.
	endpoint *endpoint
	// holder is the preferred holder without room, when there is one and no
	// holder has room.
	holder *endpoint
	// first and second are the chat's first choices, the same when the shard has
	// a single endpoint.
	first, second *endpoint
	// held is the part of the prompt that holders are known to hold, 1 for the
	// chat itself and 0 when there is no holder.
	held float64
}

// place chooses the endpoint for a request: a holder of the chat or else of its
// longest held prefix; for what is held nowhere the less loaded of the chat's
// two first choices; and else the least loaded.
func (s *shard) place(v view, t *target) place {
	i, j := s.layout.Choices(t.chat)
	p := place{first: s.endpoints[i], second: s.endpoints[i]}
	if j >= 0 {
		p.second = s.endpoints[j]
	}
	if s.placeChat(v, t, &p) {
		p.held = 1
	}
	for n := len(t.prefixes); n > 0 && p.held == 0; n-- {
		if s.placePrefix(v, t, t.prefixes[n-1], &p) {
			p.held = float64(n) / float64(len(t.prefixes))
		}
	}
	if p.endpoint != nil {
		p.holder = nil
		return p
	}
	if p.held == 0 {
		p.endpoint = lightest(v, t, p.first, p.second)
	}
	if p.endpoint == nil {
		p.endpoint = lightest(v, t, s.endpoints...)
	}
	return p
}

// placeChat looks for holders of the chat, the first choice before others, and
// reports whether there is any.
func (s *shard) placeChat(v view, t *target, p *place) bool {
	if p.first != t.avoid && p.first.chats.has(t.chat) {
		if v.room(p.first) {
			p.endpoint = p.first
			return true
		}
		p.holder = p.first
	}
	for _, e := range s.endpoints {
		if e != t.avoid && e != p.first && e.chats.has(t.chat) {
			p.offer(v, e)
		}
	}
	return p.endpoint != nil || p.holder != nil
}

// placePrefix looks for holders of the prefix, the two first choices before
// others, and reports whether there is any. A prefix that all endpoints hold
// thus doesn't draw chats away from their first choices.
func (s *shard) placePrefix(v view, t *target, prefix uint64, p *place) bool {
	for _, e := range [...]*endpoint{p.first, p.second} {
		if e != t.avoid && e.prefixes.has(prefix) {
			p.offer(v, e)
		}
	}
	if p.endpoint != nil {
		return true
	}
	for _, e := range s.endpoints {
		if e != t.avoid && e.prefixes.has(prefix) {
			p.offer(v, e)
		}
	}
	return p.endpoint != nil || p.holder != nil
}

// offer takes in a holder: the least loaded with room, or else without.
func (p *place) offer(v view, e *endpoint) {
	at := &p.holder
	if v.room(e) {
		at = &p.endpoint
	}
	if *at == nil || e.lighter(*at) {
		*at = e
	}
}

// lightest returns the least loaded endpoint with room, the earlier one of
// equals, or nil.
func lightest(v view, t *target, endpoints ...*endpoint) *endpoint {
	var best *endpoint
	for _, e := range endpoints {
		if e != t.avoid && v.room(e) && (best == nil || e.lighter(best)) {
			best = e
		}
	}
	return best
}

// avoided returns the named endpoint if the shard has another one.
func (s *shard) avoided(name string) *endpoint {
	if name == "" || len(s.endpoints) < 2 {
		return nil
	}
	for _, e := range s.endpoints {
		if e.name == name {
			return e
		}
	}
	return nil
}

// Admit decides on the request. It refuses at once what the shard can't take
// and what wouldn't be granted before its deadline or within its MaxWait.
// Admit may also end waits of other requests; see Woken. After a waiting
// decision Tick tells the new time of its next call.
func (a *Admitter) Admit(now time.Time, r *Request) Decision {
	s := a.shards[r.Shard]
	if s == nil {
		return refusal(ReasonNotOwner, 0)
	}
	if len(s.endpoints) == 0 {
		return refusal(ReasonNoEndpoint, noEndpointRetryAfter)
	}
	if !r.Deadline.IsZero() && !now.Before(r.Deadline) {
		return refusal(ReasonDeadline, minRetryAfter)
	}
	t := target{chat: r.Chat, walked: r.Walked, prefixes: longest(r.Prefixes), avoid: s.avoided(r.Avoid)}
	p := s.place(a.view(now, s, 1), &t)
	if len(s.waiters) > 0 {
		return a.admitBehind(now, s, r, &p)
	}
	if p.endpoint == nil || a.holdTime(now, &p, r) > 0 {
		return a.stay(now, s, a.addWaiter(now, s, r, &p), r)
	}
	g := a.grant(now, s, p.endpoint, s.account(r.Account), &t)
	return Decision{Verdict: Granted, Grant: g}
}

// admitBehind decides on a request while others wait. It joins them for one
// dispatch even if it can't wait, so that it neither overtakes those before it
// in order nor falls behind those after it.
func (a *Admitter) admitBehind(now time.Time, s *shard, r *Request, p *place) Decision {
	from := len(a.woken)
	id := a.addWaiter(now, s, r, p)
	a.dispatch(now, s)
	for i := from; i < len(a.woken); i++ {
		if d := a.woken[i]; d.Waiter == id {
			a.woken = slices.Delete(a.woken, i, i+1)
			d.Waiter = 0
			return d
		}
	}
	return a.stay(now, s, id, r)
}

// longest returns the prefixes that are looked up.
func longest(prefixes []uint64) []uint64 {
	return prefixes[max(len(prefixes)-MaxPrefixes, 0):]
}

func refusal(reason Reason, retryAfter time.Duration) Decision {
	return Decision{Verdict: Refused, Reason: reason, RetryAfter: retryAfter}
}

// grant gives the endpoint to a request.
func (a *Admitter) grant(now time.Time, s *shard, e *endpoint, c *account, t *target) Grant {
	id, g := a.grants.take()
	*g = grant{endpoint: e, shard: s, account: c, chat: t.chat, walked: t.walked, epoch: e.epoch, start: now}
	g.chatSeen = e.chats.touch(t.chat)
	g.chatTouch = e.chats.clock
	for _, p := range t.prefixes {
		if seen := e.prefixes.touch(p); seen > 0 {
			g.prefixSeen = seen
		}
	}
	e.inFlight++
	c.inFlight++
	if !t.walked {
		s.chats.add(t.chat)
	}
	s.grants++
	c.turn = s.grants
	return Grant{ID: id, Endpoint: e.name, Address: e.address, Epoch: e.epoch, Holder: g.chatSeen > 0 || g.prefixSeen > 0}
}
