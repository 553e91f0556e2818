package crsoak

import (
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	crstandin "crocusrack/platform/standin"
)

// ciSeed is the seed of the run in CI.
const ciSeed = 20261204

// buildDaemon builds the daemon, and returns its program and the folder that it is in.
func buildDaemon(t *testing.T) (folder, program string) {
	t.Helper()
	folder = t.TempDir()
	program = filepath.Join(folder, "crocusrackd")
	if out, err := exec.Command("go", "build", "-o", program, "crocusrack/cmd/crocusrackd").CombinedOutput(); err != nil {
		t.Fatalf("build: %v\n%s", err, out)
	}
	return folder, program
}

// TestSoak plays one short seed with real processes. It checks nothing that
// depends on the machine's speed.
func TestSoak(t *testing.T) {
	if testing.Short() {
		t.Skip("starts processes for some seconds")
	}
	folder, program := buildDaemon(t)
	report, err := Run(t.Context(), Options{
		Seed: ciSeed, Length: 14 * time.Second, Daemons: 3, Servers: 4, Callers: 8, Program: program, Folder: folder,
	})
	if err != nil {
		t.Fatal(err)
	}
	if len(report.Broken) > 0 {
		t.Error(report)
	}
}

// TestBadVersion has real daemons move a service to a version that fails half of its requests.
// It checks nothing that depends on the machine's speed: what the version gets is bounded, and
// it isn't completed.
func TestBadVersion(t *testing.T) {
	if testing.Short() {
		t.Skip("starts processes for some seconds")
	}
	folder, program := buildDaemon(t)
	report, err := Run(t.Context(), Options{
		Seed: ciSeed, Length: 18 * time.Second, Daemons: 4, Servers: 4, Callers: 12, Program: program, Folder: folder, Calm: true,
		Rollout: &Rollout{At: time.Second, Duration: 10 * time.Second, Servers: 4, Trouble: crstandin.Trouble{Failed: 0.5}},
	})
	if err != nil {
		t.Fatal(err)
	}
	t.Log(report)
	if len(report.Broken) > 0 || strings.Contains(report.Rollout, "completed") {
		t.Error(report)
	}
}

func TestPlanRepeats(t *testing.T) {
	a, b := Plan(7, 25*time.Second), Plan(7, 25*time.Second)
	if diff := cmp.Diff(a, b); diff != "" {
		t.Errorf("two plans of one seed differ (-first +second):\n%s", diff)
	}
	for seed := range uint64(20) {
		for _, s := range Plan(seed, 25*time.Second) {
			if s.At+s.For > 25*time.Second-recovery+time.Second {
				t.Errorf("seed %d: %s ends less than %s before the load", seed, s, recovery)
			}
		}
	}
}

// TestJudge gives each check a call that breaks its promise, and one that
// doesn't.
func TestJudge(t *testing.T) {
	now := time.Now()
	run := crstandin.Run{Server: "s1", Account: "account-1"}
	whole := crstandin.Answer{Status: 200, Sealed: true, Whole: true, Body: crstandin.Body("q")}
	events := func(from, to int) string {
		text := ""
		for n := from; n <= to; n++ {
			text += crstandin.Event("q", n, "v1")
		}
		return text
	}
	for _, c := range []struct {
		name   string
		kind   crstandin.Kind
		runs   []crstandin.Run
		answer crstandin.Answer
		taken  time.Duration
		want   string
	}{
		{"answered", crstandin.Book, []crstandin.Run{run}, whole, 0, ""},
		{"read twice", crstandin.Read, []crstandin.Run{run, run}, whole, 0, ""},
		{"booked twice", crstandin.Book, []crstandin.Run{run, run}, whole, 0, "ran 2 times"},
		{"refused", crstandin.Book, nil, crstandin.Answer{Status: 503}, 0, ""},
		{"refused and ran", crstandin.Book, []crstandin.Run{run}, crstandin.Answer{Status: 503}, 0, "refused with 503, and ran"},
		{"lost", crstandin.Book, []crstandin.Run{run}, crstandin.Answer{Status: 502}, 0, ""},
		{"another's account", crstandin.Book, []crstandin.Run{{Account: "account-2"}}, whole, 0, "for account"},
		{"key passed on", crstandin.Book, []crstandin.Run{{Account: "account-1", Key: true}}, whole, 0, "given the caller's key"},
		{"key taken lately", crstandin.Book, []crstandin.Run{run}, whole, 4 * time.Second, ""},
		{"key taken before", crstandin.Book, []crstandin.Run{run}, whole, 6 * time.Second, "after its key was taken away"},
		{"no seal", crstandin.Book, nil, crstandin.Answer{Status: 200, Whole: true, Body: crstandin.Body("q")}, 0, "without the server's seal"},
		{"sealed failure", crstandin.Book, nil, crstandin.Answer{Status: 502, Sealed: true}, 0, "bears a server's seal"},
		{"failed by the server", crstandin.Book, []crstandin.Run{{Account: "account-1", Spoilt: true}}, crstandin.Answer{Status: 500, Sealed: true}, 0, ""},
		{"another status than the server's", crstandin.Book, []crstandin.Run{{Account: "account-1", Spoilt: true}}, crstandin.Answer{Status: 502, Sealed: true}, 0, "bears a server's seal"},
		{"cut that looks whole", crstandin.Read, nil, crstandin.Answer{Status: 200, Sealed: true, Whole: true, Body: "ans"}, 0, "looks whole"},
		{"cut", crstandin.Read, nil, crstandin.Answer{Status: 200, Sealed: true, Body: "ans"}, 0, ""},
		{"another's answer", crstandin.Read, nil, crstandin.Answer{Status: 200, Sealed: true, Body: "other"}, 0, "isn't the start of its own"},
		{"stream", crstandin.Draft, nil, crstandin.Answer{Status: 200, Sealed: true, Whole: true, Body: events(1, crstandin.Events)}, 0, ""},
		{"stream with a gap", crstandin.Draft, nil, crstandin.Answer{Status: 200, Sealed: true, Body: events(1, 3) + events(5, 6)}, 0, "isn't the start"},
		{"stream of two versions", crstandin.Draft, nil, crstandin.Answer{Status: 200, Sealed: true, Body: events(1, 3) + crstandin.Event("q", 4, "v2")}, 0, "several versions: v1, v2"},
		{"stream that ends early", crstandin.Draft, nil, crstandin.Answer{Status: 200, Sealed: true, Whole: true, Body: events(1, 3)}, 0, "looks whole"},
	} {
		w := &world{taken: map[string]time.Time{}}
		if c.taken > 0 {
			w.taken["k"] = now.Add(-c.taken)
		}
		for _, r := range c.runs {
			r.Request = "q"
			w.record.Add(r)
		}
		var r Report
		w.judge(&r, call{id: "q", kind: c.kind, account: 1, key: "k", sent: now, answer: c.answer})
		got := strings.Join(r.Broken, "\n")
		if (c.want == "") != (got == "") || !strings.Contains(got, c.want) {
			t.Errorf("%s: broken %q, want %q", c.name, got, c.want)
		}
	}
}

func TestJudgeRecovery(t *testing.T) {
	r := Report{late: []time.Duration{time.Second, 5 * time.Second, 6 * time.Second}, lateServed: []time.Duration{time.Second}}
	r.judgeRecovery(4 * time.Second)
	if len(r.Broken) != 1 {
		t.Errorf("nothing served after the faults, and %d promises broken", len(r.Broken))
	}
}

func TestCheckOfOptions(t *testing.T) {
	for _, c := range []struct {
		options Options
		want    string
	}{
		{Options{}, "daemons: 0"},
		{Options{Daemons: 201}, "daemons: 201"},
		{Options{Daemons: 3, Servers: 1}, "servers"},
		{Options{Daemons: 3, Servers: 2, Callers: 1}, "length"},
		{Options{Daemons: 3, Servers: 2, Callers: 1, Length: time.Minute, Program: "none"}, "none"},
		{Options{Daemons: 3, Servers: 2, Callers: 1, Length: time.Minute, Program: os.Args[0], Previous: "gone"}, "gone"},
	} {
		if err := c.options.Check(); err == nil || !strings.Contains(err.Error(), c.want) {
			t.Errorf("%+v: error %v doesn't name %q", c.options, err, c.want)
		}
	}
}
