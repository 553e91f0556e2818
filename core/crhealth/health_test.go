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
			table.Note(start, 1, o, c.usual)
		}
		if got := table.Usable(start, 1); got != c.usable {
			t.Errorf("%s: usable %t, want %t", c.name, got, c.usable)
		}
		if !table.Usable(start.Add(time.Minute), 1) {
			t.Errorf("%s: not usable after a minute", c.name)
		}
	}
}

func TestEjectionGrowsAndIsBounded(t *testing.T) {
	var table crhealth.Table
	now := start
	out := func() time.Duration {
		table.Note(now, 1, crhealth.Unreachable, 0)
		from := now
		for !table.Usable(now, 1) {
			now = now.Add(100 * time.Millisecond)
		}
		return now.Sub(from)
	}
	first, second := out(), out()
	if second <= first {
		t.Errorf("out of use for %s after %s", second, first)
	}
	for range 9 {
		out()
	}
	if last := out(); last > 8*time.Second {
		t.Errorf("out of use for %s, want at most 8 s", last)
	}
}

func TestHeardCountsWhileItIsRepeated(t *testing.T) {
	var table crhealth.Table
	table.Heard(start, 1)
	if table.Usable(start, 1) {
		t.Error("usable right after a peer couldn't reach it")
	}
	if !table.Usable(start.Add(time.Second), 1) {
		t.Error("not usable a second after the last word")
	}
	if len(table.Ejected(start)) > 0 {
		t.Error("a peer's word is passed on as an own one")
	}
}

func TestRefusalIsShort(t *testing.T) {
	var table crhealth.Table
	table.Note(start, 1, crhealth.Refused, 0)
	if !table.Usable(start.Add(500*time.Millisecond), 1) {
		t.Error("not usable half a second after a refusal: it may have been full for a moment")
	}
}

// TestLeaving: an endpoint that said that it leaves stays so, also when it was
// missing from the list of endpoints and an older list names it again.
func TestLeaving(t *testing.T) {
	var table crhealth.Table
	if !table.Leave(start, 1) || table.Leave(start.Add(time.Second), 1) {
		t.Error("only the first word is new")
	}
	table.Forget(func(crledger.Key) bool { return false })
	if !table.Left(1) || table.Left(2) {
		t.Errorf("left: %t and %t, want only the first", table.Left(1), table.Left(2))
	}
	if got := table.Leaving(start.Add(-time.Second)); len(got) != 1 {
		t.Errorf("%d endpoints leave, want 1", len(got))
	}
	if got := table.Leaving(start); len(got) != 0 {
		t.Errorf("%d endpoints said so since, want none", len(got))
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
		// A good answer to an earlier request doesn't end the pause, nor does a
		// shorter one.
		table.Note(start, 1, crhealth.Good, 0)
		table.Pause(start, 1, time.Millisecond)
		now, left := start.Add(c.after), time.Duration(0)
		if until := table.Paused(now, 1); !until.IsZero() {
			left = until.Sub(now)
		}
		if left != c.want {
			t.Errorf("%s: paused for another %s, want %s", c.name, left, c.want)
		}
	}
}
