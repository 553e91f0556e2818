package crgrant_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"google.golang.org/protobuf/types/known/durationpb"

	"crocusrack/core/crgrant"
	"crocusrack/core/crhealth"
	"crocusrack/core/crledger"
	"crocusrack/core/crplace"
	"crocusrack/core/crrollout"
	"crocusrack/core/crroute"
	pb "crocusrack/schema/crrouter"
)

// movingNode is an instance that knows three endpoints of each version, by the order in which
// they started.
func movingNode(t *testing.T, i int, versions ...string) *node {
	t.Helper()
	n := newNode(i)
	n.Rollouts = crrollout.Limits{Share: 0.1, Slack: 50}
	setVersions(t, n, 1, versions...)
	return n
}

func setVersions(t *testing.T, n *node, revision crgrant.Position, versions ...string) {
	t.Helper()
	var list []*crplace.Endpoint
	for at, v := range versions {
		for k := range 3 {
			e, err := crgrant.NewEndpoint(start, &pb.Endpoint{
				Id: fmt.Sprint(v, "-", k), Incarnation: uint64(100*at + k), Service: "llm", Address: "10.0.1.1:80",
				FailureDomain: "noord-a", Slots: 64, Version: v,
			})
			if err != nil {
				t.Fatal(err)
			}
			list = append(list, e)
		}
	}
	n.SetEndpoints(start, revision, list)
}

func order(target string, state pb.RolloutState, revision uint64) *pb.Rollouts {
	return &pb.Rollouts{Revision: revision, Rollouts: []*pb.Rollout{{
		Id: 7, Service: "llm", Target: target, Duration: durationpb.New(12 * time.Second), State: state, Revision: revision,
	}}}
}

// versionsOf grants many requests, ends them, and counts them by version.
func versionsOf(n *node, now time.Time, from, to int, outcome func(version string) crhealth.Outcome) map[string]int {
	counts := make(map[string]int)
	for i := from; i < to; i++ {
		g := n.Grant(now, crgrant.Request{Service: crroute.Service{Name: "llm"}, Route: "r", Draw: uint64(i) * 0x9e3779b97f4a7c15})
		if g.Endpoint == nil {
			counts[g.Reason.String()]++
			continue
		}
		counts[g.Endpoint.Version]++
		o := crhealth.Good
		if outcome != nil {
			o = outcome(g.Endpoint.Version)
		}
		g.End(now, o)
	}
	return counts
}

// TestVersionsWithoutAnOrder checks that endpoints of a version that no order names get
// nothing while there are others, whatever happens to the list meanwhile.
func TestVersionsWithoutAnOrder(t *testing.T) {
	n := movingNode(t, 1, "v1", "v2")
	if diff := cmp.Diff(map[string]int{"v1": 100}, versionsOf(n, start, 0, 100, nil)); diff != "" {
		t.Errorf("two versions, no order (-want +got):\n%s", diff)
	}
	n.SetRollouts(start, order("v9", 0, 5))
	if diff := cmp.Diff(map[string]int{"v1": 100}, versionsOf(n, start, 0, 100, nil)); diff != "" {
		t.Errorf("an order for a version without endpoints (-want +got):\n%s", diff)
	}
	setVersions(t, n, 6, "v1", "v2", "v3")
	if diff := cmp.Diff(map[string]int{"v1": 100}, versionsOf(n, start, 0, 100, nil)); diff != "" {
		t.Errorf("three versions (-want +got):\n%s", diff)
	}
	setVersions(t, n, 7, "v2")
	if diff := cmp.Diff(map[string]int{"v2": 100}, versionsOf(n, start, 0, 100, nil)); diff != "" {
		t.Errorf("one version is left (-want +got):\n%s", diff)
	}
}

// TestOrderBeforeEndpoints gives an order before the endpoints of its version are started,
// and one for the version in force. Requests go on meanwhile.
func TestOrderBeforeEndpoints(t *testing.T) {
	for _, target := range []string{"v1", "v2"} {
		n := movingNode(t, 1, "v1")
		n.SetRollouts(start, order(target, 0, 5))
		if diff := cmp.Diff(map[string]int{"v1": 100}, versionsOf(n, start, 0, 100, nil)); diff != "" {
			t.Errorf("target %s (-want +got):\n%s", target, diff)
		}
		setVersions(t, n, 6, "v1", "v2")
		got := versionsOf(n, start, 0, 2000, nil)
		if got["v1"] == 0 || got["v1"]+got["v2"] != 2000 || (got["v2"] > 0) != (target == "v2") {
			t.Errorf("target %s: requests by version %v", target, got)
		}
	}
}

// TestStatesOfAnOrder checks where requests go in each state that the store records.
func TestStatesOfAnOrder(t *testing.T) {
	for _, c := range []struct {
		state    pb.RolloutState
		old, new bool
	}{
		{pb.RolloutState_ROLLOUT_STATE_UNSPECIFIED, true, true},
		{pb.RolloutState_ROLLOUT_STATE_RUNNING, true, true},
		{pb.RolloutState_ROLLOUT_STATE_COMPLETED, false, true},
		{pb.RolloutState_ROLLOUT_STATE_ROLLED_BACK, true, false},
	} {
		n := movingNode(t, 1, "v1", "v2")
		n.SetRollouts(start, order("v2", c.state, 5))
		got := versionsOf(n, start, 0, 2000, nil)
		if (got["v1"] > 0) != c.old || (got["v2"] > 0) != c.new {
			t.Errorf("%v: requests by version %v", c.state, got)
		}
		if c.old && got["v2"] > 200 {
			t.Errorf("%v: %d of 2000 requests go to the new version, want a tenth at most", c.state, got["v2"])
		}
	}
}

// TestBadIsFinal lets one instance find a version bad and tell another, which then stops too,
// and stays so when an older state of the store is read.
func TestBadIsFinal(t *testing.T) {
	a, b := movingNode(t, 1, "v1", "v2"), movingNode(t, 2, "v1", "v2")
	for _, n := range []*node{a, b} {
		n.SetRollouts(start, order("v2", pb.RolloutState_ROLLOUT_STATE_RUNNING, 5))
	}
	fails := func(version string) crhealth.Outcome {
		if version == "v2" {
			return crhealth.Failed
		}
		return crhealth.Good
	}
	now := start
	for i := range 40 {
		now = now.Add(100 * time.Millisecond)
		advance([]*node{a, b}, 100*time.Millisecond)
		versionsOf(a, now, 100*i, 100*(i+1), fails)
	}
	if got := versionsOf(a, now, 5000, 7000, nil); got["v2"] > 0 {
		t.Errorf("%d requests go to a version of which all answers fail", got["v2"])
	}
	if got := versionsOf(b, now, 5000, 7000, nil); got["v2"] == 0 {
		t.Error("an instance that has heard nothing sends nothing to the new version")
	}
	if _, err := b.Receive(now, a.Compose(now, b.Self.Name)); err != nil {
		t.Fatal(err)
	}
	if got := versionsOf(b, now, 5000, 7000, nil); got["v2"] > 0 {
		t.Errorf("%d requests go to a version that another instance found bad", got["v2"])
	}
	b.SetRollouts(now, order("v2", pb.RolloutState_ROLLOUT_STATE_RUNNING, 8))
	if got := versionsOf(b, now, 5000, 7000, nil); got["v2"] > 0 {
		t.Errorf("%d requests go to a bad version after the order was read again", got["v2"])
	}
}

// TestPausedWriter pauses the instance that writes to the store when it is about to record
// that a version is completed. It has to hear from others and the store before it does.
func TestPausedWriter(t *testing.T) {
	for _, pause := range []time.Duration{0, 5 * time.Second, time.Minute} {
		n := movingNode(t, 1, "v1", "v2")
		n.SetRollouts(start, order("v2", pb.RolloutState_ROLLOUT_STATE_RUNNING, 5))
		now := start
		for i := range 300 {
			now = now.Add(50 * time.Millisecond)
			n.elapsed += 50 * time.Millisecond
			n.EndpointsEvidence.Read(n.elapsed)
			versionsOf(n, now, 100*i, 100*(i+1), nil)
			if list := n.RolloutRecords(now); len(list) > 0 && list[0].State == crrollout.Completed {
				break
			}
		}
		now = now.Add(pause)
		n.elapsed += pause
		list := n.RolloutRecords(now)
		if completed := len(list) > 0 && list[0].State == crrollout.Completed; completed != (pause == 0) {
			t.Errorf("after a pause of %v: records %v", pause, list)
		}
	}
}

// TestCompletedNeedsAll checks that a version isn't completed while another instance sends to
// the old one, or a request runs there.
func TestCompletedNeedsAll(t *testing.T) {
	a, b := movingNode(t, 1, "v1", "v2"), movingNode(t, 2, "v1", "v2")
	nodes := []*node{a, b}
	for _, n := range nodes {
		n.SetRollouts(start, order("v2", pb.RolloutState_ROLLOUT_STATE_RUNNING, 5))
	}
	old := b.Grant(start, crgrant.Request{Service: crroute.Service{Name: "llm"}, Route: "r", Tried: []crledger.Key{1}})
	now := start
	completed := func() bool {
		for _, n := range nodes {
			for _, r := range n.RolloutRecords(now) {
				if r.State == crrollout.Completed {
					return true
				}
			}
		}
		return false
	}
	play := func(from, to int) bool {
		for i := from; i < to; i++ {
			now = now.Add(50 * time.Millisecond)
			advance(nodes, 50*time.Millisecond)
			for k, n := range nodes {
				n.EndpointsEvidence.Read(n.elapsed)
				versionsOf(n, now, 100*i, 100*(i+1), nil)
				if _, err := nodes[1-k].Receive(now, n.Compose(now, nodes[1-k].Self.Name)); err != nil {
					t.Fatal(err)
				}
			}
			if completed() {
				return true
			}
		}
		return false
	}
	if play(0, 300) {
		t.Errorf("completed after %v while a request runs at %s", now.Sub(start), old.Endpoint.ID)
	}
	old.End(now, crhealth.Good)
	if !play(300, 340) {
		t.Error("not completed though no request runs at the old version")
	}
}

// BenchmarkGrantRollout compares the cost of a decision without and with a roll-out.
func BenchmarkGrantRollout(b *testing.B) {
	for _, c := range []struct {
		name  string
		order bool
	}{{"none", false}, {"running", true}} {
		b.Run(c.name, func(b *testing.B) {
			n := newNode(1)
			n.Rollouts = crrollout.Limits{Share: 0.1, Slack: 50}
			var list []*crplace.Endpoint
			for i := range 120 {
				e, err := crgrant.NewEndpoint(start, &pb.Endpoint{
					Id: fmt.Sprint("llm-", i), Incarnation: uint64(i), Service: "llm", Address: "10.0.1.1:80", FailureDomain: "noord-a",
					Slots: 64, Version: map[bool]string{true: "v2", false: "v1"}[c.order && i >= 60],
				})
				if err != nil {
					b.Fatal(err)
				}
				list = append(list, e)
			}
			n.SetEndpoints(start, 1, list)
			if c.order {
				n.SetRollouts(start, order("v2", pb.RolloutState_ROLLOUT_STATE_RUNNING, 5))
			}
			b.ReportAllocs()
			for i := 0; b.Loop(); i++ {
				now := start.Add(time.Duration(i) * 2 * time.Millisecond)
				n.Grant(now, crgrant.Request{Service: crroute.Service{Name: "llm"}, Route: "r", Draw: uint64(i)}).End(now, crhealth.Good)
			}
		})
	}
}

// TestVerdictOutlivesRestore guards against a bad version that gets requests again, and against
// recorded states that stay lost, after the store came back from a copy without them.
func TestVerdictOutlivesRestore(t *testing.T) {
	for _, c := range []struct {
		name string
		// copied is what the store has of the order when it comes back.
		copied *pb.Rollouts
	}{
		{"older state", order("v2", pb.RolloutState_ROLLOUT_STATE_RUNNING, 5)},
		{"no order", &pb.Rollouts{Revision: 5}},
	} {
		n := movingNode(t, 1, "v1", "v2")
		running := order("v2", pb.RolloutState_ROLLOUT_STATE_RUNNING, 5)
		bad := order("v2", pb.RolloutState_ROLLOUT_STATE_ROLLED_BACK, 9)
		for _, m := range []*pb.Rollouts{running, bad} {
			m.Era = 1
			n.SetRollouts(start, m)
		}
		c.copied.Era = 2
		n.SetRollouts(start, c.copied)
		again := order("v2", pb.RolloutState_ROLLOUT_STATE_UNSPECIFIED, 6)
		again.Era, again.Rollouts[0].Id = 2, 8
		n.SetRollouts(start.Add(2*time.Second), again)
		if got := versionsOf(n, start.Add(3*time.Second), 0, 2000, nil); got["v2"] > 0 {
			t.Errorf("%s: %d of 2000 requests go to the bad version", c.name, got["v2"])
		}
		records := n.RolloutRecords(start.Add(3 * time.Second))
		if len(records) != 1 || records[0].State != crrollout.RolledBack || records[0].ID != 8 {
			t.Errorf("%s: records %+v, want that the new order is rolled back", c.name, records)
		}
	}
}
