package crwatch_test

import (
	"context"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/google/go-cmp/cmp"
	"google.golang.org/protobuf/types/known/durationpb"

	"crocusrack/core/crgrant"
	"crocusrack/core/crplace"
	pb "crocusrack/schema/crrouter"
)

// run runs a watcher in a bubble until the body returns.
func run(t *testing.T, s *store, body func(state *crgrant.State)) {
	synctest.Test(t, func(t *testing.T) {
		state := newState()
		ctx, cancel := context.WithCancel(t.Context())
		done := make(chan struct{})
		go func() {
			defer close(done)
			s.watcher(state).Run(ctx)
		}()
		defer func() {
			cancel()
			<-done
		}()
		body(state)
	})
}

func endpoints(state *crgrant.State) []string {
	var names []string
	for _, e := range state.Dump(time.Now()).Endpoints {
		names = append(names, e.ID)
	}
	return names
}

func TestFollow(t *testing.T) {
	s := newStore("llm-1", "llm-2")
	run(t, s, func(state *crgrant.State) {
		time.Sleep(2 * time.Second)
		if state.Table() == nil || state.Table().Version != 3 {
			t.Fatal("the routing isn't in force")
		}
		if diff := cmp.Diff([]string{"llm-1", "llm-2"}, endpoints(state)); diff != "" {
			t.Errorf("endpoints (-want +got):\n%s", diff)
		}
		s.do(func() {
			s.routing = &pb.Routing{Version: 8}
			delete(s.endpoints, "llm-1")
		})
		time.Sleep(time.Second)
		if got := state.Table().Version; got != 8 {
			t.Errorf("version %d is in force a second after 8", got)
		}
		if diff := cmp.Diff([]string{"llm-2"}, endpoints(state)); diff != "" {
			t.Errorf("endpoints after one has gone (-want +got):\n%s", diff)
		}
		if age, _ := state.Evidence.Age(state.Elapsed()); age > 2200*time.Millisecond {
			t.Errorf("evidence of a watcher is %s old", age)
		}
	})
}

// TestLapsedEntriesAreKeptForAWhile: entries may lapse in an outage although
// their endpoints live.
func TestLapsedEntriesAreKeptForAWhile(t *testing.T) {
	s := newStore("llm-1", "llm-2", "llm-3")
	run(t, s, func(state *crgrant.State) {
		time.Sleep(2 * time.Second)
		all := s.endpoints
		s.do(func() { s.down = true })
		time.Sleep(6 * time.Second)
		s.do(func() {
			s.down = false
			s.endpoints = map[string]*pb.Endpoint{}
		})
		time.Sleep(1500 * time.Millisecond)
		if got := len(endpoints(state)); got != 3 {
			t.Errorf("%d endpoints in force soon after an outage, want 3", got)
		}
		s.do(func() { s.endpoints = map[string]*pb.Endpoint{"llm-1": all["llm-1"]} })
		time.Sleep(5 * time.Second)
		if diff := cmp.Diff([]string{"llm-1"}, endpoints(state)); diff != "" {
			t.Errorf("endpoints once the store has settled (-want +got):\n%s", diff)
		}
	})
}

// TestOldListIsNotBroughtBack: an instance watched, lost the store, and let
// others watch. They saw an endpoint leave. When it watches again, that endpoint
// must stay away.
func TestOldListIsNotBroughtBack(t *testing.T) {
	s := newStore("llm-1", "llm-2")
	run(t, s, func(state *crgrant.State) {
		time.Sleep(2 * time.Second)
		s.do(func() { s.down = true })
		time.Sleep(4 * time.Second)
		// Two others take the watch. They reach the store.
		others := func(span time.Duration) {
			for end := time.Now().Add(span); time.Now().Before(end); time.Sleep(200 * time.Millisecond) {
				for _, name := range []string{"instance-2", "instance-3"} {
					report(t, state, name)
				}
			}
		}
		others(time.Second)
		s.do(func() { delete(s.endpoints, "llm-1") })
		if !state.SetEndpoints(time.Now(), s.revision, left(t)) {
			t.Fatal("the others' endpoints weren't adopted")
		}
		others(8 * time.Second)
		s.do(func() { s.down = false })
		// Now they fall silent, and this instance watches.
		for range 30 {
			time.Sleep(100 * time.Millisecond)
			if diff := cmp.Diff([]string{"llm-2"}, endpoints(state)); diff != "" {
				t.Fatalf("endpoints of the watcher (-want +got):\n%s", diff)
			}
		}
	})
}

// TestOldOutageIsForgotten: an instance lost the store for a moment, long ago, and
// others have watched since. They then reach the store no more, and an endpoint
// leaves. What this instance finds missing then has left.
func TestOldOutageIsForgotten(t *testing.T) {
	s := newStore("llm-1", "llm-2")
	run(t, s, func(state *crgrant.State) {
		time.Sleep(2 * time.Second)
		s.do(func() { s.down = true })
		time.Sleep(4 * time.Second)
		for end := time.Now().Add(10 * time.Second); time.Now().Before(end); time.Sleep(200 * time.Millisecond) {
			for i := range 8 {
				report(t, state, fmt.Sprint("instance-", i+2))
			}
		}
		s.do(func() {
			s.down = false
			delete(s.endpoints, "llm-1")
		})
		for gone := time.Now(); time.Since(gone) < 3500*time.Millisecond; time.Sleep(200 * time.Millisecond) {
			for i := range 8 {
				reportAge(t, state, fmt.Sprint("instance-", i+2), time.Since(gone), time.Since(gone))
			}
		}
		if diff := cmp.Diff([]string{"llm-2"}, endpoints(state)); diff != "" {
			t.Errorf("endpoints (-want +got):\n%s", diff)
		}
	})
}

// left returns the endpoints without the one that has left.
func left(t *testing.T) []*crplace.Endpoint {
	t.Helper()
	e, err := crgrant.NewEndpoint(time.Now(), newStore("llm-2").endpoints["llm-2"])
	if err != nil {
		t.Fatal(err)
	}
	return []*crplace.Endpoint{e}
}

// report lets another instance, which reaches the store, report to the state.
func report(t *testing.T, state *crgrant.State, name string) {
	t.Helper()
	reportAge(t, state, name, 0, 0)
}

func reportAge(t *testing.T, state *crgrant.State, name string, routingAge, endpointsAge time.Duration) {
	t.Helper()
	m := state.Compose(time.Now(), "")
	from := &pb.Peer{Name: name, FailureDomain: "noord-" + string('b'+name[len(name)-1]%2), Front: "10.0.0.2:80", Peer: "10.0.0.2:81"}
	_, err := state.Receive(time.Now(), &pb.Report{
		From: from, Run: 7, Sequence: m.GetSequence(), Ready: true, RoutingVersion: 3, KnowsEras: true,
		RoutingAge: durationpb.New(routingAge), Echo: m.GetStamp(), EchoRun: state.Run,
		EndpointsRevision: m.GetEndpointsRevision(), OutsRevision: m.GetOutsRevision(),
		EndpointsAge: durationpb.New(endpointsAge), OutsAge: durationpb.New(0),
	})
	if err != nil {
		t.Fatal(err)
	}
}

// TestEachKindGrowsOldByItself: others watch the routing, and nobody the
// endpoints. This instance goes to the store for those.
func TestEachKindGrowsOldByItself(t *testing.T) {
	s := newStore("llm-1", "llm-2")
	run(t, s, func(state *crgrant.State) {
		time.Sleep(2 * time.Second)
		gone := time.Now()
		for time.Since(gone) < 4*time.Second {
			for i := range 8 {
				reportAge(t, state, fmt.Sprint("instance-", i+2), 0, time.Since(gone))
			}
			if state.WatchesStore(time.Now()) {
				t.Fatal("this instance watches the store; the test needs one that doesn't")
			}
			if time.Since(gone) > time.Second {
				s.do(func() { delete(s.endpoints, "llm-1") })
			}
			time.Sleep(200 * time.Millisecond)
		}
		if diff := cmp.Diff([]string{"llm-2"}, endpoints(state)); diff != "" {
			t.Errorf("endpoints (-want +got):\n%s", diff)
		}
	})
}

// TestOutageMakesFewCalls bounds the calls of one instance to a store that is
// down: one kind of objects asks for all, at most every 1.2 s after the first
// few. The calls are priced, and a fleet makes them all.
func TestOutageMakesFewCalls(t *testing.T) {
	s := newStore("llm-1")
	run(t, s, func(*crgrant.State) {
		time.Sleep(2 * time.Second)
		s.do(func() { s.down = true; s.calls = 0 })
		time.Sleep(10 * time.Second)
		if n := s.callCount(); n > 16 {
			t.Errorf("%d calls in an outage of ten seconds", n)
		}
	})
}

// TestStartWaitsForOthers: an instance that starts leaves the store alone while
// others may tell it, and reads it by itself when nobody does.
func TestStartWaitsForOthers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s, state := newStore("llm-1"), newState()
		w := s.watcher(state)
		w.Patience = 2 * time.Second
		ctx, cancel := context.WithCancel(t.Context())
		done := make(chan struct{})
		go func() {
			defer close(done)
			w.Run(ctx)
		}()
		time.Sleep(1900 * time.Millisecond)
		if n := s.callCount(); n != 0 {
			t.Errorf("%d calls while others may answer", n)
		}
		time.Sleep(400 * time.Millisecond)
		if diff := cmp.Diff([]string{"llm-1"}, endpoints(state)); diff != "" {
			t.Errorf("endpoints (-want +got):\n%s", diff)
		}
		cancel()
		<-done
	})
}

// restore lets the store come back from a copy of the given revision after a moment.
func (s *store) restore(revision uint64, change func()) {
	s.do(func() { s.down = true })
	time.Sleep(2 * time.Second)
	s.do(func() {
		s.down = false
		change()
		s.revision = crgrant.NewPosition(s.revision.Era()+1, revision)
	})
}

// TestEndpointsLeaveAfterRestore guards against endpoints whose leaving isn't noticed since the
// store's revisions went back.
func TestEndpointsLeaveAfterRestore(t *testing.T) {
	s := newStore("llm-1", "llm-2")
	s.revision = crgrant.NewPosition(1, 100)
	run(t, s, func(state *crgrant.State) {
		time.Sleep(2 * time.Second)
		s.restore(40, func() {})
		time.Sleep(4 * time.Second)
		s.do(func() { delete(s.endpoints, "llm-1") })
		time.Sleep(1500 * time.Millisecond)
		if diff := cmp.Diff([]string{"llm-2"}, endpoints(state)); diff != "" {
			t.Errorf("endpoints (-want +got):\n%s", diff)
		}
	})
}

// TestEndpointsThatCopyLacksAreKept guards against sound endpoints that are dropped because they
// are newer than the copy that the store came back from.
func TestEndpointsThatCopyLacksAreKept(t *testing.T) {
	s := newStore("llm-1", "llm-2")
	s.revision = crgrant.NewPosition(1, 100)
	run(t, s, func(state *crgrant.State) {
		time.Sleep(2 * time.Second)
		kept := s.endpoints["llm-2"]
		s.restore(40, func() { delete(s.endpoints, "llm-2") })
		for range 18 {
			time.Sleep(100 * time.Millisecond)
			if diff := cmp.Diff([]string{"llm-1", "llm-2"}, endpoints(state)); diff != "" {
				t.Fatalf("endpoints (-want +got):\n%s", diff)
			}
		}
		s.do(func() { s.endpoints["llm-2"] = kept })
		time.Sleep(4 * time.Second)
		if diff := cmp.Diff([]string{"llm-1", "llm-2"}, endpoints(state)); diff != "" {
			t.Errorf("endpoints (-want +got):\n%s", diff)
		}
	})
}

// TestOwnObjectsAreWrittenAgain guards against registrations and checkpoints that stay lost
// after the store came back from a copy.
func TestOwnObjectsAreWrittenAgain(t *testing.T) {
	s := newStore("llm-1")
	s.revision = crgrant.NewPosition(1, 100)
	run(t, s, func(state *crgrant.State) {
		state.ApplyContexts(time.Now(), &pb.Contexts{Contexts: []*pb.Context{{Chain: 1, Endpoint: uint64(crplace.KeyOf("llm-1", 0)), Tokens: 900}}})
		time.Sleep(10 * time.Second)
		registrations, saves := s.registrations, s.saves
		s.restore(40, func() {})
		time.Sleep(10 * time.Second)
		if s.registrations == registrations || s.saves == saves {
			t.Errorf("%d registrations and %d checkpoints before, %d and %d after the store came back", registrations, saves, s.registrations, s.saves)
		}
	})
}

// TestDomainsThatCopyLacksStayOutOfService guards against requests to a failure domain that was
// taken out of service within the time that the copy of a restored store lacks.
func TestDomainsThatCopyLacksStayOutOfService(t *testing.T) {
	s := newStore("llm-1")
	s.revision = crgrant.NewPosition(1, 100)
	run(t, s, func(state *crgrant.State) {
		time.Sleep(2 * time.Second)
		s.do(func() { s.outs = []string{"noord-b"} })
		time.Sleep(3 * time.Second)
		s.restore(40, func() { s.outs = nil })
		for range 20 {
			time.Sleep(100 * time.Millisecond)
			if diff := cmp.Diff([]string{"noord-b"}, state.Dump(time.Now()).Out); diff != "" {
				t.Fatalf("failure domains out of service (-want +got):\n%s", diff)
			}
		}
		time.Sleep(4 * time.Second)
		if out := state.Dump(time.Now()).Out; len(out) > 0 {
			t.Errorf("%v are out of service for longer than the store may lack entries", out)
		}
	})
}

// TestEndpointsThatStayMissingAreDropped guards against endpoints that are kept after a restore
// of the store for as long as its revision stays the same.
func TestEndpointsThatStayMissingAreDropped(t *testing.T) {
	s := newStore("llm-1", "llm-2")
	s.revision = crgrant.NewPosition(1, 100)
	run(t, s, func(state *crgrant.State) {
		time.Sleep(2 * time.Second)
		s.restore(40, func() { delete(s.endpoints, "llm-2") })
		time.Sleep(1500 * time.Millisecond)
		if diff := cmp.Diff([]string{"llm-1", "llm-2"}, endpoints(state)); diff != "" {
			t.Errorf("endpoints soon after the store came back (-want +got):\n%s", diff)
		}
		time.Sleep(4 * time.Second)
		if diff := cmp.Diff([]string{"llm-1"}, endpoints(state)); diff != "" {
			t.Errorf("endpoints once the store has settled (-want +got):\n%s", diff)
		}
	})
}
