package crgrant_test

import (
	"slices"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"google.golang.org/protobuf/proto"
	"google.golang.org/protobuf/reflect/protodesc"
	"google.golang.org/protobuf/reflect/protoreflect"
	"google.golang.org/protobuf/reflect/protoregistry"
	"google.golang.org/protobuf/testing/protocmp"
	"google.golang.org/protobuf/types/descriptorpb"
	"google.golang.org/protobuf/types/dynamicpb"

	"crocusrack/core/crgrant"
	"crocusrack/core/crroute"
	pb "crocusrack/schema/crrouter"
)

// earlierFields are the fields that earlier releases don't know.
var earlierFields = map[string]map[string][]string{
	"without quarantines, limits and eras": {
		"Report":   append([]string{"crash_evidence", "quarantines"}, newest["Report"]...),
		"Digest":   append([]string{"crash_evidence", "quarantines"}, newest["Digest"]...),
		"Contexts": append([]string{"crash_evidence"}, newest["Contexts"]...),
		"Member":   newest["Member"],
		"Routing":  newest["Routing"],
		"Snapshot": newest["Snapshot"], "Endpoints": newest["Endpoints"], "Outs": newest["Outs"], "Rollouts": newest["Rollouts"],
	},
	"without limits and eras": newest,
}

// newest are the fields that only this release knows.
var newest = map[string][]string{
	"Report":   {"limits", "endpoints_era", "outs_era", "rollouts_era", "knows_eras", "endpoints_provisional", "outs_provisional"},
	"Digest":   {"limits"},
	"Contexts": {"limits"},
	"Member":   {"knows_eras"},
	"Routing":  {"requires_keys"},
	"Snapshot": {}, "Endpoints": {"era", "provisional"}, "Outs": {"era", "provisional"}, "Rollouts": {"era"},
}

// earlier returns the message types as a release without the given fields knows them.
func earlier(t *testing.T, fields map[string][]string) protoreflect.FileDescriptor {
	t.Helper()
	file := protodesc.ToFileDescriptorProto(pb.File_router_proto)
	for _, m := range file.MessageType {
		names := fields[m.GetName()]
		m.Field = slices.DeleteFunc(m.Field, func(f *descriptorpb.FieldDescriptorProto) bool { return slices.Contains(names, f.GetName()) })
		if slices.Contains(names, "quarantines") {
			// The optional field had a oneof of its own.
			m.OneofDecl = nil
		}
	}
	f, err := protodesc.NewFile(file, protoregistry.GlobalFiles)
	if err != nil {
		t.Fatal(err)
	}
	return f
}

// TestReleaseBeforeReadsMessages checks that earlier releases read messages with evidence of
// crashes and limits of endpoints, that what they pass on still has them, and that their own
// messages are read and not taken for other quarantines.
func TestReleaseBeforeReadsMessages(t *testing.T) {
	for release, fields := range earlierFields {
		t.Run(release, func(t *testing.T) { exchangeWithEarlier(t, fields) })
	}
}

func exchangeWithEarlier(t *testing.T, fields map[string][]string) {
	f := newFleet(t, 3)
	for _, n := range f.nodes {
		n.SetEndpoints(f.now, crgrant.NewPosition(2, 5), f.endpoints)
	}
	f.crashes(100, 0, 0, 0)
	f.run(time.Second)
	n := f.nodes[f.names[0]]
	g := n.Grant(f.now, crgrant.Request{Service: crroute.Service{Name: "llm"}})
	g.RecordLimit(f.now, 0.5)
	for name, m := range map[string]proto.Message{
		"Report": n.Compose(f.now, f.names[1]), "Digest": n.Digest(f.now, true), "Contexts": n.Contexts(f.now),
		"Snapshot": n.Snapshot(f.now, crgrant.Versions{}),
	} {
		data, err := proto.Marshal(m)
		if err != nil {
			t.Fatal(err)
		}
		old := dynamicpb.NewMessage(earlier(t, fields).Messages().ByName(protoreflect.Name(name)))
		if err := proto.Unmarshal(data, old); err != nil {
			t.Errorf("%s: the release before can't read it: %v", name, err)
		}
		if len(old.GetUnknown()) == 0 && name != "Snapshot" {
			t.Errorf("%s: nothing in it is new", name)
		}
		passedOn, err := proto.Marshal(old)
		if err != nil {
			t.Fatal(err)
		}
		got := proto.Clone(m)
		if err := proto.Unmarshal(passedOn, got); err != nil {
			t.Errorf("%s: unreadable after the release before passed it on: %v", name, err)
		}
		if diff := cmp.Diff(m, got, protocmp.Transform()); diff != "" {
			t.Errorf("%s, passed on by the release before (-want +got):\n%s", name, diff)
		}
	}
	f.run(5 * time.Second)
	if n.Compose(f.now, f.names[1]).GetCrashEvidence() != nil {
		t.Error("evidence is told though nothing is new")
	}
	m := f.nodes[f.names[1]].Compose(f.now, f.names[0])
	m.CrashEvidence, m.Quarantines, m.Limits = nil, nil, nil
	if _, err := n.Receive(f.now, m); err != nil {
		t.Errorf("a report of the release before: %v", err)
	}
	if n.Compose(f.now, f.names[1]).GetCrashEvidence() != nil {
		t.Error("a report of the release before is taken for other quarantines")
	}
	if len(n.Compose(f.now, f.names[1]).GetLimits().GetEndpoints()) != 1 {
		t.Error("a report of the release before ended a limit")
	}
}

// TestRoutingFromPeerRequiresKeys guards against an instance that takes a version of the
// routing in which no account has a key from another instance and then needs no keys. The other
// instance may run the release before, read the version itself or pass it on.
func TestRoutingFromPeerRequiresKeys(t *testing.T) {
	routing := earlier(t, newest).Messages().ByName("Routing")
	for _, c := range []struct {
		name    string
		routing *pb.Routing
		before  bool
		want    bool
	}{
		{"no accounts", &pb.Routing{}, false, false},
		{"an account without keys", &pb.Routing{RequiresKeys: true, Accounts: []*pb.Account{{Name: "buyer"}}}, false, true},
		{"the last account taken away", &pb.Routing{RequiresKeys: true}, false, true},
		{"the last account taken away, passed on by the release before", &pb.Routing{RequiresKeys: true}, true, true},
		{"an account without keys, read by the release before", &pb.Routing{Accounts: []*pb.Account{{Name: "buyer"}}}, true, true},
	} {
		c.routing.Version = 4
		from, to := newNode(0), newNode(1)
		if c.before {
			data, err := proto.Marshal(c.routing)
			if err != nil {
				t.Fatal(err)
			}
			old := dynamicpb.NewMessage(routing)
			if err := proto.Unmarshal(data, old); err != nil {
				t.Fatal(err)
			}
			if data, err = proto.Marshal(old); err != nil {
				t.Fatal(err)
			}
			if err := proto.Unmarshal(data, c.routing); err != nil {
				t.Fatal(err)
			}
		}
		from.SetRouting(c.routing)
		if err := to.ApplySnapshot(start, from.Snapshot(start, crgrant.Versions{})); err != nil {
			t.Fatal(err)
		}
		if got := to.Table().RequiresKeys(); got != c.want {
			t.Errorf("%s: keys are required: %t, want %t", c.name, got, c.want)
		}
	}
}
