package crgrant_test

import (
	"flag"
	"fmt"
	"testing"
	"time"

	"crocusrack/core/crquarantine"
	pb "crocusrack/schema/crrouter"
)

var largestFleet = flag.Bool("largest-fleet", false, "simulate quarantines in a fleet of 780 instances, too")

// lossy loses the given share of messages.
func (c *crashing) lossy(share float64) {
	c.pass = func(_, _ string, m *pb.Report) *pb.Report {
		if c.random.Float64() < share {
			return nil
		}
		return m
	}
}

// TestDeadlyPartReachesNoMoreServers guards against instances that learn too late of a part
// that crashes servers, and against quarantines that keep sound requests away.
func TestDeadlyPartReachesNoMoreServers(t *testing.T) {
	for _, c := range []struct {
		size          int
		deadly, sound float64
		companion     bool
		loss          float64
		span          time.Duration
	}{
		{3, 0.2, 3, false, 0, 40 * time.Second},
		{3, 5, 3, true, 0.2, 15 * time.Second},
		{8, 0.2, 5, true, 0.1, 40 * time.Second},
		{8, 2, 5, false, 0, 15 * time.Second},
		{8, 5, 2, true, 0.2, 15 * time.Second},
		{60, 1, 20, false, 0.2, 11 * time.Second},
		{60, 20, 200, true, 0.2, 8 * time.Second},
		{295, 20, 60, true, 0.1, 7 * time.Second},
		{780, 20, 100, true, 0.1, 9 * time.Second},
	} {
		t.Run(fmt.Sprint(c.size, " instances, ", c.deadly, " deadly a second, loss ", c.loss), func(t *testing.T) {
			if c.size > 300 && !*largestFleet {
				t.Skip("takes a minute; run with -largest-fleet")
			}
			seeds := uint64(1)
			if c.size < 10 {
				seeds = 10
			}
			for seed := range seeds {
				f := newCrashing(t, c.size, seed)
				f.companion = c.companion
				f.lossy(c.loss)
				f.arrive(c.sound, false)
				f.arrive(c.deadly, true)
				f.run(c.span)
				f.check()
			}
		})
	}
}

// TestRestartedInstanceKnowsQuarantines replaces the processes of instances while deadly
// requests go on. They learn of the quarantine from a peer's contexts, or from reports alone.
func TestRestartedInstanceKnowsQuarantines(t *testing.T) {
	for _, c := range []struct {
		name string
		size int
		fed  bool
	}{{"fed", 8, true}, {"not fed", 8, false}, {"with relays, fed", 33, true}, {"with relays, not fed", 33, false}} {
		t.Run(c.name, func(t *testing.T) {
			f := newCrashing(t, c.size, 3)
			f.lossy(0.1)
			f.arrive(10, false)
			f.arrive(5, true)
			for i := range 24 {
				f.run(600 * time.Millisecond)
				name := f.names[(5*i+1)%c.size]
				var contexts *pb.Contexts
				if c.fed {
					contexts = f.nodes[f.names[(5*i+2)%c.size]].Contexts(f.now)
				}
				f.restart(name, contexts)
			}
			f.check()
		})
	}
}

// TestAllInstancesReplacedAtOnce leaves nothing but the kept contexts of one instance.
func TestAllInstancesReplacedAtOnce(t *testing.T) {
	for _, size := range []int{3, 33} {
		f := newCrashing(t, size, 4)
		f.arrive(20, false)
		f.arrive(10, true)
		f.run(7 * time.Second)
		kept := f.nodes[f.names[1]].Contexts(f.now)
		f.run(3 * time.Second)
		for _, name := range f.names {
			f.restart(name, kept)
		}
		replaced := f.now
		f.run(6 * time.Second)
		f.check()
		if n := f.lateDeadly(replaced); n > 0 {
			t.Errorf("%d instances: %d deadly requests were sent after all were replaced, want none", size, n)
		}
	}
}

// TestCutOffInstancesLearnOfQuarantines cuts some instances off from all others while the
// quarantine arises. They must know of it within the bound once they are in touch again.
func TestCutOffInstancesLearnOfQuarantines(t *testing.T) {
	for _, size := range []int{3, 8, 33} {
		for seed := range uint64(max(1, 12/size)) {
			f := newCrashing(t, size, 10+seed)
			f.lossy(0.1)
			f.arrive(15, false)
			f.apart[f.names[0]], f.apart[f.names[size/2]] = true, size > 3
			for name, apart := range f.apart {
				for _, other := range f.names {
					if apart && other != name {
						f.cut[[2]string{name, other}] = true
					}
				}
			}
			f.arrive(10, true)
			f.run(6 * time.Second)
			clear(f.cut)
			healed := f.now
			f.run(contactBound)
			for _, name := range f.names {
				if len(f.nodes[name].Quarantines(f.now)) == 0 {
					t.Errorf("%d instances, seed %d: %s has no quarantine %v after the cut", size, 10+seed, name, f.now.Sub(healed))
				}
			}
			clear(f.apart)
			f.run(3 * time.Second)
			f.check()
			if n := f.lateDeadly(healed.Add(contactBound)); n > budget {
				t.Errorf("%d instances, seed %d: %d deadly requests sent after the cut, want at most %d", size, 10+seed, n, budget)
			}
		}
	}
}

// TestRareSoundPrompts guards against a quarantine of the parts that sound requests share
// with deadly ones while no answer tells them apart: their answers take long, or few come.
func TestRareSoundPrompts(t *testing.T) {
	for _, size := range []int{3, 8} {
		for _, longest := range []time.Duration{600 * time.Millisecond, 8 * time.Second} {
			for seed := range uint64(15) {
				f := newCrashing(t, size, 100+seed)
				f.longest, f.companion = longest, seed%2 == 0
				f.lossy(0.1)
				f.arrive([]float64{1, 2, 20}[seed%3], false)
				f.arrive(10, true)
				f.run(25 * time.Second)
				f.check()
				if t.Failed() {
					t.Fatalf("%d instances, answers after up to %v, seed %d", size, longest, 100+seed)
				}
			}
		}
	}
}

// TestFewServersWithPartAnsweredBefore has so few servers that all are down at times, and a
// part that was answered two minutes before it crashes them.
func TestFewServersWithPartAnsweredBefore(t *testing.T) {
	for _, servers := range []int{2, 3} {
		for seed := range uint64(8) {
			f := newCrashing(t, 3, 5000+seed)
			f.servers, f.stale, f.longest = f.servers[:servers], true, 4*time.Second
			part := uint64(crquarantine.PartOf("llm", "deadly"))
			for _, name := range f.names {
				f.nodes[name].ApplyContexts(f.now, &pb.Contexts{CrashEvidence: &pb.CrashEvidence{Answers: []*pb.AnsweredPart{{Part: part, AgeMs: 120_000}}}})
			}
			f.arrive(5, false)
			f.run(3 * time.Second)
			f.arrive(10, true)
			f.run(30 * time.Second)
			if f.check(); t.Failed() {
				t.Fatalf("%d servers, seed %d", servers, 5000+seed)
			}
		}
	}
}
