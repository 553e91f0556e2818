package crrollout

import (
	"cmp"
	"math"
	"slices"
	"strings"
	"time"

	"crocusrack/core/crhash"
	"crocusrack/core/crledger"
)

const (
	// Buckets is the number of parts into which the endpoints of the new version are
	// divided by their keys, so that a fault of single endpoints is told from one of
	// their version.
	Buckets = 8
	// forgetTime is the time constant with which answers are forgotten, so that those of
	// a version that turns bad after a long time aren't outweighed by the earlier ones.
	forgetTime = time.Minute
	// maxRoutes is the number of routes that are told apart. Answers on further ones count
	// as those of one route.
	maxRoutes = 24
	// slowFactor is the ratio of an answer's time to the usual one of its route beyond
	// which it counts as slow.
	slowFactor = 1.8
	// minUsual is the number of answers of the old version that make a usual time.
	minUsual = 5
	// usualWeight is the weight of the newest answer in the usual time.
	usualWeight = 0.1
)

// Cell tells which answers are counted together.
type Cell struct {
	// Route is a hash of the route's name. It is zero for all routes beyond the first
	// ones.
	Route uint32
	// Bucket is zero for the old version, and a part of the new version's endpoints
	// from 1 to Buckets otherwise.
	Bucket uint8
}

// Counts are the answers of one cell, the older ones with less weight.
type Counts struct {
	// Ended is the number of answers, and Failed of those that failed.
	Ended, Failed float64
	// Timed is the number of answers whose time could be compared with the usual one,
	// and Slow of those that took several times as long.
	Timed, Slow float64
}

func (c *Counts) add(d Counts, weight float64) {
	c.Ended += weight * d.Ended
	c.Failed += weight * d.Failed
	c.Timed += weight * d.Timed
	c.Slow += weight * d.Slow
}

// evidence holds the answers since an order, of this instance and of others.
type evidence struct {
	own   map[Cell]*Counts
	at    time.Time
	usual map[uint32]*usualTime
	// peers holds what each instance, or several as one sum, last reported.
	peers map[string]peerEvidence
}

type peerEvidence struct {
	at       time.Time
	counts   map[Cell]Counts
	switched int
}

// usualTime is a moving average of the logarithm of the times of the old version's answers
// on one route.
type usualTime struct {
	log   float64
	count int
}

// Sample describes a request that ended.
type Sample struct {
	Service, Route string
	Endpoint       crledger.Key
	// Took is the time that the answer took beyond what reading the prompt was forecast
	// to take there: a new version's endpoints hold no prompts at first.
	Took time.Duration
	// Held is the time for which the request held its place.
	Held time.Duration
	// Failed is true if the endpoint failed the request.
	Failed bool
	// Abandoned is true if the caller left before the end. The request then counts only
	// if it was slow until then.
	Abandoned bool
	// WarmingUp is true if the endpoint had just started, so that its time tells nothing.
	WarmingUp bool
}

// Record counts a request that ended at an endpoint.
func (t *Table) Record(now time.Time, r Sample) {
	s := t.services[r.Service]
	if s == nil || !s.current.moving() {
		return
	}
	o := s.current
	bucket := uint8(0)
	switch t.endpoints[r.Endpoint].Version {
	case o.Target:
		bucket = 1 + uint8(crhash.Mix(o.ID, uint64(r.Endpoint))%Buckets)
	case o.previous:
		o.longest = max(o.longest, r.Held)
	default:
		return
	}
	o.evidence.record(now, Cell{uint32(crhash.Of(r.Route)), bucket}, r)
}

func (e *evidence) record(now time.Time, c Cell, r Sample) {
	timed, slow := e.compare(c, r)
	if r.Abandoned && !slow {
		return
	}
	e.decay(now)
	if e.own == nil {
		e.own = make(map[Cell]*Counts)
	}
	if e.own[c] == nil {
		if len(e.own) >= maxRoutes*(1+Buckets) {
			c.Route = 0
		}
		if e.own[c] == nil {
			e.own[c] = &Counts{}
		}
	}
	add := Counts{Ended: 1}
	if r.Failed {
		add.Failed = 1
	}
	if timed {
		add.Timed = 1
	}
	if slow {
		add.Slow = 1
	}
	e.own[c].add(add, 1)
}

// compare compares the time of an answer with the usual time of its route at this instance,
// which the answers of the old version make.
func (e *evidence) compare(c Cell, r Sample) (timed, slow bool) {
	if r.Failed || r.WarmingUp || r.Took <= 0 {
		return false, false
	}
	if e.usual == nil {
		e.usual = make(map[uint32]*usualTime)
	}
	u := e.usual[c.Route]
	if u == nil {
		u = &usualTime{}
		e.usual[c.Route] = u
	}
	took := math.Log(r.Took.Seconds())
	timed = u.count >= minUsual
	slow = timed && took > u.log+math.Log(slowFactor)
	if c.Bucket == 0 && !r.Abandoned {
		u.count++
		u.log += max(usualWeight, 1/float64(u.count)) * (took - u.log)
	}
	return timed, slow
}

// decay lowers the weight of this instance's earlier answers.
func (e *evidence) decay(now time.Time) {
	if !e.at.IsZero() && now.After(e.at) {
		kept := math.Exp(-float64(now.Sub(e.at)) / float64(forgetTime))
		for _, c := range e.own {
			*c = Counts{kept * c.Ended, kept * c.Failed, kept * c.Timed, kept * c.Slow}
		}
	}
	e.at = now
}

// sum returns the answers of this instance and of the others for which want returns true.
func (e *evidence) sum(now time.Time, want func(string) bool) map[Cell]Counts {
	e.decay(now)
	sum := make(map[Cell]Counts, len(e.own))
	for c, n := range e.own {
		sum[c] = *n
	}
	for name, p := range e.peers {
		if !want(name) {
			continue
		}
		for c, n := range p.counts {
			total := sum[c]
			total.add(n, 1)
			sum[c] = total
		}
	}
	return sum
}

// Progress is what an instance, or several as one sum, know of a roll-out.
type Progress struct {
	ID  uint64
	Bad bool
	// Age is the time since the order was first seen, and Promoted since the traffic
	// began to move. Moved is true if it did.
	Age, Promoted time.Duration
	Moved         bool
	// Switched is the number of instances that send nothing to the old version.
	Switched int
	Counts   map[Cell]Counts
}

// Progress returns what this instance and the others for which want returns true know of
// each order. A nil want stands for none.
func (t *Table) Progress(now time.Time, want func(instance string) bool) []Progress {
	var list []Progress
	for _, s := range t.services {
		if s.current == nil || s.current.State == Completed || s.current.State == RolledBack {
			continue
		}
		list = append(list, s.current.progress(now, want))
	}
	slices.SortFunc(list, func(a, b Progress) int { return cmp.Compare(a.ID, b.ID) })
	return list
}

func (o *rollout) progress(now time.Time, want func(string) bool) Progress {
	if want == nil {
		want = func(string) bool { return false }
	}
	p := Progress{ID: o.ID, Bad: o.bad, Age: now.Sub(o.since), Counts: o.evidence.sum(now, want)}
	if !o.promotedAt.IsZero() {
		p.Moved, p.Promoted = true, now.Sub(o.promotedAt)
	}
	if o.switched {
		p.Switched = 1
	}
	for name, e := range o.evidence.peers {
		if want(name) {
			p.Switched += e.switched
		}
	}
	return p
}

// Receive takes over what another instance, or several as one sum, know. What is in counted
// is already part of the sum and is subtracted.
func (t *Table) Receive(now time.Time, from string, list []Progress, counted []Progress) {
	for _, p := range list {
		o := t.byID(p.ID)
		if o == nil {
			continue
		}
		o.find(p.Bad, "another instance found it")
		if since := now.Add(-p.Age); since.Before(o.since) {
			o.since = since
		}
		if at := now.Add(-p.Promoted); p.Moved && (o.promotedAt.IsZero() || at.Before(o.promotedAt)) {
			o.promotedAt = at
		}
		if i := slices.IndexFunc(counted, func(c Progress) bool { return c.ID == p.ID }); i >= 0 {
			p = p.without(counted[i])
		}
		if o.evidence.peers == nil {
			o.evidence.peers = make(map[string]peerEvidence)
		}
		o.evidence.peers[from] = peerEvidence{now, p.Counts, p.Switched}
	}
}

// without returns what remains of a sum without a part of it.
func (p Progress) without(part Progress) Progress {
	counts := make(map[Cell]Counts, len(p.Counts))
	for c, n := range p.Counts {
		q := part.Counts[c]
		counts[c] = Counts{
			max(0, n.Ended-q.Ended), max(0, n.Failed-q.Failed), max(0, n.Timed-q.Timed), max(0, n.Slow-q.Slow),
		}
	}
	p.Counts, p.Switched = counts, max(0, p.Switched-part.Switched)
	return p
}

// Expire drops what others reported before the given time. What they found stays.
func (t *Table) Expire(before time.Time) {
	for _, s := range t.services {
		if s.current == nil {
			continue
		}
		for name, p := range s.current.evidence.peers {
			if p.at.Before(before) {
				delete(s.current.evidence.peers, name)
			}
		}
	}
}

// ForgetPeers drops what the instances whose names have the prefix reported.
func (t *Table) ForgetPeers(prefix string) {
	for _, s := range t.services {
		if s.current == nil {
			continue
		}
		for name := range s.current.evidence.peers {
			if strings.HasPrefix(name, prefix) {
				delete(s.current.evidence.peers, name)
			}
		}
	}
}

func (t *Table) byID(id uint64) *rollout {
	for _, s := range t.services {
		if s.current != nil && s.current.ID == id {
			return s.current
		}
	}
	return nil
}
