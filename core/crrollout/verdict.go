package crrollout

import (
	"fmt"
	"math"
	"slices"
	"time"
)

const (
	// badEvidence is the evidence against a version from which on it is bad: how many
	// times more likely the answers are if it is worse than if it is as good as the old
	// one. By Ville's inequality a good version reaches it with a probability of at most
	// 1/badEvidence, however often the evidence is looked at.
	badEvidence = 500.0
	// conclusiveEvidence is the evidence against a version below which it is taken for
	// good on each route: its answers are so many times less likely if it is worse.
	conclusiveEvidence = 0.1
	// minRouteShare is the part of the answers from which on a route has to be conclusive
	// by itself.
	minRouteShare = 0.02
	// doubtfulEvidence is the evidence from which on a version isn't promoted. At the
	// deadline it is rolled back: what it does to callers if it is bad weighs more than
	// an order that has to be repeated.
	doubtfulEvidence = 20.0
	// baseDeviations is the number of standard deviations by which the rate of failed or
	// slow answers of the old version may be higher than seen.
	baseDeviations = 2.5
	// minBase is the least rate of failed or slow answers that is assumed of the old
	// version.
	minBase = 0.002
)

// excesses are the rates by which a bad version may be worse than the old one, as a part of
// the answers that the old version doesn't spoil. The evidence is the mean over them.
var excesses = [...]float64{0.02, 0.05, 0.1, 0.2, 0.4, 0.7, 0.95}

// likelihood returns how many times more likely it is that k of n answers are spoilt if the
// version is worse than one that spoils the fraction base, than if it is as good.
func likelihood(k, n, base float64) float64 {
	sum := 0.0
	for _, x := range excesses {
		p := base + x*(1-base)
		sum += math.Exp(min(k*math.Log(p/base)+(n-k)*math.Log((1-p)/(1-base)), 300))
	}
	return sum / float64(len(excesses))
}

// rate is a sample of spoilt answers: k of n.
type rate struct{ k, n float64 }

// base returns the fraction of spoilt answers that is assumed of the old version: an upper
// confidence bound of what it shows, weighed by the answers that the new version has on each
// route, since the trial draws more of some routes than of others.
func base(old, news []rate) float64 {
	const z = baseDeviations
	mean, variance, total := 0.0, 0.0, 0.0
	for _, n := range news {
		total += n.n
	}
	for i, n := range news {
		if total == 0 {
			break
		}
		weight, o := n.n/total, old[i]
		// The Wilson interval, which is sound for few answers too.
		center := (o.k + z*z/2) / (o.n + z*z)
		mean += weight * center
		variance += weight * weight * (o.k*max(o.n-o.k, 0)/max(o.n, 1) + z*z/4) / ((o.n + z*z) * (o.n + z*z))
	}
	return min(max(mean+z*math.Sqrt(variance), minBase), 0.98)
}

// finding is the result of a look at the evidence.
type finding struct {
	comparison
	// spread is the evidence against the new version without the part of its endpoints
	// that speaks most against it.
	spread float64
	// ended is the number of answers of both versions, and trial of the new one.
	ended, trial float64
	// routes has the number of answers by route.
	routes map[uint32]float64
}

// conclusive reports whether the version is as good as the old one on all routes.
func (f finding) conclusive() bool { return f.trial > 0 && f.most < conclusiveEvidence }

// rate returns the number of answers a second since an order of the given age.
func (f finding) rate(age time.Duration) float64 {
	remembered := forgetTime.Seconds() * (1 - math.Exp(-float64(age)/float64(forgetTime)))
	return f.ended / remembered
}

// bad reports whether the version is bad. What a single part of its endpoints shows may be a
// fault of an endpoint, so that the others must show some of it too.
func (f finding) bad() bool { return f.against >= badEvidence && f.spread >= doubtfulEvidence }

// evaluate looks at the answers of both versions. On each route, and on all together, the
// rates of failed and of slow answers are compared; the evidence is the mean of these
// comparisons, so that it keeps its error over any number of routes.
func evaluate(counts map[Cell]Counts) finding {
	f := finding{routes: make(map[uint32]float64)}
	var buckets [Buckets + 1]bool
	for c, n := range counts {
		f.ended += n.Ended
		f.routes[c.Route] += n.Ended
		if c.Bucket > 0 {
			f.trial += n.Ended
			buckets[c.Bucket] = n.Ended > 0
		}
	}
	f.comparison = compare(f.routes, counts, 0)
	f.spread = f.against
	several := 0
	for _, b := range buckets {
		if b {
			several++
		}
	}
	for b := range buckets {
		if several > 1 && buckets[b] {
			f.spread = min(f.spread, compare(f.routes, counts, b).against)
		}
	}
	return f
}

// allRoutes is the key of what all routes show together.
const allRoutes = math.MaxUint32

// comparison is the result of comparing the new version with the old one.
type comparison struct {
	// against is the evidence against the new version, and most the most that a route, or
	// all routes together, show.
	against, most float64
	// worst is the route that shows it, and kind what its answers are.
	worst uint32
	kind  string
}

// compare compares the new version, without one part of its endpoints, with the old one.
func compare(routes map[uint32]float64, counts map[Cell]Counts, except int) comparison {
	var c comparison
	sum, comparisons, ended := 0.0, 0, 0.0
	add := func(route uint32, kind string, old, news []rate, counted bool) {
		var n rate
		for _, r := range news {
			n.k, n.n = n.k+r.k, n.n+r.n
		}
		e := likelihood(n.k, n.n, base(old, news))
		sum += e
		comparisons++
		if counted && e > c.most {
			c.most, c.worst, c.kind = e, route, kind
		}
	}
	var failed, slow struct{ old, news []rate }
	for _, n := range routes {
		ended += n
	}
	for route, n := range routes {
		old := counts[Cell{Route: route}]
		if old.Ended == 0 {
			// Nothing to compare with.
			continue
		}
		var trial Counts
		for b := 1; b <= Buckets; b++ {
			if b != except {
				trial.add(counts[Cell{route, uint8(b)}], 1)
			}
		}
		failed.old, failed.news = append(failed.old, rate{old.Failed, old.Ended}), append(failed.news, rate{trial.Failed, trial.Ended})
		slow.old, slow.news = append(slow.old, rate{old.Slow, old.Timed}), append(slow.news, rate{trial.Slow, trial.Timed})
		last := len(failed.old) - 1
		counted := n >= minRouteShare*ended
		add(route, "failed", failed.old[last:], failed.news[last:], counted)
		add(route, "slow", slow.old[last:], slow.news[last:], counted)
	}
	add(allRoutes, "failed", failed.old, failed.news, true)
	add(allRoutes, "slow", slow.old, slow.news, true)
	c.against = sum / float64(comparisons)
	return c
}

// Fleet is what a Table needs to know of the fleet in order to decide.
type Fleet struct {
	// Size is the number of live instances, with this one.
	Size int
	// Fresh is true if what the other instances say, and what the store says of the
	// endpoints, is no older than a second or two.
	Fresh bool
	// InFlight returns the number of requests in flight at the endpoints of a service
	// that run the given version, over all instances, and Own those of this one.
	InFlight func(service, version string) int
	Own      func(service, version string) int
}

// Event is something that an instance found, for its log.
type Event struct {
	Order
	// What is "bad", "promoted" or "switched".
	What string
	// Why says what a finding rests on.
	Why string
	// Age is the time since the order.
	Age time.Duration
	// Evidence is the evidence against the version, of Trial answers.
	Evidence, Trial float64
}

// Evaluate looks at the evidence, and promotes a version or finds it bad where the evidence
// says so. It returns what is new.
func (t *Table) Evaluate(now time.Time, f Fleet) []Event {
	var events []Event
	for _, s := range t.services {
		o := s.current
		if !o.moving() || now.Sub(o.evaluated) < evaluateInterval {
			continue
		}
		o.evaluated = now
		o.finding = evaluate(o.evidence.sum(now, func(string) bool { return true }))
		age := now.Sub(o.since)
		event := Event{Order: o.Order, Age: age, Evidence: o.finding.against, Trial: o.finding.trial}
		switch {
		case o.finding.bad():
			o.find(true, o.finding.explain())
		case age > o.Duration && o.promotedAt.IsZero() && o.finding.against >= doubtfulEvidence:
			o.find(true, "doubtful at the deadline: "+o.finding.explain())
		case o.promotedAt.IsZero() && f.Fresh && t.mayPromote(now, s, f):
			o.promotedAt = now
			event.What = "promoted"
		case !o.switched && !o.promotedAt.IsZero() && o.rampShare(now) >= 1 && f.Own(s.name, o.previous) == 0:
			o.switched = true
			event.What = "switched"
		}
		if o.bad {
			event.What, event.Why = "bad", o.why
		}
		if event.What != "" {
			events = append(events, event)
		}
	}
	return events
}

// explain says what speaks most against the version.
func (f finding) explain() string {
	where := "on all routes"
	if f.worst != allRoutes {
		where = fmt.Sprintf("on route %08x", f.worst)
	}
	return fmt.Sprintf("answers %s %s", f.kind, where)
}

// mayPromote reports whether all traffic may move to the new version. The version is tried
// for as long as its order leaves time to end the requests at the old version, since a
// version may turn bad late. Without conclusive answers by then it is tried on until even a
// bad version may get the rest.
func (t *Table) mayPromote(now time.Time, s *service, f Fleet) bool {
	o := s.current
	end := o.trialEnd()
	if !o.finding.conclusive() {
		if late := o.since.Add(o.Duration - t.affordable(now, o)); late.After(end) {
			end = late
		}
	}
	if o.finding.against >= doubtfulEvidence || now.Before(end) {
		return false
	}
	inFlight := f.InFlight(s.name, o.Target) + f.InFlight(s.name, o.previous)
	return s.places > 0 && float64(s.places) >= roomFactor*float64(inFlight)
}

// trialEnd returns the time at which the traffic must begin to move for the roll-out to be
// completed by its deadline.
func (o *rollout) trialEnd() time.Time {
	needed := rampStep*time.Duration(len(ramp)) + o.longest + recordTime
	trial := max(o.Duration-needed, time.Duration(minTrialShare*float64(o.Duration)))
	return o.since.Add(min(trial, maxTrial))
}

// Record is a state that the store is to record for an order.
type Record struct {
	Order
	// State is the new state.
	State State
}

// Records returns the states that the store is to record now. Only the instance that writes
// to the store calls it, and right before each write: a version is completed only while all
// instances say that they send nothing to the old one and nothing runs there any more.
func (t *Table) Records(now time.Time, f Fleet) []Record {
	var list []Record
	for _, s := range t.services {
		o := s.current
		if o == nil || !o.unrecorded && (o.State == Completed || o.State == RolledBack) {
			continue
		}
		switch {
		case o.unrecorded:
			list = append(list, Record{o.Order, o.State})
		case o.bad:
			list = append(list, Record{o.Order, RolledBack})
		case t.completed(now, s, f):
			list = append(list, Record{o.Order, Completed})
		case o.State == Unrecorded:
			list = append(list, Record{o.Order, Running})
		}
	}
	return list
}

// completed reports whether the service has moved to the new version.
func (t *Table) completed(now time.Time, s *service, f Fleet) bool {
	o := s.current
	if !f.Fresh {
		return false
	}
	if o.previous == o.Target || o.previous == "" {
		// The order is for the version in force.
		return o.previous == o.Target
	}
	if !o.switched || f.InFlight(s.name, o.previous) > 0 {
		return false
	}
	return o.progress(now, func(string) bool { return true }).Switched >= f.Size
}

// Recorded applies a state that the store has recorded.
func (t *Table) Recorded(r Record, revision uint64) {
	s := t.services[r.Service]
	if s == nil || s.current == nil || s.current.ID != r.ID {
		return
	}
	o := s.current
	o.State, o.Revision, o.unrecorded = r.State, revision, false
	if r.State == RolledBack {
		o.find(true, "the store records it")
	}
	t.setInForce(s)
}

// Orders returns the orders, each with the newest state that is known to be recorded.
func (t *Table) Orders() []Order {
	var list []Order
	for _, o := range t.orders {
		if s := t.services[o.Service]; s != nil && s.current != nil && s.current.ID == o.ID {
			o = s.current.Order
		}
		list = append(list, o)
	}
	return list
}

// Versions are the versions of a service's endpoints.
type Versions struct {
	Service string
	// InForce is the version that gets the requests that no order moves.
	InForce string
	// Listed has all versions, the one that started first first.
	Listed []string
}

// Mixed returns the services that have endpoints of several versions, as they have while
// their traffic is moved, sorted by name.
func (t *Table) Mixed() []Versions {
	var list []Versions
	for _, name := range t.names() {
		if s := t.services[name]; len(s.versions) > 1 {
			list = append(list, Versions{name, s.inForce, slices.Clone(s.versions)})
		}
	}
	return list
}

// Status describes an order and its roll-out for operators.
type Status struct {
	Service  string  `json:"service"`
	Target   string  `json:"target"`
	Previous string  `json:"previous"`
	State    string  `json:"state"`
	Age      string  `json:"age"`
	Duration string  `json:"duration"`
	Bad      bool    `json:"bad"`
	Why      string  `json:"why,omitempty"`
	Promoted bool    `json:"promoted"`
	Switched int     `json:"instances-switched"`
	Evidence float64 `json:"evidence-against"`
	Trial    float64 `json:"answers-of-target"`
	Ended    float64 `json:"answers"`
}

// Statuses returns the roll-outs, sorted by service.
func (t *Table) Statuses(now time.Time) []Status {
	var list []Status
	for _, name := range t.names() {
		o := t.services[name].current
		if o == nil {
			continue
		}
		p := o.progress(now, func(string) bool { return true })
		list = append(list, Status{
			Service: name, Target: o.Target, Previous: o.previous, State: o.State.String(), Age: now.Sub(o.since).String(),
			Duration: o.Duration.String(), Bad: o.bad, Why: o.why, Promoted: !o.promotedAt.IsZero(), Switched: p.Switched,
			Evidence: o.finding.against, Trial: o.finding.trial, Ended: o.finding.ended,
		})
	}
	return list
}
