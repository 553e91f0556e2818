package crgrant_test

import (
	"fmt"
	"net/netip"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"

	"crocusrack/core/crcontext"
	"crocusrack/core/crgrant"
	"crocusrack/core/crhealth"
	"crocusrack/core/crliveness"
	"crocusrack/core/crplace"
	"crocusrack/core/crroute"
	pb "crocusrack/schema/crrouter"
)

var start = time.Date(2026, 12, 4, 8, 0, 0, 0, time.UTC)

// node is an instance with its own clock, which keeps running during suspension.
type node struct {
	*crgrant.State
	elapsed time.Duration
}

func newNode(i int) *node {
	n := &node{elapsed: time.Duration(i) * time.Hour}
	a := netip.AddrFrom4([4]byte{10, 0, byte(i >> 8), byte(i)})
	n.State = &crgrant.State{
		Self: crliveness.Instance{
			Name: fmt.Sprint("instance-", i), FailureDomain: "noord-a",
			Front: netip.AddrPortFrom(a, 80), Peer: netip.AddrPortFrom(a, 81),
		},
		Run:     uint64(i + 1),
		Retries: crgrant.RetryLimit{Share: 0.2, ExtraPerWindow: 54, Window: 10 * time.Second},
		Elapsed: func() time.Duration { return n.elapsed },
	}
	return n
}

// endpoint returns an endpoint of the service "llm".
func endpoint(t testing.TB, id string) *crplace.Endpoint {
	t.Helper()
	e, err := crgrant.NewEndpoint(start, &pb.Endpoint{Id: id, Service: "llm", Address: "10.0.1.1:80", FailureDomain: "noord-a", Slots: 64})
	if err != nil {
		t.Fatal(err)
	}
	return e
}

// advance advances the clocks of the nodes.
func advance(nodes []*node, d time.Duration) {
	for _, n := range nodes {
		n.elapsed += d
	}
}

// send delivers a report of one node to another.
func send(t *testing.T, from, to *node) crgrant.ReceiveResult {
	t.Helper()
	return deliver(t, to, from.Compose(start, to.Self.Name))
}

// deliver delivers a copy of a report to a node.
func deliver(t *testing.T, to *node, m *pb.Report) crgrant.ReceiveResult {
	t.Helper()
	h, err := to.Receive(start, proto.CloneOf(m))
	if err != nil {
		t.Fatal(err)
	}
	return h
}

// age returns the age of a node's evidence for its routing.
func age(t *testing.T, n *node) time.Duration {
	t.Helper()
	a, ok := n.Evidence.Age(n.elapsed)
	if !ok {
		t.Fatalf("%s has no evidence", n.Self.Name)
	}
	return a
}

// TestEvidenceAgesDuringSuspension delivers a report to an instance that was suspended for
// ten seconds while the report waited in its socket. If its evidence didn't age by that
// time, it would accept a key that was revoked meanwhile.
func TestEvidenceAgesDuringSuspension(t *testing.T) {
	a, b := newNode(1), newNode(2)
	both := []*node{a, b}
	for _, n := range both {
		n.SetRouting(&pb.Routing{Version: 3})
	}
	a.Evidence.Read(a.elapsed)
	send(t, b, a)
	advance(both, 100*time.Millisecond)
	waiting := a.Compose(start, b.Self.Name)
	advance(both, 10*time.Second)
	deliver(t, b, waiting)
	if got := age(t, b); got < 10*time.Second {
		t.Errorf("evidence is %s old after a suspension of 10 s", got)
	}
	// One exchange of reports makes the evidence fresh again.
	a.Evidence.Read(a.elapsed)
	send(t, b, a)
	send(t, a, b)
	if got := age(t, b); got > time.Second {
		t.Errorf("evidence is %s old after an exchange", got)
	}
}

// TestEvidenceRequiresCurrentVersion guards against an instance that lacks the newest
// version adopting the evidence of another instance for it.
func TestEvidenceRequiresCurrentVersion(t *testing.T) {
	a, b := newNode(1), newNode(2)
	a.SetRouting(&pb.Routing{Version: 4})
	b.SetRouting(&pb.Routing{Version: 3})
	a.Evidence.Read(a.elapsed)
	send(t, b, a)
	if h := send(t, a, b); !h.Behind {
		t.Error("an instance with version 3 doesn't know that 4 is newer")
	}
	if _, ok := b.Evidence.Age(b.elapsed); ok {
		t.Error("the evidence for version 4 counts for version 3")
	}
	if err := b.ApplySnapshot(start, a.Snapshot(start, crgrant.Versions{Routing: 3})); err != nil {
		t.Fatal(err)
	}
	send(t, b, a)
	send(t, a, b)
	age(t, b)
}

// TestEchoOfEarlierRunIsIgnored guards against evidence that looks too fresh: a machine
// that lost power restarts its clock, and an echo from before the restart must not count.
func TestEchoOfEarlierRunIsIgnored(t *testing.T) {
	a, b := newNode(1), newNode(2)
	for _, n := range []*node{a, b} {
		n.SetRouting(&pb.Routing{Version: 3})
	}
	a.Evidence.Read(a.elapsed)
	send(t, b, a)
	old := a.Compose(start, b.Self.Name)
	again := newNode(2)
	again.Run, again.elapsed = 99, b.elapsed
	again.SetRouting(&pb.Routing{Version: 3})
	deliver(t, again, old)
	if _, ok := again.Evidence.Age(again.elapsed); ok {
		t.Error("an echo of an earlier run counts as evidence")
	}
}

func TestVersionsNeverGoBack(t *testing.T) {
	n := newNode(1)
	n.SetRouting(&pb.Routing{Version: 5})
	if n.SetRouting(&pb.Routing{Version: 4}) || n.Table().Version != 5 {
		t.Errorf("version %d is in force after 5 and 4", n.Table().Version)
	}
}

func TestReportedWorkIsCounted(t *testing.T) {
	a, b := newNode(1), newNode(2)
	for _, n := range []*node{a, b} {
		n.SetEndpoints(start, 1, []*crplace.Endpoint{endpoint(t, "llm-1")})
	}
	ask := crgrant.Request{Service: crroute.Service{Name: "llm"}}
	g := a.Grant(start, ask)
	send(t, a, b)
	if got := b.Grant(start, ask); got.InFlight != 1 {
		t.Errorf("%d in flight by a peer's report, want 1", got.InFlight)
	}
	g.End(start, crhealth.Good)
	send(t, a, b)
	if got := b.Grant(start, ask); got.InFlight != 1 {
		t.Errorf("%d in flight with one own request, want 1", got.InFlight)
	}
	// The reported work of an instance expires once it stops reporting.
	a.Grant(start, ask)
	send(t, a, b)
	if got := b.Grant(start.Add(5*time.Second), ask); got.InFlight != 2 {
		t.Errorf("%d in flight after a peer's silence, want the two own ones", got.InFlight)
	}
}

func TestValid(t *testing.T) {
	n := newNode(1)
	n.SetEndpoints(start, 1, []*crplace.Endpoint{endpoint(t, "llm-1")})
	g := n.Grant(start, crgrant.Request{Service: crroute.Service{Name: "llm"}})
	if !g.Valid(start) {
		t.Fatal("a new grant isn't valid")
	}
	n.elapsed += 2 * time.Second
	if g.Valid(start) {
		t.Error("a grant is valid after a suspension")
	}
	n.elapsed -= 2 * time.Second
	n.SetOutOfService(start, 2, []string{"noord-a"})
	if g.Valid(start) {
		t.Error("a grant is valid after its failure domain was taken out")
	}
	n.SetOutOfService(start, 3, nil)
	n.SetEndpoints(start, 3, nil)
	if g.Valid(start) {
		t.Error("a grant is valid after its endpoint has gone")
	}
}

// TestContextsRestoredAfterFullRestart passes the contexts that endpoints hold to an
// instance that starts after all instances have stopped.
func TestContextsRestoredAfterFullRestart(t *testing.T) {
	a, b := newNode(1), newNode(2)
	var list []*crplace.Endpoint
	for i := range 9 {
		list = append(list, endpoint(t, fmt.Sprint("llm-", i)))
	}
	for _, n := range []*node{a, b} {
		n.SetEndpoints(start, 1, list)
	}
	ask := crgrant.Request{
		Service: crroute.Service{Name: "llm", Engine: true},
		Links:   crcontext.Chain("m", []crcontext.Part{{ID: "price-list", Tokens: 9000}, {ID: "own", Tokens: 10}}),
	}
	g := a.Grant(start, ask)
	if got := len(a.Contexts(start).GetContexts()); got != 0 {
		t.Errorf("%d contexts are kept before the endpoint has read them", got)
	}
	g.MarkRead(start)
	b.ApplyContexts(start, a.Contexts(start))
	if got := b.Grant(start, ask); got.Endpoint.Key != g.Endpoint.Key || got.HeldTokens != 9000 {
		t.Errorf("placed at %s with %d tokens, want %s with 9000", got.Endpoint.ID, got.HeldTokens, g.Endpoint.ID)
	}
}

// TestInterruptedReadForgetsContext checks that an endpoint that failed before its first
// event isn't recorded as holding the prompt.
func TestInterruptedReadForgetsContext(t *testing.T) {
	n := newNode(1)
	n.SetEndpoints(start, 1, []*crplace.Endpoint{endpoint(t, "llm-1")})
	ask := crgrant.Request{
		Service: crroute.Service{Name: "llm", Engine: true},
		Links:   crcontext.Chain("m", []crcontext.Part{{ID: "price-list", Tokens: 9000}, {ID: "own", Tokens: 10}}),
	}
	n.Grant(start, ask).End(start, crhealth.Broken)
	if got := n.Grant(start, ask); got.PrefillWait > 0 || got.HeldTokens > 0 {
		t.Errorf("held %d tokens, reading for %s", got.HeldTokens, got.PrefillWait)
	}
}

// TestRetriesStayWithinFleetBudget lets seven instances use their whole retry budgets for
// 30 s at 20 requests a second each. In no ten seconds may the retries of all instances
// exceed the limit that the users set.
func TestRetriesStayWithinFleetBudget(t *testing.T) {
	var nodes []*node
	for i := range 7 {
		nodes = append(nodes, newNode(i))
	}
	for _, a := range nodes {
		for _, b := range nodes {
			if a != b {
				send(t, a, b)
			}
		}
	}
	var repeats []time.Time
	now := start
	for ; now.Before(start.Add(30 * time.Second)); now = now.Add(50 * time.Millisecond) {
		for _, n := range nodes {
			for _, b := range nodes {
				if b != n {
					m := b.Compose(now, n.Self.Name)
					if _, err := n.Receive(now, m); err != nil {
						t.Fatal(err)
					}
				}
			}
			n.CountRequest(now, "llm")
			for n.SpendRetry(now, "llm") {
				repeats = append(repeats, now)
			}
		}
	}
	requests := 7 * 20 * 10.0
	for i, at := range repeats {
		count := 0
		for _, other := range repeats[i:] {
			if other.Sub(at) < 10*time.Second {
				count++
			}
		}
		if limit := 0.2*requests + 54; float64(count) > limit {
			t.Fatalf("%d repeats in ten seconds from %s, the limit is %.0f", count, at.Sub(start), limit)
		}
	}
	if len(repeats) < 100 {
		t.Errorf("only %d repeats in 30 s", len(repeats))
	}
}

// TestLeavingIsShared covers an endpoint that announces to one instance that it is
// leaving. Other instances learn of it from a report and must not use it, even if they
// receive an older list of endpoints.
func TestLeavingIsShared(t *testing.T) {
	a, b := newNode(1), newNode(2)
	list := []*crplace.Endpoint{endpoint(t, "llm-1")}
	ask := crgrant.Request{Service: crroute.Service{Name: "llm"}}
	for _, n := range []*node{a, b} {
		n.SetEndpoints(start, 1, list)
	}
	g := a.Grant(start, ask)
	if !g.MarkLeaving(start) || g.Valid(start) {
		t.Error("the endpoint is used after it said that it leaves")
	}
	send(t, a, b)
	for i, n := range []*node{a, b} {
		n.SetEndpoints(start, 2, nil)
		n.SetEndpoints(start, 3, list)
		if got := n.Grant(start, ask); got.Reason != crplace.NoEndpoint {
			t.Errorf("instance %d: %s, want no endpoint", i, got.Reason)
		}
	}
}
