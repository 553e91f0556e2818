package crgrant_test

import (
	"fmt"
	"net/netip"
	"slices"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"

	"crocusrack/core/crcontext"
	"crocusrack/core/crgrant"
	"crocusrack/core/crplace"
	"crocusrack/core/crroute"
	pb "crocusrack/schema/crrouter"
)

// fleet simulates instances in three failure domains that exchange reports as crlink does:
// a report every 200 ms and a digest every 400 ms. Messages arrive without delay.
type fleet struct {
	t         testing.TB
	now       time.Time
	nodes     map[string]*node
	names     []string
	endpoints []*crplace.Endpoint
	down      map[string]bool
	// crossing counts the bytes sent between failure domains, and inside those within
	// them.
	crossing, inside int
	// introduced counts the instances named in replies to new instances.
	introduced int
	// sent counts the bytes and messages the datagrams, both by sender.
	sent, messages map[string]int
	// cut holds pairs of instances between which no messages arrive.
	cut map[[2]string]bool
	// pass returns a message as it arrives, or nil if it is lost. It may be nil, and may
	// change the message.
	pass func(from, to string, m *pb.Report) *pb.Report
	// earlier holds the instances of an earlier release, which pass messages on to all that they
	// are asked to.
	earlier map[string]bool
	// behind is called when an instance hears that another has newer data. It may be nil.
	behind func(name, other string)
}

func newFleet(t testing.TB, size int) *fleet {
	f := &fleet{t: t, now: start, nodes: map[string]*node{}, down: map[string]bool{}, sent: map[string]int{}, messages: map[string]int{}, cut: map[[2]string]bool{}}
	for i := range 9 {
		f.endpoints = append(f.endpoints, endpoint(t, fmt.Sprint("llm-", i)))
	}
	for i := range size {
		f.add(i)
	}
	first := f.nodes[f.names[0]]
	for _, name := range f.names {
		first.Add(f.now, f.nodes[name].Self)
		f.nodes[name].Add(f.now, first.Self)
	}
	return f
}

// add adds an instance that knows no others.
func (f *fleet) add(i int) *node {
	n := newNode(i)
	n.Self.FailureDomain = []string{"noord-a", "noord-b", "noord-c"}[i%3]
	n.SetEndpoints(f.now, 1, f.endpoints)
	n.SetRouting(&pb.Routing{Version: 3})
	f.nodes[n.Self.Name] = n
	f.names = append(f.names, n.Self.Name)
	return n
}

func (f *fleet) deliver(from, to string, m *pb.Report) {
	f.t.Helper()
	sender, receiver := f.nodes[from], f.nodes[to]
	f.messages[from]++
	if receiver == nil || f.down[to] || f.cut[[2]string{from, to}] || f.cut[[2]string{to, from}] {
		return
	}
	if sender.Self.FailureDomain != receiver.Self.FailureDomain {
		f.crossing += proto.Size(m)
	} else {
		f.inside += proto.Size(m)
	}
	f.sent[from] += proto.Size(m)
	arrived := proto.CloneOf(m)
	if f.pass != nil {
		if arrived = f.pass(from, to, arrived); arrived == nil {
			return
		}
	}
	h, err := receiver.Receive(f.now, arrived)
	if err != nil {
		f.t.Fatal(err)
	}
	if f.earlier[to] && len(m.GetPassTo()) > 0 {
		for _, address := range m.GetPassTo() {
			f.deliver(to, f.name(netip.MustParseAddrPort(address)), &pb.Report{From: m.GetFrom(), Digest: m.GetDigest(), Bulletin: m.GetBulletin(), Forwarded: true})
		}
		h.Forward = nil
	}
	for _, d := range h.Forward {
		f.deliver(to, f.name(d.To), d.Report)
	}
	if h.Behind && f.behind != nil && f.nodes[h.From.Name] != nil {
		f.behind(to, h.From.Name)
	}
	if h.Answer {
		reply := receiver.Compose(f.now, from)
		if h.Introduce {
			receiver.Introduce(f.now, sender.Self.FailureDomain, reply)
		}
		f.introduced += len(reply.GetPeers())
		f.deliver(to, from, reply)
	}
}

// name returns the name of the instance with the given peer address, or an empty string.
func (f *fleet) name(peer netip.AddrPort) string {
	for _, n := range f.nodes {
		if n.Self.Peer == peer {
			return n.Self.Name
		}
	}
	return ""
}

// run simulates the exchange of reports for the given time.
func (f *fleet) run(d time.Duration) {
	f.t.Helper()
	for end := f.now.Add(d); f.now.Before(end); f.now = f.now.Add(200 * time.Millisecond) {
		for _, n := range f.nodes {
			n.elapsed += 200 * time.Millisecond
		}
		for _, name := range f.names {
			n := f.nodes[name]
			if f.down[name] {
				continue
			}
			bulletin, err := n.Bulletin(f.now)
			if err != nil {
				f.t.Fatal(err)
			}
			for _, d := range bulletin {
				f.deliver(name, f.name(d.To), d.Report)
			}
			for _, d := range n.Due(f.now) {
				m := n.Compose(f.now, d.Name)
				if d.Brief {
					m = n.ComposeBrief(f.now, d.Name)
				}
				f.deliver(name, d.Name, m)
			}
			if f.now.Sub(start)%crgrant.DigestInterval != 0 {
				continue
			}
			targets, digest := n.Digests(f.now), n.Digest(f.now, false)
			if digest == nil {
				continue
			}
			for _, i := range targets {
				f.deliver(name, i.Name, n.ComposeDigest(f.now, i.Name, digest))
			}
		}
	}
}

// relays returns the instances that act as relays.
func (f *fleet) relays() []string {
	var list []string
	for _, name := range f.names {
		if !f.down[name] && len(f.nodes[name].Digests(f.now)) > 0 {
			list = append(list, name)
		}
	}
	return list
}

// TestDomainsExchangeDigests checks that every instance of a large fleet knows all other
// instances, their work and their contexts, although only relays communicate across
// failure domains.
func TestDomainsExchangeDigests(t *testing.T) {
	for _, size := range []int{30, 99} {
		t.Run(fmt.Sprint(size), func(t *testing.T) { exchangeDigests(t, size) })
	}
}

func exchangeDigests(t *testing.T, size int) {
	f := newFleet(t, size)
	f.run(4 * time.Second)
	if got := len(f.relays()); got != 3 {
		t.Errorf("%d relays in three failure domains: %v", got, f.relays())
	}
	for _, name := range f.names {
		if got := len(f.nodes[name].Alive(f.now)); got != size-1 {
			t.Errorf("%s knows %d others, want %d", name, got, size-1)
		}
	}
	ask := crgrant.Request{
		Service: crroute.Service{Name: "llm", Engine: true},
		Links:   crcontext.Chain("m", []crcontext.Part{{ID: "price-list", Tokens: 9000}, {ID: "own", Tokens: 10}}),
	}
	g := f.nodes["instance-4"].Grant(f.now, ask)
	g.MarkRead(f.now)
	f.run(1200 * time.Millisecond)
	for _, name := range []string{"instance-3", "instance-5", "instance-7"} {
		got := f.nodes[name].Grant(f.now, ask)
		if got.Endpoint.Key != g.Endpoint.Key || got.HeldTokens != 9000 || got.InFlight != 1 {
			t.Errorf("%s places at %s with %d tokens and %d in flight, want %s, 9000 and 1",
				name, got.Endpoint.ID, got.HeldTokens, got.InFlight, g.Endpoint.ID)
		}
		got.Drop(f.now)
	}
}

// TestLonelyInstanceIsAnswered checks that an instance which hears nobody, because the
// answers to its first reports were lost, gets to know the fleet from the instance that it
// reports to.
func TestLonelyInstanceIsAnswered(t *testing.T) {
	for _, size := range []int{3, 30, 99} {
		t.Run(fmt.Sprint(size), func(t *testing.T) {
			f := newFleet(t, size)
			f.run(3 * time.Second)
			lonely := f.add(size)
			known := f.nodes[f.names[1]]
			lonely.Add(f.now, known.Self)
			f.pass = func(_, to string, m *pb.Report) *pb.Report {
				if to == lonely.Self.Name {
					return nil
				}
				return m
			}
			// The fleet announces a new instance for 3 s.
			f.run(4 * time.Second)
			f.pass = nil
			f.run(3 * time.Second)
			if got := len(lonely.Alive(f.now)); got != size {
				t.Errorf("%s knows %d others, want %d", lonely.Self.Name, got, size)
			}
			unaware := 0
			for _, name := range f.names[:size] {
				if len(f.nodes[name].Alive(f.now)) != size {
					unaware++
				}
			}
			if unaware > 0 {
				t.Errorf("%d instances don't know all others", unaware)
			}
		})
	}
}

// TestRelayIsReplaced checks that another instance takes over when the relay of a failure
// domain fails, and that no live instance is considered lost meanwhile.
func TestRelayIsReplaced(t *testing.T) {
	for _, size := range []int{30, 99} {
		t.Run(fmt.Sprint(size), func(t *testing.T) { replaceRelay(t, size) })
	}
}

func replaceRelay(t *testing.T, size int) {
	f := newFleet(t, size)
	f.run(4 * time.Second)
	dead := f.relays()[0]
	f.down[dead] = true
	for range 20 {
		f.run(200 * time.Millisecond)
		for _, name := range f.names {
			if !f.down[name] && len(f.nodes[name].Alive(f.now)) < size-2 {
				t.Fatalf("%s knows %d others %s after the loss of one of %d", name, len(f.nodes[name].Alive(f.now)), f.now.Sub(start)-4*time.Second, size)
			}
		}
	}
	for _, name := range f.names {
		if got := len(f.nodes[name].Alive(f.now)); !f.down[name] && got != size-2 {
			t.Errorf("%s knows %d others, want %d", name, got, size-2)
		}
	}
	if got := len(f.relays()); got != 3 {
		t.Errorf("relays %v", f.relays())
	}
}

// TestCutOffFromRelay covers an instance of a large failure domain that alone can't
// communicate with its relay. It must keep receiving the state of the fleet through the
// next relay.
func TestCutOffFromRelay(t *testing.T) {
	f := newFleet(t, 99)
	f.run(4 * time.Second)
	relay := f.relays()[0]
	var member string
	for _, name := range f.names {
		if name != relay && f.nodes[name].Self.FailureDomain == f.nodes[relay].Self.FailureDomain {
			member = name
		}
	}
	f.cut[[2]string{relay, member}] = true
	f.run(3 * time.Second)
	for range 10 {
		f.run(200 * time.Millisecond)
		if got := len(f.nodes[member].Alive(f.now)); got < 97 {
			t.Errorf("%s knows %d others, want 97", member, got)
		}
	}
	if got := len(f.relays()); got != 3 {
		t.Errorf("relays %v, want three", f.relays())
	}
	f.cut = nil
	f.run(3 * time.Second)
	if got := len(f.nodes[relay].Alive(f.now)); got != 98 {
		t.Errorf("the relay knows %d others afterwards, want 98", got)
	}
}

// TestHalfOfADomainDies stops half of the instances of large failure domains at once. The
// remaining instances must keep receiving the work of the fleet.
func TestHalfOfADomainDies(t *testing.T) {
	f := newFleet(t, 150)
	f.run(4 * time.Second)
	for i, name := range f.names {
		f.down[name] = i%2 == 0 && i > 5
	}
	f.run(3 * time.Second)
	asker := f.nodes["instance-1"]
	ask := crgrant.Request{Service: crroute.Service{Name: "llm"}}
	for _, name := range f.names {
		if !f.down[name] && name != "instance-1" {
			f.nodes[name].Grant(f.now, ask)
		}
	}
	f.run(2 * time.Second)
	lost := 0
	for range 20 {
		f.run(200 * time.Millisecond)
		g := asker.Grant(f.now, ask)
		if 9*g.MeanInFlight < 60 {
			lost++
		}
		g.Drop(f.now)
	}
	if lost > 0 {
		t.Errorf("at %d of 20 ticks less than 60 of 77 requests were known", lost)
	}
}

// TestMessagesOfLargeFleets checks that the message rate of an instance other than a relay
// doesn't grow with the fleet.
func TestMessagesOfLargeFleets(t *testing.T) {
	t.Parallel()
	const span = 4 * time.Second
	for _, size := range []int{99, 300} {
		f := newLargeFleet(t, size)
		f.run(span)
		clear(f.messages)
		f.run(span)
		relays := f.relays()
		for _, name := range f.names {
			most := 20
			if slices.Contains(relays, name) {
				most = 10 * size / 3
			}
			if got := f.messages[name] / int(span.Seconds()); got > most {
				t.Errorf("%d instances: %s sends %d messages a second, want at most %d", size, name, got, most)
			}
		}
	}
}

// TestIntroductions guards against a number of introductions that grows with the square of
// the fleet. When all instances of a large fleet start at once, each must be told of its
// own failure domain a few times, instead of by every instance about every instance.
func TestIntroductions(t *testing.T) {
	const size, domain = 99, 33
	f := newFleet(t, size)
	f.run(4 * time.Second)
	for _, name := range f.names {
		if got := len(f.nodes[name].Alive(f.now)); got != size-1 {
			t.Errorf("%s knows %d others, want %d", name, got, size-1)
		}
	}
	// Until an instance has heard 16 others it doesn't treat the fleet as large.
	if most := size * (16*16 + 8*domain); f.introduced > most {
		t.Errorf("%d names were sent, want at most %d", f.introduced, most)
	}
}

// TestRelayLoad checks that the relay of a large failure domain sends less than a tenth of
// the users' narrowest link of 10 Mbit/s.
func TestRelayLoad(t *testing.T) {
	t.Parallel()
	const most = 125_000 // bytes a second
	f := newLargeFleet(t, 225)
	f.run(4 * time.Second)
	clear(f.sent)
	f.run(2 * time.Second)
	for _, name := range f.relays() {
		if got := f.sent[name] / 2; got > most {
			t.Errorf("relay %s sends %d bytes a second, want at most %d", name, got, most)
		}
	}
}

// TestEvidenceCrossesDomains checks that the evidence of instances that don't watch the
// store stays younger than the age at which they would read the store themselves,
// independent of the fleet size.
func TestEvidenceCrossesDomains(t *testing.T) {
	t.Parallel()
	for _, size := range []int{30, 225} {
		f := newFleet(t, size)
		f.run(4 * time.Second)
		oldest := time.Duration(0)
		for i := range 12 {
			if i%3 == 0 {
				for _, n := range f.nodes {
					if n.WatchesStore(f.now) {
						n.Evidence.Read(n.elapsed - 600*time.Millisecond)
					}
				}
			}
			f.run(200 * time.Millisecond)
			for _, name := range f.names {
				if i > 5 {
					oldest = max(oldest, age(t, f.nodes[name]))
				}
			}
		}
		if oldest > 2300*time.Millisecond {
			t.Errorf("%d instances: evidence is up to %s old", size, oldest)
		}
	}
}

// TestCrossingBytes bounds the bytes per second that cross failure domains.
func TestCrossingBytes(t *testing.T) {
	perSecond := func(size int) int {
		f := newFleet(t, size)
		f.run(4 * time.Second)
		f.crossing = 0
		f.run(4 * time.Second)
		return f.crossing / 4
	}
	// Without digests, 51 instances would send 1,700 reports across domains at each of
	// five ticks a second.
	if all, digests := 1700*5*150, perSecond(51); digests*5 > all {
		t.Errorf("%d bytes a second cross domains, want less than a fifth of %d", digests, all)
	}
}

// BenchmarkControlBytes measures the bytes per second that instances send each other with
// four requests in flight each, without packet headers.
func BenchmarkControlBytes(b *testing.B) {
	for _, size := range []int{7, 16, 30, 58, 99, 225} {
		b.Run(fmt.Sprint(size), func(b *testing.B) {
			const span = 4 * time.Second
			for b.Loop() {
				f := newFleet(b, size)
				f.run(span)
				for _, name := range f.names {
					for range 4 {
						f.nodes[name].Grant(f.now, crgrant.Request{Service: crroute.Service{Name: "llm"}})
					}
				}
				f.crossing, f.inside = 0, 0
				f.run(span)
				b.ReportMetric(float64(f.crossing)/span.Seconds()/float64(size), "crossing-B/s/instance")
				b.ReportMetric(float64(f.inside)/span.Seconds()/float64(size), "inside-B/s/instance")
			}
		})
	}
}
