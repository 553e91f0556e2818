package crgrant_test

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"crocusrack/core/crgrant"
	"crocusrack/core/crplace"
	"crocusrack/core/crversion"
	pb "crocusrack/schema/crrouter"
)

// release simulates a release of a service in a fleet whose instances read the store as crwatch does.
type release struct {
	*fleet
	random *rand.Rand
	// lists holds what the store held at each position, and at is the newest.
	lists map[crgrant.Position][]*crplace.Endpoint
	at    crgrant.Position
	// known holds the position that each instance has, and read when it began its last read of the
	// store, by its own clock.
	known map[string]crgrant.Position
	read  map[string]time.Duration
	// reads counts the reads of the store.
	reads int
	// unreachable holds the instances that don't reach the store.
	unreachable map[string]bool
	lossy       bool
	// deaf holds the instances that messages from others don't reach, but for those in the same group.
	deaf map[string]int
}

const (
	// watchPause is the time between two reads of an unchanged store, and ownRead the age of its list
	// from which on an instance reads the store that doesn't watch it.
	watchPause = 1400 * time.Millisecond
	ownRead    = 2300 * time.Millisecond
)

func newRelease(t *testing.T, instances int) *release {
	r := &release{
		fleet: newFleet(t, instances), random: rand.New(rand.NewPCG(7, 1)), known: map[string]crgrant.Position{}, read: map[string]time.Duration{},
		lists: map[crgrant.Position][]*crplace.Endpoint{}, unreachable: map[string]bool{}, deaf: map[string]int{},
	}
	r.at, r.lists[1] = 1, r.endpoints
	for _, name := range r.names {
		r.known[name] = r.at
	}
	r.behind = func(name, other string) { r.apply(name, r.known[other]) }
	r.pass = func(from, to string, m *pb.Report) *pb.Report {
		if r.lossy && r.random.IntN(20) == 0 || r.deaf[to] > 0 && r.deaf[from] != r.deaf[to] {
			return nil
		}
		return m
	}
	r.play(5 * time.Second)
	return r
}

// write has the store list endpoints of the versions.
func (r *release) write(versions ...string) {
	r.at += 2
	for i, v := range versions {
		e, err := crgrant.NewEndpoint(start, &pb.Endpoint{
			Id: fmt.Sprint("llm-", v, "-", i), Service: "llm", Address: "10.0.1.1:80", FailureDomain: "noord-a", Slots: 64, Version: v,
		})
		if err != nil {
			r.t.Fatal(err)
		}
		r.lists[r.at] = append(r.lists[r.at], e)
	}
}

func (r *release) apply(name string, at crgrant.Position) {
	if at > r.known[name] {
		r.known[name] = at
		r.nodes[name].SetEndpoints(r.now, at, r.lists[at])
	}
}

// play runs the fleet. Instances that watch the store see each change at once.
func (r *release) play(d time.Duration) {
	r.t.Helper()
	for end := r.now.Add(d); r.now.Before(end); {
		r.run(200 * time.Millisecond)
		for _, name := range r.names {
			n := r.nodes[name]
			age, ok := n.EndpointsEvidence.Age(n.elapsed)
			if r.down[name] || r.unreachable[name] || ok && age < ownRead && !n.WatchesStore(r.now) {
				continue
			}
			if r.at > r.known[name] || n.elapsed-r.read[name] >= watchPause {
				r.reads++
				r.apply(name, r.at)
				r.read[name] = n.elapsed
				start := n.elapsed
				if n.WatchesStore(r.now) {
					// A watch has waited for changes.
					start -= watchPause / 2
				}
				n.EndpointsEvidence.Read(start)
			}
		}
	}
}

// some returns about three in ten of the instances, fewer than half.
func (r *release) some() []string {
	var list []string
	for i, name := range r.names {
		if i%10 < 3 && 2*(len(list)+1) < len(r.names) {
			list = append(list, name)
		}
	}
	return list
}

// domain returns the instances of a failure domain.
func (r *release) domain() []string {
	var list []string
	for _, name := range r.names {
		if r.nodes[name].Self.FailureDomain == "noord-b" {
			list = append(list, name)
		}
	}
	return list
}

// cutOff keeps messages from reaching instances, and the instances from reaching the store. The groups
// hear each other.
func (r *release) cutOff(names []string, together bool) []string {
	for i, name := range names {
		r.deaf[name], r.unreachable[name] = i+1, true
		if together {
			r.deaf[name] = 1
		}
	}
	return names
}

// both keeps messages of the instances from reaching others, too.
func (r *release) both(names []string) []string {
	for _, name := range names {
		for _, other := range r.names {
			if r.deaf[other] != r.deaf[name] {
				r.cut[[2]string{name, other}] = true
			}
		}
	}
	return names
}

// outOfStep are the ways in which instances miss that the store lists another version.
var outOfStep = []struct {
	name  string
	begin func(r *release) []string
}{
	{"a failure domain is cut off", func(r *release) []string { return r.both(r.cutOff(r.domain(), true)) }},
	{"some are cut off", func(r *release) []string { return r.both(r.cutOff(r.some(), false)) }},
	{"some are cut off from other instances", func(r *release) []string {
		names := r.both(r.cutOff(r.some(), false))
		clear(r.unreachable)
		return names
	}},
	{"nothing gets into a failure domain", func(r *release) []string { return r.cutOff(r.domain(), true) }},
	{"some stand still", func(r *release) []string {
		for _, name := range r.some() {
			r.down[name] = true
		}
		return r.some()
	}},
	{"some don't reach the store", func(r *release) []string {
		for _, name := range r.some() {
			r.unreachable[name] = true
		}
		return r.some()
	}},
}

// TestOutdatedInstanceDoesNotContinueStreams guards against streams that began at a version of which an
// instance out of step hasn't heard, and that go on there at the one that it knows: as soon as a stream
// may begin at the other version anywhere, whether the instance fell out of step before it was listed or
// just before it was recorded.
func TestOutdatedInstanceDoesNotContinueStreams(t *testing.T) {
	for _, instances := range []int{3, 8, 30, 124, 780} {
		for _, f := range outOfStep {
			for _, recorded := range []bool{false, true} {
				t.Run(fmt.Sprint(instances, " instances, ", f.name, ", recorded before ", recorded), func(t *testing.T) {
					t.Parallel()
					if instances > 124 && !*largestFleet {
						t.Skip("takes minutes; run with -largest-fleet")
					}
					c := newNewcomer(t, instances)
					var affected []string
					if !recorded {
						affected = f.begin(c.release)
						c.play(200 * time.Millisecond)
					}
					c.release.write("", "v2", "v2")
					for recorded && !c.isRecorded(2) {
						c.play(200 * time.Millisecond)
					}
					if recorded {
						affected = f.begin(c.release)
					}
					late := map[string][]*pb.Report{}
					c.play(1200 * time.Millisecond)
					for _, name := range affected {
						// What was sent to an instance that stands still arrives when it goes on.
						late[name] = append(late[name], c.nodes[c.names[len(c.names)-1]].Compose(c.now, name))
					}
					for range 90 {
						c.checkTakeUps(affected)
						if c.used() {
							break
						}
						c.play(200 * time.Millisecond)
					}
					if !c.used() {
						t.Fatal("no stream begins at the new version")
					}
					for range 5 {
						c.play(400 * time.Millisecond)
						for _, name := range affected {
							n := c.nodes[name]
							if c.down[name] {
								delete(c.down, name)
								for _, m := range late[name] {
									m.EndpointsRevision, m.EndpointsAge = uint64(c.known[name]), nil
									if _, err := n.Receive(c.now, m); err != nil {
										t.Fatal(err)
									}
								}
							}
						}
						c.checkTakeUps(affected)
					}
				})
			}
		}
	}
}

// isRecorded reports whether the record has the given number of versions.
func (c *newcomer) isRecorded(versions int) bool {
	return c.record != nil && len(c.record.Services[0].Versions) == versions
}

// used reports whether a stream may begin at the new version at any instance. Placements are random, so
// that each asks often.
func (c *newcomer) used() bool {
	const tries = 400
	alive := len(c.names) - len(c.down)
	for _, name := range c.names {
		if c.down[name] {
			continue
		}
		for range max(4, tries/alive) {
			g := c.nodes[name].Grant(c.now, takeUpAsk)
			g.Drop(c.now)
			if g.Endpoint != nil && g.Endpoint.Version == "v2" {
				return true
			}
		}
	}
	return false
}

// checkTakeUps checks that no instance goes on with an unknown stream once streams may begin at the new
// version, and that those in step know that without a read of the store.
func (c *newcomer) checkTakeUps(affected []string) {
	c.t.Helper()
	if !c.used() {
		return
	}
	for _, name := range c.names {
		if c.down[name] {
			continue
		}
		v, how := c.nodes[name].TakeUp(c.now, "llm", "begun-elsewhere")
		inStep := !slices.Contains(affected, name)
		switch {
		case how == crgrant.TakeUpUnknown || how == crgrant.TakeUpOutdated && !inStep:
		case inStep:
			c.t.Fatalf("%s, which is in step, takes a stream up as %s, want %s", name, how, crgrant.TakeUpUnknown)
		default:
			c.t.Fatalf("%s, whose list has position %d of %d, lets a stream go on at version %d", name, c.known[name], c.release.at, v)
		}
	}
}

// TestInstanceThatIsBehindDoesNotContinueStreams guards against the same at an instance that has just
// gone on: it is in contact again, and others tell that there is a newer list, which it doesn't have.
func TestInstanceThatIsBehindDoesNotContinueStreams(t *testing.T) {
	for _, instances := range []int{3, 8, 30, 124} {
		t.Run(fmt.Sprint(instances, " instances"), func(t *testing.T) {
			t.Parallel()
			r := newRelease(t, instances)
			for _, name := range r.some() {
				r.down[name] = true
			}
			r.play(200 * time.Millisecond)
			r.write("", "v2", "v2")
			r.play(1800 * time.Millisecond)
			behind := map[string]bool{}
			r.behind = func(name, _ string) { behind[name] = true }
			for _, name := range r.some() {
				delete(r.down, name)
				r.unreachable[name] = true
			}
			for range 3 {
				r.play(200 * time.Millisecond)
				for _, name := range r.some() {
					if v, how := r.nodes[name].TakeUp(r.now, "llm", "begun-elsewhere"); behind[name] && how != crgrant.TakeUpOutdated {
						t.Fatalf("%s, which is behind, takes a stream up as %s at version %d", name, how, v)
					}
				}
			}
			if len(behind) == 0 {
				t.Error("no instance learns that it is behind")
			}
		})
	}
}

// TestTakeUpsOfOneVersionCostNothing checks that streams of a service that has had one version are
// taken up without a question and without a read of the store, also beside failures.
func TestTakeUpsOfOneVersionCostNothing(t *testing.T) {
	for _, instances := range []int{1, 3, 8, 30, 124, 780} {
		for _, c := range []struct {
			name  string
			begin func(r *release)
		}{
			{"nothing happens", func(*release) {}},
			{"messages are lost", func(r *release) { r.lossy = true }},
			{"some are lost", func(r *release) {
				for _, name := range r.some() {
					r.down[name] = true
				}
			}},
			{"the store is down", func(r *release) {
				for _, name := range r.names {
					r.unreachable[name] = true
				}
			}},
		} {
			t.Run(fmt.Sprint(instances, " instances, ", c.name), func(t *testing.T) {
				t.Parallel()
				if instances > 124 && !*largestFleet {
					t.Skip("takes minutes; run with -largest-fleet")
				}
				r := newRelease(t, instances)
				c.begin(r)
				for range 15 {
					r.play(400 * time.Millisecond)
					for _, name := range r.names {
						if r.down[name] || instances == 1 && r.unreachable[name] {
							continue
						}
						if v, how := r.nodes[name].TakeUp(r.now, "llm", "begun-elsewhere"); how != crgrant.TakeUpOnly || v != crversion.Of("") {
							t.Fatalf("%s takes a stream up as %s at version %d, want %s at %d", name, how, v, crgrant.TakeUpOnly, crversion.Of(""))
						}
					}
				}
			})
		}
	}
}
