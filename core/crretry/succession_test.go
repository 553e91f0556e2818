package crretry_test

import (
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"pgregory.net/rapid"

	"crocusrack/core/crretry"
)

const checkInterval = 500 * time.Millisecond

// TestSuccession checks when an attempt at a silent endpoint is probed and when it gets a
// successor.
func TestSuccession(t *testing.T) {
	yes, no := func() bool { return true }, func() bool { return false }
	wait, probe, succeed := crretry.Wait, crretry.Probe, crretry.Succeed
	for _, c := range []struct {
		name       string
		succession crretry.Succession
		// accepts is the result of the probe.
		accepts bool
		want    []crretry.Step
	}{
		{"runs once", crretry.Succession{Resumable: true, Reserve: yes}, false, []crretry.Step{wait, wait, wait, wait}},
		{"endpoint gone", crretry.Succession{Repeatable: true, Reserve: yes}, false, []crretry.Step{probe, succeed, wait, wait}},
		{"no attempt left", crretry.Succession{Repeatable: true, Reserve: no}, false, []crretry.Step{probe, wait, wait, wait}},
		{"endpoint silent", crretry.Succession{Repeatable: true, Resumable: true, Reserve: yes}, true, []crretry.Step{probe, wait, succeed, wait}},
		{"can't be resumed", crretry.Succession{Repeatable: true, Reserve: yes}, true, []crretry.Step{probe, wait, wait, wait}},
	} {
		t.Run(c.name, func(t *testing.T) {
			s := c.succession
			s.MaxSilence = 2 * checkInterval
			got := []crretry.Step{s.Silent(checkInterval)}
			if got[0] == probe {
				got = append(got, s.Probed(c.accepts))
			} else {
				got = append(got, wait)
			}
			got = append(got, s.Silent(checkInterval), s.Silent(checkInterval))
			if diff := cmp.Diff(c.want, got); diff != "" {
				t.Errorf("(-want +got):\n%s", diff)
			}
		})
	}
}

// TestSuccessionAwaitsOneStep checks on random sequences that at most one probe or
// successor is pending, that every successor has a reservation, and that none is sent for
// a request that may run only once.
func TestSuccessionAwaitsOneStep(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		reserved := 0
		s := crretry.Succession{
			Repeatable: rapid.Bool().Draw(t, "repeatable"),
			Resumable:  rapid.Bool().Draw(t, "resumable"),
			MaxSilence: time.Duration(rapid.IntRange(0, 5).Draw(t, "max-silence")) * checkInterval,
			Reserve: func() bool {
				reserved++
				return rapid.Bool().Draw(t, "reserve")
			},
		}
		pending := crretry.Wait
		for range rapid.IntRange(1, 40).Draw(t, "steps") {
			before, step := reserved, crretry.Wait
			switch rapid.IntRange(0, 2).Draw(t, "event") {
			case 0:
				step = s.Silent(checkInterval)
				if step != crretry.Wait && pending != crretry.Wait {
					t.Fatalf("step %d while step %d is pending", step, pending)
				}
			case 1:
				switch pending {
				case crretry.Probe:
					pending = crretry.Wait
					step = s.Probed(rapid.Bool().Draw(t, "accepted"))
				case crretry.Succeed:
					pending = crretry.Wait
					s.Refused()
				}
			case 2:
				s.Progress()
				pending = crretry.Wait
			}
			if step != crretry.Wait {
				pending = step
			}
			if step == crretry.Succeed && reserved == before {
				t.Fatal("a successor without a reservation")
			}
			if step != crretry.Wait && !s.Repeatable {
				t.Fatalf("step %d for a request that may run only once", step)
			}
		}
	})
}
