package crshare

import (
	"cmp"
	"math"
	"slices"
)

// minListedArrivals is the number of recent attempts from which on the demand of an account
// is taken as its own. The rates of accounts with fewer attempts are too uncertain; they count
// as equal parts of the remaining demand.
const minListedArrivals = 8

// Messages list the accounts that ask for nearShare of their share or more, and the minListed that
// ask most of the sender.
const (
	nearShare = 0.5
	minListed = 4
)

// level is the max-min fair share of a service: each account may use the level times its
// weight, or less if it asks for less.
type level struct {
	// perSecond is the share of an account of weight 1. It is infinite if all demand can be
	// served.
	perSecond float64
	// listed holds the accounts whose demand is known.
	listed map[Key]AccountDemand
	// mean is the mean demand of the other accounts.
	mean float64
}

// fairLevel returns the level at which accounts share the given number of requests per second.
// others is the number of accounts beside the listed ones that this instance knows of.
func fairLevel(d Demand, perSecond float64, others int) level {
	l := level{perSecond: math.Inf(1), listed: make(map[Key]AccountDemand)}
	least := minListedArrivals / rateTime.Seconds()
	rest := d.Arrived
	for k, a := range d.Accounts {
		if a.PerSecond >= least {
			l.listed[k] = AccountDemand{a.PerSecond, weightOf(a.Weight)}
			rest -= a.PerSecond
		}
	}
	rest = max(0, rest)
	count := max(float64(others), rest/least)
	if count > 0 {
		l.mean = rest / count
	}
	if d.Arrived <= perSecond {
		return l
	}
	// Accounts are served in full in the ascending order of their demands by weight until
	// the remaining accounts would get less than they ask.
	type group struct{ demand, weight float64 }
	groups := []group{{rest, count}}
	weights := count
	for _, a := range l.listed {
		groups = append(groups, group{a.PerSecond, a.Weight})
		weights += a.Weight
	}
	slices.SortFunc(groups, func(a, b group) int { return cmp.Compare(a.demand*b.weight, b.demand*a.weight) })
	for _, g := range groups {
		if weights <= 0 || g.demand*weights > perSecond*g.weight {
			break
		}
		perSecond -= g.demand
		weights -= g.weight
	}
	if weights > 0 {
		l.perSecond = max(0, perSecond) / weights
	}
	return l
}

// fraction returns the fraction of an account's requests that fit in its share.
func (l *level) fraction(account Key, weight float64) float64 {
	demand, weight := l.mean, weightOf(weight)
	if a, ok := l.listed[account]; ok {
		demand, weight = a.PerSecond, a.Weight
	}
	if math.IsInf(l.perSecond, 1) || demand <= l.perSecond*weight {
		return 1
	}
	return l.perSecond * weight / demand
}

func weightOf(weight float64) float64 {
	if weight > 0 && !math.IsInf(weight, 1) {
		return weight
	}
	return 1
}
