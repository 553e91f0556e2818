package crgrant_test

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"crocusrack/core/crgrant"
	"crocusrack/core/crhealth"
	"crocusrack/core/crledger"
	"crocusrack/core/crplace"
	"crocusrack/core/crquarantine"
	"crocusrack/core/crroute"
	pb "crocusrack/schema/crrouter"
)

const (
	// contactBound is the users' shortest ContactMs.
	contactBound = 3 * time.Second
	// budget is how many requests with a deadly part may reach servers after the bound.
	budget = 3
	// comeback is how long a crashed server stays away.
	comeback = 3 * time.Second
)

// crashing is a fleet whose servers crash on a part of prompts. Requests come at random
// instances and times between the ticks of the fleet.
type crashing struct {
	*fleet
	random  *rand.Rand
	queue   []event
	servers []*server
	// listed are the endpoints of the servers that the instances know.
	listed []*crplace.Endpoint
	// urgent holds the instances with news that can't wait for the next tick.
	urgent map[string]bool
	// revision is that of the list of servers, and stale is true if the instances don't have
	// it yet.
	revision crgrant.Position
	stale    bool
	// companion is true if all deadly prompts share one more part.
	companion bool
	// longest is how long answers take to begin at most.
	longest time.Duration
	// apart holds the instances that are out of touch, which the bound doesn't concern.
	apart map[string]bool
	// crashes are the times of the crashes, and deadly the grants to deadly requests.
	crashes  []time.Time
	deadly   []granted
	sound    []granted
	requests uint64
}

type event struct {
	at time.Time
	do func()
}

// granted is what became of the first attempt of a sound request, or of any attempt of a
// deadly one.
type granted struct {
	at   time.Time
	by   string
	sent bool
}

type server struct {
	*crplace.Endpoint
	incarnation uint64
	down        bool
	waiting     []*waiter
}

// waiter is a request that waits for its answer.
type waiter struct {
	grant  *crgrant.Grant
	node   *node
	by     string
	id     uint64
	parts  []crquarantine.Part
	deadly bool
	// failed is the endpoint of the first attempt, if this is the second.
	failed crledger.Key
}

func newCrashing(t testing.TB, size int, seed uint64) *crashing {
	c := &crashing{fleet: newFleet(t, size), random: rand.New(rand.NewPCG(seed, 7)), longest: 600 * time.Millisecond, urgent: map[string]bool{}, apart: map[string]bool{}, revision: 1, stale: true}
	for i := range max(8, size/2) {
		c.servers = append(c.servers, &server{Endpoint: serverEndpoint(t, i, 1), incarnation: 1})
	}
	for name, n := range c.nodes {
		n.OnUrgent = func() { c.urgent[name] = true }
	}
	c.run(contactBound)
	return c
}

func serverEndpoint(t testing.TB, i int, incarnation uint64) *crplace.Endpoint {
	t.Helper()
	e, err := crgrant.NewEndpoint(start, &pb.Endpoint{
		Id: fmt.Sprint("server-", i), Incarnation: incarnation, Service: "llm", Address: "10.0.1.1:80", FailureDomain: "noord-a", Slots: 64,
	})
	if err != nil {
		t.Fatal(err)
	}
	return e
}

// run simulates the requests and the exchange of reports for the given time.
func (c *crashing) run(d time.Duration) {
	c.t.Helper()
	for last := c.now.Add(d); c.now.Before(last); {
		if c.stale {
			c.listServers()
		}
		c.fleet.run(200 * time.Millisecond)
		end := c.now
		for len(c.queue) > 0 && c.queue[0].at.Before(end) {
			e := c.queue[0]
			c.queue = c.queue[1:]
			c.now = e.at
			e.do()
			c.sendUrgent()
		}
		c.now = end
	}
}

// sendUrgent sends the reports that instances send at once.
func (c *crashing) sendUrgent() {
	if len(c.urgent) == 0 {
		return
	}
	for _, name := range c.names {
		if !c.urgent[name] {
			continue
		}
		delete(c.urgent, name)
		for _, d := range c.nodes[name].DueAtOnce(c.now) {
			c.deliver(name, d.Name, c.nodes[name].Compose(c.now, d.Name))
		}
	}
}

// listServers tells all instances of the servers.
func (c *crashing) listServers() {
	c.stale, c.listed = false, nil
	c.revision++
	for _, s := range c.servers {
		c.listed = append(c.listed, s.Endpoint)
	}
	for _, n := range c.nodes {
		n.SetEndpoints(c.now, c.revision, c.listed)
	}
}

func (c *crashing) after(d time.Duration, do func()) {
	e := event{c.now.Add(d), do}
	i, _ := slices.BinarySearchFunc(c.queue, e, func(a, b event) int {
		if a.at.After(b.at) {
			return 1
		}
		return -1
	})
	c.queue = slices.Insert(c.queue, i, e)
}

// between returns a random time.
func (c *crashing) between(from, to time.Duration) time.Duration {
	return from + time.Duration(c.random.Int64N(int64(to-from)))
}

// arrive lets requests come at a rate per second from now on.
func (c *crashing) arrive(rate float64, deadly bool) {
	c.after(time.Duration(c.random.ExpFloat64()/rate*float64(time.Second)), func() {
		c.requests++
		w := &waiter{by: c.names[c.random.IntN(len(c.names))], id: c.requests, deadly: deadly}
		ids := []string{"caller", "tools", "price-list"}
		if deadly {
			ids = append(ids, "deadly")
			if c.companion {
				ids = append(ids, "companion")
			}
		}
		if deadly || c.random.IntN(2) == 0 {
			ids = append(ids, fmt.Sprint("own-", c.requests))
		}
		c.random.Shuffle(len(ids)-1, func(i, k int) { ids[i+1], ids[k+1] = ids[k+1], ids[i+1] })
		for _, id := range ids {
			w.parts = append(w.parts, crquarantine.PartOf("llm", id))
		}
		if !c.down[w.by] {
			c.send(w)
		}
		c.arrive(rate, deadly)
	})
}

// send asks for an endpoint and simulates the attempt there. It draws a server that works,
// since the choice of an instance is random, and lets the instance decide on that one.
func (c *crashing) send(w *waiter) {
	w.node = c.nodes[w.by]
	var up []int
	for i, s := range c.servers {
		if !s.down && c.listed[i].Key != w.failed {
			up = append(up, i)
		}
	}
	if len(up) == 0 {
		return
	}
	i := up[c.random.IntN(len(up))]
	var others []crledger.Key
	for k, e := range c.listed {
		if k != i {
			others = append(others, e.Key)
		}
	}
	w.grant = w.node.Grant(c.now, crgrant.Request{
		Service: crroute.Service{Name: "llm", Engine: true}, Parts: w.parts, Draw: w.id, Tried: others, SkipPrefillWait: true,
	})
	g := granted{c.now, w.by, w.grant.Endpoint != nil}
	if w.deadly {
		c.deadly = append(c.deadly, g)
	} else if w.failed == 0 {
		c.sound = append(c.sound, g)
	}
	if !g.sent {
		return
	}
	s := c.servers[i]
	s.waiting = append(s.waiting, w)
	if w.deadly {
		c.after(c.between(50*time.Millisecond, 300*time.Millisecond), func() { c.crash(s, w) })
		return
	}
	c.after(c.between(100*time.Millisecond, c.longest), func() {
		if !slices.Contains(s.waiting, w) {
			return
		}
		s.waiting = slices.DeleteFunc(s.waiting, func(o *waiter) bool { return o == w })
		w.grant.MarkAnswered(c.now)
		w.grant.End(c.now, crhealth.Good)
	})
}

// repeat sends a request once more to another server.
func (c *crashing) repeat(w *waiter) {
	if w.failed == 0 && c.nodes[w.by] == w.node && !c.down[w.by] {
		c.send(&waiter{by: w.by, id: w.id, parts: w.parts, deadly: w.deadly, failed: w.grant.Endpoint.Key})
	}
}

// crash ends a server if the request still waits there. Each instance finds that out for
// each request that waits.
func (c *crashing) crash(s *server, cause *waiter) {
	if !slices.Contains(s.waiting, cause) {
		return
	}
	c.crashes = append(c.crashes, c.now)
	for _, w := range s.waiting {
		c.after(c.between(time.Millisecond, 20*time.Millisecond), func() {
			if c.nodes[w.by] != w.node {
				return
			}
			w.grant.RecordCrash(c.now, w.id)
			w.grant.End(c.now, crhealth.Broken)
			c.repeat(w)
		})
	}
	s.down, s.waiting = true, nil
	c.after(comeback, func() {
		s.down = false
		s.incarnation++
		s.Endpoint = serverEndpoint(c.t, slices.Index(c.servers, s), s.incarnation)
		c.stale = true
	})
}

// restart replaces the process of an instance. It takes over the contexts of a peer, or a
// kept copy of them, if that isn't nil.
func (c *crashing) restart(name string, contexts *pb.Contexts) {
	i := slices.Index(c.names, name)
	n, old := newNode(i), c.nodes[name]
	n.Self, n.Run, n.elapsed = old.Self, old.Run+1000, old.elapsed
	n.SetEndpoints(c.now, c.revision, c.listed)
	n.SetRouting(&pb.Routing{Version: 3})
	n.OnUrgent = func() { c.urgent[name] = true }
	c.nodes[name] = n
	other := c.nodes[c.names[(i+1)%len(c.names)]]
	n.Add(c.now, other.Self)
	if contexts != nil {
		n.ApplyContexts(c.now, contexts)
	}
}

// fifth returns the time of the fifth crash, or that of the last one if there are fewer.
func (c *crashing) fifth() time.Time {
	c.t.Helper()
	if len(c.crashes) < 2 {
		c.t.Fatalf("only %d servers crashed", len(c.crashes))
	}
	return c.crashes[min(4, len(c.crashes)-1)]
}

// lateDeadly counts the attempts of deadly requests that were sent after the given time by
// instances in touch.
func (c *crashing) lateDeadly(after time.Time) int {
	n := 0
	for _, g := range c.deadly {
		if g.sent && g.at.After(after) && !c.apart[g.by] {
			n++
		}
	}
	return n
}

// soundShare returns the part of the sound requests after the given time that were sent, and
// their number.
func (c *crashing) soundShare(after time.Time) (float64, int) {
	n, sent := 0, 0
	for _, g := range c.sound {
		if g.at.After(after) {
			n++
			if g.sent {
				sent++
			}
		}
	}
	return float64(sent) / float64(max(n, 1)), n
}

// check compares what happened with the users' rules.
func (c *crashing) check() {
	c.t.Helper()
	fifth := c.fifth()
	late := c.lateDeadly(fifth.Add(contactBound))
	share, n := c.soundShare(fifth.Add(2 * contactBound))
	c.t.Logf("%d crashes, the last %v after the fifth; %d of %d deadly attempts sent after the bound, %.3f of %d sound requests",
		len(c.crashes), c.crashes[len(c.crashes)-1].Sub(fifth), late, len(c.deadly), share, n)
	if late > budget {
		c.t.Errorf("%d attempts of deadly requests were sent later than %v after the fifth crash, want at most %d", late, contactBound, budget)
	}
	if n < 5 || share < 0.5 {
		c.t.Errorf("%.2f of %d sound requests were sent, want half", share, n)
	}
}
