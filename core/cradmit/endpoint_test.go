package cradmit

import (
	"slices"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"github.com/google/go-cmp/cmp/cmpopts"
	"pgregory.net/rapid"
)

// TestLRUSet compares the set with a slice, most recently used first.
func TestLRUSet(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		h := &lruSet{maxEntries: rapid.IntRange(1, 6).Draw(t, "size")}
		var want []uint64
		seen := make(map[uint64]uint32)
		draw := func() uint64 {
			// Hashes share few slots, so that probe sequences collide and wrap around.
			return rapid.Uint64Range(30, 33).Draw(t, "slot") + rapid.Uint64Range(0, 3).Draw(t, "run")<<10
		}
		t.Repeat(map[string]func(*rapid.T){
			"": func(t *rapid.T) {
				if d := cmp.Diff(want, h.hashes(), cmpopts.EquateEmpty()); d != "" {
					t.Fatalf("held (-want +got):\n%s", d)
				}
			},
			"touch": func(t *rapid.T) {
				k := draw()
				held := slices.Contains(want, k)
				if before := h.touch(k); held != (before > 0) || held && before != seen[k] {
					t.Fatalf("touch of %d = %d, held %v", k, before, held)
				}
				want = slices.Insert(slices.DeleteFunc(want, func(x uint64) bool { return x == k }), 0, k)
				want, seen[k] = want[:min(len(want), h.maxEntries)], h.touches
			},
			"remove": func(t *rapid.T) {
				k := draw()
				h.remove(k)
				want = slices.DeleteFunc(want, func(x uint64) bool { return x == k })
			},
			"drop older": func(t *rapid.T) {
				k := draw()
				h.removeUntil(seen[k])
				want = slices.DeleteFunc(want, func(x uint64) bool { return seen[x] <= seen[k] })
			},
		})
	})
}

func TestWarmUp(t *testing.T) {
	ok := Observation{Outcome: Success, Epoch: 1, PromptTokens: 1000, FirstToken: 100 * time.Millisecond}
	slow, quick, failed, full := ok, ok, Observation{Outcome: Failure}, Observation{Outcome: RefusedOverload}
	slow.FirstToken, quick.CachedTokens = 5*ok.FirstToken, 900
	restarted, cleared := Observation{Outcome: RefusedEpoch, Epoch: 2}, Observation{Outcome: Cancelled}
	for _, c := range []struct {
		name string
		seen []Observation
		want int
	}{
		{"starts cold", nil, 2},
		{"grows by one after as many successes as the limit", slices.Repeat([]Observation{ok}, 2+3+3), 4},
		{"ends at the capacity", slices.Repeat([]Observation{ok}, 100), 6},
		{"one failure halves the limit", append(slices.Repeat([]Observation{ok}, 100), failed), 3},
		{"failures lower the limit to no less than one", append(slices.Repeat([]Observation{ok}, 100), failed, failed, failed, failed), 1},
		{"two slow answers in a row keep the limit", append(slices.Repeat([]Observation{ok}, 100), slow, slow, ok, slow, slow), 6},
		{"three slow answers in a row reset the limit", append(slices.Repeat([]Observation{ok}, 100), slow, slow, slow), 2},
		{"quick answers with cached tokens keep the limit", append(slices.Repeat([]Observation{ok}, 100), quick, quick, quick), 6},
		{"a new epoch resets the limit", append(slices.Repeat([]Observation{ok}, 100), restarted), 2},
		{"cancelled requests keep the limit", append(slices.Repeat([]Observation{ok}, 100), cleared), 6},
		{"an overload lowers the limit to the other requests in flight", append(slices.Repeat([]Observation{ok}, 100), full), 1},
	} {
		// The endpoint sends no reports, which is known after reportTimeout.
		a, now := admitter(1, 6, 2, 1), start.Add(reportTimeout)
		for _, o := range c.seen {
			now = now.Add(time.Millisecond)
			a.Done(now, a.Admit(now, request(0)).Grant.ID, o)
		}
		if got := a.EndpointLoads(now, nil)[0].WarmUpLimit; got != c.want {
			t.Errorf("%s: limit %d, want %d", c.name, got, c.want)
		}
	}
}

// TestFailuresTogetherHalveOnce lets all requests of an endpoint fail at once, as they
// do when it restarts. The warm-up limit must be halved only once.
func TestFailuresTogetherHalveOnce(t *testing.T) {
	a := admitter(1, 8, 8, 1)
	for _, g := range fill(a, 6) {
		a.Done(start.Add(time.Second), g.ID, Observation{Outcome: Failure})
	}
	if got := a.EndpointLoads(start, nil)[0].WarmUpLimit; got != 4 {
		t.Errorf("limit %d after six failures together, want 4", got)
	}
}

// TestLeavingEndpointGetsNoNewWork announces the shutdown of the only endpoint by a
// refusal or a report. The endpoint must get no requests until a newer report shows
// that it is back.
func TestLeavingEndpointGetsNoNewWork(t *testing.T) {
	leave := map[string]func(a *Admitter){
		"refusal": func(a *Admitter) { a.Done(start, fill(a, 1)[0].ID, Observation{Outcome: RefusedLeaving}) },
		"report":  func(a *Admitter) { a.Observe(start, Report{Endpoint: "engine-00", At: start, Leaving: true}) },
	}
	for name, tell := range leave {
		a := admitter(1, 8, 8, 1)
		tell(a)
		for _, step := range []struct {
			after  time.Duration
			report *Report
			want   Verdict
		}{
			{time.Second, nil, Refused},
			{2 * time.Second, &Report{At: start.Add(-time.Second)}, Refused},
			{3 * time.Second, &Report{At: start.Add(3 * time.Second)}, Granted},
		} {
			now := start.Add(step.after)
			if r := step.report; r != nil {
				r.Endpoint = "engine-00"
				a.Observe(now, *r)
			}
			if d := a.Admit(now, request(1)); d.Verdict != step.want {
				t.Errorf("%s, %v after: %+v, want verdict %v", name, step.after, d, step.want)
			}
		}
	}
}

// TestWarmUpFollowsReports checks the warm-up limit of an endpoint that sends reports
// between its answers.
func TestWarmUpFollowsReports(t *testing.T) {
	ok, failed := Observation{Outcome: Success, Epoch: 1}, Observation{Outcome: Failure}
	restarted := Observation{Outcome: RefusedEpoch, Epoch: 2}
	cold, warm, late := &Report{Epoch: 1, Cold: true}, &Report{Epoch: 1}, &Report{Epoch: 1}
	for _, c := range []struct {
		name  string
		steps []any
		want  int
	}{
		{"answers before the first report keep the limit", []any{ok, ok, ok, ok, ok}, 2},
		{"answers of a cold endpoint keep the limit", []any{cold, ok, ok, ok, ok, ok}, 2},
		{"a warm endpoint starts at half its capacity", []any{cold, warm}, 3},
		{"the limit of a warm endpoint grows with each answer", []any{warm, ok, ok}, 5},
		{"the limit grows up to the capacity", []any{warm, ok, ok, ok, ok, ok}, 6},
		{"the next report does not undo a failure", []any{warm, ok, ok, failed, warm}, 2},
		{"the limit grows slowly after a failure", []any{warm, ok, ok, failed, ok}, 2},
		{"a late report of an earlier epoch is ignored", []any{warm, ok, restarted, late, ok, ok, ok}, 2},
	} {
		a, now := admitter(1, 6, 2, 1), start
		for _, x := range c.steps {
			now = now.Add(time.Millisecond)
			switch x := x.(type) {
			case Observation:
				a.Done(now, a.Admit(now, request(0)).Grant.ID, x)
			case *Report:
				r := *x
				r.Endpoint, r.At = a.EndpointLoads(now, nil)[0].Endpoint, now
				a.Observe(now, r)
			}
		}
		if got := a.EndpointLoads(now, nil)[0].WarmUpLimit; got != c.want {
			t.Errorf("%s: limit %d, want %d", c.name, got, c.want)
		}
	}
}

// TestHolderAfterCacheLoss admits a chat, lets the endpoint lose or keep it, and checks
// whether the next grant still marks the endpoint as a holder.
func TestHolderAfterCacheLoss(t *testing.T) {
	for _, c := range []struct {
		name string
		lose func(a *Admitter, first Grant)
		want bool
	}{
		{"kept", func(a *Admitter, first Grant) { a.Done(start, first.ID, Observation{Outcome: Success}) }, true},
		{"failed", func(a *Admitter, first Grant) { a.Done(start, first.ID, Observation{Outcome: Failure}) }, false},
		{"cleared", func(a *Admitter, _ Grant) { a.CacheCleared(start, "engine-00", 0) }, false},
		{"new epoch", func(a *Admitter, _ Grant) {
			a.Observe(start, Report{Endpoint: "engine-00", At: start, Epoch: 5})
			a.Observe(start, Report{Endpoint: "engine-00", At: start.Add(1), Epoch: 6})
		}, false},
		{"an older chat wasn't cached", func(a *Admitter, first Grant) {
			a.Admit(start, request(2))
			again := a.Admit(start, request(2)).Grant
			a.Done(start, again.ID, Observation{Outcome: Success, PromptTokens: 1000, CachedTokens: 10})
		}, false},
		{"handed over", func(a *Admitter, _ Grant) {
			states := a.Export(start, key)
			*a = *admitter(1, 8, 8, 1)
			a.Import(start, key, states)
		}, true},
	} {
		a := admitter(1, 8, 8, 1)
		c.lose(a, a.Admit(start, request(1)).Grant)
		if d := a.Admit(start, request(1)); d.Grant.Holder != c.want {
			t.Errorf("%s: %+v, want holder %v", c.name, d, c.want)
		}
	}
	a := admitter(1, 8, 8, 1)
	a.UpdatePrefixes("engine-00", []uint64{5, 6}, []uint64{5})
	for prefix, want := range map[uint64]bool{5: false, 6: true} {
		r := request(int(prefix))
		r.Prefixes = []uint64{prefix}
		if d := a.Admit(start, r); d.Grant.Holder != want {
			t.Errorf("prefix %d: %+v, want holder %v", prefix, d, want)
		}
	}
}
