// Package crload keeps the load sums of services, which instances exchange by gossip,
// and computes the mean load per unit of capacity from them.
//
// A table has one entry for each shard of the instance's own failure domain and one for
// each service in every other failure domain, so its size doesn't grow with the fleet.
// Of two versions of an entry, the one with the later stamp wins.
package crload

import (
	"cmp"
	"slices"
	"time"
)

// DomainSum is the value of Sum.Shard for the sum over a whole failure domain.
const DomainSum = -1

const (
	// DefaultMaxAge is the age after which an entry no longer counts.
	DefaultMaxAge = 10 * time.Second
	// DefaultRepeats is how many times one version of an entry is exported.
	DefaultRepeats = 4
	// tombstoneAges is the time for which the stamp of an expired entry is kept, as a
	// multiple of the maximum age. Without the stamp, a slow peer could bring the entry
	// back.
	tombstoneAges = 6
	// sweepsPerAge is how many times per maximum age expired entries are looked for.
	sweepsPerAge = 4
	// renewalsPerAge is how many times per maximum age an unchanged sum gets a new
	// stamp.
	renewalsPerAge = 4
)

// Sum is the load of one shard, or of a service in one failure domain. Its fields
// mirror those of LoadSum in peer.proto.
type Sum struct {
	Service       string
	FailureDomain string
	// Shard is the shard's index or DomainSum.
	Shard int
	// InFlight and Waiting are numbers of requests.
	InFlight int
	Waiting  int
	// Capacity is the number of requests that the endpoints can run at once.
	Capacity int
	// Stamp is the version of the sum. It grows with every change and is derived from
	// the writer's clock, in milliseconds.
	Stamp uint64
}

func (s *Sum) demand() int { return s.InFlight + s.Waiting }

// Table holds the load sums that an instance knows. Set the exported fields before the
// first use. It isn't safe for concurrent use; the caller must hold a lock.
type Table struct {
	// FailureDomain is the failure domain of this instance.
	FailureDomain string
	// MaxAge is how long an entry counts after its newest version was stored in this
	// table. Zero means DefaultMaxAge. It is measured by the local clock, so clocks
	// needn't be synchronized.
	MaxAge time.Duration
	// Repeats is how many times one version of an entry is exported. Zero means
	// DefaultRepeats.
	Repeats int

	entries    map[key]*entry
	services   map[string]*service
	order      []*entry
	candidates []*entry
	lastSweep  time.Time
}

type key struct {
	service string
	domain  string
	shard   int
}

type entry struct {
	Sum
	updatedAt time.Time
	// expired reports that the entry no longer counts. Its stamp is kept.
	expired bool
	// exports is the number of exports of the current version.
	exports int
	// exportedDemand is the demand in the last export.
	exportedDemand int
	// skipped is the number of exports since the last export of the entry that had no
	// room for it.
	skipped int
}

// service holds the domain sums of one service. The one of the own failure domain is
// computed from its shards.
type service struct {
	sums      []*entry
	ownDomain *entry
}

// Set records the load of a shard that this instance owns. An unchanged load gets a new
// stamp only often enough that it doesn't expire on other instances.
func (t *Table) Set(now time.Time, service string, shard, inFlight, waiting, capacity int) {
	t.sweep(now)
	s := Sum{Service: service, FailureDomain: t.FailureDomain, Shard: shard, InFlight: inFlight, Waiting: waiting, Capacity: capacity}
	s.Stamp = uint64(max(now.UnixMilli(), 0))
	if e := t.entries[key{service, t.FailureDomain, shard}]; e != nil {
		if e.sameLoad(&s) && now.Sub(e.updatedAt) < t.maxAge()/renewalsPerAge {
			return
		}
		s.Stamp = max(s.Stamp, e.Stamp+1)
	}
	t.put(now, &s)
}

// sameLoad reports whether the entry hasn't expired and has the same load as the sum.
func (e *entry) sameLoad(s *Sum) bool {
	return !e.expired && e.InFlight == s.InFlight && e.Waiting == s.Waiting && e.Capacity == s.Capacity
}

// Merge adds the sums that a peer exported. Sums of shards of other failure domains,
// sums of the whole own failure domain and sums with negative values are ignored.
func (t *Table) Merge(now time.Time, sums []Sum) {
	t.sweep(now)
	for i := range sums {
		s := &sums[i]
		own := s.FailureDomain == t.FailureDomain
		whole := s.Shard == DomainSum
		if own == whole || s.Shard < DomainSum || s.InFlight < 0 || s.Waiting < 0 || s.Capacity < 0 {
			continue
		}
		t.put(now, s)
	}
}

// put stores the sum if its stamp is later than the known one.
func (t *Table) put(now time.Time, s *Sum) {
	e := t.entries[key{s.Service, s.FailureDomain, s.Shard}]
	if e == nil {
		e = t.add(s)
	} else if s.Stamp <= e.Stamp {
		return
	}
	old := e.Sum
	if e.expired {
		old = Sum{}
	}
	e.InFlight, e.Waiting, e.Capacity, e.Stamp = s.InFlight, s.Waiting, s.Capacity, s.Stamp
	e.updatedAt, e.expired, e.exports = now, false, 0
	if e.Shard == DomainSum {
		return
	}
	own := t.services[e.Service].ownDomain
	own.replaceShard(&old, &e.Sum)
	own.updatedAt, own.expired = now, false
}

// replaceShard replaces the load of one shard in the sum of the own failure domain.
func (e *entry) replaceShard(old, new *Sum) {
	e.InFlight += new.InFlight - old.InFlight
	e.Waiting += new.Waiting - old.Waiting
	e.Capacity += new.Capacity - old.Capacity
	e.Stamp = max(e.Stamp+1, new.Stamp)
	e.exports = 0
}

func (t *Table) add(s *Sum) *entry {
	if t.entries == nil {
		t.entries = make(map[key]*entry)
		t.services = make(map[string]*service)
	}
	v := t.services[s.Service]
	if v == nil {
		v = &service{}
		t.services[s.Service] = v
	}
	e := t.insert(s.Service, s.FailureDomain, s.Shard)
	if s.Shard == DomainSum {
		v.sums = append(v.sums, e)
		return e
	}
	if v.ownDomain == nil {
		v.ownDomain = t.insert(s.Service, s.FailureDomain, DomainSum)
		v.sums = append(v.sums, v.ownDomain)
	}
	return e
}

func (t *Table) insert(service, domain string, shard int) *entry {
	e := &entry{Sum: Sum{Service: service, FailureDomain: domain, Shard: shard}}
	t.entries[key{service, domain, shard}] = e
	t.order = append(t.order, e)
	return e
}

// Mean returns the mean load of the service, in requests in flight per unit of capacity. It
// reports false if no capacity is known. Waiting requests don't count: a bound that they
// raise lets endpoints exceed the multiple of the load that is really there.
func (t *Table) Mean(service string, now time.Time) (perCapacity float64, ok bool) {
	t.sweep(now)
	v := t.services[service]
	if v == nil {
		return 0, false
	}
	inFlight, capacity := 0, 0
	for _, e := range v.sums {
		if e.expired || now.Sub(e.updatedAt) > t.maxAge() {
			continue
		}
		inFlight += e.InFlight
		capacity += e.Capacity
	}
	if capacity <= 0 {
		return 0, false
	}
	return float64(inFlight) / float64(capacity), true
}

// Export appends to dst those sums of the given services that a peer in the given failure
// domain needs, and returns the extended slice. If there are more than limit, it appends
// only limit sums, those with the highest priority.
func (t *Table) Export(now time.Time, domain string, services []string, dst []Sum, limit int) []Sum {
	t.sweep(now)
	t.candidates = t.candidates[:0]
	for _, e := range t.order {
		if e.expired || e.exports >= t.repeats() || !e.wantedIn(domain, t.FailureDomain) || !slices.Contains(services, e.Service) {
			continue
		}
		t.candidates = append(t.candidates, e)
	}
	if len(t.candidates) > limit {
		slices.SortStableFunc(t.candidates, func(a, b *entry) int { return cmp.Compare(b.priority(), a.priority()) })
	}
	for i, e := range t.candidates {
		if i >= limit {
			e.skipped++
			continue
		}
		e.exports++
		e.skipped = 0
		e.exportedDemand = e.demand()
		dst = append(dst, e.Sum)
	}
	return dst
}

// wantedIn reports whether a peer in the failure domain keeps the entry. own is the
// failure domain of this instance.
func (e *entry) wantedIn(domain, own string) bool {
	if e.Shard != DomainSum {
		return domain == own
	}
	return domain != e.FailureDomain
}

// priority grows with the change of the demand since the last export and with every
// export that had no room for the entry, so that each entry is exported eventually.
func (e *entry) priority() int {
	d := e.demand() - e.exportedDemand
	return max(d, -d) + e.skipped
}

// Len returns the number of entries that haven't expired.
func (t *Table) Len() int {
	n := 0
	for _, e := range t.order {
		if !e.expired {
			n++
		}
	}
	return n
}

// sweep expires entries that received no change for the maximum age, and removes them
// after tombstoneAges times that.
func (t *Table) sweep(now time.Time) {
	age := t.maxAge()
	if now.Sub(t.lastSweep) < age/sweepsPerAge {
		return
	}
	t.lastSweep = now
	kept := t.order[:0]
	for _, e := range t.order {
		sinceUpdate := now.Sub(e.updatedAt)
		if sinceUpdate > age {
			t.expire(now, e)
		}
		if sinceUpdate > tombstoneAges*age {
			t.remove(e)
			continue
		}
		kept = append(kept, e)
	}
	clear(t.order[len(kept):])
	t.order = kept
}

func (t *Table) expire(now time.Time, e *entry) {
	if e.expired {
		return
	}
	e.expired = true
	if e.Shard == DomainSum {
		return
	}
	if v := t.services[e.Service]; v != nil && v.ownDomain != nil {
		v.ownDomain.replaceShard(&e.Sum, &Sum{})
	}
}

// remove deletes an expired entry. The sum of the own failure domain is never removed
// before its shards, since every change of a shard also renews it.
func (t *Table) remove(e *entry) {
	delete(t.entries, key{e.Service, e.FailureDomain, e.Shard})
	v := t.services[e.Service]
	if v == nil {
		return
	}
	v.sums = slices.DeleteFunc(v.sums, func(s *entry) bool { return s == e })
	if v.ownDomain == e {
		v.ownDomain = nil
	}
	if len(v.sums) == 0 {
		delete(t.services, e.Service)
	}
}

func (t *Table) maxAge() time.Duration { return cmp.Or(t.MaxAge, DefaultMaxAge) }

func (t *Table) repeats() int { return cmp.Or(t.Repeats, DefaultRepeats) }
