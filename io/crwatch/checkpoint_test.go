package crwatch_test

import (
	"testing"
	"time"

	"crocusrack/core/crgrant"
	"crocusrack/core/crplace"
	pb "crocusrack/schema/crrouter"
)

// TestEvidenceOfCrashesIsKept checks that evidence of parts of prompts that crash endpoints is
// kept for a starting instance, also without contexts, and that its growing age alone
// makes few calls to the store.
func TestEvidenceOfCrashesIsKept(t *testing.T) {
	const maxSaves = 25
	s := newStore("llm-1")
	run(t, s, func(state *crgrant.State) {
		state.ApplyContexts(time.Now(), &pb.Contexts{CrashEvidence: &pb.CrashEvidence{
			Crashes: []*pb.PromptCrash{{Request: 1, Endpoint: 1, Parts: []uint64{3}}},
		}})
		time.Sleep(10 * time.Minute)
	})
	if s.saves == 0 || s.saves > maxSaves {
		t.Errorf("%d checkpoints in 10 min, want some but not over %d", s.saves, maxSaves)
	}
	run(t, s, func(state *crgrant.State) {
		time.Sleep(time.Minute)
		if state.Contexts(time.Now()).GetCrashEvidence() == nil {
			t.Error("a starting instance doesn't take over the evidence")
		}
	})
}

// TestLimitsAreKept checks the same for the limits of endpoints.
func TestLimitsAreKept(t *testing.T) {
	const maxSaves = 25
	s := newStore("llm-1")
	run(t, s, func(state *crgrant.State) {
		state.ApplyContexts(time.Now(), &pb.Contexts{Limits: &pb.EndpointLimits{
			Endpoints: []uint64{uint64(crplace.KeyOf("llm-1", 0))}, PerSecond: []float64{0.5}, AgeMs: []uint64{20},
		}})
		time.Sleep(10 * time.Minute)
	})
	if s.saves == 0 || s.saves > maxSaves {
		t.Errorf("%d checkpoints in 10 min, want some but not over %d", s.saves, maxSaves)
	}
	run(t, s, func(state *crgrant.State) {
		time.Sleep(time.Minute)
		if state.Contexts(time.Now()).GetLimits() == nil {
			t.Error("a starting instance doesn't take over the limits")
		}
	})
}
