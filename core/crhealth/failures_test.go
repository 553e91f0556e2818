package crhealth_test

import (
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"crocusrack/core/crhealth"
	"crocusrack/core/crledger"
)

// TestFailureRate checks that the counts of several instances form one failure rate,
// which falls once the reports lapse or the endpoint answers well again.
func TestFailureRate(t *testing.T) {
	note := func(f *crhealth.Failures, now time.Time, good, failed int) {
		for range good {
			f.Record(now, 1, crhealth.Good)
		}
		for range failed {
			f.Record(now, 1, crhealth.Failed)
		}
	}
	var here, there crhealth.Failures
	note(&here, start, 2, 1)
	note(&there, start, 2, 4)
	here.SetPeerCounts(start, "there", there.OwnCounts(start))
	// Five of nine failed, and three good outcomes are assumed in addition.
	if got := here.FailureRate(start, 1); got < 0.4 || got > 0.43 {
		t.Errorf("rate %.2f, want 5 of 12", got)
	}
	if got := here.FailureRate(start, 2); got != 0 {
		t.Errorf("rate %.2f of an endpoint that nobody used", got)
	}
	sums := here.Sums(start, func(string) bool { return true })
	want := crhealth.Counts{Failed: map[crledger.Key]int{1: 50}, Ended: map[crledger.Key]int{1: 90}}
	if diff := cmp.Diff(want, sums); diff != "" {
		t.Errorf("sums (-want +got):\n%s", diff)
	}
	here.DropReportsBefore(start.Add(time.Second))
	if got := here.FailureRate(start, 1); got < 0.16 || got > 0.17 {
		t.Errorf("rate %.2f once the other instance's report has lapsed, want 1 of 6", got)
	}
	later := start.Add(10 * time.Second)
	note(&here, later, 5, 0)
	if got := here.FailureRate(later, 1); got > 0.02 {
		t.Errorf("rate %.2f after ten seconds and five good answers", got)
	}
	// A refusal doesn't count as a failure.
	var refused crhealth.Failures
	refused.Record(start, 1, crhealth.Refused)
	if c := refused.OwnCounts(start); len(c.Failed) > 0 {
		t.Errorf("a refusal is reported as %v", c)
	}
}
