package cradmit

import (
	"math"
	"slices"
	"time"
)

const (
	// demandDeviations is the number of standard deviations by which the shard's own
	// demand must exceed the known mean before it replaces that mean.
	demandDeviations = 2
	// boundMargin lowers bounds below what the mean allows. Requests that were admitted
	// while the mean was higher are still in flight when the mean falls.
	boundMargin = 0.95
	// roundingTolerance prevents a bound that is a whole number from being rounded up.
	roundingTolerance = 1e-9

	// minRetryAfter is the shortest retry delay of a refused request, and
	// noEndpointRetryAfter the delay if the shard has no endpoint.
	minRetryAfter        = 50 * time.Millisecond
	noEndpointRetryAfter = time.Second
)

// view holds the inputs of the bounds of one shard at one time.
type view struct {
	// perCapacity is the product of the load multiple, boundMargin and the mean demand,
	// in requests per unit of capacity.
	perCapacity float64
	now         time.Time
	contested   bool
}

// view returns the view of the shard. extra is the number of requests that count as
// demand although they aren't in the shard yet.
func (a *Admitter) view(now time.Time, s *shard, extra int) view {
	multiple := 0.0
	if a.LoadMultiple != nil {
		multiple = a.LoadMultiple(s.key.Service)
	}
	if multiple <= 0 {
		multiple = DefaultLoadMultiple
	}
	multiple *= boundMargin
	return view{perCapacity: multiple * a.mean(now, s, extra), now: now, contested: s.contested(now)}
}

// mean returns the mean demand per unit of capacity: the lower of the fleet-wide mean,
// which lags, and the shard's own demand, which is a sample. If the shard's own demand is
// the mean, the shard as a whole has room for all of its requests, so that choosing it
// causes no refusals.
//
// Chats are spread evenly over the shards, so the standard deviation of the sample is
// known. If the sample shows that the service's demand has risen above the lagging
// mean, the lower confidence bound of the sample replaces that mean. Only distinct
// chats whose first choice is this shard are evidence: requests of one chat all arrive
// at one shard, and requests that another shard refused may come from a single
// overloaded shard.
func (a *Admitter) mean(now time.Time, s *shard, extra int) float64 {
	s.refusals.expire(now, &s.demandChats)
	for _, e := range s.endpoints {
		e.expireForeign(now)
		e.retryLeaving(now)
	}
	demand := float64(s.demand(now, extra))
	capacity := float64(max(s.capacity, 1))
	if a.Mean == nil {
		return demand / capacity
	}
	mean, ok := a.Mean(s.key.Service, now)
	if !ok {
		return demand / capacity
	}
	chats := float64(s.demandChats.count + extra)
	minMean := (chats - demandDeviations*math.Sqrt(chats)) / capacity
	return min(max(mean, minMean), demand/capacity)
}

// bound returns the maximum number of requests in flight at the endpoint. It is at
// least 1, or 0 if the endpoint is leaving or closed (see endpoint.closed).
func (v view) bound(e *endpoint) int { return v.boundAt(e, e.warmUpLimit) }

// ownBound returns the maximum number of this owner's grants in flight. While the
// ownership is contested it is half of the bound, rounded down.
func (v view) ownBound(e *endpoint) int {
	if v.contested {
		return v.bound(e) / 2
	}
	return v.bound(e)
}

// boundAt returns the bound for the given warm-up limit.
func (v view) boundAt(e *endpoint, limit int) int {
	if e.leaving || e.closed(v.now, v.contested) {
		return 0
	}
	b := math.Ceil(v.perCapacity*float64(e.capacity) - roundingTolerance)
	n := min(e.capacity, limit)
	if b < float64(n) {
		n = max(int(b), 1)
	}
	return n
}

// hasRoom reports whether the endpoint may get one more request.
func (v view) hasRoom(e *endpoint) bool {
	return e.load() < v.bound(e) && e.inFlight < v.ownBound(e)
}

// placementQuery holds the fields of a request that placement uses.
type placementQuery struct {
	chat             uint64
	refusedElsewhere bool
	prefixes         []uint64
	avoid            *endpoint
}

// placement is the result of choosing an endpoint.
type placement struct {
	// endpoint is the chosen endpoint, which has room, or nil if no suitable endpoint
	// has room.
	endpoint *endpoint
	// holder is the preferred holder if there are holders and none has room.
	holder *endpoint
	// first and second are the chat's two preferred endpoints. They are equal if the
	// shard has a single endpoint.
	first, second *endpoint
	// heldFraction is the fraction of the prompt that holders are known to hold: 1 for
	// the chat itself, 0 if there is no holder.
	heldFraction float64
}

// place chooses the endpoint for a request. It prefers holders of the chat, then
// holders of its longest held prefix. If there is no holder, it takes the less loaded
// one of the chat's two preferred endpoints. If none of these has room, it takes the
// least loaded endpoint of the shard.
func (s *shard) place(v view, t *placementQuery) placement {
	i, j := s.layout.TopTwo(t.chat)
	p := placement{first: s.endpoints[i], second: s.endpoints[i]}
	if j >= 0 {
		p.second = s.endpoints[j]
	}
	if s.placeChat(v, t, &p) {
		p.heldFraction = 1
	}
	for n := len(t.prefixes); n > 0 && p.heldFraction == 0; n-- {
		if s.placePrefix(v, t, t.prefixes[n-1], &p) {
			p.heldFraction = float64(n) / float64(len(t.prefixes))
		}
	}
	if p.endpoint != nil {
		p.holder = nil
		return p
	}
	if p.heldFraction == 0 {
		p.endpoint = leastLoaded(v, t, p.first, p.second)
	}
	if p.endpoint == nil {
		p.endpoint = leastLoaded(v, t, s.endpoints...)
	}
	return p
}

// placeChat looks for holders of the chat, the chat's first choice before others, and
// reports whether there is one.
func (s *shard) placeChat(v view, t *placementQuery, p *placement) bool {
	if p.first != t.avoid && p.first.chats.has(t.chat) {
		if v.hasRoom(p.first) {
			p.endpoint = p.first
			return true
		}
		p.holder = p.first
	}
	for _, e := range s.endpoints {
		if e != t.avoid && e != p.first && e.chats.has(t.chat) {
			p.addHolder(v, e)
		}
	}
	return p.endpoint != nil || p.holder != nil
}

// placePrefix looks for holders of the prefix, the chat's two preferred endpoints
// before others, and reports whether there is one. A prefix that all endpoints hold
// therefore doesn't move chats away from their preferred endpoints.
func (s *shard) placePrefix(v view, t *placementQuery, prefix uint64, p *placement) bool {
	for _, e := range [...]*endpoint{p.first, p.second} {
		if e != t.avoid && e.prefixes.has(prefix) {
			p.addHolder(v, e)
		}
	}
	if p.endpoint != nil {
		return true
	}
	for _, e := range s.endpoints {
		if e != t.avoid && e.prefixes.has(prefix) {
			p.addHolder(v, e)
		}
	}
	return p.endpoint != nil || p.holder != nil
}

// addHolder considers a holder. It keeps the least loaded holder with room and the
// least loaded one without.
func (p *placement) addHolder(v view, e *endpoint) {
	at := &p.holder
	if v.hasRoom(e) {
		at = &p.endpoint
	}
	if *at == nil || e.lessLoadedThan(*at) {
		*at = e
	}
}

// leastLoaded returns the least loaded of the endpoints that have room, or nil. Of
// equally loaded ones it returns the first.
func leastLoaded(v view, t *placementQuery, endpoints ...*endpoint) *endpoint {
	var best *endpoint
	for _, e := range endpoints {
		if e != t.avoid && v.hasRoom(e) && (best == nil || e.lessLoadedThan(best)) {
			best = e
		}
	}
	return best
}

// avoidedEndpoint returns the named endpoint if the shard has other ones, and nil
// otherwise.
func (s *shard) avoidedEndpoint(name string) *endpoint {
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

// Admit grants, queues or refuses the request. It refuses at once if the shard has no
// room and the request isn't expected to be granted before its deadline or within its
// MaxWait. Admit may also decide on other queued requests; see Decisions. After a Waiting
// verdict, call Tick, which returns the new time of its next call.
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
	t := placementQuery{chat: r.Chat, refusedElsewhere: r.RefusedElsewhere, prefixes: longestPrefixes(r.Prefixes), avoid: s.avoidedEndpoint(r.Avoid)}
	p := s.place(a.view(now, s, 1), &t)
	if len(s.waiters) > 0 {
		return a.admitQueued(now, s, r, &p)
	}
	if p.endpoint == nil || a.holdTime(now, &p, r) > 0 {
		return a.keepOrRefuse(now, s, a.addWaiter(now, s, r, &p), r)
	}
	g := a.grant(now, s, p.endpoint, s.account(r.Account), &t)
	return Decision{Verdict: Granted, Grant: g}
}

// admitQueued decides on a request while others are queued. The request joins the queue
// for one dispatch even if it can't wait, so that it neither overtakes requests before
// it in the order nor falls behind those after it.
func (a *Admitter) admitQueued(now time.Time, s *shard, r *Request, p *placement) Decision {
	from := len(a.decisions)
	id := a.addWaiter(now, s, r, p)
	a.dispatch(now, s)
	for i := from; i < len(a.decisions); i++ {
		if d := a.decisions[i]; d.Waiter == id {
			a.decisions = slices.Delete(a.decisions, i, i+1)
			d.Waiter = 0
			return d
		}
	}
	return a.keepOrRefuse(now, s, id, r)
}

// longestPrefixes returns the longest prefixes, at most MaxPrefixes of them.
func longestPrefixes(prefixes []uint64) []uint64 {
	return prefixes[max(len(prefixes)-MaxPrefixes, 0):]
}

func refusal(reason Reason, retryAfter time.Duration) Decision {
	return Decision{Verdict: Refused, Reason: reason, RetryAfter: retryAfter}
}

// grant creates a grant of the endpoint for a request.
func (a *Admitter) grant(now time.Time, s *shard, e *endpoint, c *account, t *placementQuery) Grant {
	id, g := a.grants.take()
	*g = grant{endpoint: e, shard: s, account: c, chat: t.chat, refusedElsewhere: t.refusedElsewhere, epoch: e.epoch, start: now}
	g.prevChatTouch = e.chats.touch(t.chat)
	g.chatTouch = e.chats.touches
	for _, p := range t.prefixes {
		if seen := e.prefixes.touch(p); seen > 0 {
			g.prevPrefixTouch = seen
		}
	}
	e.inFlight++
	c.inFlight++
	if !t.refusedElsewhere {
		s.demandChats.add(t.chat)
	}
	s.grantCount++
	c.lastGrant = s.grantCount
	return Grant{ID: id, Endpoint: e.name, Address: e.address, Epoch: e.epoch, Holder: g.prevChatTouch > 0 || g.prevPrefixTouch > 0}
}
