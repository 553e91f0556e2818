package crgrant_test

import (
	"fmt"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"

	"crocusrack/core/crgrant"
	pb "crocusrack/schema/crrouter"
)

// TestEarlierReleasesBesideNewVersion guards against streams that go on at another version since instances
// of an earlier release begin theirs at versions that aren't recorded.
func TestEarlierReleasesBesideNewVersion(t *testing.T) {
	for _, instances := range []int{3, 8, 30, 124} {
		t.Run(fmt.Sprint(instances, " instances"), func(t *testing.T) {
			t.Parallel()
			c := newNewcomer(t, instances)
			for i, name := range c.names {
				c.older[name] = i%3 == 1
			}
			c.playStreams(time.Second, 5)
			c.release.write("", "", "v2")
			c.lossy = true
			c.playStreams(3*time.Second, 5)
			for _, name := range c.names {
				if _, how := c.nodes[name].TakeUp(c.now, "llm", "unknown"); !c.older[name] && how != crgrant.TakeUpUnknown {
					t.Errorf("%s takes up a stream as %s, want %s", name, how, crgrant.TakeUpUnknown)
				}
			}
			all := c.ids
			c.ids = nil
			for _, id := range all {
				if !c.older[c.at[id]] {
					c.ids = append(c.ids, id)
				}
			}
			if got := c.takeUp(c.ids); got < 0.8 {
				t.Errorf("%.2f of the streams that began at this release go on, want 0.8", got)
			}
		})
	}
}

// TestStreamsUnderWayAreToldInParts checks that an instance with many streams under way doesn't send them
// at once when a second version is listed, and that it sends all.
func TestStreamsUnderWayAreToldInParts(t *testing.T) {
	c := newNewcomer(t, 8)
	for range 1300 {
		c.begin(c.names[0])
	}
	n, told := c.nodes[c.names[0]], map[uint64]bool{}
	if list := n.StreamNews(c.now); len(list) > 0 || n.HasStreamNews(c.now) {
		t.Fatalf("%d messages about streams of a service with one version", len(list))
	}
	c.release.write("", "", "v2")
	c.play(time.Second)
	parts := 0
	for ; n.HasStreamNews(c.now); parts++ {
		bytes := 0
		for _, d := range n.StreamNews(c.now) {
			bytes += proto.Size(d.Report)
			for _, id := range d.Report.Streams {
				told[id] = true
			}
		}
		if bytes > 32<<10 {
			t.Errorf("%d bytes are sent at once", bytes)
		}
	}
	if len(told) != 1300 || parts != 3 {
		t.Errorf("%d streams are told in %d parts, want 1300 in 3", len(told), parts)
	}
}

// TestCostOfNewVersion checks what it costs when a second version is listed: writes of the record, bytes
// for each stream under way, and bytes by which reports grow.
func TestCostOfNewVersion(t *testing.T) {
	for _, instances := range []int{3, 8, 30, 124, 780} {
		t.Run(fmt.Sprint(instances, " instances"), func(t *testing.T) {
			t.Parallel()
			if instances > 124 && !*largestFleet {
				t.Skip("takes minutes; run with -largest-fleet")
			}
			c := newNewcomer(t, instances)
			c.playStreams(10*time.Second, 5)
			if c.recordWrites != 1 || c.told > 0 {
				t.Errorf("one version costs %d writes and %d bytes for streams, want 1 and none", c.recordWrites, c.told)
			}
			pass, recorded := c.pass, 0
			c.pass = func(from, to string, m *pb.Report) *pb.Report {
				recorded += proto.Size(&pb.Report{RecordedServices: m.RecordedServices, RecordedVersions: m.RecordedVersions})
				return pass(from, to, m)
			}
			c.release.write("", "", "v2")
			c.playStreams(time.Second, 5)
			perStream := c.told / len(c.ids)
			c.play(10 * time.Second)
			recorded = 0
			c.play(10 * time.Second)
			perSecond := recorded / instances / 10
			t.Logf("%d writes of the record, %d bytes for each stream, %d bytes/s and instance in reports", c.recordWrites, perStream, perSecond)
			if c.recordWrites != 2 || perStream > 48 || perSecond > 1200 {
				t.Error("want 2 writes, 48 bytes for each stream and 1200 bytes/s in reports at most")
			}
		})
	}
}
