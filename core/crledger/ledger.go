// Package crledger tracks the load of each endpoint: the requests in flight over all
// instances, and the prefill backlog. The requests of this instance are counted exactly,
// those of the others as last reported. Its types are not safe for concurrent use.
package crledger

// Key identifies one incarnation of an endpoint.
type Key uint64

// Ledger counts the requests in flight by endpoint. Its zero value is empty.
type Ledger struct {
	// Reported counts the requests of the other instances. A report may be for a single
	// instance or for a group of them, such as a failure domain.
	Reported

	// own counts the requests of this instance.
	own map[Key]int
}

// Start adds a request of this instance to the requests in flight at an endpoint.
func (l *Ledger) Start(k Key) {
	if l.own == nil {
		l.own = make(map[Key]int)
	}
	l.own[k]++
}

// End removes a request of this instance that was added by Start.
func (l *Ledger) End(k Key) {
	l.own[k]--
	if l.own[k] <= 0 {
		delete(l.own, k)
	}
}

// Sums returns the requests in flight by endpoint, of this instance and of the other
// instances for which want returns true.
func (l *Ledger) Sums(want func(instance string) bool) map[Key]int {
	return l.Reported.Sums(l.own, want)
}

// InFlight returns the number of requests in flight at an endpoint, over all instances.
func (l *Ledger) InFlight(k Key) int { return l.own[k] + l.Count(k) }

// Own returns the requests in flight of this instance by endpoint. The caller must not
// keep or change the map.
func (l *Ledger) Own() map[Key]int { return l.own }
