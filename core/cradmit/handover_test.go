package cradmit

import (
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
)

// TestExportAfterLoss covers an owner that learns that it lost a shard before the new
// owner asks for the state. The requests in flight must still be handed over.
func TestExportAfterLoss(t *testing.T) {
	a := admitter(1, 8, 2, 1)
	grant := a.Admit(start, request(1)).Grant
	a.SetShards(start, nil)
	var inFlight []int
	for _, s := range a.Export(start, key).Endpoints {
		inFlight = append(inFlight, s.InFlight)
	}
	if diff := cmp.Diff([]int{1}, inFlight); diff != "" {
		t.Errorf("exported requests in flight differ (-want +got):\n%s", diff)
	}
	a.Done(start, grant.ID, Observation{Outcome: Success})
	if states := a.Export(start, key).Endpoints; len(states) != 0 {
		t.Errorf("exported after the last request ended: %v", states)
	}
}

// TestHandoverOfContestedShard covers a shard that changes its owner twice within the
// contested time. Like the first new owner, the second one doesn't know what the lost
// owner had admitted, so its ownership must stay contested too.
func TestHandoverOfContestedShard(t *testing.T) {
	until := start.Add(4 * time.Second)
	for _, c := range []struct {
		name          string
		contest, lost bool
		want          int
	}{
		{"not contested", false, false, 4},
		{"contested", true, false, 2},
		{"not contested, shard already lost", false, true, 3},
		{"contested, shard already lost", true, true, 2},
	} {
		before, after := admitter(1, 8, 4, 1), admitter(1, 8, 4, 1)
		if c.lost {
			// The first owner only knows what is in flight after it has lost the shard.
			before.Admit(start, request(9))
		}
		if c.contest {
			before.MarkContested(start, key, until)
		}
		if c.lost {
			before.SetShards(start, nil)
		}
		after.MarkContested(start, key, until)
		after.Import(start, key, before.Export(start, key))
		after.Observe(start, Report{Endpoint: "engine-00", At: start.Add(1), Epoch: 1, InFlight: 1, Cold: true})
		granted := 0
		for i := range 8 {
			if after.Admit(start, request(i)).Verdict == Granted {
				granted++
			}
		}
		if granted != c.want {
			t.Errorf("%s: a cold endpoint got %d requests, want %d", c.name, granted, c.want)
		}
	}
}

// TestColdEndpointAfterPartition covers an owner that took over a shard during a
// network partition. After the partition it reaches the endpoints before it learns of
// the instances that have served them in the meantime, so a cold endpoint must stay
// closed for the contested time.
func TestColdEndpointAfterPartition(t *testing.T) {
	const contested = 4 * time.Second
	a := admitter(1, 8, 2, 1)
	a.MarkContested(start, key, start.Add(contested))
	granted := func(now time.Time) bool { return a.Admit(now, request(1)).Verdict == Granted }

	now := start.Add(3 * contested)
	a.ReportFailed("engine-00")
	if granted(now) {
		t.Error("a cold endpoint that can't be reached got a request")
	}
	report := Report{Endpoint: "engine-00", At: now, Epoch: 1, Cold: true}
	a.Observe(now, report)
	if granted(now) {
		t.Error("a cold endpoint got a request as soon as it was reachable again")
	}
	now = now.Add(contested)
	report.At = now
	a.Observe(now, report)
	if !granted(now) {
		t.Error("a cold endpoint got no request after the contested time")
	}
}

// TestOldReportKeepsHandedOverRequests covers a report that is about as old as the
// handover of a shard. It doesn't include the requests that the earlier owner granted
// last, so these must still be counted.
func TestOldReportKeepsHandedOverRequests(t *testing.T) {
	before, a := admitter(1, 8, 2, 1), admitter(1, 8, 2, 1)
	before.Admit(start, request(9))
	a.Import(start, key, before.Export(start, key))
	foreign := func(after time.Duration) int {
		at := start.Add(after)
		a.Observe(at, Report{Endpoint: "engine-00", At: at, Epoch: 1, Cold: true})
		return a.EndpointLoads(at, nil)[0].OtherOwners
	}
	if diff := cmp.Diff([]int{1, 1, 0}, []int{foreign(-50 * time.Millisecond), foreign(50 * time.Millisecond), foreign(400 * time.Millisecond)}); diff != "" {
		t.Errorf("requests that were handed over, by the age of the reports, differ (-want +got):\n%s", diff)
	}
}
