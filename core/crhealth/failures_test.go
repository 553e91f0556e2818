package crhealth_test

import (
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"crocusrack/core/crhealth"
	"crocusrack/core/crledger"
)

// TestFailureRate: what several instances saw of an endpoint is one rate, which fades
// once they are silent or the endpoint is good again.
func TestFailureRate(t *testing.T) {
	note := func(f *crhealth.Failures, now time.Time, good, failed int) {
		for range good {
			f.Note(now, 1, crhealth.Good)
		}
		for range failed {
			f.Note(now, 1, crhealth.Failed)
		}
	}
	var here, there crhealth.Failures
	note(&here, start, 2, 1)
	note(&there, start, 2, 4)
	here.Report(start, "there", there.Own(start))
	// Five of nine failed, and three count as good before.
	if got := here.Rate(start, 1); got < 0.4 || got > 0.43 {
		t.Errorf("rate %.2f, want 5 of 12", got)
	}
	if got := here.Rate(start, 2); got != 0 {
		t.Errorf("rate %.2f of an endpoint that nobody used", got)
	}
	sums := here.Sums(start, func(string) bool { return true })
	want := crhealth.Counts{Failed: map[crledger.Key]int{1: 50}, Ended: map[crledger.Key]int{1: 90}}
	if diff := cmp.Diff(want, sums); diff != "" {
		t.Errorf("sums (-want +got):\n%s", diff)
	}
	here.Lapse(start.Add(time.Second))
	if got := here.Rate(start, 1); got < 0.16 || got > 0.17 {
		t.Errorf("rate %.2f once the other is silent, want 1 of 6", got)
	}
	later := start.Add(10 * time.Second)
	note(&here, later, 5, 0)
	if got := here.Rate(later, 1); got > 0.02 {
		t.Errorf("rate %.2f after ten seconds and five good answers", got)
	}
	// A refusal says nothing of what runs there.
	var refused crhealth.Failures
	refused.Note(start, 1, crhealth.Refused)
	if c := refused.Own(start); len(c.Failed) > 0 {
		t.Errorf("a refusal is told as %v", c)
	}
}
