package crgrant_test

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"

	"crocusrack/core/crgrant"
	"crocusrack/core/crliveness"
	"crocusrack/core/crplace"
	"crocusrack/core/crversion"
	pb "crocusrack/schema/crrouter"
)

// newcomer plays streams of a service in a release whose instances keep the record of versions and the
// versions of streams in the store, as crwatch does.
type newcomer struct {
	*release
	// record is the record of versions in the store, recordWrites the number of its changes, and
	// streams holds the checkpoints of streams.
	record       *pb.VersionHistory
	recordWrites int
	streams      map[string]*pb.KeptStreams
	// began holds the versions at which streams began, by their ids, and at the instances.
	began map[string]crversion.Version
	ids   []string
	at    map[string]string
	// runs counts the starts of instances.
	runs uint64
	// told counts the bytes of messages about streams.
	told int
	// older holds the instances of an earlier release, which begin streams at all versions.
	older map[string]bool
}

func newNewcomer(t *testing.T, instances int) *newcomer {
	c := &newcomer{
		release: newRelease(t, instances), streams: map[string]*pb.KeptStreams{},
		began: map[string]crversion.Version{}, at: map[string]string{}, older: map[string]bool{}, runs: uint64(instances),
	}
	pass := c.pass
	c.pass = func(from, to string, m *pb.Report) *pb.Report {
		if c.older[from] {
			m.RecordsVersions, m.RecordedServices, m.RecordedVersions = false, nil, nil
		}
		return pass(from, to, m)
	}
	// Instances start without disturbance long before.
	c.play(13 * time.Second)
	return c
}

// play runs the fleet, whose streams begin at the given rate for each instance and second.
func (c *newcomer) playStreams(d time.Duration, perInstance int) {
	c.t.Helper()
	const step = 200 * time.Millisecond
	for end := c.now.Add(d); c.now.Before(end); {
		c.play(step)
		for _, name := range c.names {
			if c.down[name] {
				continue
			}
			for range max(1, perInstance/5) {
				c.begin(name)
			}
		}
		for _, name := range c.names {
			if !c.down[name] {
				c.write(name)
			}
		}
	}
}

func (c *newcomer) play(d time.Duration) {
	c.t.Helper()
	for end := c.now.Add(d); c.now.Before(end); {
		c.release.play(200 * time.Millisecond)
		for _, name := range c.names {
			c.nodes[name].SetSelf(func(s *crliveness.Status) { s.StoreLost = c.unreachable[name] })
			if c.down[name] || c.unreachable[name] || !c.nodes[name].KeepsRecord(c.now) || c.older[name] {
				continue
			}
			n := c.nodes[name]
			if c.record != nil {
				n.AddVersions(c.now, c.record)
			}
			if m := n.VersionRecord(c.now); !proto.Equal(m, c.record) {
				c.record = m
				c.recordWrites++
			}
			n.AddVersions(c.now, c.record)
		}
	}
}

// begin begins a stream at an instance.
func (c *newcomer) begin(name string) {
	n := c.nodes[name]
	ask := takeUpAsk
	ask.Resumable = !c.older[name]
	g := n.Grant(c.now, ask)
	if g.Reason != crplace.Chosen {
		c.t.Fatalf("%s: a stream isn't placed: %s", name, g.Reason)
	}
	id := fmt.Sprint("attempt-", c.random.Uint64())
	c.began[id], c.at[id] = crversion.Of(g.Endpoint.Version), name
	c.ids = append(c.ids, id)
	g.BeginStream(c.now, id)
	g.Drop(c.now)
}

// write has an instance send its news of streams, and write its checkpoint if it is a keeper.
func (c *newcomer) write(name string) {
	n := c.nodes[name]
	for n.HasStreamNews(c.now) {
		for _, d := range n.StreamNews(c.now) {
			c.told += proto.Size(d.Report)
			c.deliver(name, c.name(d.To), d.Report)
		}
	}
	if m, group := n.KeptStreams(c.now); group != "" && !c.unreachable[name] {
		if kept := c.streams[group]; kept != nil {
			n.AddStreams(c.now, kept)
			m, group = n.KeptStreams(c.now)
		}
		if group != "" {
			c.streams[group] = m
		}
	}
}

// lose ends instances, which lose all that they know.
func (c *newcomer) lose(lost func(i int, name string) bool) []string {
	var list []string
	for i, name := range c.names {
		if lost(i, name) {
			c.down[name] = true
			list = append(list, name)
		}
	}
	return list
}

// restart starts instances anew that were lost. They read the store.
func (c *newcomer) restart(names []string) {
	for _, name := range names {
		i := 0
		for c.names[i] != name {
			i++
		}
		n := newNode(i)
		c.runs++
		n.Self, n.Run, n.elapsed = c.nodes[name].Self, c.runs, c.nodes[name].elapsed
		n.SetRouting(&pb.Routing{Version: 3})
		n.AwaitVersions()
		c.nodes[name], c.known[name] = n, 0
		c.apply(name, c.release.at)
		n.AddVersions(c.now, c.record)
		for _, m := range c.streams {
			n.AddStreams(c.now, m)
		}
		delete(c.down, name)
	}
	for _, name := range names {
		for _, other := range c.names[:min(3, len(c.names))] {
			c.nodes[name].Add(c.now, c.nodes[other].Self)
			c.nodes[other].Add(c.now, c.nodes[name].Self)
		}
	}
}

// find returns the version at which an instance goes on with a stream that a caller takes up, as
// crforward does, or zero if it refuses it.
func (c *newcomer) find(name, id string) crversion.Version {
	n := c.nodes[name]
	v, how := n.TakeUp(c.now, "llm", id)
	if how == crgrant.TakeUpOutdated && !c.unreachable[name] {
		var list []*pb.Endpoint
		for _, e := range c.lists[c.release.at] {
			list = append(list, &pb.Endpoint{Id: e.ID, Service: e.Service, Version: e.Version})
		}
		n.SeeVersions(c.now, n.elapsed, list, c.record)
		v, how = n.TakeUp(c.now, "llm", id)
	}
	if how == crgrant.TakeUpKnown || how == crgrant.TakeUpOnly {
		return v
	}
	for range 2 {
		for _, d := range n.StreamQueries(c.now, id) {
			c.deliver(name, c.name(d.To), d.Report)
		}
		if v, _ = n.StreamVersion(c.now, "llm", id); v != 0 {
			return v
		}
	}
	if !c.unreachable[name] {
		for _, m := range c.streams {
			n.AddStreams(c.now, m)
		}
	}
	v, _ = n.StreamVersion(c.now, "llm", id)
	return v
}

// takeUp has callers take up the streams of the given instances at others, and returns the share that
// goes on.
func (c *newcomer) takeUp(ids []string) float64 {
	c.t.Helper()
	found := 0
	for _, id := range ids {
		name := c.names[c.random.IntN(len(c.names))]
		for c.down[name] {
			name = c.names[c.random.IntN(len(c.names))]
		}
		switch v := c.find(name, id); v {
		case c.began[id]:
			found++
		case 0:
		default:
			c.t.Fatalf("%s goes on with a stream of %s at version %d, want %d", name, c.at[id], v, c.began[id])
		}
	}
	return float64(found) / float64(len(ids))
}

// of returns the streams that began at instances.
func (c *newcomer) of(names []string) []string {
	var list []string
	for _, id := range c.ids {
		for _, name := range names {
			if c.at[id] == name {
				list = append(list, id)
			}
		}
	}
	return list
}

// losses are the ways in which instances are lost beside a release.
var losses = []struct {
	name string
	lost func(c *newcomer) func(i int, name string) bool
}{
	{"one", func(*newcomer) func(int, string) bool { return func(i int, _ string) bool { return i == 1 } }},
	{"a half", func(*newcomer) func(int, string) bool { return func(i int, _ string) bool { return i%2 == 1 } }},
	{"all but one", func(*newcomer) func(int, string) bool { return func(i int, _ string) bool { return i > 0 } }},
	{"all", func(*newcomer) func(int, string) bool { return func(int, string) bool { return true } }},
	{"a failure domain", func(c *newcomer) func(int, string) bool {
		return func(_ int, name string) bool { return c.nodes[name].Self.FailureDomain == "noord-b" }
	}},
}

// TestStreamsFromBeforeNewVersionGoOn guards against streams that are refused after the loss of their
// instance since they had begun before a second version of their service was listed.
func TestStreamsFromBeforeNewVersionGoOn(t *testing.T) {
	for _, instances := range []int{3, 8, 30, 124, 780} {
		for _, l := range losses {
			for _, after := range []time.Duration{200 * time.Millisecond, time.Second, 4 * time.Second} {
				t.Run(fmt.Sprint(instances, " instances, ", l.name, " after ", after), func(t *testing.T) {
					t.Parallel()
					if instances > 124 && !*largestFleet {
						t.Skip("takes minutes; run with -largest-fleet")
					}
					c := newNewcomer(t, instances)
					c.playStreams(2*time.Second, 5)
					c.release.write("", "", "v2")
					c.playStreams(after, 5)
					lost := c.lose(l.lost(c))
					ids := c.of(lost)
					c.play(2 * time.Second)
					c.restart(lost)
					c.playStreams(3*time.Second, 5)
					if got := c.takeUp(ids); got < 0.95 {
						t.Errorf("%.2f of the streams go on, want 0.95", got)
					}
					if after != time.Second {
						return
					}
					// The new version is used once calm has returned.
					c.playStreams(18*time.Second, 5)
					if last := c.began[c.ids[len(c.ids)-1]]; len(c.record.Services[0].Versions) != 2 {
						t.Errorf("no stream begins at the new version, the last one began at %d", last)
					}
				})
			}
		}
	}
}

// TestStreamsKeepTheirVersionBesideFaults guards against streams that go on at another version, whatever
// happens beside a release: drawn losses, freezes, cuts in one direction and both, and ways to the store
// that are lost, while streams begin at all instances and are taken up at others.
func TestStreamsKeepTheirVersionBesideFaults(t *testing.T) {
	for _, instances := range []int{3, 8, 30} {
		for seed := range uint64(8) {
			t.Run(fmt.Sprint(instances, " instances, seed ", seed), func(t *testing.T) {
				t.Parallel()
				c := newNewcomer(t, instances)
				c.random = rand.New(rand.NewPCG(63, seed))
				c.playStreams(2*time.Second, 5)
				c.release.write("", "", "", "v2")
				found, all := 0.0, 0.0
				for range 40 {
					c.draw()
					c.playStreams(400*time.Millisecond, 5)
					if len(c.down) == len(c.names) {
						continue
					}
					ids := c.ids[max(0, len(c.ids)-100*instances):]
					for range 20 {
						found += c.takeUp([]string{ids[c.random.IntN(len(ids))]})
						all++
					}
				}
				t.Logf("%.2f of %.0f streams went on", found/all, all)
			})
		}
	}
}

// draw begins or ends a fault.
func (c *newcomer) draw() {
	domain := func(name string) bool { return c.nodes[name].Self.FailureDomain == "noord-b" }
	switch c.random.IntN(8) {
	case 0:
		c.lose(func(int, string) bool { return c.random.IntN(3) == 0 })
	case 1:
		var lost []string
		for name := range c.down {
			lost = append(lost, name)
		}
		slices.Sort(lost)
		c.restart(lost)
	case 2:
		c.cutOff(c.domain(), true)
	case 3:
		for _, name := range c.names {
			c.cut[[2]string{name, c.names[0]}] = domain(name)
		}
	case 4:
		for _, name := range c.some() {
			c.unreachable[name] = true
		}
	case 5:
		// Some go on after they have stood still.
		for _, name := range c.some() {
			delete(c.down, name)
		}
	default:
		clear(c.cut)
		clear(c.deaf)
		clear(c.unreachable)
	}
}

// TestNewVersionIsUsedWithoutMostInstances guards against a new version that gets no streams for as long as
// most instances are gone.
func TestNewVersionIsUsedWithoutMostInstances(t *testing.T) {
	for _, instances := range []int{2, 3, 8, 30} {
		t.Run(fmt.Sprint(instances, " instances"), func(t *testing.T) {
			t.Parallel()
			c := newNewcomer(t, instances)
			c.release.write("", "", "v2")
			c.lose(func(i int, _ string) bool { return i%3 != 0 })
			c.play(15 * time.Second)
			if !c.used() {
				t.Error("no stream begins at the new version after 15 s")
			}
		})
	}
}
