package crcatalogue

import (
	"context"
	"errors"
	"flag"
	"fmt"
	"math/rand/v2"
	"os"
	"strings"
	"testing"
	"time"

	"crocusrack/core/crstore"
	pb "crocusrack/schema/crcatalogue"
)

// TestMain fixes the seed of rapid, so that CI gets the same result on every run.
// The flags -rapid.seed and -rapid.checks select other or more runs.
func TestMain(m *testing.M) {
	flag.Set("rapid.seed", "20261204")
	flag.Set("rapid.nofailfile", "true")
	flag.Parse()
	os.Exit(m.Run())
}

var errDown = errors.New("no answer")

// state is one state of an object. Version 0 means that it does not exist.
type state struct {
	crstore.Object
	until time.Time // when the next state replaced it; zero for the current state
}

// fakeStore is an in-memory store that injects faults.
type fakeStore struct {
	now     time.Time
	version uint64
	objects map[string][]state
	random  *rand.Rand
	// faults is the probability that a write fails, or that a read fails or is
	// stale.
	faults  float64
	late    []func() error         // writes whose response was lost and that are not applied yet
	written func(o crstore.Object) // called after a write took effect
}

// fakeStaleness is the maximum age of a stale read.
const fakeStaleness = 5 * time.Minute

func newFakeStore(seed uint64) *fakeStore {
	return &fakeStore{now: time.Unix(1e9, 0), objects: map[string][]state{}, random: rand.New(rand.NewPCG(seed, 2)), written: func(crstore.Object) {}}
}

func (f *fakeStore) current(name string) crstore.Object {
	if h := f.objects[name]; len(h) > 0 {
		return h[len(h)-1].Object
	}
	return crstore.Object{}
}

func (f *fakeStore) set(name string, o crstore.Object) uint64 {
	f.version++
	if o.Name != "" {
		o.Version = f.version
	}
	h := f.objects[name]
	if len(h) > 0 {
		h[len(h)-1].until = f.now
	}
	f.objects[name] = append(h, state{Object: o})
	f.written(o)
	return o.Version
}

// read returns the object as it is now or was within the last fakeStaleness.
func (f *fakeStore) read(name string) crstore.Object {
	o := f.current(name)
	for _, s := range f.objects[name] {
		if !s.until.IsZero() && f.now.Sub(s.until) < fakeStaleness && f.random.Float64() < f.faults {
			return s.Object
		}
	}
	return o
}

// write performs a write, or injects one of four faults.
func (f *fakeStore) write(do func() error) error {
	if f.random.Float64() >= f.faults {
		return do()
	}
	switch f.random.IntN(4) {
	case 0: // The response is lost.
		_ = do()
		return errDown
	case 1: // The response is lost, and the write takes effect later.
		f.late = append(f.late, do)
		return errDown
	case 2:
		return fmt.Errorf("rate: %w", crstore.ErrRefused)
	}
	return errDown
}

// update replaces the object if its version is the given one. Version 0 means that
// the object must not exist.
func (f *fakeStore) update(name string, version uint64, o crstore.Object) error {
	switch now := f.current(name); {
	case now.Version == 0 && version == 0, now.Version != 0 && now.Version == version:
		f.set(name, o)
		return nil
	case version == 0:
		return crstore.ErrExists
	case now.Version == 0:
		return crstore.ErrNotFound
	}
	return crstore.ErrConflict
}

// store returns a Store whose functions call step before they access f.
func (f *fakeStore) store(step func()) *Store {
	ids := 0
	prefix := fmt.Sprint(f.random.Uint64())
	return &Store{NewWriteID: func() string { ids++; return fmt.Sprint(prefix, "-", ids) }, Store: crstore.Store{
		Get: func(_ context.Context, name string) (crstore.Object, error) {
			step()
			if f.random.Float64() < f.faults {
				return crstore.Object{}, errDown
			}
			if o := f.read(name); o.Version != 0 {
				return o, nil
			}
			return crstore.Object{}, crstore.ErrNotFound
		},
		Create: func(_ context.Context, o crstore.Object) (uint64, error) {
			step()
			return 0, f.write(func() error { return f.update(o.Name, 0, o) })
		},
		Update: func(_ context.Context, o crstore.Object) (uint64, error) {
			step()
			return 0, f.write(func() error { return f.update(o.Name, o.Version, o) })
		},
		Delete: func(_ context.Context, name string, version uint64) error {
			step()
			return f.write(func() error { return f.update(name, version, crstore.Object{}) })
		},
		List: func(_ context.Context, prefix string) (list []crstore.Object, err error) {
			step()
			for name := range f.objects {
				if o := f.current(name); o.Version != 0 && strings.HasPrefix(name, prefix) {
					list = append(list, o)
				}
			}
			return list, nil
		},
	}}
}

// plainStore returns a Store that does not yield to other simulated processes.
func plainStore(f *fakeStore) *Store { return f.store(func() {}) }

// staleOnce makes the next read of the object return old.
func staleOnce(s *Store, old crstore.Object) {
	get := s.Get
	s.Get = func(ctx context.Context, name string) (crstore.Object, error) {
		if name == old.Name {
			s.Get = get
			return old, nil
		}
		return get(ctx, name)
	}
}

// commitVersions commits the versions from+1 to to and returns the head of each.
func commitVersions(s *Store, f *fakeStore, from, to int) (heads []crstore.Object) {
	for v := from; v < to; v++ {
		s.Commit(context.Background(), Proposal{Base: uint64(v), Wanted: sample(v+1, 0)})
		heads = append(heads, f.current(HeadName))
	}
	return heads
}

// TestResolveRejectsStaleChange covers a commit that lost the race, but wrote its
// change to the history before the winner replaced it. Resolve must not report it as
// accepted when it reads that stale change.
func TestResolveRejectsStaleChange(t *testing.T) {
	f := newFakeStore(1)
	s := plainStore(f)
	heads := commitVersions(s, f, 0, 3)
	for id, want := range map[string]CommitOutcome{"loser": Conflict, heads[1].WriteID: Accepted} {
		staleOnce(s, crstore.Object{Name: ChangeName(2), Version: 1, WriteID: "loser"})
		if got, err := s.Resolve(context.Background(), 2, id); got != want {
			t.Errorf("%s: %v (%v), want %v", id, got, err, want)
		}
	}
}

// TestCollectorToleratesStaleHead covers a commit based on the current head that has
// written a chunk and is paused. After the collector has read a stale head, it must
// not conclude from the next read of the current head that the commit can't succeed,
// and delete the chunk.
func TestCollectorToleratesStaleHead(t *testing.T) {
	f := newFakeStore(1)
	s := plainStore(f)
	heads := commitVersions(s, f, 0, 2)
	chunk := storedChunk{name: ChunkPrefix + "paused", value: []byte("x")}
	if err := s.writeChunk(context.Background(), chunk); err != nil {
		t.Fatal(err)
	}
	c := &Collector{Store: s}
	collect := func(after time.Duration) bool {
		if _, err := c.Collect(context.Background(), f.now.Add(after)); err != nil {
			t.Fatal(err)
		}
		return f.current(chunk.name).Version != 0
	}
	kept := collect(0)
	staleOnce(s, heads[0])
	kept = collect(time.Minute) && collect(2*time.Minute) && collect(20*time.Minute) && collect(40*time.Minute) && kept
	if !kept {
		t.Error("the chunk of a commit that may still succeed was deleted")
	}
	commitVersions(s, f, 2, 3)
	// A commit based on the new head writes the same chunk again.
	if err := s.writeChunk(context.Background(), chunk); err != nil {
		t.Fatal(err)
	}
	if !collect(50*time.Minute) || !collect(70*time.Minute) {
		t.Error("a chunk that has been written again was deleted")
	}
	commitVersions(s, f, 3, 4)
	if collect(80 * time.Minute) {
		t.Error("the chunk of a commit that must fail was kept")
	}
}

// TestAcceptedChangeReplacesLosingChange covers a commit that loses the race after it
// has written its change to the history. The accepted commit must replace that change.
func TestAcceptedChangeReplacesLosingChange(t *testing.T) {
	f := newFakeStore(1)
	s := plainStore(f)
	f.set(ChangeName(1), crstore.Object{Name: ChangeName(1), Value: encode(&pb.Change{Version: 1, Note: "loser"}), WriteID: "loser"})
	s.Commit(context.Background(), Proposal{Wanted: sample(1, 0), Author: "els", Note: "storm", At: f.now})
	history, err := s.History(context.Background(), 5)
	if err != nil || len(history) != 1 || history[0].GetNote() != "storm" || len(history[0].GetRecords()) != 31 {
		t.Errorf("history %v (%v), want the accepted change alone", history, err)
	}
}
