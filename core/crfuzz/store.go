package crfuzz

import (
	"context"
	"errors"

	"crocusrack/core/crstore"
)

// Fault is a fault that a Store injects into a call.
type Fault int

// The faults of a call.
const (
	// NoFault means that the call takes effect and its response arrives.
	NoFault Fault = iota
	// Refused means that the store rejects the call with crstore.ErrRefused.
	Refused
	// RequestLost means that the call never reaches the store.
	RequestLost
	// ResponseLost means that a write takes effect but its response is lost.
	ResponseLost
	// Delayed means that the response is lost and a write takes effect only when
	// Store.ApplyDelayed is called.
	Delayed

	// FaultCount is the number of faults, including NoFault.
	FaultCount
)

// errLost is returned by calls whose request or response is lost.
var errLost = errors.New("connection lost")

// Store is an in-memory object store that injects the faults that a test chooses. It
// is not safe for concurrent use.
type Store struct {
	// Objects holds the stored objects by name.
	Objects map[string]crstore.Object
	// Next returns the fault of the next call. Nil means no faults.
	Next func() Fault
	// Delayed holds the delayed writes that have not taken effect yet.
	Delayed []crstore.Object

	// version is the version of the most recently written object.
	version uint64
}

// Functions returns the functions through which the code under test accesses the store. It
// provides Get, Create and Update.
func (s *Store) Functions() crstore.Store {
	return crstore.Store{Get: s.get, Create: s.write, Update: s.write}
}

// ApplyDelayed removes the write with index i from Delayed and applies it. The write still
// fails if its condition on the object version is not met.
func (s *Store) ApplyDelayed(i int) {
	o := s.Delayed[i]
	s.Delayed = append(s.Delayed[:i:i], s.Delayed[i+1:]...)
	s.apply(o)
}

// fault returns the fault of the current call.
func (s *Store) fault() Fault {
	if s.Next == nil {
		return NoFault
	}
	return s.Next()
}

func (s *Store) get(_ context.Context, name string) (crstore.Object, error) {
	switch s.fault() {
	case NoFault:
	case Refused:
		return crstore.Object{}, crstore.ErrRefused
	default:
		return crstore.Object{}, errLost
	}
	o, found := s.Objects[name]
	if !found {
		return crstore.Object{}, crstore.ErrNotFound
	}
	return o, nil
}

func (s *Store) write(_ context.Context, o crstore.Object) (uint64, error) {
	switch s.fault() {
	case Refused:
		return 0, crstore.ErrRefused
	case RequestLost:
		return 0, errLost
	case Delayed:
		s.Delayed = append(s.Delayed, o)
		return 0, errLost
	case ResponseLost:
		s.apply(o)
		return 0, errLost
	}
	return s.apply(o)
}

// apply performs a conditional write and returns the new version. Version 0 means
// that the object must not exist yet.
func (s *Store) apply(o crstore.Object) (uint64, error) {
	current, found := s.Objects[o.Name]
	switch {
	case found && o.Version == 0:
		return 0, crstore.ErrExists
	case current.Version != o.Version:
		return 0, crstore.ErrConflict
	}
	if s.Objects == nil {
		s.Objects = map[string]crstore.Object{}
	}
	s.version++
	o.Version = s.version
	s.Objects[o.Name] = o
	return o.Version, nil
}
