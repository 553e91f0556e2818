package crhealth_test

import (
	"testing"
	"time"

	"crocusrack/core/crhealth"
	"crocusrack/core/crledger"
)

var start = time.Date(2026, 12, 4, 8, 0, 0, 0, time.UTC)

func TestEjection(t *testing.T) {
	repeat := func(o crhealth.Outcome, n int) []crhealth.Outcome {
		var list []crhealth.Outcome
		for range n {
			list = append(list, o)
		}
		return list
	}
	for _, c := range []struct {
		name     string
		outcomes []crhealth.Outcome
		usual    float64
		usable   bool
	}{
		{"good", repeat(crhealth.Good, 9), 0, true},
		{"unreachable once", repeat(crhealth.Unreachable, 1), 0, false},
		{"refused once", repeat(crhealth.Refused, 1), 0, false},
		{"broken once", repeat(crhealth.Broken, 1), 0, true},
		{"broken in a row", repeat(crhealth.Broken, 3), 0, false},
		{"fails most", repeat(crhealth.Failed, 9), 0, false},
		{"fails as all do", repeat(crhealth.Failed, 9), 0.8, true},
		{"unreachable, then good", []crhealth.Outcome{crhealth.Unreachable, crhealth.Good}, 0, true},
	} {
		var table crhealth.Table
		for _, o := range c.outcomes {
			table.Record(start, 1, o, c.usual)
		}
		if got := table.Usable(start, 1); got != c.usable {
			t.Errorf("%s: usable %t, want %t", c.name, got, c.usable)
		}
		if !table.Usable(start.Add(time.Minute), 1) {
			t.Errorf("%s: not usable after a minute", c.name)
		}
	}
}

func TestEjectionBackoffIsBounded(t *testing.T) {
	var table crhealth.Table
	now := start
	ejection := func() time.Duration {
		table.Record(now, 1, crhealth.Unreachable, 0)
		from := now
		for !table.Usable(now, 1) {
			now = now.Add(100 * time.Millisecond)
		}
		return now.Sub(from)
	}
	first, second := ejection(), ejection()
	if second <= first {
		t.Errorf("ejected for %s after an ejection of %s", second, first)
	}
	for range 9 {
		ejection()
	}
	if last := ejection(); last > 8*time.Second {
		t.Errorf("ejected for %s, want at most 8 s", last)
	}
}

func TestPeerReportExpires(t *testing.T) {
	var table crhealth.Table
	table.RecordPeerReport(start, 1)
	if table.Usable(start, 1) {
		t.Error("usable right after a peer reported it as unreachable")
	}
	if !table.Usable(start.Add(time.Second), 1) {
		t.Error("not usable a second after the last report of a peer")
	}
	if len(table.Ejected(start)) > 0 {
		t.Error("an endpoint that only a peer reported is returned by Ejected")
	}
}

func TestRefusalBackoffIsShort(t *testing.T) {
	var table crhealth.Table
	table.Record(start, 1, crhealth.Refused, 0)
	if !table.Usable(start.Add(500*time.Millisecond), 1) {
		t.Error("not usable half a second after a refusal, though it may have been full only briefly")
	}
}

// TestLeaving checks that an endpoint that has announced that it leaves stays
// recorded, even if it was missing from the list of endpoints and an older list
// contains it again.
func TestLeaving(t *testing.T) {
	var table crhealth.Table
	if !table.MarkLeaving(start, 1) || table.MarkLeaving(start.Add(time.Second), 1) {
		t.Error("Leave must report true for the first announcement only")
	}
	table.Retain(func(crledger.Key) bool { return false })
	if !table.IsLeaving(1) || table.IsLeaving(2) {
		t.Errorf("left: %t and %t, want only the first", table.IsLeaving(1), table.IsLeaving(2))
	}
	if got := table.Leaving(start.Add(-time.Second)); len(got) != 1 {
		t.Errorf("%d endpoints leave, want 1", len(got))
	}
	if got := table.Leaving(start); len(got) != 0 {
		t.Errorf("%d endpoints announced it after the given time, want none", len(got))
	}
}

func TestPause(t *testing.T) {
	for _, c := range []struct {
		name  string
		asked time.Duration
		after time.Duration
		want  time.Duration
	}{
		{"at once", 2 * time.Second, 0, 2 * time.Second},
		{"over", 2 * time.Second, 2 * time.Second, 0},
		{"in between", 2 * time.Second, time.Second, time.Second},
		{"without end", 1000 * time.Hour, 0, crhealth.MaxPause},
	} {
		var table crhealth.Table
		table.Pause(start, 1, c.asked)
		// Neither a good answer to an earlier request nor a shorter pause ends the
		// pause.
		table.Record(start, 1, crhealth.Good, 0)
		table.Pause(start, 1, time.Millisecond)
		now, left := start.Add(c.after), time.Duration(0)
		if until := table.PausedUntil(now, 1); !until.IsZero() {
			left = until.Sub(now)
		}
		if left != c.want {
			t.Errorf("%s: paused for another %s, want %s", c.name, left, c.want)
		}
	}
}
