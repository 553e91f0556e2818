// Package crledger counts the requests in flight at each endpoint over all
// instances: this one's exactly, the others' as they last reported. What an
// instance reported lapses with it. A Ledger is not safe for concurrent use.
package crledger

import "time"

// Key names one incarnation of an endpoint.
type Key uint64

// Ledger is the requests in flight. Its zero value is empty.
type Ledger struct {
	own    map[Key]int
	others map[string]report
	sums   map[Key]int
}

type report struct {
	at   time.Time
	work map[Key]int
}

// Start counts a request of this instance in.
func (l *Ledger) Start(k Key) {
	if l.own == nil {
		l.own = make(map[Key]int)
	}
	l.own[k]++
	l.add(k, 1)
}

// End counts a request of this instance out.
func (l *Ledger) End(k Key) {
	l.own[k]--
	if l.own[k] <= 0 {
		delete(l.own, k)
	}
	l.add(k, -1)
}

func (l *Ledger) add(k Key, n int) {
	if l.sums == nil {
		l.sums = make(map[Key]int)
	}
	l.sums[k] += n
	if l.sums[k] <= 0 {
		delete(l.sums, k)
	}
}

// Report replaces what another instance has in flight.
func (l *Ledger) Report(now time.Time, instance string, work map[Key]int) {
	l.drop(instance)
	if l.others == nil {
		l.others = make(map[string]report)
	}
	l.others[instance] = report{at: now, work: work}
	for k, n := range work {
		l.add(k, n)
	}
}

func (l *Ledger) drop(instance string) {
	for k, n := range l.others[instance].work {
		l.add(k, -n)
	}
	delete(l.others, instance)
}

// Lapse drops what instances reported that have been silent since the time.
func (l *Ledger) Lapse(since time.Time) {
	for name, r := range l.others {
		if r.at.Before(since) {
			l.drop(name)
		}
	}
}

// Sums returns this instance's work and that of the others whose reports are
// wanted.
func (l *Ledger) Sums(want func(instance string) bool) map[Key]int {
	sums := make(map[Key]int)
	for k, n := range l.own {
		sums[k] += n
	}
	for name, r := range l.others {
		if !want(name) {
			continue
		}
		for k, n := range r.work {
			sums[k] += n
		}
	}
	return sums
}

// InFlight returns the requests at an endpoint, of all instances.
func (l *Ledger) InFlight(k Key) int { return l.sums[k] }

// Own returns this instance's requests by endpoint. The caller must not keep
// or change the map.
func (l *Ledger) Own() map[Key]int { return l.own }
