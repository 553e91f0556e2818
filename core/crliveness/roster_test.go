package crliveness_test

import (
	"fmt"
	"net/netip"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"crocusrack/core/crliveness"
)

var start = time.Date(2026, 12, 4, 8, 0, 0, 0, time.UTC)

func instance(i int) crliveness.Instance {
	domains := []string{"noord-a", "noord-b", "noord-c"}
	a := netip.AddrFrom4([4]byte{10, 0, 0, byte(i)})
	return crliveness.Instance{
		Name: fmt.Sprint("instance-", i), FailureDomain: domains[i%3],
		Front: netip.AddrPortFrom(a, 80), Peer: netip.AddrPortFrom(a, 81),
	}
}

// fleet returns the roster of instance 0, which has just heard from n others.
func fleet(n int) *crliveness.Roster {
	r := &crliveness.Roster{Self: instance(0), Status: crliveness.Status{Ready: true}}
	for i := 1; i <= n; i++ {
		r.Report(start, instance(i), crliveness.Status{Run: 1, Sequence: 1, Ready: true})
	}
	return r
}

func fronts(r *crliveness.Roster, now time.Time, domain string) []string {
	var list []string
	for _, a := range r.Fronts(now, domain) {
		list = append(list, a.Addr().String())
	}
	return list
}

func TestFronts(t *testing.T) {
	r := fleet(6)
	r.Report(start, instance(3), crliveness.Status{Run: 1, Sequence: 2, Ready: true, Leaving: true})
	r.Add(start, instance(9))
	if diff := cmp.Diff([]string{"10.0.0.0", "10.0.0.6"}, fronts(r, start, "noord-a")); diff != "" {
		t.Errorf("ready instances of noord-a (-want +got):\n%s", diff)
	}
	// SilentAfter has passed since the reports of all others.
	late := start.Add(crliveness.SilentAfter)
	if diff := cmp.Diff([]string{"10.0.0.0"}, fronts(r, late, "noord-b")); diff != "" {
		t.Errorf("after silence (-want +got):\n%s", diff)
	}
	r.Status.Ready = false
	if got := fronts(r, late, "noord-a"); len(got) > 0 {
		t.Errorf("an instance that isn't ready returns %v", got)
	}
}

func TestOlderReportIsDropped(t *testing.T) {
	r := fleet(1)
	if r.Report(start, instance(1), crliveness.Status{Run: 1, Sequence: 1}) {
		t.Error("a report was taken twice")
	}
	if !r.Report(start, instance(1), crliveness.Status{Run: 2, Sequence: 1}) {
		t.Error("the first report of a new run was dropped")
	}
}

func TestWatchersAreInDifferentDomains(t *testing.T) {
	var rosters []*crliveness.Roster
	for self := range 7 {
		r := &crliveness.Roster{Self: instance(self)}
		for i := range 7 {
			r.Report(start, instance(i), crliveness.Status{Run: 1, Sequence: 1, StoreLost: i == 2})
		}
		r.Status.StoreLost = self == 2
		rosters = append(rosters, r)
	}
	domains := map[string]int{}
	leaders := 0
	for i, r := range rosters {
		if r.Watches(start) {
			domains[instance(i).FailureDomain]++
			if i == 2 {
				t.Error("an instance that can't reach the store watches it")
			}
		}
		if r.Leads(start) {
			leaders++
		}
	}
	if len(domains) != 2 || leaders != 1 {
		t.Errorf("watchers by domain %v and %d leaders, want two domains with one each and one leader", domains, leaders)
	}
}

func TestChosenAgree(t *testing.T) {
	chosen := 0
	for self := range 7 {
		r := &crliveness.Roster{Self: instance(self)}
		for i := range 7 {
			r.Report(start, instance(i), crliveness.Status{Run: 1, Sequence: 1})
		}
		if r.Chosen(start, 42, 3) {
			chosen++
		}
	}
	if chosen != 3 {
		t.Errorf("%d instances take themselves for chosen, want 3", chosen)
	}
}

func TestSilentInstanceIsForgotten(t *testing.T) {
	r := fleet(2)
	if got := len(r.Targets(start.Add(20 * time.Second))); got != 2 {
		t.Errorf("%d targets after 20 s, want 2: a frozen instance wakes", got)
	}
	if got := len(r.Targets(start.Add(time.Minute))); got != 0 {
		t.Errorf("%d targets after a minute, want none", got)
	}
}

// TestTellsOn checks that a change that reaches a large failure domain is forwarded
// there once, rather than by each instance to each other.
func TestTellsOn(t *testing.T) {
	for _, c := range []struct {
		name string
		size int
		from int
		want bool
	}{
		{"small fleet, own domain", 7, 3, true},
		{"small fleet, other domain", 7, 1, true},
		{"large fleet, own domain", 58, 3, false},
		{"large fleet, other domain", 58, 1, true},
		{"large fleet, unknown instance", 58, 99, true},
	} {
		r := fleet(c.size)
		if got := r.MustForward(start, instance(c.from).Name); got != c.want {
			t.Errorf("%s: %t, want %t", c.name, got, c.want)
		}
	}
}

// TestRelayHasMostProcessorTime checks that the duties that grow with the fleet go to
// the instances with the most processor time.
func TestRelayHasMostProcessorTime(t *testing.T) {
	r := &crliveness.Roster{Self: instance(0)}
	for i := 1; i <= 99; i++ {
		n := instance(i)
		n.Millicores = 192
		if i == 60 || i == 70 {
			n.Millicores = 800
		}
		r.Report(start, n, crliveness.Status{Run: 1, Sequence: 1, Ready: true})
	}
	if !r.IsRelay(start, instance(60).Name) {
		t.Error("the relay of noord-a isn't the instance with the most processor time")
	}
	targets := r.Targets(start)
	if len(targets) != 1 || targets[0].Name != instance(60).Name {
		t.Errorf("reports go to %v", targets)
	}
}

// TestUnheardInstanceReportsToItsDomainOnly has an instance of a large fleet hear from nobody
// for three seconds. It must not report to the whole fleet, since all of it would then fetch
// from this one instance what that reads from the store itself.
func TestUnheardInstanceReportsToItsDomainOnly(t *testing.T) {
	for _, c := range []struct {
		others int
		silent time.Duration
		want   bool
	}{
		{99, 3 * time.Second, true},
		{99, 29 * time.Second, true},
		// In a small fleet all instances report to each other.
		{12, 3 * time.Second, false},
	} {
		r := fleet(c.others)
		now := start.Add(c.silent)
		if n := r.Size(now); n != 1 {
			t.Fatalf("%d of %d instances are alive after %s, want 1", n, c.others+1, c.silent)
		}
		only := true
		for _, i := range r.DueAtOnce(now) {
			only = only && i.FailureDomain == r.Self.FailureDomain
		}
		if only != c.want {
			t.Errorf("%d others, silent for %s: reports to its domain only: %t, want %t", c.others, c.silent, only, c.want)
		}
	}
}
