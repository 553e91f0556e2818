package crgrant_test

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"crocusrack/core/crgrant"
	"crocusrack/core/crplace"
	"crocusrack/core/crroute"
	pb "crocusrack/schema/crrouter"
)

const (
	// drainBound is the users' shortest DrainMs.
	drainBound = 2 * time.Second
	// ownReadAge is the age of the evidence from which on an instance reads the store itself.
	ownReadAge = 2300 * time.Millisecond
)

// restoring is a fleet that reads the endpoints from a store, which may come back from a copy.
type restoring struct {
	*fleet
	random *rand.Rand
	lost   float64
	// old holds the instances whose build doesn't know eras.
	old           map[string]bool
	era, revision uint64
	listed        []*crplace.Endpoint
	copied        []*crplace.Endpoint
}

func newRestoring(t testing.TB, size int, seed uint64) *restoring {
	r := &restoring{fleet: newFleet(t, size), random: rand.New(rand.NewPCG(seed, 13)), old: map[string]bool{}, era: 1, revision: 20}
	for i := range 8 {
		r.listed = append(r.listed, serverEndpoint(t, i, 1))
	}
	r.pass = func(from, to string, m *pb.Report) *pb.Report {
		if r.random.Float64() < r.lost {
			return nil
		}
		if r.old[from] || r.old[to] {
			m.EndpointsEra, m.OutsEra, m.RolloutsEra = 0, 0, 0
			m.KnowsEras = false
			for _, member := range m.GetDigest().GetMembers() {
				member.KnowsEras = false
			}
		}
		return m
	}
	r.behind = func(name, other string) {
		n, from := r.nodes[name], r.nodes[other]
		have := n.Versions()
		err := n.ApplySnapshot(r.now, r.snapshot(name, other, have))
		if errors.Is(err, crgrant.ErrIncomplete) {
			have.Endpoints = 0
			err = n.ApplySnapshot(r.now, r.snapshot(name, other, have))
		}
		if err != nil {
			t.Fatalf("%s fetches from %s: %v", name, from.Self.Name, err)
		}
	}
	return r
}

// snapshot returns what an instance fetches from another one.
func (r *restoring) snapshot(name, from string, have crgrant.Versions) *pb.Snapshot {
	oldSide := r.old[name] || r.old[from]
	if oldSide {
		have.Endpoints = crgrant.NewPosition(0, have.Endpoints.Revision())
	}
	m := r.nodes[from].Snapshot(r.now, have)
	if oldSide && m.Endpoints != nil {
		m.Endpoints.Era = 0
	}
	return m
}

// run lets time pass. The instances that have to read the store do so at each tick.
func (r *restoring) run(d time.Duration) {
	r.t.Helper()
	const tick = 200 * time.Millisecond
	for end := r.now.Add(d); r.now.Before(end); {
		for _, name := range r.names {
			n := r.nodes[name]
			age, known := n.EndpointsEvidence.Age(n.elapsed)
			if known && age <= ownReadAge && !n.WatchesStore(r.now) {
				continue
			}
			at := crgrant.NewPosition(r.era, r.revision)
			if r.old[name] {
				at = crgrant.NewPosition(0, r.revision)
			}
			n.SetEndpoints(r.now, at, r.listed)
			n.EndpointsEvidence.Read(n.elapsed)
		}
		r.fleet.run(tick)
	}
}

// change writes to the store as often as given, and replaces the endpoint with the given index.
func (r *restoring) change(writes uint64, i int, e *crplace.Endpoint) {
	r.revision += writes
	list := append([]*crplace.Endpoint(nil), r.listed...)
	list[i] = e
	r.listed = list
}

// TestEndpointsLeaveInTimeAfterRestore guards against instances that take what the store says
// after it came back from a copy for older than what they know, or take each other's older data
// for evidence that nothing changed.
func TestEndpointsLeaveInTimeAfterRestore(t *testing.T) {
	for _, c := range []struct {
		size int
		loss float64
		old  func(i int) bool
	}{
		{3, 0.1, nil},
		{8, 0, nil},
		{8, 0.1, func(i int) bool { return i%3 == 1 }},
		{9, 0.1, func(i int) bool { return i < 6 }},
		{33, 0.1, nil},
		{33, 0.1, func(i int) bool { return i%2 == 0 }},
		{60, 0.1, nil},
		{295, 0.05, nil},
		{780, 0.05, nil},
	} {
		t.Run(fmt.Sprint(c.size, " instances, loss ", c.loss, ", old builds ", c.old != nil), func(t *testing.T) {
			if c.size > 300 && !*largestFleet {
				t.Skip("takes a minute; run with -largest-fleet")
			}
			t.Parallel()
			seeds := uint64(1)
			if c.size < 10 {
				seeds = 6
			}
			for seed := range seeds {
				r := newRestoring(t, c.size, seed)
				r.lost = c.loss
				for i, name := range r.names {
					r.old[name] = c.old != nil && c.old(i)
				}
				r.run(4 * time.Second)
				r.copied = r.listed
				backup := r.revision
				for i := range 4 {
					r.change(10, i, serverEndpoint(t, i, 2))
					r.run(600 * time.Millisecond)
				}
				r.revision, r.listed = backup, r.copied
				r.era++
				// The endpoints write what they wrote again.
				for i := range 4 {
					r.run(400 * time.Millisecond)
					r.change(1, i, serverEndpoint(t, i, 2))
				}
				r.run(2 * time.Second)
				leaving := *r.listed[2]
				leaving.Draining = true
				r.change(1, 2, &leaving)
				r.run(drainBound)
				for i, name := range r.names {
					if c.old != nil && c.old(i) {
						continue
					}
					for _, e := range r.nodes[name].Dump(r.now).Endpoints {
						if e.ID == leaving.ID && !e.Draining {
							t.Errorf("seed %d: %s sends requests to %s %v after it said that it leaves", seed, name, e.ID, drainBound)
						}
					}
				}
			}
		})
	}
}

// TestSnapshotsAcrossEras checks that an instance takes the data of a later era and not that of
// an earlier one, and what becomes of data without an era.
func TestSnapshotsAcrossEras(t *testing.T) {
	list := []*crplace.Endpoint{endpoint(t, "a"), endpoint(t, "b"), endpoint(t, "c"), endpoint(t, "d")}
	position := crgrant.NewPosition
	for _, c := range []struct {
		name             string
		own, other, want crgrant.Position
		// before is an earlier position of the instance, which makes the last step one from
		// era to era.
		before crgrant.Position
	}{
		{"later era", position(1, 90), position(2, 40), position(2, 40), 0},
		{"earlier era", position(2, 40), position(1, 90), position(2, 40), 0},
		{"same era", position(2, 40), position(2, 41), position(2, 41), 0},
		{"sender without eras", position(2, 40), position(0, 41), position(2, 41), 0},
		{"sender without eras after a restore", position(2, 40), position(0, 90), position(2, 40), position(1, 80)},
		{"receiver without eras", position(0, 90), position(1, 40), position(1, 40), 0},
		{"final data", position(2, 40).Provisional(), position(2, 40), position(2, 40), 0},
		{"provisional data", position(2, 40), position(2, 40).Provisional(), position(2, 40), 0},
		{"newer provisional data", position(2, 40), position(2, 41).Provisional(), position(2, 41).Provisional(), 0},
	} {
		n, from := newNode(1), newNode(2)
		if c.before > 0 {
			n.SetEndpoints(start, c.before, list[:1])
		}
		n.SetEndpoints(start, c.own, list)
		from.SetEndpoints(start, c.other, list[:3])
		if _, err := fetch(n, from, n.Versions().Endpoints); err != nil {
			t.Errorf("%s: %v", c.name, err)
		}
		if got := n.Versions().Endpoints; got != c.want {
			t.Errorf("%s: era %d, revision %d, want era %d, revision %d", c.name, got.Era(), got.Revision(), c.want.Era(), c.want.Revision())
		}
	}
}

// TestLeftEndpointsStayAwayAfterRestore guards against requests to endpoints that had left, but
// not yet in the copy that the store came back from.
func TestLeftEndpointsStayAwayAfterRestore(t *testing.T) {
	position := crgrant.NewPosition
	sound, draining, gone, returned := endpoint(t, "sound"), endpoint(t, "draining"), endpoint(t, "gone"), endpoint(t, "returned")
	leaves := *draining
	leaves.Draining = true
	n := newNode(1)
	all := []*crplace.Endpoint{sound, draining, gone, returned}
	n.SetEndpoints(start, position(1, 70), all)
	n.SetEndpoints(start, position(1, 80), []*crplace.Endpoint{sound, &leaves})
	n.SetEndpoints(start, position(1, 90), []*crplace.Endpoint{sound, &leaves, returned})
	used := func(now time.Time) map[string]bool {
		ids := make(map[string]bool)
		for range 100 {
			g := n.Grant(now, crgrant.Request{Service: crroute.Service{Name: "llm"}})
			ids[g.Endpoint.ID] = true
			g.Drop(now)
		}
		return ids
	}
	n.SetEndpoints(start, position(2, 40), all)
	n.SetEndpoints(start.Add(time.Second), position(2, 41), all)
	for _, c := range []struct {
		after time.Duration
		want  map[string]bool
	}{
		{time.Second, map[string]bool{"sound": true, "returned": true}},
		{4 * time.Second, map[string]bool{"sound": true, "returned": true}},
		{6 * time.Second, map[string]bool{"sound": true, "returned": true, "gone": true}},
	} {
		if diff := cmp.Diff(c.want, used(start.Add(c.after))); diff != "" {
			t.Errorf("endpoints %v after the store came back (-want +got):\n%s", c.after, diff)
		}
	}
}
