package crhealth_test

import (
	"testing"
	"time"

	"crocusrack/core/crhealth"
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
