package crquarantine_test

import (
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"crocusrack/core/crquarantine"
)

// service is the service of all prompts.
var service = crquarantine.ServicePart("llm")

var start = time.Date(2026, 12, 4, 8, 0, 0, 0, time.UTC)

func at(ms int) time.Time { return start.Add(time.Duration(ms) * time.Millisecond) }

func parts(ids ...string) []crquarantine.Part {
	var list []crquarantine.Part
	for _, id := range ids {
		list = append(list, crquarantine.PartOf("llm", id))
	}
	return list
}

func crash(ms int, request, endpoint uint64, ids ...string) crquarantine.Crash {
	return crquarantine.Crash{At: at(ms), Request: request, Endpoint: endpoint, Service: service, Parts: parts(ids...)}
}

// TestQuarantine checks which prompts are quarantined after a sequence of crashes and
// answers.
func TestQuarantine(t *testing.T) {
	type answer struct {
		ms  int
		ids []string
	}
	for _, c := range []struct {
		name    string
		crashes []crquarantine.Crash
		answers []answer
		blocked []string
		allowed []string
		// outage is true if no answer of the service begins.
		outage bool
	}{
		{
			"three crashes of two requests",
			[]crquarantine.Crash{crash(0, 1, 1, "a", "p"), crash(300, 1, 2, "a", "p"), crash(900, 2, 3, "b", "p")}, nil,
			[]string{"p"}, []string{"a", "b"}, false,
		},
		{
			"three crashes of one request",
			[]crquarantine.Crash{crash(0, 1, 1, "p"), crash(300, 1, 2, "p"), crash(900, 1, 3, "p")}, nil,
			nil, []string{"p"}, false,
		},
		{
			"one endpoint with many requests",
			[]crquarantine.Crash{crash(0, 1, 1, "p"), crash(300, 2, 1, "p"), crash(900, 3, 1, "p")}, nil,
			nil, []string{"p"}, false,
		},
		{
			"many endpoints at the same moment",
			[]crquarantine.Crash{crash(0, 1, 1, "p"), crash(10, 2, 2, "p"), crash(20, 3, 3, "p"), crash(30, 4, 4, "p")}, nil,
			nil, []string{"p"}, false,
		},
		{
			"answered meanwhile",
			[]crquarantine.Crash{crash(0, 1, 1, "p"), crash(300, 2, 2, "p"), crash(900, 3, 3, "p")}, []answer{{600, []string{"p"}}},
			nil, []string{"p"}, false,
		},
		{
			"answered long before",
			[]crquarantine.Crash{crash(0, 1, 1, "p"), crash(300, 2, 2, "p"), crash(900, 3, 3, "p")}, []answer{{-3000, []string{"p"}}},
			[]string{"p"}, nil, false,
		},
		{
			"a companion that was never answered is blocked only together with the part",
			[]crquarantine.Crash{crash(0, 1, 1, "d", "p"), crash(300, 2, 2, "d", "p"), crash(900, 3, 3, "d", "p")}, nil,
			[]string{"d p"}, []string{"d", "p"}, false,
		},
		{
			"a companion that is answered",
			[]crquarantine.Crash{crash(0, 1, 1, "d", "p"), crash(300, 2, 2, "d", "p"), crash(900, 3, 3, "d", "p")}, []answer{{1000, []string{"d"}}},
			[]string{"p"}, []string{"d"}, false,
		},
		{
			"a bystander at each crashed endpoint",
			[]crquarantine.Crash{
				crash(0, 1, 1, "p"), crash(0, 11, 1, "s"), crash(300, 2, 2, "p"), crash(300, 12, 2, "s"),
				crash(900, 3, 3, "p"), crash(900, 13, 3, "s"), crash(1500, 4, 4, "p"),
			}, nil,
			[]string{"p"}, []string{"s"}, false,
		},
		{
			"an outage of the service",
			[]crquarantine.Crash{crash(0, 1, 1, "p"), crash(300, 2, 2, "p"), crash(900, 3, 3, "p")}, []answer{{-3000, []string{"p"}}},
			nil, []string{"p"}, true,
		},
		{
			"a part that was last answered long before an outage of the service",
			[]crquarantine.Crash{crash(0, 1, 1, "s", "p"), crash(300, 2, 2, "s", "p"), crash(900, 3, 3, "s", "p")},
			[]answer{{-90_000, []string{"p"}}, {-3000, []string{"s"}}},
			[]string{"s p"}, []string{"s"}, true,
		},
		{
			"a part that was never answered in an outage of the service",
			[]crquarantine.Crash{crash(0, 1, 1, "s", "p"), crash(300, 2, 2, "s", "p"), crash(900, 3, 3, "s", "p")}, []answer{{-3000, []string{"s"}}},
			[]string{"s p"}, []string{"s"}, true,
		},
		{
			"endpoints that keep their incarnation when they restart",
			[]crquarantine.Crash{crash(0, 1, 1, "p"), crash(1300, 2, 1, "p"), crash(1900, 3, 2, "p")}, nil,
			[]string{"p"}, nil, false,
		},
		{
			"two deadly parts",
			[]crquarantine.Crash{
				crash(0, 1, 1, "p"), crash(300, 2, 2, "q"), crash(600, 3, 3, "p"), crash(900, 4, 4, "q"), crash(1200, 5, 5, "p"), crash(1500, 6, 6, "q"),
			}, nil,
			[]string{"p", "q"}, nil, false,
		},
		{
			"a bystander with a part of all deadly prompts",
			[]crquarantine.Crash{crash(0, 1, 1, "s", "p"), crash(300, 2, 2, "s", "p"), crash(900, 3, 3, "s", "p"), crash(901, 9, 3, "s")}, nil,
			[]string{"s p"}, []string{"s", "p"}, false,
		},
		{
			"the same with the parts exchanged",
			[]crquarantine.Crash{crash(0, 1, 1, "s", "p"), crash(300, 2, 2, "s", "p"), crash(900, 3, 3, "s", "p"), crash(901, 9, 3, "p")}, nil,
			[]string{"s p"}, []string{"s", "p"}, false,
		},
		{
			"the crashes of bystanders are noticed earlier or later",
			[]crquarantine.Crash{
				crash(0, 11, 1, "s"), crash(20, 1, 1, "s", "p"), crash(160, 2, 2, "s", "p"), crash(165, 12, 2, "s"),
				crash(900, 3, 3, "s", "p"), crash(900, 13, 3, "s"),
			}, nil,
			[]string{"s p"}, []string{"s", "p"}, false,
		},
		{
			"one request crashes three endpoints with bystanders",
			[]crquarantine.Crash{
				crash(0, 1, 1, "s", "p"), crash(0, 11, 1, "s"), crash(300, 1, 2, "s", "p"), crash(300, 12, 2, "s"),
				crash(900, 1, 3, "s", "p"), crash(900, 13, 3, "s"),
			}, nil,
			nil, []string{"s", "p", "s p"}, false,
		},
		{
			"endpoints with several requests that are repeated",
			[]crquarantine.Crash{crash(0, 1, 1, "p"), crash(160, 5, 2, "p"), crash(161, 3, 2, "p"), crash(230, 3, 3, "p")}, nil,
			[]string{"p"}, nil, false,
		},
	} {
		t.Run(c.name, func(t *testing.T) {
			var table, other crquarantine.Table
			if !c.outage {
				table.RecordAnswer(at(1900), service, nil)
			}
			for _, a := range c.answers {
				table.RecordAnswer(at(a.ms), service, parts(a.ids...))
			}
			for _, o := range c.crashes {
				table.RecordCrash(o.At, o)
			}
			other.Apply(at(2000), table.All())
			for name, tt := range map[string]*crquarantine.Table{"own": &table, "another's": &other} {
				got := make(map[string]bool)
				want := make(map[string]bool)
				for _, list := range []struct {
					prompts []string
					blocked bool
				}{{c.blocked, true}, {c.allowed, false}} {
					for _, p := range list.prompts {
						want[p] = list.blocked
						_, got[p] = tt.Blocked(at(2000), parts(split(p)...))
					}
				}
				if diff := cmp.Diff(want, got); diff != "" {
					t.Errorf("%s evidence: blocked prompts (-want +got):\n%s", name, diff)
				}
			}
			if table.Hash(at(2000)) != other.Hash(at(2000)) {
				t.Error("instances with the same evidence have different quarantines")
			}
		})
	}
}

func split(ids string) []string {
	var list []string
	for _, r := range ids {
		if r != ' ' {
			list = append(list, string(r))
		}
	}
	return list
}

// TestQuarantineEndsAndReturns checks that a part is released some minutes after its last
// crash, and that one more crash is enough to quarantine it again.
func TestQuarantineEndsAndReturns(t *testing.T) {
	var table crquarantine.Table
	table.RecordAnswer(at(1000), service, nil)
	for i := range 3 {
		c := crash(1000*i, uint64(i), uint64(i), "p")
		table.RecordCrash(c.At, c)
	}
	minute := 60_000
	blocked := func(ms int) bool {
		_, blocked := table.Blocked(at(ms), parts("p"))
		return blocked
	}
	if !blocked(9*minute) || blocked(12*minute) {
		t.Errorf("blocked after 9 min: %t, after 12 min: %t", blocked(9*minute), blocked(12*minute))
	}
	if q, ok := table.Blocked(at(10*minute+30_000), parts("p")); !ok || !q.OnTrial(at(10*minute+30_000)) {
		t.Error("not on trial in the minute after")
	}
	again := crash(13*minute, 9, 9, "p")
	table.RecordAnswer(at(13*minute-1000), service, nil)
	table.RecordCrash(again.At, again)
	if !blocked(13*minute + 1) {
		t.Error("not blocked after one more crash")
	}
}

// TestTrialOfOneOfTwo checks a prompt with a part that is on trial and one that is still
// quarantined.
func TestTrialOfOneOfTwo(t *testing.T) {
	const minute = 60_000
	var table crquarantine.Table
	table.RecordAnswer(at(0), service, nil)
	for i := range 4 {
		table.RecordCrash(at(1000*i), crash(1000*i, uint64(i), uint64(i), "p"))
	}
	table.RecordAnswer(at(2*minute), service, nil)
	for i := range 3 {
		ms := 2*minute + 1000*i
		table.RecordCrash(at(ms), crash(ms, uint64(10+i), uint64(10+i), "q"))
	}
	now := at(10*minute + 30_000)
	if q, ok := table.Blocked(now, parts("p")); !ok || !q.OnTrial(now) {
		t.Error("the first part isn't on trial")
	}
	if q, ok := table.Blocked(now, parts("p", "q")); !ok || q.OnTrial(now) {
		t.Error("a prompt with both parts is on trial")
	}
}
