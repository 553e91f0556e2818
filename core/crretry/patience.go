package crretry

import "time"

const (
	// patienceSamples is the number of the last requests of a route that Patience
	// remembers.
	patienceSamples = 64
	// patienceShare is the fraction of the requests that must come with the same time
	// for it to be the time that callers start with.
	patienceShare = 1.0 / 16
	// calmAfter is the time after a refusal after which its caller has come back.
	calmAfter = 5 * time.Second
)

// Patience finds out how long callers of a route are willing to wait at first, and thereby
// how long ago a caller that comes back first asked: a first try says how long its caller
// waits at all, which is the same for many, and a later one what is left of it. Its zero
// value is ready to use. A Patience is not safe for concurrent use.
type Patience struct {
	last   [patienceSamples]time.Duration
	seen   int
	counts map[time.Duration]int
	// refusedAt is when a request was last told to come back.
	refusedAt time.Time
}

// Refused records that a request was told to come back.
func (p *Patience) Refused(now time.Time) { p.refusedAt = now }

// Observe records how long the caller of a request waits. While requests come back that
// were told to, it learns nothing once it knows enough: they would look like callers that
// are less patient.
func (p *Patience) Observe(now time.Time, wait time.Duration) {
	if p.seen >= patienceSamples && now.Sub(p.refusedAt) < calmAfter {
		return
	}
	if p.counts == nil {
		p.counts = make(map[time.Duration]int)
	}
	at := &p.last[p.seen%patienceSamples]
	if p.seen >= patienceSamples {
		if p.counts[*at]--; p.counts[*at] == 0 {
			delete(p.counts, *at)
		}
	}
	*at = wait
	p.counts[wait]++
	p.seen++
}

// Since returns how long ago the caller of a request first asked: what its time falls short
// of the next longer one that callers start with. It is zero if there is none.
func (p *Patience) Since(wait time.Duration) time.Duration {
	least := int(patienceShare * float64(min(p.seen, patienceSamples)))
	since := time.Duration(-1)
	for v, n := range p.counts {
		if n > max(least, 1) && v >= wait && (since < 0 || v-wait < since) {
			since = v - wait
		}
	}
	return max(since, 0)
}
