package crwatch_test

import (
	"testing"
	"time"

	"crocusrack/core/crgrant"
	pb "crocusrack/schema/crrouter"
)

// TestUnreadableRoutingIsNoEvidence guards against keys that are accepted without end since the
// version that may take them away can't be read, is missing, or was removed. The version in force
// stays, and becomes current again with the next one that can be read.
func TestUnreadableRoutingIsNoEvidence(t *testing.T) {
	s := newStore("llm-1")
	run(t, s, func(state *crgrant.State) {
		age := func() time.Duration {
			t.Helper()
			age, ok := state.Evidence.Age(state.Elapsed())
			if !ok {
				t.Fatal("no evidence for the routing")
			}
			return age
		}
		time.Sleep(2 * time.Second)
		for _, c := range []struct {
			name   string
			change func()
		}{
			{"can't be read", func() { s.routing = nil }},
			{"is removed", func() { s.routing, s.routingRemoved = nil, true }},
			{"is missing in a list", func() { s.routing, s.routingMissing = nil, true }},
		} {
			if got := age(); got > 2*time.Second {
				t.Fatalf("%s: the evidence is %s old before", c.name, got)
			}
			version := state.Table().Version
			if c.name == "is missing in a list" {
				s.restore(s.revision.Revision()+2, c.change)
			} else {
				s.do(c.change)
			}
			time.Sleep(10 * time.Second)
			if got := age(); got < 9*time.Second {
				t.Errorf("%s: the evidence is %s old after 10 s", c.name, got)
			}
			if got := state.Table(); got == nil || got.Version != version {
				t.Errorf("%s: the version in force is %v, want %d", c.name, got, version)
			}
			s.do(func() {
				s.routing, s.routingRemoved, s.routingMissing = &pb.Routing{Version: version + 2}, false, false
			})
			time.Sleep(4 * time.Second)
			if got := state.Table().Version; got != version+2 {
				t.Errorf("%s: then version %d is in force, want %d", c.name, got, version+2)
			}
		}
	})
}
