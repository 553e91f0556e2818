package crcontext_test

import (
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"crocusrack/core/crcontext"
	"crocusrack/core/crledger"
)

var (
	start  = time.Date(2026, 12, 4, 8, 0, 0, 0, time.UTC)
	first  = crcontext.Chain("m", []crcontext.Part{{ID: "system", Tokens: 500}, {ID: "price-list", Tokens: 9000}, {ID: "question-1", Tokens: 100}})
	second = crcontext.Chain("m", []crcontext.Part{{ID: "system", Tokens: 500}, {ID: "price-list", Tokens: 9000}, {ID: "question-2", Tokens: 200}})
	other  = crcontext.Chain("m", []crcontext.Part{{ID: "system", Tokens: 500}, {ID: "catalogue", Tokens: 700}, {ID: "question-1", Tokens: 100}})
)

// anyEndpoint accepts all endpoints.
func anyEndpoint(crledger.Key) bool { return true }

// note records a use of all links at an endpoint, the last one as not shared.
func note(t *crcontext.Table, links []crcontext.Link, k crledger.Key, until time.Time) {
	for i, l := range links {
		t.Record(start, l, i < len(links)-1, k, until)
	}
}

func TestSubject(t *testing.T) {
	if crcontext.Subject(first) != crcontext.Subject(second) {
		t.Error("requests that share all but their own part have different subjects")
	}
	if crcontext.Subject(first) == crcontext.Subject(other) {
		t.Error("requests with different second parts have the same subject")
	}
	if crcontext.Subject(nil) != 0 {
		t.Error("an empty prompt has a subject")
	}
}

func TestHeld(t *testing.T) {
	var table crcontext.Table
	note(&table, first, 1, time.Time{})
	note(&table, other, 2, time.Time{})
	want := map[crledger.Key]int{1: 9500, 2: 500}
	if diff := cmp.Diff(want, table.Held(start, second)); diff != "" {
		t.Errorf("held (-want +got):\n%s", diff)
	}
	if got := table.Held(start.Add(time.Hour), second); len(got) > 0 {
		t.Errorf("%v is held after an hour without use", got)
	}
}

func TestReading(t *testing.T) {
	var table crcontext.Table
	until := start.Add(200 * time.Millisecond)
	note(&table, first, 1, until)
	if got := table.Held(start, second); len(got) > 0 {
		t.Errorf("%v is held during the prefill", got)
	}
	if tokens, at := table.PrefillInProgress(start, second, anyEndpoint); tokens != 9500 || !at.Equal(until) {
		t.Errorf("prefill of %d tokens until %s, want 9500 until %s", tokens, at, until)
	}
	table.Record(start, first[1], true, 1, time.Time{})
	if got := table.Held(start, second)[1]; got != 9500 {
		t.Errorf("%d tokens are held after the prefill, want 9500", got)
	}
	// A held chain stays held when another request records a prefill.
	table.Record(start, first[1], true, 1, until)
	if got := table.Held(start, second)[1]; got != 9500 {
		t.Errorf("%d tokens are held when another request records a prefill, want 9500", got)
	}
}

// TestForgetKeepsHeldChains checks that RemoveUnfinished removes only holders whose
// prefill hasn't ended.
func TestForgetKeepsHeldChains(t *testing.T) {
	var table crcontext.Table
	table.Record(start, first[1], true, 1, time.Time{})
	table.Record(start, first[1], true, 2, start.Add(time.Second))
	table.RemoveUnfinished(first[1], 1)
	table.RemoveUnfinished(first[1], 2)
	if diff := cmp.Diff(map[crledger.Key]int{1: 9500}, table.Held(start.Add(2*time.Second), second)); diff != "" {
		t.Errorf("held (-want +got):\n%s", diff)
	}
}

func TestRecentReturnsSharedChains(t *testing.T) {
	var table crcontext.Table
	note(&table, first, 1, time.Time{})
	table.Record(start.Add(time.Second), other[1], true, 2, time.Time{})
	var got []int
	for _, h := range table.Recent(start.Add(-time.Second), 2) {
		got = append(got, h.Tokens)
	}
	if len(got) != 2 || got[0] != 1200 {
		t.Errorf("recent chains have %v tokens, want two chains, the first with 1200", got)
	}
	for _, h := range table.Recent(start.Add(-time.Second), 9) {
		if h.Chain == first[2].Chain {
			t.Error("a chain that isn't shared is among the recent ones")
		}
	}
}

// TestTell checks that a holder is announced once in each state, and again after ten seconds.
func TestTell(t *testing.T) {
	var table crcontext.Table
	shared := first[1]
	tell := func(after time.Duration) bool { return table.MarkAnnounced(start.Add(after), shared.Chain, 1) }
	table.Record(start, shared, true, 1, start.Add(time.Second))
	got := []bool{tell(0), tell(0)}
	table.Record(start, shared, true, 1, time.Time{})
	got = append(got, tell(time.Second), tell(2*time.Second))
	table.Record(start, shared, true, 1, time.Time{})
	got = append(got, tell(3*time.Second), tell(20*time.Second))
	if diff := cmp.Diff([]bool{true, false, true, false, false, true}, got); diff != "" {
		t.Errorf("told (-want +got):\n%s", diff)
	}
}
