package crwatch_test

import (
	"fmt"
	"testing"
	"time"

	"crocusrack/core/crgrant"
	"crocusrack/core/crroute"
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
	if len(s.versions) > 0 {
		t.Errorf("%d bytes of versions are kept two minutes after the other version has left, want none", len(s.versions))
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

// TestCallsForVersions counts the calls of the store for the versions of streams.
func TestCallsForVersions(t *testing.T) {
	for _, c := range []struct {
		name    string
		version string
		// most is the largest number of calls in a minute with 20 streams a second.
		most int
	}{
		{"one version", "v1", 1},
		{"two versions", "v2", 10*60 + 10},
	} {
		t.Run(c.name, func(t *testing.T) {
			s := newStore("llm-1", "llm-2")
			s.endpoints["llm-1"].Version, s.endpoints["llm-2"].Version = "v1", c.version
			run(t, s, func(state *crgrant.State) {
				time.Sleep(3 * time.Second)
				for i := range 20 * 60 {
					beginStream(state, fmt.Sprint(i))
					time.Sleep(50 * time.Millisecond)
				}
			})
			if s.versionCalls > c.most {
				t.Errorf("%d calls in a minute, want %d at most", s.versionCalls, c.most)
			}
			for name, data := range s.streams {
				if got := len(data); got > 12*20*21+8 {
					t.Errorf("%d bytes are kept for %s, want 12 for each stream of 20 s", got, name)
				}
			}
		})
	}
}
