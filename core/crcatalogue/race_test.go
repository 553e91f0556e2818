package crcatalogue

import (
	"context"
	"fmt"
	"iter"
	"math/rand/v2"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"google.golang.org/protobuf/testing/protocmp"
	"pgregory.net/rapid"

	"crocusrack/core/crstore"
	pb "crocusrack/schema/crcatalogue"
)

// accepted is an accepted version as recorded by the model.
type accepted struct {
	writeID string
	hash    uint64
}

// attempt is a commit of an operator and its result, as recorded by the model.
type attempt struct {
	base   uint64
	wanted *pb.Catalogue
	author string
	result CommitResult
	done   bool
}

// simulation is a run of operators, readers and collectors that share one store, and
// records the expected state.
type simulation struct {
	*fakeStore
	versions []accepted          // versions[v-1] is version v
	attempts map[string]*attempt // by write id
	readers  []*Set              // the newest set of each reader
	deltas   []Delta             // answers to pulls between readers
	failure  string              // the last violated invariant; "" means none
}

// check runs after every write that took effect. It checks that the head names
// existing chunks, and that a new head is the wanted catalogue of an attempt based
// on the version before.
func (r *simulation) check(o crstore.Object) {
	head := r.current(HeadName)
	if head.Version == 0 {
		return
	}
	h, err := DecodeHead(head.Value)
	if err != nil {
		r.failure = err.Error()
		return
	}
	var list []*pb.Record
	for _, name := range h.GetChunks() {
		part, err := DecodeChunk(name, r.current(name).Value)
		if err != nil {
			r.failure = fmt.Sprintf("version %d: %v", h.GetVersion(), err)
		}
		list = append(list, part...)
	}
	if o.Name != HeadName {
		return
	}
	set, err := assemble(h, list)
	a := r.attempts[h.GetWriteId()]
	if err != nil || a == nil || h.GetVersion() != uint64(len(r.versions))+1 || a.base != uint64(len(r.versions)) {
		r.failure = fmt.Sprintf("version %d after %d: attempt %+v, %v", h.GetVersion(), len(r.versions), a, err)
		return
	}
	if d := cmp.Diff(sortedCopy(a.wanted), set.Catalogue(), protocmp.Transform()); d != "" {
		r.failure = fmt.Sprintf("version %d (-wanted +stored):\n%s", h.GetVersion(), d)
	}
	r.versions = append(r.versions, accepted{h.GetWriteId(), set.Hash()})
}

// sortedCopy returns a copy of the catalogue with its lists sorted by name.
func sortedCopy(c *pb.Catalogue) *pb.Catalogue { return FromCatalogue(c, 1).Catalogue() }

// yieldFunc returns a function that yields to the other simulated processes. It does
// nothing once the iteration has been stopped.
func yieldFunc(yield func(int) bool) func() {
	running := true
	return func() { running = running && yield(0) }
}

// operator simulates an operator that commits three changes, each based on the set
// of a reader.
func (r *simulation) operator(reader int) iter.Seq[int] {
	return func(yield func(int) bool) {
		s := r.store(yieldFunc(yield))
		for range 3 {
			have := r.readers[reader]
			a := &attempt{base: have.Version(), wanted: randomChange(r.random, have.Catalogue()), author: fmt.Sprint(r.random.Uint64())}
			newID := s.NewWriteID
			s.NewWriteID = func() string { id := newID(); r.attempts[id] = a; return id }
			p := Proposal{Base: a.base, Wanted: a.wanted, Author: a.author, At: r.now}
			if r.random.IntN(2) == 0 {
				p.Have = have
			}
			a.result = s.Commit(context.Background(), p)
			a.done = true
			s.NewWriteID = newID
			if a.result.Set != nil {
				r.adopt(reader, a.result.Set)
			}
		}
	}
}

// adopt makes a newer set the reader's set, and checks that the set is one of the
// accepted versions.
func (r *simulation) adopt(reader int, s *Set) {
	if v := s.Version(); v > 0 && (v > uint64(len(r.versions)) || r.versions[v-1].hash != s.Hash()) {
		r.failure = fmt.Sprintf("reader %d: version %d with hash %x was never accepted", reader, v, s.Hash())
	}
	if s.Version() > r.readers[reader].Version() {
		r.readers[reader] = s
	}
}

// read simulates a reader that loads the catalogue once.
func (r *simulation) read(reader int) iter.Seq[int] {
	return func(yield func(int) bool) {
		have := r.readers[reader].Version()
		if s, err := r.store(yieldFunc(yield)).Load(context.Background(), r.readers[reader]); err == nil {
			if s.Version() < have {
				r.failure = "an older set was loaded"
			}
			r.adopt(reader, s)
		}
	}
}

// collect simulates one run of a collector. A collector's Store is set while it
// runs.
func (r *simulation) collect(c *Collector) iter.Seq[int] {
	return func(yield func(int) bool) {
		if c.Store != nil {
			return // The collector is already running.
		}
		c.Store = r.store(yieldFunc(yield))
		c.Collect(context.Background(), r.now)
		c.Store = nil
	}
}

// randomChange makes one random change to the catalogue and returns it. Often it
// adds or removes all large services, so that the number of chunks grows and shrinks and
// chunks with earlier content are used again.
func randomChange(random *rand.Rand, c *pb.Catalogue) *pb.Catalogue {
	before := len(c.GetServices())
	c.Services = slices.DeleteFunc(c.GetServices(), func(s *pb.Service) bool { return len(s.GetPlacements()) > 0 })
	if random.IntN(2) == 0 {
		if len(c.Services) == before {
			for i := range 3 {
				c.Services = append(c.Services, largeService(fmt.Sprint("large-", i)))
			}
		}
		return c
	}
	name := fmt.Sprint("service-", random.IntN(5))
	c.Services = slices.DeleteFunc(c.Services, func(s *pb.Service) bool { return s.GetName() == name })
	if random.IntN(3) > 0 {
		s := largeService(name)
		s.Placements, s.Model = nil, fmt.Sprint(random.IntN(3))
		c.Services = append(c.Services, s)
	}
	return c
}

// largeService returns a service whose 150 placements take some 40 KB.
func largeService(name string) *pb.Service {
	s := &pb.Service{Name: name, Kind: pb.ServiceKind_SERVICE_KIND_MODEL, Class: ClassBatch, Model: "m"}
	for i := range 150 {
		s.Placements = append(s.Placements, &pb.Placement{Role: fmt.Sprint(i), Version: strings.Repeat("v", 128), Adapter: strings.Repeat("a", 128)})
	}
	return s
}

func TestRacingOperators(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		r := &simulation{fakeStore: newFakeStore(rapid.Uint64().Draw(t, "seed")), attempts: map[string]*attempt{}}
		r.written = r.check
		r.faults = rapid.SampledFrom([]float64{0, 0.05, 0.2, 0.5}).Draw(t, "faults")
		collectors := []*Collector{{}, {}}
		var running []func() (int, bool)
		start := func(s iter.Seq[int]) {
			next, stop := iter.Pull(s)
			t.Cleanup(stop)
			running = append(running, next)
		}
		for i := range rapid.IntRange(1, 4).Draw(t, "operators") {
			r.readers = append(r.readers, Empty())
			start(r.operator(i))
		}
		for range rapid.IntRange(50, 600).Draw(t, "steps") {
			r.now = r.now.Add(time.Duration(r.random.IntN(120)) * time.Second)
			reader := r.random.IntN(len(r.readers))
			switch r.random.IntN(20) {
			case 0:
				start(r.read(reader))
			case 1:
				start(r.collect(collectors[r.random.IntN(2)]))
			case 2: // A peer answers a pull. The answer may arrive late or twice.
				r.deltas = append(r.deltas, r.readers[reader].Since(r.readers[r.random.IntN(len(r.readers))].Version()))
			case 3:
				if len(r.deltas) > 0 {
					s, outcome := r.readers[reader].Apply(r.deltas[r.random.IntN(len(r.deltas))])
					if outcome != Applied && s != r.readers[reader] || s.Version() < r.readers[reader].Version() {
						r.failure = "a rejected or older delta changed the set"
					}
					r.adopt(reader, s)
				}
			case 4:
				r.applyOneLate()
			case 5:
				if len(running) < 4 {
					start(r.operator(reader))
				}
			case 6: // A process stops in the middle of its run.
				if len(running) > 1 && r.random.IntN(4) == 0 {
					running = running[1:]
				}
			case 7, 8: // A collector runs to its end while the others are paused.
				r.collect(collectors[r.random.IntN(2)])(func(int) bool { return true })
			default:
				if len(running) > 0 {
					i := r.random.IntN(len(running))
					if _, more := running[i](); !more {
						running = append(running[:i], running[i+1:]...)
					}
				}
			}
		}
		for _, next := range running {
			for _, more := next(); more; _, more = next() {
			}
		}
		r.verifyOutcomes(t)
	})
}

// applyOneLate applies the oldest delayed write.
func (f *fakeStore) applyOneLate() {
	if len(f.late) == 0 {
		return
	}
	do := f.late[0]
	f.late = f.late[1:]
	_ = do()
}

// verifyOutcomes applies all delayed writes, disables faults and compares every outcome,
// every reader and the history with the model.
func (r *simulation) verifyOutcomes(t *rapid.T) {
	for len(r.late) > 0 {
		r.applyOneLate()
	}
	r.faults = 0
	s := plainStore(r.fakeStore)
	for id, a := range r.attempts {
		won := false
		for v, acc := range r.versions {
			won = won || acc.writeID == id && uint64(v) == a.base
		}
		outcome := a.result.Outcome
		if outcome == Unknown {
			outcome, _ = s.Resolve(context.Background(), a.result.Version, id)
		}
		nothing := outcome == Accepted && len(a.result.Changed) == 0
		if a.done && !nothing && won != (outcome == Accepted) {
			r.failure = fmt.Sprintf("%s: %v (%v), but won = %v", id, a.result.Outcome, outcome, won)
		}
	}
	for i := range r.readers {
		set, err := s.Load(context.Background(), r.readers[i])
		if err != nil || set.Version() != uint64(len(r.versions)) {
			r.failure = fmt.Sprintf("reader %d: loaded version %d, want %d: %v", i, set.Version(), len(r.versions), err)
			break
		}
		r.adopt(i, set)
	}
	r.commitOnce(s)
	history, err := s.History(context.Background(), len(r.versions))
	if err != nil || len(history) != len(r.versions) {
		r.failure = fmt.Sprintf("history of %d versions has %d changes: %v", len(r.versions), len(history), err)
	}
	for i, c := range history {
		want := r.attempts[r.versions[len(r.versions)-1-i].writeID]
		if c.GetAuthor() != want.author || c.GetVersion() != want.base+1 {
			r.failure = fmt.Sprintf("history[%d]: version %d by %q, want %d by %q", i, c.GetVersion(), c.GetAuthor(), want.base+1, want.author)
		}
	}
	if r.failure != "" {
		t.Fatal(r.failure)
	}
}

// commitOnce commits one change without faults and checks that it is accepted.
func (r *simulation) commitOnce(s *Store) {
	id := s.NewWriteID()
	s.NewWriteID = func() string { return id }
	wanted := r.readers[0].Catalogue()
	wanted.Instances = append(wanted.Instances, &pb.InstanceState{Name: "last", Out: true})
	r.attempts[id] = &attempt{base: r.readers[0].Version(), wanted: wanted}
	result := s.Commit(context.Background(), Proposal{Base: r.readers[0].Version(), Wanted: wanted})
	if result.Outcome != Accepted || result.Version != r.readers[0].Version()+1 {
		r.failure = fmt.Sprintf("commit without faults: %+v", result)
	}
}
