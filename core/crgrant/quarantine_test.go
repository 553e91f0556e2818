package crgrant_test

import (
	"fmt"
	"testing"
	"time"

	"crocusrack/core/crgrant"
	"crocusrack/core/crquarantine"
	"crocusrack/core/crroute"
	pb "crocusrack/schema/crrouter"
)

// crashes records one crash of the part at each of three instances. All three crashes
// together are enough for a quarantine.
func (f *fleet) crashes(part uint64, at ...int) {
	for i, n := range at {
		f.nodes[f.names[n]].ApplyContexts(f.now, &pb.Contexts{CrashEvidence: &pb.CrashEvidence{Crashes: []*pb.PromptCrash{
			{Request: part + uint64(i), Endpoint: part + uint64(i), Service: 7, Parts: []uint64{part}, AgeMs: uint32(1000 * i)},
		}, Answers: []*pb.AnsweredPart{{Part: 7}}}})
	}
}

// without returns the instances that have fewer quarantines than wanted.
func (f *fleet) without(quarantines int) []string {
	var list []string
	for _, name := range f.names {
		if !f.down[name] && len(f.nodes[name].Quarantines(f.now)) != quarantines {
			list = append(list, name)
		}
	}
	return list
}

// telling returns the number of instances that still tell evidence of crashes.
func (f *fleet) telling() int {
	n := 0
	for _, name := range f.names {
		if f.nodes[name].Compose(f.now, f.names[0]).GetCrashEvidence() != nil || f.nodes[name].Digest(f.now, true).GetCrashEvidence() != nil {
			n++
		}
	}
	return n
}

// TestQuarantinesReachAllInstances checks that the evidence of three instances reaches all
// others in time, also one that was cut off meanwhile, and that they fall silent afterwards.
func TestQuarantinesReachAllInstances(t *testing.T) {
	for _, size := range []int{3, 24, 25, 100} {
		t.Run(fmt.Sprint(size), func(t *testing.T) {
			f := newFleet(t, size)
			f.run(3 * time.Second)
			f.crashes(100, 0, size/2, size-1)
			f.run(2600 * time.Millisecond)
			if list := f.without(1); len(list) > 0 {
				t.Errorf("after 2.6 s, %d instances have no quarantine: %v", len(list), list)
			}
			f.run(8 * time.Second)
			if n := f.telling(); n > 0 {
				t.Errorf("%d instances still tell evidence after 10 s", n)
			}
			lone := f.names[size/2]
			for _, name := range f.names {
				f.cut[[2]string{lone, name}] = name != lone
			}
			f.crashes(200, 0, 0, 0)
			f.run(8 * time.Second)
			clear(f.cut)
			f.run(3 * time.Second)
			if list := f.without(2); len(list) > 0 {
				t.Errorf("3 s after a cut, %d instances have other quarantines: %v", len(list), list)
			}
			f.run(10 * time.Second)
			if n := f.telling(); n > 0 {
				t.Errorf("%d instances still tell evidence after the cut", n)
			}
		})
	}
}

// TestOneInstanceTriesAfterQuarantine checks that at the end of a quarantine only one instance
// sends prompts with the part.
func TestOneInstanceTriesAfterQuarantine(t *testing.T) {
	f := newFleet(t, 8)
	f.run(3 * time.Second)
	f.crashes(100, 0, 0, 0)
	f.run(10*time.Minute + 4*time.Second)
	senders := 0
	for _, name := range f.names {
		g := f.nodes[name].Grant(f.now, crgrant.Request{Service: crroute.Service{Name: "llm", Engine: true}, Parts: []crquarantine.Part{100}})
		if g.Endpoint != nil {
			senders++
			g.Drop(f.now)
			if next := f.nodes[name].Grant(f.now, crgrant.Request{Service: crroute.Service{Name: "llm", Engine: true}, Parts: []crquarantine.Part{100}}); next.Endpoint != nil {
				t.Errorf("%s sends two requests at once", name)
			}
		}
	}
	if senders != 1 {
		t.Errorf("%d instances send at the end of the quarantine, want 1", senders)
	}
}

// TestReturnAfterTrial checks that requests which are refused during the trial after a
// quarantine are told to return after it, so that they don't all reach the instance that
// makes it.
func TestReturnAfterTrial(t *testing.T) {
	f := newFleet(t, 8)
	f.run(3 * time.Second)
	f.crashes(100, 0, 0, 0)
	f.run(10*time.Minute + 4*time.Second)
	for _, name := range f.names {
		g := f.nodes[name].Grant(f.now, crgrant.Request{Service: crroute.Service{Name: "llm", Engine: true}, Parts: []crquarantine.Part{100}})
		if g.Endpoint != nil {
			g.Drop(f.now)
		} else if g.RetryAfter < 30*time.Second || g.RetryAfter > time.Minute {
			t.Errorf("%s: return after %s, want after the trial", name, g.RetryAfter)
		}
	}
}
