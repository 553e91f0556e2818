package crwatch_test

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/google/go-cmp/cmp"

	"crocusrack/core/crgrant"
	"crocusrack/core/crplace"
	"crocusrack/core/crroute"
	"crocusrack/core/crversion"
	pb "crocusrack/schema/crrouter"
)

// beginStream begins a stream at any endpoint.
func beginStream(state *crgrant.State, id string) {
	g := state.Grant(time.Now(), crgrant.Request{Service: crroute.Service{Name: "llm", Engine: true}})
	g.BeginStream(time.Now(), id)
	g.Drop(time.Now())
}

// TestVersionsOfStreamsOutliveAllInstances guards against streams that go on at any version after all
// instances have restarted, though another version has left meanwhile.
func TestVersionsOfStreamsOutliveAllInstances(t *testing.T) {
	s := newStore("llm-1", "llm-2")
	s.endpoints["llm-1"].Version, s.endpoints["llm-2"].Version = "v1", "v2"
	run(t, s, func(state *crgrant.State) {
		time.Sleep(3 * time.Second)
		beginStream(state, "begun")
		time.Sleep(time.Second)
	})
	delete(s.endpoints, "llm-2")
	run(t, s, func(state *crgrant.State) {
		s.do(func() { s.down = true })
		time.Sleep(3 * time.Second)
		if _, mixed := state.StreamVersion(time.Now(), "llm", "other"); !mixed {
			t.Error("a stream may go on at any version before the store could be read")
		}
		s.do(func() { s.down = false })
		time.Sleep(3 * time.Second)
		if v, _ := state.StreamVersion(time.Now(), "llm", "begun"); v == 0 {
			t.Error("the version of a stream isn't known after a restart of all instances")
		}
		if v, mixed := state.StreamVersion(time.Now(), "llm", "other"); v != 0 || !mixed {
			t.Errorf("an unknown stream has version %d, mixed %t; want a mixed service", v, mixed)
		}
		time.Sleep(2 * time.Minute)
		if _, mixed := state.StreamVersion(time.Now(), "llm", "other"); mixed {
			t.Error("the service counts as mixed two minutes after the other version has left")
		}
	})
	if diff := cmp.Diff([]uint32{uint32(crversion.Of("v1"))}, s.recorded(t, "llm")); diff != "" {
		t.Errorf("versions that are kept two minutes after the other one has left (-want +got):\n%s", diff)
	}
}

// TestStartingInstanceKeepsCheckpoints guards against checkpoints that an instance replaces before it
// has read them.
func TestStartingInstanceKeepsCheckpoints(t *testing.T) {
	s := newStore("llm-1", "llm-2")
	s.endpoints["llm-1"].Version, s.endpoints["llm-2"].Version = "v1", "v2"
	run(t, s, func(state *crgrant.State) {
		time.Sleep(3 * time.Second)
		beginStream(state, "begun")
		time.Sleep(time.Second)
	})
	s.versionsDown = true
	run(t, s, func(state *crgrant.State) {
		time.Sleep(3 * time.Second)
		beginStream(state, "later")
		time.Sleep(time.Second)
		s.do(func() { s.versionsDown = false })
		time.Sleep(5 * time.Second)
	})
	run(t, s, func(state *crgrant.State) {
		time.Sleep(3 * time.Second)
		for _, id := range []string{"begun", "later"} {
			if v, _ := state.StreamVersion(time.Now(), "llm", id); v == 0 {
				t.Errorf("the version of the stream %s isn't kept", id)
			}
		}
	})
}

// TestKeepersKeepEachOthersStreams guards against streams that are refused after a loss of instances
// since a keeper has replaced what another one wrote: the one before it, or one from which it is cut
// off.
func TestKeepersKeepEachOthersStreams(t *testing.T) {
	s := newStore("llm-1", "llm-2")
	s.endpoints["llm-1"].Version, s.endpoints["llm-2"].Version = "v1", "v2"
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		var tasks sync.WaitGroup
		var states []*crgrant.State
		for range 2 {
			state := newState()
			states = append(states, state)
			tasks.Go(func() { s.watcher(state).Run(ctx) })
		}
		time.Sleep(3 * time.Second)
		for i := range 40 {
			beginStream(states[i%2], fmt.Sprint(i))
			time.Sleep(20 * time.Millisecond)
		}
		// Later streams begin at one of them only.
		for i := range 20 {
			beginStream(states[0], fmt.Sprint("later-", i))
			time.Sleep(50 * time.Millisecond)
		}
		cancel()
		tasks.Wait()
	})
	run(t, s, func(state *crgrant.State) {
		time.Sleep(3 * time.Second)
		for i := range 40 {
			if v, _ := state.StreamVersion(time.Now(), "llm", fmt.Sprint(i)); v == 0 && i < 35 {
				t.Errorf("the version of stream %d isn't kept", i)
			}
		}
	})
	const most = 2*60 + 60
	if s.versionCalls > most {
		t.Errorf("%d calls in 5 s, want %d at most", s.versionCalls, most)
	}
}

// TestCallsForVersions counts the calls of the store for the versions of streams.
func TestCallsForVersions(t *testing.T) {
	for _, c := range []struct {
		name    string
		version string
		// most is the largest number of calls in a minute with 20 streams a second, and again that
		// after a restart.
		most, again int
	}{
		{"one version", "v1", 2, 1},
		{"two versions", "v2", 10*60 + 10, 10*60 + 10},
	} {
		t.Run(c.name, func(t *testing.T) {
			s := newStore("llm-1", "llm-2")
			s.endpoints["llm-1"].Version, s.endpoints["llm-2"].Version = "v1", c.version
			for start, most := range []int{c.most, c.again} {
				s.versionCalls = 0
				run(t, s, func(state *crgrant.State) {
					time.Sleep(3 * time.Second)
					for i := range 20 * 60 {
						beginStream(state, fmt.Sprint(i))
						time.Sleep(50 * time.Millisecond)
					}
				})
				if s.versionCalls > most {
					t.Errorf("%d calls in a minute after start %d, want %d at most", s.versionCalls, start+1, most)
				}
			}
			for name, kept := range s.streams {
				if got := len(kept.Data); got > 12*20*21+8 {
					t.Errorf("%d bytes are kept for %s, want 12 for each stream of 20 s", got, name)
				}
			}
		})
	}
}

// TestOutdatedVersionsAreRead guards against streams that go on at the only version that an instance
// knows, though the store lists others by then, and against a call of the store for each of them.
func TestOutdatedVersionsAreRead(t *testing.T) {
	const takeUps, most = 20, 2
	for _, c := range []struct {
		name  string
		write func(s *store)
		want  crgrant.TakeUp
	}{
		{"one version", func(*store) {}, crgrant.TakeUpOnly},
		{"another version", func(s *store) {
			s.endpoints["llm-2"] = &pb.Endpoint{Id: "llm-2", Service: "llm", Address: "10.0.1.2:80", Version: "v2"}
		}, crgrant.TakeUpUnknown},
		{"out of reach", func(s *store) { s.down = true }, crgrant.TakeUpOutdated},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				s, state := newStore("llm-1"), newState()
				e, err := crgrant.NewEndpoint(time.Now(), s.endpoints["llm-1"])
				if err != nil {
					t.Fatal(err)
				}
				state.SetEndpoints(time.Now(), s.revision, []*crplace.Endpoint{e})
				state.EndpointsEvidence.Read(0)
				w := s.watcher(state)
				for at := range 3 {
					time.Sleep(3 * time.Second)
					if _, how := state.TakeUp(time.Now(), "llm", "begun"); at == 0 && how != crgrant.TakeUpOutdated {
						t.Fatalf("a list of 3 s ago tells that the version is %s", how)
					}
					s.do(func() { c.write(s) })
					before := s.callCount()
					var calls sync.WaitGroup
					for range takeUps {
						calls.Go(func() {
							if err := w.ReadVersions(t.Context()); (err != nil) != (c.want == crgrant.TakeUpOutdated) {
								t.Errorf("read %d: error %v", at, err)
							}
						})
					}
					calls.Wait()
					if got := s.callCount() - before; got > most {
						t.Errorf("%d calls of the store for %d streams, want %d at most", got, takeUps, most)
					}
					if _, how := state.TakeUp(time.Now(), "llm", "begun"); how != c.want {
						t.Errorf("the version of a stream is %s after read %d, want %s", how, at, c.want)
					}
				}
			})
		})
	}
}

// TestStreamsOfFirstSecondAreKept guards against streams that are refused after a second loss of all
// instances since they had begun right after the first one.
func TestStreamsOfFirstSecondAreKept(t *testing.T) {
	for _, instances := range []int{1, 2, 8} {
		t.Run(fmt.Sprint(instances, " instances"), func(t *testing.T) {
			s := newStore("llm-1", "llm-2")
			s.endpoints["llm-1"].Version, s.endpoints["llm-2"].Version = "v1", "v2"
			var ids []string
			for range 2 {
				runFleet(t, s, instances, func(states []*crgrant.State) {
					time.Sleep(500 * time.Millisecond)
					for range 10 {
						for i, state := range states {
							ids = append(ids, fmt.Sprint(len(ids)))
							beginStream(state, ids[len(ids)-1])
							tellStreams(states, i)
						}
						time.Sleep(100 * time.Millisecond)
					}
					time.Sleep(200 * time.Millisecond)
				})
			}
			runFleet(t, s, instances, func(states []*crgrant.State) {
				time.Sleep(100 * time.Millisecond)
				lost := 0
				for _, id := range ids {
					if v, _ := states[0].StreamVersion(time.Now(), "llm", id); v == 0 {
						lost++
					}
				}
				if lost > 0 && instances > 1 {
					t.Errorf("the versions of %d of %d streams aren't kept", lost, len(ids))
				}
			})
		})
	}
}

// TestManyKeepersMakeFewCalls checks the calls for versions of streams of instances that start together
// and take themselves for keepers, since they hear only one other each.
func TestManyKeepersMakeFewCalls(t *testing.T) {
	const pairs, most = 40, 400
	s := newStore("llm-1", "llm-2")
	s.endpoints["llm-1"].Version, s.endpoints["llm-2"].Version = "v1", "v2"
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		var tasks sync.WaitGroup
		var fleets [][]*crgrant.State
		for range pairs {
			states := newStates(2)
			fleets = append(fleets, states)
			for _, state := range states {
				tasks.Go(func() { s.watcher(state).Run(ctx) })
			}
		}
		for range 10 {
			time.Sleep(200 * time.Millisecond)
			for i, states := range fleets {
				exchange(t, states)
				beginStream(states[0], fmt.Sprint(i, time.Now()))
				tellStreams(states, 0)
			}
		}
		cancel()
		tasks.Wait()
	})
	t.Logf("%d calls in 2 s", s.versionCalls)
	if s.versionCalls > 2*most {
		t.Errorf("%d calls in 2 s, want %d at most", s.versionCalls, 2*most)
	}
}
