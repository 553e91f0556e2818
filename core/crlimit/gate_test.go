package crlimit_test

import (
	"fmt"
	"net/netip"
	"testing"
	"time"

	"crocusrack/core/crledger"
	"crocusrack/core/crlimit"
	"crocusrack/core/crliveness"
)

// gates returns the gates of a fleet whose instances know each other.
func gates(now time.Time, size int) []*crlimit.Gate {
	instance := func(i int) crliveness.Instance {
		return crliveness.Instance{
			Name: fmt.Sprint("instance-", i), FailureDomain: "a",
			Peer: netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, byte(i >> 8), byte(i)}), 81),
		}
	}
	var list []*crlimit.Gate
	for i := range size {
		r := &crliveness.Roster{Self: instance(i)}
		for k := range size {
			if k != i {
				r.Report(now, instance(k), crliveness.Status{Run: 1, Sequence: 1, Ready: true})
			}
		}
		list = append(list, &crlimit.Gate{Roster: r})
	}
	return list
}

// TestGate checks that instances that send whenever they may keep within the limit, and that
// one sends at once when its time has come.
func TestGate(t *testing.T) {
	start := time.Date(2026, 12, 5, 8, 0, 0, 0, time.UTC)
	for _, c := range []struct {
		size      int
		perSecond float64
	}{{1, 0.1}, {1, 5}, {3, 0.7}, {8, 2.9}, {8, 0}, {60, 0.5}, {60, 40}} {
		fleet, now := gates(start, c.size), start
		const step = 10 * time.Millisecond
		// Without new reports the instances would take each other for lost.
		const length = 800 * time.Millisecond
		sent, waiting := 0, 0
		for ; now.Before(start.Add(length)); now = now.Add(step) {
			for _, g := range fleet {
				if wait := g.Wait(now, 7, c.perSecond); wait == 0 {
					g.Take(now, 7)
					sent++
					if wait = g.Wait(now, 7, c.perSecond); wait <= 0 {
						t.Fatalf("%d instances, %v per second: an instance may send twice at once", c.size, c.perSecond)
					}
				}
			}
		}
		for _, g := range fleet {
			if wait := g.Wait(now, 7, c.perSecond); wait != crlimit.Never {
				waiting++
				later := now.Add(wait)
				if got := g.Wait(later, 7, c.perSecond); got > time.Microsecond && later.Sub(start) < length {
					t.Errorf("%d instances, %v per second: %v are left after the wait", c.size, c.perSecond, got)
				}
			}
		}
		most := c.perSecond*length.Seconds() + float64(waiting) + 1
		if float64(sent) > most || waiting == 0 || waiting > c.size {
			t.Errorf("%d instances, %v per second: %d requests in %v by %d senders, want at most %.1f", c.size, c.perSecond, sent, length, waiting, most)
		}
	}
}

func TestForget(t *testing.T) {
	now := time.Date(2026, 12, 5, 8, 0, 0, 0, time.UTC)
	g := gates(now, 1)[0]
	g.Take(now, 7)
	g.Forget(func(k crledger.Key) bool { return k != 7 })
	if first, fresh := g.Wait(now, 7, 1), gates(now, 1)[0].Wait(now, 7, 1); first != fresh {
		t.Errorf("a forgotten endpoint has to wait %v, a new one %v", first, fresh)
	}
}
