package crquarantine

import (
	"cmp"
	"slices"
	"time"
)

// cause is a part with the crashes that it may have caused, and the ends of endpoints that
// they belong to.
type cause struct {
	part    Part
	crashes []*crash
	ends    []*end
}

// bestCause returns the part that explains most of the ends that aren't explained yet, and
// whether there is one that explains enough. Among several it is the one that the fewest
// prompts have: a part that bystanders have, too, is in all crashes if it is also in each
// prompt that crashes endpoints.
func (t *Table) bestCause(explained map[*end]bool) (cause, bool) {
	var best cause
	for p, list := range t.involved(explained) {
		c := cause{part: p, crashes: list}
		for _, o := range list {
			if !slices.Contains(c.ends, o.end) {
				c.ends = append(c.ends, o.end)
			}
		}
		if len(c.ends) < minCrashes || best.crashes != nil && c.compare(best) >= 0 || !separate(c.ends) {
			continue
		}
		if service, answered := t.answeredSince(list); !answered && t.wereAnswered(service, common(list)) {
			t.awaited[service] = true
			continue
		}
		best = c
	}
	return best, best.crashes != nil
}

// compare returns a negative number if c is a better explanation than o.
func (c cause) compare(o cause) int {
	return cmp.Or(
		cmp.Compare(len(o.ends), len(c.ends)),
		cmp.Compare(len(c.crashes), len(o.crashes)),
		cmp.Compare(c.part, o.part),
	)
}

// end is when an endpoint crashed, as the first instance saw it, and the requests that
// waited there. All parts are measured by the same ends, or a part that bystanders have,
// too, may seem to be in more crashes.
type end struct {
	at       time.Time
	requests map[uint64]bool
}

// setEnd sets the end that a crash belongs to. Crashes of one endpoint belong together unless
// restartTime lies between them.
func (t *Table) setEnd(c *crash) {
	if t.ends == nil {
		t.ends = make(map[uint64][]*end)
	}
	i := slices.IndexFunc(t.ends[c.Endpoint], func(e *end) bool { return c.At.Sub(e.at).Abs() < restartTime })
	if i < 0 {
		i = len(t.ends[c.Endpoint])
		t.ends[c.Endpoint] = append(t.ends[c.Endpoint], &end{at: c.At, requests: make(map[uint64]bool)})
	}
	c.end = t.ends[c.Endpoint][i]
	c.end.requests[c.Request] = true
	if c.At.Before(c.end.at) {
		c.end.at = c.At
	}
}

// separate reports whether minCrashes of the endpoints crashed one after the other, without
// a common cause other than a prompt: with minSpacing between them, or under one request,
// which was sent to the second endpoint after the first had crashed.
func separate(ends []*end) bool {
	ends = slices.SortedFunc(slices.Values(ends), func(a, b *end) int { return a.at.Compare(b.at) })
	// byRequest and spaced are the longest sequences that end at an endpoint where the request
	// waited, or minSpacing before.
	waited := 0
	for _, e := range ends {
		waited += len(e.requests)
	}
	byRequest := make(map[uint64]int, waited)
	lengths := make([]int, len(ends))
	spaced, next := 0, 0
	for i, e := range ends {
		for ; e.at.Sub(ends[next].at) >= minSpacing; next++ {
			spaced = max(spaced, lengths[next])
		}
		n := spaced
		for r := range e.requests {
			n = max(n, byRequest[r])
		}
		lengths[i] = n + 1
		if lengths[i] >= minCrashes {
			return true
		}
		for r := range e.requests {
			byRequest[r] = max(byRequest[r], n+1)
		}
	}
	return false
}
