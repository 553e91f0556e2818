// Package crpolicy implements simple load-balancing policies, as baselines that the
// daemon's own admission is compared with. They use only what one router knows,
// enforce no load bound and do not limit the load of cold endpoints.
package crpolicy

import (
	"math/rand/v2"
	"slices"

	"crocusrack/core/crhash"
)

// Endpoint is a candidate of Chooser.Choose.
type Endpoint struct {
	Name string
	// Hash is crhash.Of(Name).
	Hash uint64
	// Capacity is the weight of the endpoint relative to others.
	Capacity int
}

// Chooser chooses the endpoint for each request of one service. The exported fields
// must be set before use. A Chooser is not safe for concurrent use.
type Chooser struct {
	Policy Policy
	// Rand is the source of random choices, including the choice between
	// endpoints with equal load. It must not be nil.
	Rand *rand.Rand

	// next is the counter of the round-robin policy.
	next int
	// inFlight counts the requests in flight by endpoint name.
	inFlight map[string]int
}

// Policy is a load-balancing policy.
type Policy struct {
	// Name identifies the policy in settings and reports.
	Name string
	// Doc describes the policy in one sentence.
	Doc string
	// choose returns the index of an endpoint. The list is not empty.
	choose func(c *Chooser, chat uint64, endpoints []Endpoint) int
}

// Policies returns all policies, sorted by name.
func Policies() []Policy {
	return []Policy{
		{"least-in-flight", "The endpoint with the fewest requests in flight per capacity, as this router sees it.", leastInFlight},
		{"random", "Any endpoint, in proportion to capacity.", random},
		{"rendezvous", "The first choice of the chat, whatever its load.", rendezvous},
		{"round-robin", "One endpoint after the other.", roundRobin},
	}
}

// Find returns the policy with the given name and whether it exists.
func Find(name string) (Policy, bool) {
	all := Policies()
	i := slices.IndexFunc(all, func(p Policy) bool { return p.Name == name })
	if i < 0 {
		return Policy{}, false
	}
	return all[i], true
}

// Choose returns the index of the endpoint for a request with the given chat key
// hash, and counts the request as in flight there. Call Done when the request ends.
// The list must not be empty.
func (c *Chooser) Choose(chat uint64, endpoints []Endpoint) int {
	i := c.Policy.choose(c, chat, endpoints)
	if c.inFlight == nil {
		c.inFlight = make(map[string]int)
	}
	c.inFlight[endpoints[i].Name]++
	return i
}

// Done records that a request at the named endpoint has ended.
func (c *Chooser) Done(endpoint string) { c.inFlight[endpoint]-- }

func random(c *Chooser, _ uint64, endpoints []Endpoint) int {
	total := 0
	for _, e := range endpoints {
		total += e.Capacity
	}
	offset := c.Rand.IntN(max(total, 1))
	for i, e := range endpoints {
		if offset -= e.Capacity; offset < 0 {
			return i
		}
	}
	return len(endpoints) - 1
}

func roundRobin(c *Chooser, _ uint64, endpoints []Endpoint) int {
	c.next++
	return c.next % len(endpoints)
}

func leastInFlight(c *Chooser, _ uint64, endpoints []Endpoint) int {
	// Starting at a random index breaks ties at random. With little traffic most
	// endpoints have equal counts.
	start := c.Rand.IntN(len(endpoints))
	best := start
	for i := range endpoints {
		n := (start + i) % len(endpoints)
		if c.inFlight[endpoints[n].Name]*endpoints[best].Capacity < c.inFlight[endpoints[best].Name]*endpoints[n].Capacity {
			best = n
		}
	}
	return best
}

// rendezvous returns the endpoint with the highest rendezvous-hashing score for the
// chat, weighted by capacity.
func rendezvous(_ *Chooser, chat uint64, endpoints []Endpoint) int {
	best := 0
	bestScore := crhash.Score(chat, endpoints[0].Hash, float64(endpoints[0].Capacity))
	for i, e := range endpoints[1:] {
		if s := crhash.Score(chat, e.Hash, float64(e.Capacity)); s > bestScore {
			best, bestScore = i+1, s
		}
	}
	return best
}
