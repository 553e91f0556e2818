package crgrant_test

import (
	"fmt"
	"testing"
	"time"

	"crocusrack/core/crcontext"
	"crocusrack/core/crgrant"
	"crocusrack/core/crliveness"
	"crocusrack/core/crplace"
	"crocusrack/core/crroute"
	pb "crocusrack/schema/crrouter"
)

// newLargeFleet returns a fleet with ten endpoints per instance and 20 requests with long
// prompts in flight from each instance.
func newLargeFleet(t testing.TB, size int) *fleet {
	f := newFleet(t, size)
	var list []*crplace.Endpoint
	for i := range 10 * size {
		list = append(list, endpoint(t, fmt.Sprint("engine-", i)))
	}
	for i, name := range f.names {
		n := f.nodes[name]
		n.SetEndpoints(f.now, 2, list)
		for j := range 20 {
			n.Grant(f.now, largeAsk(i*20+j))
		}
	}
	return f
}

func largeAsk(i int) crgrant.Request {
	return crgrant.Request{
		Service:         crroute.Service{Name: "llm", Engine: true},
		Links:           crcontext.Chain("m", []crcontext.Part{{ID: fmt.Sprint("price-list-", i%50), Tokens: 9000}, {ID: fmt.Sprint("own-", i), Tokens: 10}}),
		SkipPrefillWait: true,
	}
}

// BenchmarkLargeFleet measures the processor time of the frequent operations of an
// instance, in fleets of up to 300 instances with ten times as many endpoints.
func BenchmarkLargeFleet(b *testing.B) {
	for _, size := range []int{30, 99, 300} {
		f := newLargeFleet(b, size)
		f.run(2 * time.Second)
		n := f.nodes[f.names[0]]
		domain, other := f.nodes[f.names[3]], f.nodes[f.names[1]]
		for _, c := range []struct {
			name string
			do   func()
		}{
			{"grant", func() { n.Grant(f.now, largeAsk(7)).Drop(f.now) }},
			{"compose", func() { n.Compose(f.now, f.names[3]) }},
			{"receive", func() { receive(b, n, f.now, domain.Compose(f.now, f.names[0])) }},
			{"digest", func() { other.Digest(f.now, true) }},
			{"take-digest", func() {
				receive(b, n, f.now, &pb.Report{From: peer(other.Self), Digest: other.Digest(f.now, true), Forwarded: true})
			}},
			{"targets", func() { n.Targets(f.now) }},
			{"watches", func() { n.WatchesStore(f.now) }},
		} {
			b.Run(fmt.Sprintf("%s/%d", c.name, size), func(b *testing.B) {
				b.ReportAllocs()
				for b.Loop() {
					c.do()
				}
			})
		}
	}
}

func peer(i crliveness.Instance) *pb.Peer {
	return &pb.Peer{Name: i.Name, FailureDomain: i.FailureDomain, Front: i.Front.String(), Peer: i.Peer.String()}
}

func receive(b *testing.B, n *node, now time.Time, m *pb.Report) {
	if _, err := n.Receive(now, m); err != nil {
		b.Fatal(err)
	}
}
