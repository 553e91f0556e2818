package crshare

import (
	"math"
	"slices"
	"strings"
	"time"
)

// Status describes a saturated service for operators.
type Status struct {
	Service string  `json:"service"`
	Load    float64 `json:"load"`
	// Share is the number of requests per second of an account of weight 1.
	Share    float64         `json:"share-per-second"`
	Accounts []AccountStatus `json:"accounts-over-share"`
}

// AccountStatus is an account that asks for more than its share. The name is empty for
// requests without an account, and unknown if this instance saw no request of it.
type AccountStatus struct {
	Account   string  `json:"account"`
	PerSecond float64 `json:"asked-per-second"`
}

// Statuses returns the saturated services, sorted by name.
func (t *Table) Statuses(now time.Time) []Status {
	var list []Status
	for _, s := range t.services {
		if !s.isSaturated(now) {
			continue
		}
		o := Status{Service: s.name, Load: s.load, Share: s.level.perSecond}
		if math.IsInf(o.Share, 1) {
			o.Share = 0
		}
		for k, a := range s.level.listed {
			if s.level.fraction(k, a.Weight) < 1 {
				name := "unknown"
				if c := s.accounts[k]; c != nil {
					name = c.name
				}
				o.Accounts = append(o.Accounts, AccountStatus{name, a.PerSecond})
			}
		}
		slices.SortFunc(o.Accounts, func(a, b AccountStatus) int { return strings.Compare(a.Account, b.Account) })
		list = append(list, o)
	}
	slices.SortFunc(list, func(a, b Status) int { return strings.Compare(a.Service, b.Service) })
	return list
}
