package crmember

import (
	"cmp"
	"flag"
	"fmt"
	"math/rand/v2"
	"net/netip"
	"os"
	"slices"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"
)

// TestMain fixes the seed of rapid, so that CI gives the same result on every run. The
// flags -rapid.seed and -rapid.checks override it.
func TestMain(m *testing.M) {
	flag.Set("rapid.seed", "20261204")
	flag.Set("rapid.nofailfile", "true")
	flag.Parse()
	os.Exit(m.Run())
}

const (
	probeTimeout    = time.Second
	messageOverhead = 150 // bytes of HTTP/2 and gRPC
)

// process is one run of one instance.
type process struct {
	*Table
	up, paused bool
	// lastDead and lastLeaving hold the newest dead and the last leaving record of each
	// member in this table, for checkInvariants.
	lastDead, lastLeaving map[string]Member
}

// event is a function to run at a simulated time.
type event struct {
	at  time.Time
	run func()
}

// simulation passes messages between tables in memory and may lose, delay, reorder and
// duplicate them.
type simulation struct {
	now       time.Time
	events    []event
	random    *rand.Rand
	processes []*process
	loss      float64
	duplicate float64
	delay     time.Duration
	blocked   map[[2]string]bool // from and to, as instances or failure domains
	bytes     int
	checking  bool
	failure   string
}

func newSimulation(seed uint64) *simulation {
	return &simulation{now: time.Unix(1e9, 0), random: rand.New(rand.NewPCG(seed, 1)), blocked: map[[2]string]bool{}, delay: 10 * time.Millisecond}
}

// after schedules run at the time d from now.
func (s *simulation) after(d time.Duration, run func()) {
	at := s.now.Add(d)
	i, _ := slices.BinarySearchFunc(s.events, at, func(e event, at time.Time) int {
		return cmp.Or(e.at.Compare(at), -1) // Insert after events of the same time.
	})
	s.events = slices.Insert(s.events, i, event{at, run})
}

// run advances the simulated time by d and runs the events in between.
func (s *simulation) run(d time.Duration) {
	end := s.now.Add(d)
	for len(s.events) > 0 && !s.events[0].at.After(end) {
		e := s.events[0]
		s.events = s.events[1:]
		s.now = e.at
		e.run()
	}
	s.now = end
}

func address(i int, port uint16) netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, byte(i >> 8), byte(i)}), port)
}

// startInstance starts instance i in a new run, and stops its previous run.
func (s *simulation) startInstance(i int) *process {
	p := &process{up: true, lastDead: map[string]Member{}, lastLeaving: map[string]Member{}}
	p.Table = &Table{Seed: s.random.Uint64(), Self: Member{
		Name: fmt.Sprintf("entry-%03d", i), FailureDomain: fmt.Sprintf("domain-%02d", i%3),
		// The clock may stand still or go back a little between two runs.
		Incarnation: uint64(s.now.UnixMilli()) - s.random.Uint64N(60000), Run: s.random.Uint64(),
		Caller: address(i, 7000), Peer: address(i, 7001), Operator: address(i, 7002),
	}}
	for len(s.processes) <= i {
		s.processes = append(s.processes, nil)
	}
	if old := s.processes[i]; old != nil {
		old.up = false
	}
	s.processes[i] = p
	for seed := range 3 {
		p.Hint(s.now, "", address(seed, 7001), "", false)
	}
	s.tick(p)
	return p
}

func (s *simulation) tick(p *process) {
	if !p.up {
		return
	}
	if p.paused {
		s.after(100*time.Millisecond, func() { s.tick(p) })
		return
	}
	probes, next := p.Tick(s.now)
	for _, m := range probes {
		s.probe(p, m)
	}
	s.checkInvariants(p)
	s.after(next.Sub(s.now), func() { s.tick(p) })
}

// processAt returns the process with the peer address, or nil.
func (s *simulation) processAt(peer netip.AddrPort) *process {
	for _, p := range s.processes {
		if p != nil && p.Self.Peer == peer {
			return p
		}
	}
	return nil
}

// send calls receive when the message arrives, unless the network loses it.
func (s *simulation) send(from, to *process, receive func()) {
	a, b := from.Self, to.Self
	if s.random.Float64() < s.loss || s.blocked[[2]string{a.Name, b.Name}] || s.blocked[[2]string{a.FailureDomain, b.FailureDomain}] {
		return
	}
	copies := 1
	if s.random.Float64() < s.duplicate {
		copies = 2
	}
	var deliver func()
	deliver = func() {
		switch {
		case to.up && to.paused && s.random.IntN(2) == 0:
			s.after(time.Second, deliver) // It stays in the socket buffer until the process resumes.
		case to.up && !to.paused:
			receive()
		}
	}
	for range copies {
		s.after(s.delay/2+time.Duration(s.random.Int64N(int64(s.delay))), deliver)
	}
}

// countAndDecode adds the encoded size of the message to bytes, and returns the message
// as decoded by the receiver.
func (s *simulation) countAndDecode(m Message) Message {
	p := m.Proto()
	s.bytes += proto.Size(p) + messageOverhead
	decoded, err := FromProto(p)
	if err != nil {
		s.failure = err.Error()
	}
	return decoded
}

// probe exchanges messages between p and m, and starts indirect probes on a timeout.
func (s *simulation) probe(p *process, m Member) {
	answered := false
	if to := s.processAt(m.Peer); to != nil {
		request := s.countAndDecode(p.Outgoing(s.now, m.Name))
		s.send(p, to, func() {
			reply := s.countAndDecode(to.Receive(s.now, request))
			s.send(to, p, func() {
				answered = true
				p.ReceiveReply(s.now, m.Name, reply)
				if p.NeedsFullSync(s.now, reply.MemberHash) && to.up {
					s.countAndDecode(Message{Members: to.All()})
					p.Merge(s.now, to.All())
				}
			})
		})
	}
	s.after(probeTimeout, func() {
		if answered || !p.up || p.paused {
			return
		}
		for _, prober := range p.ProbeFailed(s.now, m.Name) {
			s.indirectProbe(p, prober, m)
		}
	})
}

// indirectProbe lets the member proberMember probe targetMember on behalf of p.
func (s *simulation) indirectProbe(p *process, proberMember, targetMember Member) {
	prober, target := s.processAt(proberMember.Peer), s.processAt(targetMember.Peer)
	if prober == nil || target == nil {
		return
	}
	s.send(p, prober, func() {
		s.send(prober, target, func() {
			s.send(target, prober, func() {
				s.send(prober, p, func() { p.ProbeSucceeded(s.now, targetMember.Name) })
			})
		})
	})
}

// checkInvariants checks that in the table of p no dead member comes back with an older
// record, and that no leaving member becomes usable again in the same run.
func (s *simulation) checkInvariants(p *process) {
	if !s.checking {
		return
	}
	for _, m := range p.All() {
		lastDead, known := p.lastDead[m.Name]
		switch {
		case m.State == Dead && (!known || m.replaces(lastDead)):
			p.lastDead[m.Name] = m
		case m.State != Dead && known && !m.replaces(lastDead):
			s.failure = fmt.Sprintf("%s: the dead member %+v came back as %+v", p.Self.Name, lastDead, m)
		}
		if m.State == Leaving {
			p.lastLeaving[m.Name] = m
		}
	}
	for _, m := range p.Usable() {
		if lastLeaving, known := p.lastLeaving[m.Name]; known && lastLeaving.Run == m.Run {
			s.failure = fmt.Sprintf("%s: the leaving member %+v is usable as %+v", p.Self.Name, lastLeaving, m)
		}
	}
}

// live returns the processes that are up, including paused ones.
func (s *simulation) live() []*process {
	var live []*process
	for _, p := range s.processes {
		if p != nil && p.up {
			live = append(live, p)
		}
	}
	return live
}

// expectedUsable returns the members that every table must list as usable.
func (s *simulation) expectedUsable() []Member {
	usable := []Member{}
	for _, p := range s.live() {
		if p.Self.State != Leaving {
			usable = append(usable, p.Self)
		}
	}
	slices.SortFunc(usable, byName)
	return usable
}

// hintAll passes the platform's list of instances to every table.
func (s *simulation) hintAll() {
	for _, p := range s.live() {
		for _, o := range s.live() {
			p.Hint(s.now, o.Self.Name, o.Self.Peer, o.Self.FailureDomain, o.Self.State == Leaving)
		}
	}
}

// endFaultsAndRun ends all faults and runs for the bound, with hints every 30 s.
func (s *simulation) endFaultsAndRun(bound time.Duration) {
	s.loss, s.duplicate, s.delay = 0, 0, 10*time.Millisecond
	clear(s.blocked)
	for _, p := range s.live() {
		p.paused = false
	}
	for range bound / (30 * time.Second) {
		s.hintAll()
		s.run(30 * time.Second)
	}
}
