package crshare

import (
	"slices"
	"time"
)

// News returns what this instance tells others of its services that are saturated or nearly so, or
// whose endpoints rejected attempts lately.
func (t *Table) News(now time.Time) Demands {
	var list Demands
	for _, s := range t.services {
		if s.isSaturated(now) || s.load >= toldLoad && now.Sub(s.loadAt) < LastingTime || s.rejected.get(now) >= minRejected {
			if list == nil {
				list = make(Demands)
			}
			list[KeyOf(s.name)] = t.listed(now, s)
		}
	}
	return list.bounded()
}

// listed returns what this instance saw of a service, with the accounts that are near their share
// or over it, and those that ask most.
func (t *Table) listed(now time.Time, s *service) Demand {
	own := s.own(now)
	most := largest(own.Accounts, minListed, func(a AccountDemand) float64 { return a.PerSecond })
	for k, a := range own.Accounts {
		near := s.saturated && s.level.listed[k].PerSecond >= nearShare*s.level.perSecond*weightOf(a.Weight)
		if !near && !slices.Contains(most, k) {
			delete(own.Accounts, k)
		}
	}
	return own
}

// Report replaces what an instance, or a group of them, told. It keeps the map, which the
// caller must not change.
func (t *Table) Report(now time.Time, source string, d Demands) {
	if len(d) == 0 {
		delete(t.reports, source)
		return
	}
	if t.reports == nil {
		t.reports = make(map[string]report)
	}
	t.reports[source] = report{now, d}
}

// Expire drops what was told before the given time.
func (t *Table) Expire(since time.Time) {
	for name, o := range t.reports {
		if o.at.Before(since) {
			delete(t.reports, name)
		}
	}
}

// Sums returns the sums of what this instance saw and of what the sources told for which want
// returns true.
func (t *Table) Sums(now time.Time, want func(source string) bool) Demands {
	sums := make(Demands)
	add := func(d Demands) {
		for k, o := range d {
			sum := sums[k]
			sum.add(o)
			sums[k] = sum
		}
	}
	add(t.News(now))
	for name, o := range t.reports {
		if want(name) {
			add(o.demands)
		}
	}
	return sums.bounded()
}
