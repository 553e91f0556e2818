package crmember

import (
	"fmt"
	"net/netip"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"github.com/google/go-cmp/cmp/cmpopts"
	"pgregory.net/rapid"
)

// convergenceBound is the time after the last fault within which all tables must converge
// to the actual fleet: no live, reachable member is considered dead any longer.
const convergenceBound = 2 * time.Minute

// fault is a fault or change of a simulated fleet. inject applies it to instance i.
type fault struct {
	name   string
	inject func(s *simulation, i int)
}

var faults = []fault{
	{"join", func(s *simulation, i int) { s.startInstance(len(s.processes)) }},
	{"leave", func(s *simulation, i int) { s.processes[i].Leave(s.now) }},
	{"crash", func(s *simulation, i int) { s.processes[i].up = false }},
	{"flap", func(s *simulation, i int) {
		s.startInstance(i)
		s.after(3*time.Second, func() { s.processes[i].up = false })
		s.after(9*time.Second, func() { s.startInstance(i) })
	}},
	{"pause", func(s *simulation, i int) {
		p := s.processes[i]
		p.paused = true
		s.after(time.Duration(s.random.IntN(60))*time.Second, func() { p.paused = false })
	}},
	{"one-way loss", func(s *simulation, i int) {
		for j := range s.processes {
			if s.random.IntN(2) == 0 {
				s.blocked[[2]string{s.processes[i].Self.Name, s.processes[j].Self.Name}] = true
			}
		}
	}},
	{"partition", func(s *simulation, i int) {
		for d := range 3 {
			domains := [2]string{fmt.Sprintf("domain-%02d", i%3), fmt.Sprintf("domain-%02d", d)}
			s.blocked[domains], s.blocked[[2]string{domains[1], domains[0]}] = d != i%3, d != i%3
		}
	}},
	{"bulk restart", func(s *simulation, i int) {
		for j := range s.processes {
			if s.random.IntN(3) > 0 {
				s.startInstance(j)
			}
		}
	}},
	{"bad links", func(s *simulation, i int) { s.loss, s.duplicate, s.delay = 0.3, 0.3, 3*time.Second }},
	{"heal", func(s *simulation, i int) { clear(s.blocked); s.loss = 0 }},
}

// startFleet starts a simulated fleet of n instances, runs it for 30 s and then enables
// the invariant checks.
func startFleet(seed uint64, n int) *simulation {
	s := newSimulation(seed)
	for i := range n {
		s.startInstance(i)
	}
	s.run(30 * time.Second)
	s.checking = true
	return s
}

// sameRuns compares only the names, failure domains, runs and addresses of members.
var sameRuns = []cmp.Option{
	cmpopts.IgnoreFields(Member{}, "Incarnation", "State", "CatalogueVersion"), cmpopts.EquateComparable(netip.AddrPort{}),
}

// checkConverged fails the test if an invariant was violated or the usable members of any
// live table differ from the actual ones.
func (s *simulation) checkConverged(t interface {
	Helper()
	Fatalf(string, ...any)
}) {
	t.Helper()
	if s.failure != "" {
		t.Fatalf("%s", s.failure)
	}
	for _, p := range s.live() {
		if d := cmp.Diff(s.expectedUsable(), p.Usable(), sameRuns...); d != "" {
			t.Fatalf("usable members of %s (-want +got):\n%s", p.Self.Name, d)
		}
	}
}

func TestConvergesAfterFaultPairs(t *testing.T) {
	for i, a := range faults {
		for j, b := range faults[:i+1] {
			t.Run(a.name+" and "+b.name, func(t *testing.T) {
				s := startFleet(uint64(100*i+j), 7)
				a.inject(s, 1)
				s.run(time.Duration(s.random.IntN(20)) * time.Second)
				b.inject(s, 4)
				s.run(40 * time.Second)
				s.endFaultsAndRun(convergenceBound)
				s.checkConverged(t)
			})
		}
	}
}

func TestConvergesAfterRandomFaults(t *testing.T) {
	rapid.Check(t, func(r *rapid.T) {
		s := startFleet(rapid.Uint64().Draw(r, "seed"), rapid.IntRange(2, 24).Draw(r, "instances"))
		for range rapid.IntRange(1, 12).Draw(r, "faults") {
			f := rapid.SampledFrom(faults).Draw(r, "fault")
			f.inject(s, rapid.IntRange(0, len(s.processes)-1).Draw(r, "instance"))
			s.run(time.Duration(rapid.IntRange(0, 40).Draw(r, "seconds")) * time.Second)
		}
		s.endFaultsAndRun(convergenceBound)
		s.checkConverged(r)
	})
}

func TestLeavingIsUnusableImmediately(t *testing.T) {
	s := startFleet(1, 8)
	p := s.processes[3]
	before := p.Version()
	p.Leave(s.now)
	if p.Version() == before || len(p.Usable()) != 7 {
		t.Errorf("after Leave: version %d (before %d), %d usable; want a new version and 7", p.Version(), before, len(p.Usable()))
	}
	s.run(5 * time.Second)
	s.checkConverged(t)
}

// TestPauseRestartsSuspicions guards against a paused process that acts on its suspicion
// timeouts when it resumes. They have long expired, but the suspected members had no chance
// to answer.
func TestPauseRestartsSuspicions(t *testing.T) {
	s := startFleet(3, 8)
	p := s.processes[0]
	p.mergeRecord(s.now, Member{Name: "entry-004", Run: s.processes[4].Self.Run, Incarnation: s.processes[4].Self.Incarnation, State: Suspect})
	p.ProbeFailed(s.now, "entry-005")
	now := s.now.Add(time.Minute)
	p.Tick(now)
	if len(p.Usable()) != 8 {
		t.Errorf("%d usable right after the pause, want 8", len(p.Usable()))
	}
	for i := range p.suspicionTimeout()/time.Second + 1 {
		p.Tick(now.Add(i * time.Second))
	}
	if len(p.Usable()) != 7 {
		t.Errorf("%d usable after the suspicion timeout, want 7", len(p.Usable()))
	}
}

func TestIsolatedDetectsCutOff(t *testing.T) {
	s := startFleet(2, 8)
	for _, p := range s.live() {
		if p.Isolated(s.now) {
			t.Errorf("%s is isolated in a fleet without faults", p.Self.Name)
		}
		s.blocked[[2]string{"entry-005", p.Self.Name}] = true
	}
	s.run(15 * time.Second)
	for _, p := range s.live() {
		if got, want := p.Isolated(s.now), p.Self.Name == "entry-005"; got != want {
			t.Errorf("%s: isolated = %v, want %v", p.Self.Name, got, want)
		}
	}
}

func TestDeadMemberRetention(t *testing.T) {
	now := time.Unix(1e9, 0)
	table := Table{Self: Member{Name: "a", Peer: address(0, 1)}}
	old := Member{Name: "b", Incarnation: 5, Run: 1, Peer: address(1, 1)}
	dead := Member{Name: "b", Incarnation: 5, Run: 1, State: Dead}
	steps := []struct {
		record Member
		want   State
	}{
		{old, Alive}, {dead, Dead}, {old, Dead}, {Member{Name: "b", Incarnation: 6, Run: 1}, Alive},
		{dead, Alive}, {Member{Name: "b", Incarnation: 6, Run: 1, State: Leaving}, Leaving},
		{Member{Name: "b", Incarnation: 6, Run: 1, State: Suspect}, Leaving},
		{Member{Name: "b", Incarnation: 7, Run: 2}, Leaving}, // a short record of an unknown run
		{Member{Name: "b", Incarnation: 7, Run: 2, Peer: address(1, 1)}, Alive},
		// A dead record may have only the peer address, from a hint.
		{Member{Name: "d", Incarnation: 1, Run: 1, Peer: address(2, 1), State: Dead}, Dead},
		{Member{Name: "d", Incarnation: 2, Run: 1}, Dead},
		{Member{Name: "d", Incarnation: 2, Run: 1, Peer: address(2, 1)}, Alive},
	}
	for i, s := range steps {
		table.Receive(now, Message{From: "c", Members: []Member{s.record}})
		if m, _ := table.Member(s.record.Name); m.State != s.want {
			t.Errorf("step %d: %v, want %v", i, m.State, s.want)
		}
	}
	for range 2 * DefaultDeadRetention / time.Second {
		now = now.Add(time.Second)
		table.ProbeFailed(now, "b")
		table.Tick(now)
	}
	if m, known := table.Member("b"); known {
		t.Errorf("after twice the retention: %+v is still known", m)
	}
}

func TestFromProtoRejectsInvalid(t *testing.T) {
	for _, invalidate := range []func(m *Message){
		func(m *Message) { m.Members[0].Name = "" },
		func(m *Message) { m.Members[0].State = Dead + 1 },
		func(m *Message) { m.Members[0].Incarnation = 1<<64 - 1 },
	} {
		m := Message{From: "a", Members: []Member{{Name: "b"}}}
		invalidate(&m)
		if _, err := FromProto(m.Proto()); err == nil {
			t.Errorf("%+v: no error", m)
		}
	}
	bad := Message{Members: []Member{{Name: "b"}}}.Proto()
	bad.Members[0].PeerAddress = "entry-1:7001"
	if _, err := FromProto(bad); err == nil {
		t.Error("a host name as peer address: no error")
	}
}

func TestSeedIsThisInstance(t *testing.T) {
	now := time.Unix(1e9, 0)
	a := Table{Self: Member{Name: "a", Peer: address(1, 7001)}}
	a.Hint(now, "", netip.MustParseAddrPort("127.0.0.1:7001"), "", false)
	a.ReceiveReply(now, "127.0.0.1:7001", a.Receive(now, a.Outgoing(now, "127.0.0.1:7001")))
	if s := a.Stats(); s.Hints != 0 || s.Members != 1 || s.Refuted != 0 {
		t.Errorf("after a reply from itself: %+v", s)
	}
}

func ExampleTable() {
	now := time.Unix(1e9, 0)
	a := Table{Self: Member{Name: "entry-a", Peer: address(1, 7001), Incarnation: 1, Run: 11}}
	b := Table{Self: Member{Name: "entry-b", Peer: address(2, 7001), Incarnation: 1, Run: 22}}
	a.Hint(now, "", b.Self.Peer, "", false)
	reply := b.Receive(now, a.Outgoing(now, "10.0.0.2:7001"))
	a.ReceiveReply(now, "10.0.0.2:7001", reply)
	for _, m := range a.Usable() {
		fmt.Println(m.Name, m.State)
	}
	// Output:
	// entry-a alive
	// entry-b alive
}

// TestSimultaneousStart starts all instances at once and expects each to know all others
// within 30 s.
func TestSimultaneousStart(t *testing.T) {
	for _, n := range []int{8, 64, 130} {
		s := newSimulation(uint64(n))
		for i := range n {
			s.startInstance(i)
		}
		var incomplete []string
		for limit := s.now.Add(30 * time.Second); s.now.Before(limit); {
			s.run(time.Second)
			incomplete = nil
			for _, p := range s.live() {
				if got := len(p.Usable()); got != n {
					incomplete = append(incomplete, fmt.Sprint(p.Self.Name, " knows ", got))
				}
			}
		}
		if d := cmp.Diff([]string(nil), incomplete); d != "" {
			t.Errorf("of %d instances (-want +got):\n%s", n, d)
		}
	}
}
