// Package crledger counts the requests in flight at each endpoint over all
// instances: this one's exactly, the others' as they last reported. A Ledger is not
// safe for concurrent use.
package crledger

// Key names one incarnation of an endpoint.
type Key uint64

// Ledger is the requests in flight. Its zero value is empty.
type Ledger struct {
	// Reported are the requests of the other instances.
	Reported

	own map[Key]int
}

// Start counts a request of this instance in.
func (l *Ledger) Start(k Key) {
	if l.own == nil {
		l.own = make(map[Key]int)
	}
	l.own[k]++
}

// End counts a request of this instance out.
func (l *Ledger) End(k Key) {
	l.own[k]--
	if l.own[k] <= 0 {
		delete(l.own, k)
	}
}

// Sums returns this instance's work and that of the others whose reports are
// wanted.
func (l *Ledger) Sums(want func(instance string) bool) map[Key]int {
	return l.Reported.Sums(l.own, want)
}

// InFlight returns the requests at an endpoint, of all instances.
func (l *Ledger) InFlight(k Key) int { return l.own[k] + l.Count(k) }

// Own returns this instance's requests by endpoint. The caller must not keep
// or change the map.
func (l *Ledger) Own() map[Key]int { return l.own }
