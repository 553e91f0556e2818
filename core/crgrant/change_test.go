package crgrant_test

import (
	"errors"
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"

	"crocusrack/core/crgrant"
	"crocusrack/core/crplace"
	pb "crocusrack/schema/crrouter"

	"github.com/google/go-cmp/cmp"
	"google.golang.org/protobuf/testing/protocmp"
)

// allEndpoints returns a snapshot with the complete list of an instance's endpoints.
func allEndpoints(n *node) *pb.Snapshot { return n.Snapshot(start, onlyEndpoints(0)) }

// onlyEndpoints are the versions of an instance that lacks only endpoints after a revision.
func onlyEndpoints(have crgrant.Position) crgrant.Versions {
	return crgrant.Versions{Routing: math.MaxUint64, Endpoints: have, Outs: math.MaxUint64, Rollouts: math.MaxUint64}
}

// fetch applies to n the snapshot of what it lacks compared with from, and returns the
// snapshot.
func fetch(n, from *node, endpoints crgrant.Position) (*pb.Snapshot, error) {
	have := n.Versions()
	have.Endpoints = endpoints
	m := from.Snapshot(start, have)
	return m, n.ApplySnapshot(start, m)
}

// TestPartialFetchesMatchSource guards against changes that don't reproduce the source's
// endpoints. An instance fetches at random times from one of two sources that follow the
// store, and must have the source's endpoints after each fetch.
func TestPartialFetchesMatchSource(t *testing.T) {
	r := rand.New(rand.NewPCG(20261204, 0))
	sources := []*node{newNode(1), newNode(2)}
	n := newNode(3)
	current := make(map[string]*crplace.Endpoint)
	partial := 0
	for revision := crgrant.Position(1); revision < 400; revision++ {
		id := fmt.Sprint("engine-", r.IntN(60))
		if current[id] != nil && r.IntN(3) == 0 {
			delete(current, id)
		} else {
			e := *endpoint(t, id)
			e.Draining = r.IntN(4) == 0
			current[id] = &e
		}
		var list []*crplace.Endpoint
		for _, e := range current {
			list = append(list, e)
		}
		for _, s := range sources {
			if r.IntN(2) == 0 {
				s.SetEndpoints(start, revision, list)
			}
		}
		if r.IntN(4) > 0 {
			continue
		}
		from := sources[r.IntN(2)]
		have := n.Versions().Endpoints
		m, err := fetch(n, from, have)
		if err != nil {
			t.Fatal(err)
		}
		if m.Endpoints == nil {
			continue
		}
		if m.GetEndpoints().GetPartial() {
			partial++
		}
		sorted := protocmp.SortRepeated(func(a, b *pb.Endpoint) bool { return a.GetId() < b.GetId() })
		ignored := protocmp.IgnoreFields(&pb.Endpoints{}, "revision")
		if diff := cmp.Diff(allEndpoints(from), allEndpoints(n), protocmp.Transform(), sorted, ignored); diff != "" {
			t.Fatalf("endpoints at revision %d differ (-source +fetched):\n%s", revision, diff)
		}
	}
	if partial == 0 {
		t.Error("no fetch was of changes only")
	}
}

// TestDivergedEndpointsNeedFullFetch guards against applying changes to a different base:
// two instances have different endpoints for the same revision.
func TestDivergedEndpointsNeedFullFetch(t *testing.T) {
	a, b := newNode(1), newNode(2)
	var list []*crplace.Endpoint
	for i := range 8 {
		list = append(list, endpoint(t, fmt.Sprint("engine-", i)))
	}
	a.SetEndpoints(start, 5, list)
	b.SetEndpoints(start, 5, append([]*crplace.Endpoint{endpoint(t, "kept")}, list...))
	a.SetEndpoints(start, 6, append(list[:8:8], endpoint(t, "new")))
	if _, err := fetch(b, a, 5); !errors.Is(err, crgrant.ErrIncomplete) {
		t.Fatalf("adopting gave %v, want %v", err, crgrant.ErrIncomplete)
	}
	if _, err := fetch(b, a, 0); err != nil {
		t.Fatal(err)
	}
	if diff := cmp.Diff(allEndpoints(a), allEndpoints(b), protocmp.Transform()); diff != "" {
		t.Errorf("endpoints differ (-sender +receiver):\n%s", diff)
	}
}

// TestOneChangeIsSmall checks that the message for a change of one endpoint doesn't grow
// with the number of endpoints.
func TestOneChangeIsSmall(t *testing.T) {
	const most = 300 // bytes
	for _, count := range []int{100, 3000} {
		n := newNode(1)
		var list []*crplace.Endpoint
		for i := range count {
			list = append(list, endpoint(t, fmt.Sprint("engine-", i)))
		}
		n.SetEndpoints(start, 5, list)
		changed := *list[7]
		changed.Draining = true
		list = append([]*crplace.Endpoint{}, list...)
		list[7] = &changed
		n.SetEndpoints(start.Add(time.Second), 6, list)
		if size := proto.Size(n.Snapshot(start, onlyEndpoints(5))); size > most {
			t.Errorf("one change among %d endpoints takes %d bytes, want at most %d", count, size, most)
		}
	}
}
