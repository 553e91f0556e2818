package crgrant_test

import (
	"fmt"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"

	pb "crocusrack/schema/crrouter"
)

// withoutQuarantines removes from a message what builds before quarantines don't know.
func withoutQuarantines(t testing.TB, m *pb.Report) *pb.Report {
	t.Helper()
	m.CrashEvidence, m.Quarantines = nil, nil
	if m.Digest != nil {
		m.Digest.CrashEvidence, m.Digest.Quarantines = nil, nil
	}
	return changeBulletin(t, m, func(d *pb.Digest) { d.CrashEvidence, d.Quarantines = nil, nil })
}

// changeBulletin changes the digests of the bulletin in a message, if there is one.
func changeBulletin(t testing.TB, m *pb.Report, change func(*pb.Digest)) *pb.Report {
	t.Helper()
	if m.Bulletin == nil {
		return m
	}
	b := &pb.Bulletin{}
	if err := proto.Unmarshal(m.Bulletin, b); err != nil {
		t.Fatal(err)
	}
	for _, d := range b.Digests {
		change(d)
	}
	data, err := proto.Marshal(b)
	if err != nil {
		t.Fatal(err)
	}
	m.Bulletin = data
	return m
}

// TestOldBuildsBesideNewOnes runs a third of the instances on a build that knows no
// quarantines. New ones in touch must hold the bound for what they send themselves, unless the
// relays between them are old.
func TestOldBuildsBesideNewOnes(t *testing.T) {
	for _, c := range []struct {
		size      int
		oldRelays bool
	}{{3, false}, {9, false}, {33, false}, {33, true}, {99, false}} {
		t.Run(fmt.Sprint(c.size, " instances, old relays ", c.oldRelays), func(t *testing.T) {
			f := newCrashing(t, c.size, 5)
			relays := make(map[string]bool)
			for _, name := range f.relays() {
				relays[name] = true
			}
			old := make(map[string]bool)
			for i, name := range f.names {
				old[name] = i%9/3 == 1 && !relays[name] || c.oldRelays && relays[name]
				if c.size == 3 {
					old[name] = i == 1
				}
			}
			f.pass = func(from, to string, m *pb.Report) *pb.Report {
				if old[from] || old[to] {
					return withoutQuarantines(t, m)
				}
				return m
			}
			f.arrive(20, false)
			f.arrive(3, true)
			f.run(14 * time.Second)
			late, share := 0, 0.0
			fifth := f.fifth()
			for _, g := range f.deadly {
				if g.sent && !old[g.by] && g.at.After(fifth.Add(contactBound)) {
					late++
				}
			}
			share, n := f.soundShare(fifth.Add(2 * contactBound))
			t.Logf("%d crashes; new instances sent %d deadly attempts after the bound; %.3f of %d sound requests", len(f.crashes), late, share, n)
			if late > budget && !c.oldRelays {
				t.Errorf("new instances sent %d deadly attempts after the bound, want at most %d", late, budget)
			}
			if share < 0.5 {
				t.Errorf("%.2f of %d sound requests were sent, want half", share, n)
			}
		})
	}
}
