package crgrant_test

import (
	"fmt"
	"testing"
	"time"

	"crocusrack/core/crcontext"
	"crocusrack/core/crgrant"
	"crocusrack/core/crhealth"
	"crocusrack/core/crplace"
	"crocusrack/core/crroute"
)

// TestReadBesideAFetch covers an endpoint that reads a long prompt and fetches a short
// part of it. The prompt must count as being read: a second request for it waits, on this
// and on another instance, and no new prompt is queued behind it.
func TestReadBesideAFetch(t *testing.T) {
	a, b := newNode(1), newNode(2)
	endpoints := []*crplace.Endpoint{endpoint(t, "e1"), endpoint(t, "e2")}
	for _, n := range []*node{a, b} {
		n.SetEndpoints(start, 1, endpoints)
	}
	send(t, b, a)
	chain := func(subject, own string) []crcontext.Link {
		return crcontext.Chain("m", []crcontext.Part{{ID: "system", Tokens: 2000}, {ID: subject, Tokens: 20_000}, {ID: own, Tokens: 100}})
	}
	ask := func(n *node, links []crcontext.Link) *crgrant.Grant {
		return n.Grant(start, crgrant.Request{Service: crroute.Service{Name: "llm", Engine: true}, Links: links})
	}
	// One endpoint holds the prefix that all prompts share and is too loaded for more work.
	first := ask(a, chain("warm", "0"))
	first.MarkRead(start)
	first.End(start, crhealth.Good)
	var running []*crgrant.Grant
	for range 6 {
		if g := ask(a, chain("warm", "0")); g.Endpoint == first.Endpoint {
			running = append(running, g)
		}
	}
	g := ask(a, chain("price-list", "1"))
	if g.Endpoint == first.Endpoint || g.Source != first.Endpoint {
		t.Fatalf("%d run at %s: the prompt went to %v with a source %v, want the other one with a source", len(running), first.Endpoint.ID, g.Endpoint, g.Source)
	}
	if second := ask(a, chain("price-list", "2")); second.PrefillWait <= 0 {
		t.Errorf("a second request for the prompt went to %s", second.Endpoint.ID)
	}
	send(t, a, b)
	if second := ask(b, chain("price-list", "3")); second.PrefillWait <= 0 {
		t.Errorf("a second request at another instance went to %s", second.Endpoint.ID)
	}
	g.MarkRead(start.Add(400 * time.Millisecond))
	if second := ask(a, chain("price-list", "4")); second.Endpoint != g.Endpoint || second.HeldTokens < 20_000 {
		t.Errorf("once it was read the prompt went to %v, which holds %d tokens", second.Endpoint, second.HeldTokens)
	}
}

// TestFailuresAreShared guards against failures that are too few to notice on each
// instance. Six instances see one failure each of the same endpoint. All instances must
// soon know the failure rate and avoid the endpoint, whichever way reports take, and use
// it again some seconds later.
func TestFailuresAreShared(t *testing.T) {
	for _, size := range []int{7, 30, 99} {
		f := newFleet(t, size)
		f.run(4 * time.Second)
		ask := func(name string) *crgrant.Grant {
			return f.nodes[name].Grant(f.now, crgrant.Request{Service: crroute.Service{Name: "llm"}})
		}
		const failing = "llm-3"
		for i := range 6 {
			for {
				g := ask(fmt.Sprint("instance-", i))
				if g.Endpoint.ID == failing {
					g.End(f.now, crhealth.Failed)
					break
				}
				g.End(f.now, crhealth.Good)
			}
		}
		f.run(1600 * time.Millisecond)
		rate := func(name string) float64 {
			for _, e := range f.nodes[name].Dump(f.now).Endpoints {
				if e.ID == failing {
					return e.FailureRate
				}
			}
			t.Fatalf("%s doesn't know %s", name, failing)
			return 0
		}
		for _, name := range []string{"instance-0", "instance-6"} {
			// Four or five of the six failures are left, and three successes are assumed
			// at the start.
			if got := rate(name); got < 0.45 || got > 0.7 {
				t.Errorf("%d instances: rate %.2f at %s, want that of all six failures", size, got, name)
			}
			for range 20 {
				g := ask(name)
				if g.Endpoint.ID == failing {
					t.Errorf("%d instances: %s places at the failing endpoint", size, name)
				}
				g.Drop(f.now)
			}
		}
		f.run(20 * time.Second)
		if got := rate("instance-6"); got > 0.1 {
			t.Errorf("%d instances: rate %.2f after twenty seconds", size, got)
		}
	}
}
