package crversion_test

import (
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"crocusrack/core/crversion"
)

var start = time.Date(2026, 12, 7, 0, 0, 0, 0, time.UTC)

// TestMixed checks that a service counts as mixed from the record of a second version until no stream
// that the first one began can be taken up, and that the record names the versions meanwhile.
func TestMixed(t *testing.T) {
	one, two := crversion.Of("v1"), crversion.Of("v2")
	both := []crversion.Version{min(one, two), max(one, two)}
	var table crversion.Table
	for _, c := range []struct {
		after    time.Duration
		listed   []crversion.Version
		record   bool
		want     bool
		recorded []crversion.Version
	}{
		{0, []crversion.Version{one}, false, false, []crversion.Version{one}},
		{time.Minute, []crversion.Version{one, two}, false, false, []crversion.Version{one}},
		{time.Minute, []crversion.Version{one, two}, true, true, both},
		{2 * time.Minute, []crversion.Version{two}, false, true, both},
		{2*time.Minute + crversion.Lifetime, []crversion.Version{two}, false, true, both},
		{2*time.Minute + crversion.Lifetime + time.Second, []crversion.Version{two}, false, false, []crversion.Version{two}},
		{10 * time.Minute, []crversion.Version{one}, false, false, []crversion.Version{two}},
		{10 * time.Minute, []crversion.Version{one}, true, true, both},
	} {
		now := start.Add(c.after)
		table.SetListed(now, map[string][]crversion.Version{"llm": c.listed})
		if c.record {
			table.AddHistory(now, []crversion.History{{Service: "llm", Versions: c.listed}}, time.Second)
		}
		if got := table.Mixed(now, "llm"); got != c.want {
			t.Errorf("after %s mixed is %t, want %t", c.after, got, c.want)
		}
		if diff := cmp.Diff([]crversion.History{{Service: "llm", Versions: c.recorded}}, table.History(now)); diff != "" {
			t.Errorf("after %s (-want +got):\n%s", c.after, diff)
		}
	}
}

// TestNoStreamBeginsUnrecorded guards against streams that begin at a version while others still take
// unknown streams for ones of the version before.
func TestNoStreamBeginsUnrecorded(t *testing.T) {
	one, two := crversion.Of("v1"), crversion.Of("v2")
	listed := map[string][]crversion.Version{"llm": {one, two}}
	var table crversion.Table
	table.SetListed(start, map[string][]crversion.Version{"llm": {one}})
	table.SetListed(start, listed)
	mayBegin := func(after time.Duration, wantOne, wantTwo bool) {
		t.Helper()
		now := start.Add(after)
		if got := table.MayBegin(now, "llm", one); got != wantOne {
			t.Errorf("after %s streams may begin at v1: %t, want %t", after, got, wantOne)
		}
		if got := table.MayBegin(now, "llm", two); got != wantTwo {
			t.Errorf("after %s streams may begin at v2: %t, want %t", after, got, wantTwo)
		}
	}
	mayBegin(time.Hour, true, false)
	if got := table.Only(start, "llm"); got != one {
		t.Errorf("unknown streams began at %d, want %d", got, one)
	}
	table.AddRecorded(start, crversion.Pair{Service: crversion.ServiceHash("llm"), Version: two}, time.Second)
	if !table.Mixed(start, "llm") {
		t.Error("an unknown stream goes on although another instance has recorded a second version")
	}
	mayBegin(999*time.Millisecond, true, false)
	mayBegin(time.Second, true, true)

	// Without an endpoint of a recorded version, streams begin elsewhere at once.
	table = crversion.Table{}
	table.SetListed(start, map[string][]crversion.Version{"llm": {one}})
	table.SetListed(start, map[string][]crversion.Version{"llm": {two}})
	mayBegin(0, true, true)
	table.BeginOwn(start, "llm", 1, two, true)
	if !table.Mixed(start, "llm") {
		t.Error("a stream has begun at a second version, and the service doesn't count as mixed")
	}
}

// TestRecordOutlivesTable checks that a table which starts anew knows at which versions streams began,
// whatever is listed now.
func TestRecordOutlivesTable(t *testing.T) {
	one, two := crversion.Of("v1"), crversion.Of("v2")
	for _, c := range []struct {
		name         string
		recorded     []crversion.Version
		listed       []crversion.Version
		begun, mixed bool
	}{
		{"a recorded version has left", []crversion.Version{one, two}, []crversion.Version{two}, false, true},
		{"a version wasn't recorded", []crversion.Version{one}, []crversion.Version{one, two}, false, false},
		{"a stream has begun before the record was known", []crversion.Version{one}, []crversion.Version{one, two}, true, true},
	} {
		t.Run(c.name, func(t *testing.T) {
			var table crversion.Table
			table.AwaitHistory()
			table.SetListed(start, map[string][]crversion.Version{"llm": c.listed, "app": {one}})
			if !table.Mixed(start, "llm") || !table.Mixed(start, "app") {
				t.Error("services count as unmixed before the record is known")
			}
			if c.begun {
				table.BeginOwn(start, "llm", 1, two, true)
			}
			table.AddHistory(start, []crversion.History{{Service: "llm", Versions: c.recorded}}, time.Second)
			if table.Mixed(start, "llm") != c.mixed || table.Mixed(start, "app") {
				t.Errorf("llm is mixed: %t, app: %t; want %t and false", table.Mixed(start, "llm"), table.Mixed(start, "app"), c.mixed)
			}
		})
	}
}

// TestNewcomerIsDue checks when streams begin at a version that is listed beside others.
func TestNewcomerIsDue(t *testing.T) {
	for _, c := range []struct {
		name     string
		newcomer crversion.Newcomer
		want     bool
	}{
		{"just listed", crversion.Newcomer{LossTime: 400 * time.Millisecond, Listed: 900 * time.Millisecond, Undisturbed: time.Hour, Slots: 4, RecordedSlots: 3}, false},
		{"all have told of their streams", crversion.Newcomer{LossTime: 400 * time.Millisecond, Listed: time.Second, Undisturbed: time.Hour, Slots: 4, RecordedSlots: 3}, true},
		{"an instance may be lost", crversion.Newcomer{LossTime: time.Second, Listed: 1500 * time.Millisecond, Undisturbed: time.Hour, Slots: 4, RecordedSlots: 3}, false},
		{"an instance was lost", crversion.Newcomer{LossTime: 400 * time.Millisecond, Listed: 7 * time.Second, Undisturbed: 7 * time.Second, Slots: 4, RecordedSlots: 3}, false},
		{"an instance was lost, and slots are needed", crversion.Newcomer{LossTime: 400 * time.Millisecond, Listed: 7 * time.Second, Undisturbed: 7 * time.Second, Slots: 4, RecordedSlots: 1}, true},
		{"instances are lost again and again", crversion.Newcomer{LossTime: 400 * time.Millisecond, Listed: 12 * time.Second, Slots: 4, RecordedSlots: 3}, true},
	} {
		if got := c.newcomer.Due(); got != c.want {
			t.Errorf("%s: due is %t, want %t", c.name, got, c.want)
		}
	}
}

// TestKeptStreams checks that checkpoints hold recent streams, and that all are forgotten in time.
func TestKeptStreams(t *testing.T) {
	var table crversion.Table
	table.Begin(start, 1, 7)
	table.Begin(start.Add(15*time.Second), 2, 9)
	if diff := cmp.Diff([]crversion.Stream{{ID: 2, Version: 9}}, table.Kept(start.Add(30*time.Second))); diff != "" {
		t.Errorf("(-want +got):\n%s", diff)
	}
	if v, ok := table.Began(start.Add(30*time.Second), 1); v != 7 || !ok {
		t.Errorf("stream 1 began at %d (%t), want 7", v, ok)
	}
	if v, ok := table.Began(start.Add(crversion.Lifetime+time.Second), 1); ok {
		t.Errorf("stream 1 began at %d, want that it's forgotten", v)
	}
	for i := range uint64(40_000) {
		table.Begin(start.Add(time.Minute), i+10, 7)
	}
	if got := len(table.Kept(start.Add(time.Minute))); got != 1<<13 {
		t.Errorf("%d streams are kept, want the newest %d", got, 1<<13)
	}
}
