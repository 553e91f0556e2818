package crgrant_test

import (
	"strconv"
	"strings"
	"testing"
	"time"

	"crocusrack/core/crgrant"
	"crocusrack/core/crroute"
	pb "crocusrack/schema/crrouter"
)

// TestRestartedRelayDoesNotHideWork restarts the relay of a large failure domain. It knows
// little of the fleet's work at first. The other instances of its domain must not take that for
// all there is, or else they place requests as if the endpoints were idle.
func TestRestartedRelayDoesNotHideWork(t *testing.T) {
	const size, each = 99, 3
	f := newFleet(t, size)
	f.run(4 * time.Second)
	ask := crgrant.Request{Service: crroute.Service{Name: "llm"}}
	for _, name := range f.names {
		for range each {
			f.nodes[name].Grant(f.now, ask)
		}
	}
	f.run(4 * time.Second)
	relay := f.relays()[0]
	domain := f.nodes[relay].Self.FailureDomain
	check := func(when string) {
		for _, name := range f.names {
			if f.down[name] || name == relay || f.nodes[name].Self.FailureDomain != domain {
				continue
			}
			g := f.nodes[name].Grant(f.now, ask)
			g.Drop(f.now)
			if known := 9 * g.MeanInFlight; known < (size-1)*each*0.8 {
				t.Fatalf("%s: %s knows %.0f of %d requests in flight", when, name, known, (size-1)*each)
			}
		}
	}
	check("before")
	f.down[relay] = true
	f.run(600 * time.Millisecond)
	check("while it is down")
	number, err := strconv.Atoi(strings.TrimPrefix(relay, "instance-"))
	if err != nil {
		t.Fatal(err)
	}
	old, n := f.nodes[relay], newNode(number)
	n.Self.FailureDomain, n.Run = domain, old.Run+1
	n.ApplySnapshot(f.now, old.Snapshot(f.now, crgrant.Versions{}))
	f.nodes[relay], f.down[relay] = n, false
	for _, name := range f.names {
		if name != relay {
			n.Add(f.now, f.nodes[name].Self)
		}
	}
	// The next digests of the other domains come only after some time.
	since := f.now
	f.pass = func(from, to string, m *pb.Report) *pb.Report {
		if to == relay && m.Digest != nil && f.now.Sub(since) < 800*time.Millisecond {
			return nil
		}
		return m
	}
	for f.now.Sub(since) < 4*time.Second {
		f.run(200 * time.Millisecond)
		check(f.now.Sub(since).String() + " after its restart")
	}
}
