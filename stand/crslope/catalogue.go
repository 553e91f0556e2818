package crslope

import (
	"context"
	"fmt"

	"google.golang.org/protobuf/proto"

	"crocusrack/core/crcatalogue"
	"crocusrack/core/crstore"
	pb "crocusrack/schema/crcatalogue"
)

const (
	// besideEndpoints and besideAccounts are there while the other count grows.
	besideEndpoints = 1_000
	besideAccounts  = 4_000
)

// accountsFor returns the accounts in the target's proportion.
func accountsFor(endpointCount int) int { return endpointCount * targetAccounts / targetEndpoints }

func proportional(endpointCount int) *pb.Catalogue {
	return catalogue(endpointCount, accountsFor(endpointCount))
}

func catalogueMemory(_ *runner, size int) (float64, error) {
	return setMemory(proportional(size)), nil
}

func catalogueAccountMemory(_ *runner, size int) (float64, error) {
	return setMemory(catalogue(besideEndpoints, size)), nil
}

// setMemory is that of a set as a peer sends it: decoded from the wire.
func setMemory(c *pb.Catalogue) float64 {
	data, err := proto.Marshal(crcatalogue.FromCatalogue(c, 1).Since(0).Proto())
	if err != nil {
		return 0
	}
	return heapOf(func() *crcatalogue.Set { return decodeSet(data) })
}

func decodeSet(data []byte) *crcatalogue.Set {
	p := crcatalogue.Delta{}.Proto()
	if err := proto.Unmarshal(data, p); err != nil {
		return nil
	}
	set, _ := crcatalogue.Empty().Apply(crcatalogue.DeltaFromProto(p))
	return set
}

func wholeBytes(_ *runner, size int) (float64, error) {
	set := crcatalogue.FromCatalogue(proportional(size), 1)
	return float64(proto.Size(set.Since(0).Proto())), nil
}

// change returns a set and the next one.
func change(c *pb.Catalogue, edit func(*pb.Catalogue)) (before, after *crcatalogue.Set) {
	before = crcatalogue.FromCatalogue(c, 1)
	wanted := before.Catalogue()
	edit(wanted)
	after, _ = before.Next("slopes", "", wanted)
	return before, after
}

func takeOut(c *pb.Catalogue) { c.Endpoints[len(c.Endpoints)/2].Out = true }

func raise(c *pb.Catalogue) { c.ClientAccounts[len(c.ClientAccounts)/2].Rate++ }

func deltaBytes(_ *runner, size int) (float64, error) {
	_, after := change(proportional(size), takeOut)
	return float64(proto.Size(after.Since(1).Proto())), nil
}

func sinceTime(r *runner, size int) (float64, error) {
	_, after := change(proportional(size), takeOut)
	return r.timeOf(func(int) { after.Since(1) }), nil
}

func applyTime(r *runner, size int) (float64, error) {
	return timeApply(r, catalogue(size, besideAccounts), takeOut)
}

func applyAccountTime(r *runner, size int) (float64, error) {
	return timeApply(r, catalogue(besideEndpoints, size), raise)
}

func timeApply(r *runner, c *pb.Catalogue, edit func(*pb.Catalogue)) (float64, error) {
	before, after := change(c, edit)
	d := after.Since(1)
	if _, outcome := before.Apply(d); outcome != crcatalogue.Applied {
		return 0, fmt.Errorf("the delta was not applied: outcome %d", outcome)
	}
	return r.timeOf(func(int) { before.Apply(d) }), nil
}

// countingStore holds objects in memory and counts calls.
type countingStore struct {
	objects       map[string]crstore.Object
	reads, writes int
	ids           int
}

func (s *countingStore) store() *crcatalogue.Store {
	return &crcatalogue.Store{
		Store:      crstore.Store{Get: s.get, Create: s.create, Update: s.update},
		NewWriteID: s.writeID,
	}
}

func (s *countingStore) writeID() string {
	s.ids++
	return fmt.Sprint("write-", s.ids)
}

func (s *countingStore) get(_ context.Context, name string) (crstore.Object, error) {
	s.reads++
	o, ok := s.objects[name]
	if !ok {
		return o, crstore.ErrNotFound
	}
	return o, nil
}

func (s *countingStore) create(_ context.Context, o crstore.Object) (uint64, error) {
	s.writes++
	if _, ok := s.objects[o.Name]; ok {
		return 0, crstore.ErrExists
	}
	return s.put(o), nil
}

func (s *countingStore) update(_ context.Context, o crstore.Object) (uint64, error) {
	s.writes++
	if s.objects[o.Name].Version != o.Version {
		return 0, crstore.ErrConflict
	}
	return s.put(o), nil
}

func (s *countingStore) put(o crstore.Object) uint64 {
	o.Version++
	s.objects[o.Name] = o
	return o.Version
}

// committed returns a store with a catalogue in it.
func committed(c *pb.Catalogue) (*countingStore, *crcatalogue.Set, error) {
	s := &countingStore{objects: make(map[string]crstore.Object)}
	set, err := s.commit(c, nil)
	return s, set, err
}

func (s *countingStore) commit(c *pb.Catalogue, have *crcatalogue.Set) (*crcatalogue.Set, error) {
	p := crcatalogue.Proposal{Wanted: c, Author: "slopes", At: now, Have: have}
	if have != nil {
		p.Base = have.Version()
	}
	result := s.store().Commit(context.Background(), p)
	if result.Outcome != crcatalogue.Accepted {
		return nil, fmt.Errorf("the commit was not accepted: %v %v %w", result.Outcome, result.Problems, result.Err)
	}
	return result.Set, nil
}

func commitWrites(_ *runner, size int) (float64, error) {
	s, set, err := committed(proportional(size))
	if err != nil {
		return 0, err
	}
	wanted := set.Catalogue()
	takeOut(wanted)
	s.writes = 0
	if _, err := s.commit(wanted, set); err != nil {
		return 0, err
	}
	return float64(s.writes), nil
}

func loadReads(_ *runner, size int) (float64, error) {
	s, _, err := committed(proportional(size))
	if err != nil {
		return 0, err
	}
	s.reads = 0
	if _, err := s.store().Load(context.Background(), nil); err != nil {
		return 0, err
	}
	return float64(s.reads), nil
}
