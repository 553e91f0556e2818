package cradmit

import (
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
)

// TestExportAfterLoss covers an owner that hears of its loss before the new
// owner asks it: the work in flight has to be handed over all the same.
func TestExportAfterLoss(t *testing.T) {
	a := admitter(1, 8, 2, 1)
	grant := a.Admit(start, request(1)).Grant
	a.SetShards(start, nil)
	var inFlight []int
	for _, s := range a.Export(start, key).Endpoints {
		inFlight = append(inFlight, s.InFlight)
	}
	if diff := cmp.Diff([]int{1}, inFlight); diff != "" {
		t.Errorf("exported work differs (-want +got):\n%s", diff)
	}
	a.Done(start, grant.ID, Observation{Outcome: Success})
	if states := a.Export(start, key).Endpoints; len(states) != 0 {
		t.Errorf("exported after the end of the work: %v", states)
	}
}

// TestContestIsHandedOver covers a shard that changes its owner twice within
// the contested time. The second owner knows no more than the first of what the
// lost one had let in, so that its ownership stays contested too.
func TestContestIsHandedOver(t *testing.T) {
	until := start.Add(4 * time.Second)
	for _, c := range []struct {
		name          string
		contest, lost bool
		want          int
	}{
		{"settled", false, false, 4},
		{"contested", true, false, 2},
		{"settled, and known to be lost", false, true, 3},
		{"contested, and known to be lost", true, true, 2},
	} {
		before, after := admitter(1, 8, 4, 1), admitter(1, 8, 4, 1)
		if c.lost {
			// What is in flight is all that the first owner still knows.
			before.Admit(start, request(9))
		}
		if c.contest {
			before.Contest(start, key, until)
		}
		if c.lost {
			before.SetShards(start, nil)
		}
		after.Contest(start, key, until)
		after.Import(start, key, before.Export(start, key))
		after.Observe(start, Report{Endpoint: "engine-00", At: start.Add(1), Epoch: 1, InFlight: 1, Cold: true})
		granted := 0
		for i := range 8 {
			if after.Admit(start, request(i)).Verdict == Granted {
				granted++
			}
		}
		if granted != c.want {
			t.Errorf("%s: %d requests were let in at a cold endpoint, want %d", c.name, granted, c.want)
		}
	}
}

// TestColdEndpointBehindACut covers an owner that has taken a shard over behind
// a cut. When the links are back it reaches the endpoints before it hears of the
// instances that have served them all the while.
func TestColdEndpointBehindACut(t *testing.T) {
	const contested = 4 * time.Second
	a := admitter(1, 8, 2, 1)
	a.Contest(start, key, start.Add(contested))
	granted := func(now time.Time) bool { return a.Admit(now, request(1)).Verdict == Granted }

	now := start.Add(3 * contested)
	a.Unreached("engine-00")
	if granted(now) {
		t.Error("work was let in at a cold endpoint that can't be reached")
	}
	report := Report{Endpoint: "engine-00", At: now, Epoch: 1, Cold: true}
	a.Observe(now, report)
	if granted(now) {
		t.Error("work was let in at a cold endpoint as soon as it was back in reach")
	}
	now = now.Add(contested)
	report.At = now
	a.Observe(now, report)
	if !granted(now) {
		t.Error("a cold endpoint got nothing when the contested time was over")
	}
}

// TestOldReportKeepsHandedOverWork covers a report that is as old as the
// hand-over of a shard: it doesn't show what the earlier owner let in last.
func TestOldReportKeepsHandedOverWork(t *testing.T) {
	before, a := admitter(1, 8, 2, 1), admitter(1, 8, 2, 1)
	before.Admit(start, request(9))
	a.Import(start, key, before.Export(start, key))
	foreign := func(after time.Duration) int {
		at := start.Add(after)
		a.Observe(at, Report{Endpoint: "engine-00", At: at, Epoch: 1, Cold: true})
		return a.Loads(at, nil)[0].Foreign
	}
	if diff := cmp.Diff([]int{1, 1, 0}, []int{foreign(-50 * time.Millisecond), foreign(50 * time.Millisecond), foreign(400 * time.Millisecond)}); diff != "" {
		t.Errorf("the work that was handed over, by the age of the reports, differs (-want +got):\n%s", diff)
	}
}
