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

	pb "crocusrack/schema/crrouter"
)

// earlierFields are the fields that the release before doesn't know.
var earlierFields = map[string][]string{
	"Report":   {"crash_evidence", "quarantines"},
	"Digest":   {"crash_evidence", "quarantines"},
	"Contexts": {"crash_evidence"},
}

// earlier returns the message types as the release before knows them.
func earlier(t *testing.T) protoreflect.FileDescriptor {
	t.Helper()
	file := protodesc.ToFileDescriptorProto(pb.File_router_proto)
	for _, m := range file.MessageType {
		names := earlierFields[m.GetName()]
		m.Field = slices.DeleteFunc(m.Field, func(f *descriptorpb.FieldDescriptorProto) bool { return slices.Contains(names, f.GetName()) })
		if m.GetName() == "Report" {
			// The optional field had a oneof of its own.
			m.OneofDecl = nil
		}
		if m.GetName() == "Digest" {
			m.OneofDecl = nil
		}
	}
	f, err := protodesc.NewFile(file, protoregistry.GlobalFiles)
	if err != nil {
		t.Fatal(err)
	}
	return f
}

// TestReleaseBeforeReadsMessages checks that the release before reads a report with evidence
// of crashes, that what it passes on still has the evidence, and that its own messages are
// read and not taken for other quarantines.
func TestReleaseBeforeReadsMessages(t *testing.T) {
	f := newFleet(t, 3)
	f.crashes(100, 0, 0, 0)
	f.run(time.Second)
	n := f.nodes[f.names[0]]
	for name, m := range map[string]proto.Message{
		"Report": n.Compose(f.now, f.names[1]), "Digest": n.Digest(f.now, true), "Contexts": n.Contexts(f.now),
	} {
		data, err := proto.Marshal(m)
		if err != nil {
			t.Fatal(err)
		}
		old := dynamicpb.NewMessage(earlier(t).Messages().ByName(protoreflect.Name(name)))
		if err := proto.Unmarshal(data, old); err != nil {
			t.Errorf("%s: the release before can't read it: %v", name, err)
		}
		if len(old.GetUnknown()) == 0 {
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
	m.CrashEvidence, m.Quarantines = nil, nil
	if _, err := n.Receive(f.now, m); err != nil {
		t.Errorf("a report of the release before: %v", err)
	}
	if n.Compose(f.now, f.names[1]).GetCrashEvidence() != nil {
		t.Error("a report of the release before is taken for other quarantines")
	}
}
