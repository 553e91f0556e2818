package crgrant_test

import (
	"fmt"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"

	"crocusrack/core/crcontext"
	"crocusrack/core/crgrant"
	"crocusrack/core/crliveness"
	"crocusrack/core/crroute"
	pb "crocusrack/schema/crrouter"
)

// slowLinks drops the messages that don't fit in the queue of their sender's link.
type slowLinks struct {
	*fleet
	// bytesPerSecond returns the rate of the link of an instance.
	bytesPerSecond func(name string) float64
	queued         map[string]float64
	since          map[string]time.Time
	dropped, sent  int
}

// linkQueue is the time after which a link drops what it couldn't send.
const linkQueue = 50 * time.Millisecond

func (l *slowLinks) pass(from, _ string, m *pb.Report) *pb.Report {
	rate := l.bytesPerSecond(from)
	waiting := max(0, l.queued[from]-rate*l.now.Sub(l.since[from]).Seconds()) + float64(proto.Size(m))
	l.sent++
	if waiting > rate*linkQueue.Seconds() {
		l.dropped++
		return nil
	}
	l.queued[from], l.since[from] = waiting, l.now
	return m
}

// TestCountsReachAllOverSlowLinks guards against counts of requests that don't reach some instances
// for seconds, since those that pass them on send more at once than their links take.
func TestCountsReachAllOverSlowLinks(t *testing.T) {
	const mbit = 1e6 / 8
	for _, c := range []struct {
		instances, engines int
		relay, others      float64
	}{
		{3, 6, 10, 10}, {8, 12, 10, 10}, {60, 60, 10, 10}, {124, 90, 200, 10}, {124, 90, 10, 10}, {300, 90, 200, 10},
	} {
		t.Run(fmt.Sprint(c.instances, " instances with ", c.relay, " and ", c.others, " Mbit per s"), func(t *testing.T) {
			l := newChatLoad(t, c.instances, c.engines, 1)
			links := &slowLinks{fleet: l.fleet, queued: map[string]float64{}, since: map[string]time.Time{}}
			relays := map[string]bool{}
			links.bytesPerSecond = func(name string) float64 {
				if relays[name] {
					return c.relay * mbit
				}
				return c.others * mbit
			}
			l.run(settling)
			for _, name := range l.relays() {
				relays[name] = true
			}
			l.fleet.pass = links.pass
			oldest, missing := time.Duration(0), 0
			settled := l.now.Add(settling + workExpiry)
			l.observe = func() {
				if l.now.Before(settled) {
					return
				}
				for _, name := range l.names {
					g := l.nodes[name].Grant(l.now, crgrant.Request{Service: crroute.Service{Name: "llm", Engine: true}})
					oldest = max(oldest, g.CountsAge)
					if g.CountsAge == 0 {
						missing++
					}
					g.Drop(l.now)
				}
			}
			l.play(6 * time.Second)
			t.Logf("the oldest counts are %s old, %d times there are none; %d of %d messages are dropped", oldest, missing, links.dropped, links.sent)
			if want := countsInterval(c.instances); oldest > want || missing > 0 {
				t.Errorf("counts of others are up to %s old, and %d times there are none, want %s at most", oldest, missing, want)
			}
		})
	}
}

// workExpiry is how long counts of others are used.
const workExpiry = 2 * time.Second

// countsInterval returns the time between two counts of a fleet without losses: a full digest, and
// the ticks at which it is passed on and its bulletin is sent.
func countsInterval(instances int) time.Duration {
	digests := min(max(crgrant.DigestInterval, crgrant.DigestInterval*time.Duration(instances)/128), 900*time.Millisecond)
	return digests + 2*crliveness.ReportInterval
}

// TestMessagesArePassedOnOnce checks that each bulletin reaches each instance of its failure domain
// once, whatever its size is and whichever releases pass it on, and that no instance of this release
// sends more copies at once than fit on a link of 10 Mbit per s.
func TestMessagesArePassedOnOnce(t *testing.T) {
	const maxBurst = 20 << 10
	for _, instances := range []int{78, 124, 300} {
		for _, earlier := range []bool{false, true} {
			for _, contexts := range []int{0, 400} {
				if instances > 124 && contexts == 0 {
					continue
				}
				t.Run(fmt.Sprint(instances, " instances, earlier releases ", earlier, ", ", contexts, " contexts"), func(t *testing.T) {
					f := newFleet(t, instances)
					f.run(settling)
					if earlier {
						f.earlier = map[string]bool{}
						for i, name := range f.names {
							f.earlier[name] = i%2 == 0
						}
					}
					for i := range contexts {
						n := f.nodes[f.names[i%len(f.names)]]
						n.Grant(f.now, crgrant.Request{
							Service: crroute.Service{Name: "llm", Engine: true}, SkipPrefillWait: true,
							Links: crcontext.Chain("m", []crcontext.Part{{ID: fmt.Sprint("shared-", i), Tokens: 9000}, {ID: "own", Tokens: 10}}),
						}).MarkRead(f.now)
					}
					reached := map[string]map[string]int{}
					copies, size := map[[2]string]int{}, map[[2]string]int{}
					f.pass = func(from, to string, m *pb.Report) *pb.Report {
						if m.Bulletin == nil {
							return m
						}
						key := f.now.String() + string(m.GetBulletin())
						if reached[key] == nil {
							reached[key] = map[string]int{}
						}
						reached[key][to]++
						copies[[2]string{key, from}]++
						size[[2]string{key, from}] = proto.Size(&pb.Report{From: m.GetFrom(), Bulletin: m.GetBulletin(), Forwarded: true})
						return m
					}
					f.run(time.Second)
					if len(reached) == 0 {
						t.Fatal("no bulletin is sent")
					}
					for _, to := range reached {
						for name, n := range to {
							if n != 1 {
								t.Fatalf("a bulletin reaches %s %d times, want once", name, n)
							}
						}
						if got, want := len(to), instances/3-1; got < want || got > want+1 {
							t.Fatalf("a bulletin reaches %d instances of its failure domain, want %d", got, want)
						}
					}
					for k, n := range copies {
						if !f.earlier[k[1]] && n > 2 && n*size[k] > maxBurst {
							t.Fatalf("%s sends %d copies of %d bytes at once, want %d bytes at most", k[1], n, size[k], maxBurst)
						}
					}
				})
			}
		}
	}
}
