package crorder

import (
	"cmp"
	"slices"
	"time"

	"crocusrack/core/crlease"
	"crocusrack/schema/crendpoint"
)

// Planner plans the orders of one service under one lease at a time. Set the
// exported fields before first use. It is not safe for concurrent use: guard every
// call with a lock.
type Planner struct {
	Service string
	Model   string
	// MaxLoads bounds how many endpoints load a version or an adapter at the same
	// time, to limit the traffic of the store that holds the model weights.
	MaxLoads int
	// MaxDeliveryTime is the longest time after MayStart at which an order may still take
	// effect. It must exceed the timeout of the call that sends the order.
	MaxDeliveryTime time.Duration
	// MaxLoadTime is the longest duration of a load.
	MaxLoadTime time.Duration
	// RetryDelay is how long no order is sent to an endpoint that refused one.
	RetryDelay time.Duration

	token      uint64
	tokenSince time.Time
	superseded bool
	sequence   uint64
	changes    map[string]*change
	// reported holds the newest reported state of each endpoint, by name.
	reported map[string]Endpoint
}

// change is the placement for which an endpoint has been chosen, and the progress of
// its orders.
type change struct {
	placement Placement
	// order is the outstanding order, from when Plan returned it until its effect is
	// known. It is nil if there is none.
	order *Order
	// sent is when Plan returned the order, and after Start when Start allowed it to
	// be sent.
	sent   time.Time
	doneAt time.Time
	// notBefore is the earliest time of the next order after a refused one.
	notBefore time.Time
}

// Plan returns the orders to start now, under the fencing token of the held lease.
// Don't call it while the lease isn't held. With a new token it discards all
// earlier plans, and waits until the orders that an earlier holder of the lease may
// have sent can no longer take effect.
func (p *Planner) Plan(now time.Time, token uint64, placements []Placement, endpoints []Endpoint) []Order {
	if token != p.token {
		p.token = token
		p.tokenSince = now
		p.superseded = false
		p.changes = map[string]*change{}
	}
	if p.superseded {
		return nil
	}
	endpoints = p.withNewestReports(endpoints)
	for _, e := range endpoints {
		p.completeOrder(now, e)
	}
	p.dropChanges(now, placements, endpoints)
	p.chooseChanges(now, placements, endpoints)
	return p.nextOrders(now, placements, endpoints)
}

// MayStart reports whether a planned order may be sent now. Read the clock right before
// the call, and send the order at once if it returns true. It returns false if the
// process was paused after Plan, so that the lease has lapsed or the order is
// outdated.
func (p *Planner) MayStart(now time.Time, o Order, l *crlease.Lease) bool {
	c := p.changes[o.Endpoint]
	if c == nil || c.order == nil || c.order.ID != o.ID {
		return false
	}
	if token, held := l.Check(now); !held || token != o.Token {
		c.order = nil
		return false
	}
	c.sent = now
	return true
}

// Outstanding returns the orders whose effect isn't known yet, sorted by endpoint.
func (p *Planner) Outstanding() []Order {
	var orders []Order
	for _, c := range p.changes {
		if c.order != nil {
			orders = append(orders, *c.order)
		}
	}
	slices.SortFunc(orders, func(a, b Order) int { return cmp.Compare(a.Endpoint, b.Endpoint) })
	return orders
}

// withNewestReports returns the endpoints with the newest reported state of each. A
// report that arrives after a newer one must not restore the old state.
func (p *Planner) withNewestReports(endpoints []Endpoint) []Endpoint {
	newest := map[string]Endpoint{}
	endpoints = slices.Clone(endpoints)
	for i := range endpoints {
		e := &endpoints[i]
		if old, known := p.reported[e.Name]; known && e.ReportedAt.Before(old.ReportedAt) {
			e.Role, e.Loaded, e.ReportedAt = old.Role, old.Loaded, old.ReportedAt
		}
		newest[e.Name] = *e
	}
	p.reported = newest
	return endpoints
}

// HandleAnswer processes the answer to an order. An order without an answer may have
// taken effect, and stays outstanding until a report shows its effect or it can no
// longer take effect.
func (p *Planner) HandleAnswer(now time.Time, o Order, result crendpoint.OrderResult) {
	c := p.changes[o.Endpoint]
	if c == nil || c.order == nil || c.order.ID != o.ID {
		return
	}
	switch result {
	case crendpoint.OrderResult_ORDER_RESULT_DONE:
		c.doneAt = now
	case crendpoint.OrderResult_ORDER_RESULT_STALE_TOKEN:
		// A later holder of the lease sends orders. This one stops until it has a
		// new token.
		p.superseded = true
	case crendpoint.OrderResult_ORDER_RESULT_INVALID:
		c.order = nil
		c.notBefore = now.Add(p.RetryDelay)
	}
}

// completeOrder removes the outstanding order of an endpoint once its effect is
// known: from a report that is newer than the answer, or newer than the last time at
// which the order could take effect. A load is also complete once a report shows
// what was to be loaded.
func (p *Planner) completeOrder(now time.Time, e Endpoint) {
	c := p.changes[e.Name]
	if c == nil || c.order == nil {
		return
	}
	latest := p.latestEffect(c)
	answered := !c.doneAt.IsZero() && e.ReportedAt.After(c.doneAt)
	loaded := c.order.isLoad() && c.order.isDone(e) && e.ReportedAt.After(c.sent)
	if answered || loaded || now.After(latest) && e.ReportedAt.After(latest) {
		c.order = nil
		c.doneAt = time.Time{}
	}
}

// latestEffect returns the time after which the outstanding order can have no more
// effect.
func (p *Planner) latestEffect(c *change) time.Time {
	if c.order.isLoad() {
		return c.sent.Add(p.MaxDeliveryTime + p.MaxLoadTime)
	}
	return c.sent.Add(p.MaxDeliveryTime)
}

// dropChanges drops the changes that are complete or no longer wanted. An endpoint
// that has left the catalogue gives no reports, so that its order stays until it can
// have no more effect.
func (p *Planner) dropChanges(now time.Time, placements []Placement, endpoints []Endpoint) {
	for name, c := range p.changes {
		i := slices.IndexFunc(endpoints, func(e Endpoint) bool { return e.Name == name })
		if c.order != nil && (i >= 0 || !now.After(p.latestEffect(c))) {
			continue
		}
		if i < 0 || !slices.Contains(placements, c.placement) || !endpoints[i].Ready {
			delete(p.changes, name)
			continue
		}
		if _, more := p.nextOrder(endpoints[i], c.placement); !more {
			delete(p.changes, name)
		}
	}
}

// chooseChanges picks endpoints to change, until each role has its wanted count.
func (p *Planner) chooseChanges(now time.Time, placements []Placement, endpoints []Endpoint) {
	for _, w := range placements {
		for missing := w.Count - p.countAssigned(w.Role, endpoints); missing > 0; missing-- {
			e, found := p.pickEndpoint(w, placements, endpoints)
			if !found {
				break
			}
			p.changes[e.Name] = &change{placement: w}
		}
		p.chooseUpdate(w, endpoints)
	}
}

// chooseUpdate picks one endpoint of the role that lacks the version or adapter, if
// no endpoint is changing for the role.
func (p *Planner) chooseUpdate(w Placement, endpoints []Endpoint) {
	for _, c := range p.changes {
		if c.placement.Role == w.Role {
			return
		}
	}
	for _, e := range endpoints {
		if e.Role != w.Role || !e.Ready || p.changes[e.Name] != nil {
			continue
		}
		if _, more := p.nextOrder(e, w); more {
			p.changes[e.Name] = &change{placement: w}
			return
		}
	}
}

// countAssigned returns the number of ready endpoints that have the role and keep
// it, or are changing to it.
func (p *Planner) countAssigned(role string, endpoints []Endpoint) int {
	n := 0
	for _, e := range endpoints {
		if e.Ready && p.roleOf(e) == role {
			n++
		}
	}
	return n
}

// roleOf returns the role that the endpoint has or is changing to.
func (p *Planner) roleOf(e Endpoint) string {
	if c := p.changes[e.Name]; c != nil {
		return c.placement.Role
	}
	return e.Role
}

// pickEndpoint returns the endpoint to change to the placement's role: the least
// loaded one in the failure domain with the fewest endpoints of the role. It picks
// none that its present role needs, and returns false if there is no other.
func (p *Planner) pickEndpoint(w Placement, placements []Placement, endpoints []Endpoint) (Endpoint, bool) {
	domains := map[string]int{}
	for _, e := range endpoints {
		if e.Ready && p.roleOf(e) == w.Role {
			domains[e.FailureDomain]++
		}
	}
	var spare []Endpoint
	roles := map[string]bool{w.Role: false}
	for _, e := range endpoints {
		if _, asked := roles[e.Role]; !asked {
			roles[e.Role] = p.isSpare(e.Role, placements, endpoints)
		}
		if e.Ready && p.changes[e.Name] == nil && roles[e.Role] {
			spare = append(spare, e)
		}
	}
	if len(spare) == 0 {
		return Endpoint{}, false
	}
	return slices.MinFunc(spare, func(x, y Endpoint) int {
		return cmp.Or(
			cmp.Compare(domains[x.FailureDomain], domains[y.FailureDomain]),
			cmp.Compare(x.Load, y.Load),
			cmp.Compare(x.Name, y.Name),
		)
	}), true
}

// isSpare reports whether the role has more endpoints than are wanted.
func (p *Planner) isSpare(role string, placements []Placement, endpoints []Endpoint) bool {
	return p.countRemaining(role, endpoints, time.Time{}) > wantedCount(role, placements)
}

// countRemaining returns the number of ready endpoints that keep the role and have
// it by a report newer than the given time. Endpoints that are changing to the role
// don't count, because the change may fail.
func (p *Planner) countRemaining(role string, endpoints []Endpoint, after time.Time) int {
	n := 0
	for _, e := range endpoints {
		if e.Ready && e.Role == role && p.roleOf(e) == role && e.ReportedAt.After(after) {
			n++
		}
	}
	return n
}

// wantedCount returns the wanted number of endpoints of a role.
func wantedCount(role string, placements []Placement) int {
	n := 0
	for _, w := range placements {
		if w.Role == role {
			n += w.Count
		}
	}
	return n
}

// nextOrders returns the next order of each change that may be sent now.
func (p *Planner) nextOrders(now time.Time, placements []Placement, endpoints []Endpoint) []Order {
	loads := 0
	for _, c := range p.changes {
		if c.order != nil && c.order.isLoad() && !now.After(p.latestEffect(c)) {
			loads++
		}
	}
	var orders []Order
	for _, e := range endpoints {
		c := p.changes[e.Name]
		if c == nil || c.order != nil || now.Before(c.notBefore) {
			continue
		}
		o, more := p.nextOrder(e, c.placement)
		if !more || !p.maySend(now, o, e, placements, endpoints) {
			continue
		}
		if o.isLoad() {
			if loads >= p.MaxLoads {
				continue
			}
			loads++
		}
		c.order = &o
		c.sent = now
		orders = append(orders, o)
	}
	return orders
}

// maySend reports whether the order can be sent without conflict with the orders of
// an earlier holder of the lease:
//   - An order to load, and every order to an endpoint that doesn't check fencing
//     tokens, waits until the earlier holder's loads must have ended and the endpoint
//     has reported its state since then.
//   - A change of role at an endpoint that checks fencing tokens waits only until
//     the earlier holder's orders can no longer take effect and the endpoint has
//     reported its state since then. If no placement wants the endpoint's present
//     role, this change doesn't wait at all.
//
// Other endpoints of the present role may have gone since the change was chosen, so
// that maySend checks again that the role keeps its wanted count without this one.
func (p *Planner) maySend(now time.Time, o Order, e Endpoint, placements []Placement, endpoints []Endpoint) bool {
	latest := p.tokenSince.Add(p.MaxDeliveryTime)
	if o.isLoad() || !e.ChecksOrders {
		latest = latest.Add(p.MaxLoadTime)
	}
	settled := now.After(latest) && e.ReportedAt.After(latest)
	if o.isLoad() {
		return settled
	}
	wanted := wantedCount(e.Role, placements)
	if wanted == 0 {
		return settled || e.ChecksOrders
	}
	return settled && p.countRemaining(e.Role, endpoints, latest) >= wanted
}
