package crgrant_test

import (
	"testing"

	"google.golang.org/protobuf/proto"

	"crocusrack/core/crgrant"
	"crocusrack/core/crplace"
	"crocusrack/core/crroute"
	pb "crocusrack/schema/crrouter"
)

// FuzzReceive feeds arbitrary datagrams and snapshots to an instance. It must accept or
// reject each and still be able to place requests and compose reports.
func FuzzReceive(f *testing.F) {
	a, b := newNode(1), newNode(2)
	b.Self.FailureDomain = "noord-b"
	a.Grant(start, crgrant.Request{Service: crroute.Service{Name: "llm"}})
	full := a.Compose(start, b.Self.Name)
	a.Introduce(start, "noord-b", full)
	for _, m := range []proto.Message{
		full,
		a.ComposeBrief(start, b.Self.Name),
		a.ComposeDigest(start, b.Self.Name, a.Digest(start, true)),
		&pb.Report{From: peer(a.Self), Forwarded: true, PassTo: []string{"10.0.0.7:81", "x"}, Digest: a.Digest(start, true)},
		&pb.Report{From: peer(a.Self), Digest: &pb.Digest{Full: true, FailureDomain: "noord-c", SilentMs: []uint32{1 << 31}, WorkEndpoints: []uint32{7}}},
		&pb.Report{From: peer(a.Self), Failures: &pb.Failures{Endpoints: []uint32{7, 8}, Failed: []uint32{1 << 31}, Ended: []uint32{0, 1}}},
		&pb.Snapshot{Endpoints: &pb.Endpoints{Revision: 9, Partial: true, Gone: []string{"e"}}},
	} {
		data, err := proto.Marshal(m)
		if err != nil {
			f.Fatal(err)
		}
		f.Add(data)
	}
	f.Fuzz(func(t *testing.T, data []byte) {
		n := newNode(3)
		n.SetEndpoints(start, 1, []*crplace.Endpoint{endpoint(t, "engine")})
		report, snapshot := &pb.Report{}, &pb.Snapshot{}
		if proto.Unmarshal(data, report) == nil {
			// An error is the expected result for unusable input.
			_, _ = n.Receive(start, report)
		}
		if proto.Unmarshal(data, snapshot) == nil {
			_ = n.ApplySnapshot(start, snapshot)
		}
		n.Grant(start, crgrant.Request{Service: crroute.Service{Name: "llm"}})
		n.Compose(start, "instance-1")
		n.Digest(start, true)
	})
}
