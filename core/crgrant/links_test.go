package crgrant_test

import (
	"fmt"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"

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
			l.run(3 * time.Second)
			for _, name := range l.relays() {
				relays[name] = true
			}
			l.fleet.pass = links.pass
			oldest, missing := time.Duration(0), 0
			began := l.now
			l.observe = func() {
				if l.now.Sub(began) < workExpiry+countsInterval(c.instances) {
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
