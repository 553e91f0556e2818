package crwatch_test

import (
	"slices"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"

	"crocusrack/core/crgrant"
	"crocusrack/core/crroute"
	"crocusrack/core/crversion"
	"crocusrack/io/crwatch"
	pb "crocusrack/schema/crrouter"
)

// beginsAt reports whether a stream that callers may take up may begin at a version.
func beginsAt(state *crgrant.State, version string) bool {
	for range 20 {
		g := state.Grant(time.Now(), crgrant.Request{Service: crroute.Service{Name: "llm", Engine: true}, Resumable: true})
		g.Drop(time.Now())
		if g.Endpoint != nil && g.Endpoint.Version == version {
			return true
		}
	}
	return false
}

func hash(version string) uint32 { return uint32(crversion.Of(version)) }

// TestStreamsBeginAtRecordedVersions guards against streams that begin at a version which a restart of
// all instances wouldn't know of.
func TestStreamsBeginAtRecordedVersions(t *testing.T) {
	s := newStore("llm-1")
	s.endpoints["llm-1"].Version = "v1"
	run(t, s, func(state *crgrant.State) {
		time.Sleep(20 * time.Second)
		s.do(func() {
			s.recordDown = true
			s.endpoints["llm-2"] = &pb.Endpoint{Id: "llm-2", Service: "llm", Address: "10.0.1.2:80", FailureDomain: "noord-a", Slots: 64, Version: "v2"}
		})
		time.Sleep(20 * time.Second)
		if beginsAt(state, "v2") || !beginsAt(state, "v1") {
			t.Error("streams begin at a version of which the store has no record")
		}
		s.do(func() { s.recordDown = false })
		time.Sleep(5 * time.Second)
		if !beginsAt(state, "v2") || !slices.Contains(s.recorded(t, "llm"), hash("v2")) {
			t.Error("no stream begins at a version that can be recorded")
		}
	})
}

// TestRecordKeepsWhatOthersWrote guards against a version that is lost from the record since two
// instances write it.
func TestRecordKeepsWhatOthersWrote(t *testing.T) {
	s := newStore("llm-1")
	s.endpoints["llm-1"].Version = "v1"
	run(t, s, func(*crgrant.State) {
		time.Sleep(20 * time.Second)
		data, err := proto.Marshal(&pb.VersionHistory{Services: []*pb.ServiceVersions{{Service: "llm", Versions: []uint32{hash("v2")}}}})
		if err != nil {
			t.Fatal(err)
		}
		s.do(func() {
			s.versions = crwatch.Kept{Revision: s.versions.Revision + 1, Data: data}
			s.endpoints["llm-3"] = &pb.Endpoint{Id: "llm-3", Service: "llm", Address: "10.0.1.3:80", FailureDomain: "noord-a", Slots: 64, Version: "v3"}
		})
		time.Sleep(20 * time.Second)
		for _, v := range []string{"v1", "v2", "v3"} {
			if !slices.Contains(s.recorded(t, "llm"), hash(v)) {
				t.Errorf("the record lacks %s", v)
			}
		}
	})
}
