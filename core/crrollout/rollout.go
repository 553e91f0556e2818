// Package crrollout decides which version of a service gets a request while operators have
// its traffic moved to another version, and whether the new version is good enough.
//
// It answers the load of a deployment in which some new versions are bad: they fail part
// of their requests or are several times slower, at once or later, on all routes or on one.
// Until a version is promoted it gets a fixed part of the requests, drawn from their ids,
// so that no instance has to ask or count for the part to hold over the fleet. A version
// that is found to be bad gets nothing more.
//
// Instances tell each other what they saw, and each decides by the sum. Two findings spread
// by themselves: that a version is bad, which is final, and that it is promoted. The store
// records how far the roll-out is, but no request waits for the store.
//
// The package does no I/O and takes the time from its caller. A Table isn't safe for
// concurrent use.
package crrollout

import (
	"cmp"
	"maps"
	"math"
	"slices"
	"time"

	"crocusrack/core/crhash"
	"crocusrack/core/crledger"
)

// State is how far a roll-out has got, as the store records it.
type State uint8

// The states.
const (
	// Unrecorded means that the store records no state for the order yet.
	Unrecorded State = iota
	// Running means that the version is being tried.
	Running
	// Completed means that the service has moved to the version.
	Completed
	// RolledBack means that the version gets no requests any more.
	RolledBack
)

var stateNames = [...]string{Unrecorded: "unrecorded", Running: "running", Completed: "completed", RolledBack: "rolled-back"}

// String returns the name of the state in kebab case.
func (s State) String() string {
	if int(s) < len(stateNames) {
		return stateNames[s]
	}
	return "unknown"
}

// Order is an operator's order to move the traffic of a service to a version.
type Order struct {
	// ID tells the order from all others, also from earlier ones for the same service.
	ID      uint64
	Service string
	// Target is the version that the traffic moves to.
	Target string
	// Duration is the time in which the operator wants the order completed or rolled
	// back.
	Duration time.Duration
	// State is what the store records for this order.
	State State
	// Revision is the revision of the order in the store.
	Revision uint64
}

// Limits bounds what a bad version may get.
type Limits struct {
	// Share is the fraction of a service's requests that a version may get that isn't
	// known to be good, and Slack the number of requests beyond it. With a Share of zero,
	// orders are ignored.
	Share float64
	Slack float64
}

// Endpoint is what a Table needs to know of an endpoint.
type Endpoint struct {
	Key     crledger.Key
	Service string
	Version string
	// Incarnation grows with the time at which the endpoint started.
	Incarnation uint64
	Slots       int
	// Ready is true unless the endpoint is about to leave.
	Ready bool
}

const (
	// usedShare is the fraction of Limits.Share that is used for the trial. The rest is left
	// for the end of the order's duration, in which the version may get all requests.
	usedShare = 0.6
	// usedSlack is the fraction of Limits.Slack that is used for the trial of services with
	// few requests, and lateSlack the fraction left for the end of the order's duration.
	// Both leave a margin, since the number of drawn requests varies.
	usedSlack = 0.2
	lateSlack = 0.1
	// spreadTime is how much later than computed a late promotion takes place. It allows for
	// the delay with which instances hear that the version is bad after all.
	spreadTime = 150 * time.Millisecond
	// maxRouteFactor bounds the fraction of a route's requests that are drawn for the
	// trial, as a multiple of the fraction over all routes, and maxRouteShare bounds it
	// absolutely.
	maxRouteFactor = 4
	maxRouteShare  = 0.5
	// minRateAge is the age of an order and minRateAnswers the number of answers from
	// which on the rates of requests are known.
	minRateAge     = time.Second
	minRateAnswers = 50
	// minCanaries is the least number of endpoints of the new version that get requests.
	// With two, a fault of one endpoint is told from one of the version.
	minCanaries = 2
	// rampStep is the duration of each step of ramp.
	rampStep = 500 * time.Millisecond
	// lateRamp is the time after the planned end of a trial from which on a promotion skips
	// the ramp, because the time that is left is needed for the old version's last requests.
	lateRamp = 500 * time.Millisecond
	// maxTrial bounds the duration of a trial.
	maxTrial = 10 * time.Minute
	// minTrialShare is the shortest trial, as a fraction of the order's duration.
	minTrialShare = 0.4
	// recordTime is the time reserved for the instances to tell each other that they have
	// switched, and for recording the completion in the store.
	recordTime = 1500 * time.Millisecond
	// roomFactor is the number of slots that the new version's endpoints must have in total
	// for its promotion, as a multiple of the service's requests in flight.
	roomFactor = 1.25
	// evaluateInterval is the shortest time between two evaluations of the evidence.
	evaluateInterval = 100 * time.Millisecond
)

// ramp holds the fractions of the requests that the new version gets in the steps after its
// promotion. After the last step it gets all of them.
var ramp = []float64{0.25, 0.5}

// Table holds the versions of the services of a fleet and the orders to move them. Set the
// exported fields before first use.
type Table struct {
	Limits Limits

	services map[string]*service
	// endpoints holds the listed endpoints.
	endpoints map[crledger.Key]Endpoint
	orders    map[string]Order
	// restoredAt is when the store last came back from a copy.
	restoredAt time.Time
}

// service is what is known of the versions of a service.
type service struct {
	name string
	// inForce is the version that gets the requests as long as no order moves them.
	inForce string
	// settled is true if inForce was once the only version of the service's endpoints.
	settled bool
	// versions has the versions of the listed endpoints, the one that started first
	// first.
	versions []string
	// canaries are the endpoints of the new version that get requests before its
	// promotion.
	canaries map[crledger.Key]bool
	// places is the number of requests that the ready endpoints of the new version take
	// side by side.
	places int
	// ended is the last order that is no longer listed.
	ended *rollout
	// current is the order in progress or ended last. It is nil without an order.
	current *rollout
}

// rollout is one order and what this instance knows of it.
type rollout struct {
	Order
	// previous is the version that the traffic moves from.
	previous string
	// since is when the order was first seen by any instance that this one has heard of.
	since time.Time
	bad   bool
	// unrecorded is true if the store has lost the state.
	unrecorded bool
	// why says what the finding that the version is bad rests on.
	why string
	// promotedAt is when the traffic began to move. It is zero before.
	promotedAt time.Time
	// longest is the longest time that a request took here at the previous version.
	longest time.Duration
	// switched is true once this instance sends nothing to the previous version any more.
	switched bool
	evidence evidence
	// evaluated is when the evidence was last looked at.
	evaluated time.Time
	finding   finding
}

// moving reports whether requests may go to either version.
func (o *rollout) moving() bool {
	return o != nil && !o.bad && o.previous != o.Target && o.State != Completed && o.State != RolledBack
}

// SetEndpoints replaces the list of endpoints.
func (t *Table) SetEndpoints(list []Endpoint) {
	if t.Limits.Share <= 0 {
		return
	}
	first := make(map[string]map[string]uint64)
	for _, e := range list {
		if first[e.Service] == nil {
			first[e.Service] = make(map[string]uint64)
		}
		if start, ok := first[e.Service][e.Version]; !ok || e.Incarnation < start {
			first[e.Service][e.Version] = e.Incarnation
		}
	}
	if t.services == nil {
		t.services = make(map[string]*service)
	}
	t.endpoints = make(map[crledger.Key]Endpoint)
	for name, starts := range first {
		s := t.services[name]
		if s == nil {
			s = &service{name: name}
			t.services[name] = s
		}
		s.versions = s.versions[:0]
		for v := range starts {
			s.versions = append(s.versions, v)
		}
		slices.SortFunc(s.versions, func(a, b string) int {
			return cmp.Or(cmp.Compare(starts[a], starts[b]), cmp.Compare(a, b))
		})
	}
	for _, s := range t.services {
		if first[s.name] == nil {
			s.versions = nil
		}
		t.setInForce(s)
	}
	for _, e := range list {
		t.endpoints[e.Key] = e
	}
	for _, s := range t.services {
		t.setCanaries(s)
	}
}

// setInForce determines the version that gets the requests of a service without an order.
// It stays what it is while it has endpoints: new endpoints are started before the order to
// use them is known.
func (t *Table) setInForce(s *service) {
	o, before := s.current, s.inForce
	switch {
	case o != nil && o.State == Completed:
		s.inForce = o.Target
	case o != nil && o.Target == s.inForce && s.settled:
		// The order is for the version in force.
	case s.inForce != "" && slices.Contains(s.versions, s.inForce) && (o == nil || o.Target != s.inForce):
	case o != nil && o.previous != "" && len(s.versions) == 1 && s.versions[0] == o.Target:
		// All endpoints of the version in force are gone. The new one gets no more for that.
		s.inForce = o.previous
	default:
		for _, v := range s.versions {
			if o == nil || v != o.Target || len(s.versions) == 1 {
				s.inForce = v
				break
			}
		}
	}
	if s.inForce != before {
		s.settled = false
	}
	if len(s.versions) == 1 && s.versions[0] == s.inForce {
		s.settled = true
	}
	if o != nil && o.State != Completed && s.inForce != "" {
		o.previous = s.inForce
	}
}

// setCanaries chooses the endpoints of the new version that get requests before its
// promotion: so few that each has about the load of an endpoint in force. A version that is
// bad only under load would look good if its part of the requests were spread over all its
// endpoints.
func (t *Table) setCanaries(s *service) {
	s.canaries, s.places = nil, 0
	if s.current == nil {
		return
	}
	var news []crledger.Key
	old := 0
	for k, e := range t.endpoints {
		switch {
		case e.Service != s.name || !e.Ready:
		case e.Version == s.current.Target:
			news = append(news, k)
			s.places += e.Slots
		case e.Version == s.current.previous:
			old++
		}
	}
	slices.SortFunc(news, func(a, b crledger.Key) int {
		return cmp.Compare(crhash.Mix(s.current.ID, uint64(a)), crhash.Mix(s.current.ID, uint64(b)))
	})
	count := max(minCanaries, int(math.Round(usedShare*t.Limits.Share*float64(old))))
	s.canaries = make(map[crledger.Key]bool)
	for _, k := range news[:min(count, len(news))] {
		s.canaries[k] = true
	}
}

// SetOrders replaces the orders, as read from the store or told by another instance. Orders
// that are no longer listed end: the version in force keeps the requests.
func (t *Table) SetOrders(now time.Time, list []Order) {
	if t.Limits.Share <= 0 {
		return
	}
	t.orders = make(map[string]Order, len(list))
	for _, o := range list {
		t.orders[o.Service] = o
		t.setOrder(now, o)
	}
	for _, s := range t.services {
		if _, ok := t.orders[s.name]; !ok && s.current != nil {
			s.current, s.ended = nil, s.current
		}
	}
}

// setOrder applies one order. What is known of an order that was there before stays.
func (t *Table) setOrder(now time.Time, o Order) {
	if t.services == nil {
		t.services = make(map[string]*service)
	}
	s := t.services[o.Service]
	if s == nil {
		s = &service{name: o.Service}
		t.services[o.Service] = s
	}
	if s.current == nil && t.isRestored(now) {
		s.current = s.ended
	}
	if s.current == nil || s.current.ID != o.ID && !(t.isRestored(now) && s.current.repeats(o)) {
		s.current = &rollout{since: now}
	}
	c := s.current
	c.unrecorded = c.unrecorded || t.isRestored(now) && o.State < c.State
	// An older state may be heard of later.
	o.State = max(o.State, c.State)
	c.Order = o
	if o.State == RolledBack {
		c.find(true, "the store records it")
	}
	t.setInForce(s)
	t.setCanaries(s)
}

// find records that the version is bad, or not, as a finding that another instance or the
// store tells.
func (o *rollout) find(bad bool, why string) {
	if bad && !o.bad {
		o.bad, o.why = true, why
	}
}

// Request describes a request that needs an endpoint of a service.
type Request struct {
	Service string
	// Route is the name of the request's route.
	Route string
	// Draw is a hash of the request's id. Each question about a request has the same.
	Draw uint64
	// Repeat is true if the request was already sent to an endpoint.
	Repeat bool
}

// Arm is the version, or part of its endpoints, that a request goes to.
type Arm struct {
	table   *Table
	service *service
	// target is true if the request goes to the new version.
	target bool
	// canary is true if it goes only to the canaries of the new version.
	canary bool
}

// Restricts reports whether the arm leaves out any endpoints of the service. If not, Allows
// needn't be called.
func (a Arm) Restricts() bool { return a.service != nil }

// Target reports whether the request goes to the new version.
func (a Arm) Target() bool { return a.target }

// Allows reports whether an endpoint of the service belongs to the arm.
func (a Arm) Allows(k crledger.Key) bool {
	if a.service == nil {
		return true
	}
	e, ok := a.table.endpoints[k]
	switch {
	case !ok:
		return false
	case !a.target:
		return e.Version == a.service.inForce
	case a.canary:
		return a.service.canaries[k]
	}
	return e.Version == a.service.current.Target
}

// Choose returns the arm for a request.
func (t *Table) Choose(now time.Time, r Request) Arm {
	s := t.services[r.Service]
	if s == nil || len(s.versions) < 2 && s.current == nil {
		return Arm{}
	}
	a := Arm{table: t, service: s}
	o := s.current
	if !o.moving() {
		return a
	}
	if !o.promotedAt.IsZero() {
		share := o.rampShare(now)
		a.target = share >= 1 || uniform(r.Draw, o.ID) < share && !r.Repeat
		return a
	}
	a.target = !r.Repeat && uniform(r.Draw, o.ID) < t.trialShare(now, o, r.Route)
	a.canary = a.target
	return a
}

// Fallback returns the arm for a request for which no endpoint of its arm has room. Before
// an instance has switched, that is the version in force. It reports false if there is none.
func (a Arm) Fallback() (Arm, bool) {
	if !a.target || a.service.current.switched {
		return Arm{}, false
	}
	return Arm{table: a.table, service: a.service}, true
}

// uniform maps a request to a number from 0 to 1, differently for each order.
func uniform(draw, order uint64) float64 {
	return float64(crhash.Mix(draw, order)>>11) / (1 << 53)
}

// rampShare returns the fraction of the requests that a promoted version gets.
func (o *rollout) rampShare(now time.Time) float64 {
	step := int(max(0, now.Sub(o.promotedAt)) / rampStep)
	if step >= len(ramp) || o.promotedAt.After(o.trialEnd().Add(lateRamp)) {
		return 1
	}
	return ramp[step]
}

// trialShare returns the fraction of a route's requests that a version gets before its
// promotion. Over all routes it is usedShare of the limit, and more where requests are so
// rare that the slack leaves room. Routes with few requests get a larger fraction, since a
// version may be bad on one of them only.
func (t *Table) trialShare(now time.Time, o *rollout, route string) float64 {
	share := usedShare * t.Limits.Share
	age := now.Sub(o.since)
	if age < minRateAge || o.finding.ended < minRateAnswers {
		return share
	}
	rate := o.finding.rate(age)
	share += usedSlack * t.Limits.Slack / (rate * min(o.Duration, maxTrial).Seconds())
	ofRoute, ok := o.finding.routes[uint32(crhash.Of(route))]
	if !ok {
		return share
	}
	even := share * o.finding.ended / float64(len(o.finding.routes)) / ofRoute
	return min(max(even, share/maxRouteFactor), share*maxRouteFactor, maxRouteShare)
}

// affordable returns the last part of the order's time in which the version may get all
// requests without more than the limit, even if it is bad.
func (t *Table) affordable(now time.Time, o *rollout) time.Duration {
	used := usedShare * t.Limits.Share
	left := (t.Limits.Share - used) * o.Duration.Seconds()
	if age := now.Sub(o.since); age >= minRateAge && o.finding.ended >= minRateAnswers {
		left += lateSlack * t.Limits.Slack / o.finding.rate(age)
	}
	return max(0, time.Duration(left/(1-used)*float64(time.Second))-spreadTime)
}

// names returns the names of the services, sorted.
func (t *Table) names() []string { return slices.Sorted(maps.Keys(t.services)) }
