// Package crstore defines the interface of the core packages to the platform's
// object store: versioned objects, conditional writes, and the resolution of
// writes whose answer was lost.
package crstore

import (
	"context"
	"errors"
)

// Errors that the functions of a Store return, possibly wrapped. After any other
// error of a write, the write may have taken effect or may still do so later.
var (
	// ErrNotFound is returned when no object has the name.
	ErrNotFound = errors.New("object not found")
	// ErrExists is returned by Create when an object with the name exists.
	ErrExists = errors.New("object exists")
	// ErrConflict is returned by Update and Delete when the given version isn't
	// the current one.
	ErrConflict = errors.New("object version is not the current one")
	// ErrRefused is returned for a call that the store rejected, such as one that
	// exceeds its rate limit. A rejected write certainly never takes effect.
	ErrRefused = errors.New("store refused the call")
)

// Object is a named value with the version that the store assigned to it.
type Object struct {
	Name string
	// Version grows with every change in the store. Zero means that the object
	// isn't stored yet.
	Version uint64
	Value   []byte
	// WriteID is a unique id that the writer chooses for each write. The writer
	// recognizes its own write by it when it reads the object back.
	WriteID string
}

// Store holds the functions that access an object store. It is safe for
// concurrent use if its functions are. Functions that aren't called may be nil.
type Store struct {
	// Get returns the current object with the name.
	Get func(ctx context.Context, name string) (Object, error)
	// Create stores an object under a name that doesn't exist yet and returns
	// its version.
	Create func(ctx context.Context, o Object) (uint64, error)
	// Update replaces the object if its current version is o.Version, and returns
	// the new version.
	Update func(ctx context.Context, o Object) (uint64, error)
	// Delete removes an object if its current version is the given one.
	Delete func(ctx context.Context, name string, version uint64) error
	// List returns the objects whose names begin with the prefix.
	List func(ctx context.Context, prefix string) ([]Object, error)
}

// Result is what Store.Write knows about the effect of a write.
type Result uint8

const (
	// Written means that the write has taken effect.
	Written Result = iota + 1
	// Conflict means that another write preceded this one, which never takes effect.
	Conflict
	// NotWritten means that the store refused the write, which never takes effect.
	NotWritten
	// Unknown means that the write may have taken effect, or may still do so.
	Unknown
)

// String returns the name of the result in kebab case.
func (r Result) String() string {
	switch r {
	case Written:
		return "written"
	case Conflict:
		return "lost"
	case NotWritten:
		return "not-written"
	case Unknown:
		return "unknown"
	}
	return "invalid"
}

// Write creates the object, or updates it if its version isn't zero. Unless the
// store confirms or refuses the write, it reads the object back and compares the
// write ids. For the result Written, the returned object is the one written, with
// its new version. For Conflict, it is the stored object, or the zero Object if that
// couldn't be read.
//
// If the store reported a conflict and the object couldn't be read, the result is
// Lost, although the conflict may be with an earlier attempt of this same write.
func (s Store) Write(ctx context.Context, o Object) (Object, Result) {
	write := s.Create
	if o.Version != 0 {
		write = s.Update
	}
	version, err := write(ctx, o)
	switch {
	case err == nil:
		o.Version = version
		return o, Written
	case errors.Is(err, ErrRefused):
		return Object{}, NotWritten
	case errors.Is(err, ErrExists), errors.Is(err, ErrConflict), errors.Is(err, ErrNotFound):
		// Create or Update may have sent this write twice after the first answer was lost,
		// so the object that conflicts with this write can be its own result.
		return s.readBack(ctx, o, Conflict)
	}
	return s.readBack(ctx, o, Unknown)
}

// readBack reads the object after a write that wasn't confirmed and returns it
// with the result of the write. If the object can't be read, or the version read is
// still the one to be replaced, the read doesn't show whether the write takes effect,
// and readBack returns the result given in the parameter unconfirmed.
func (s Store) readBack(ctx context.Context, o Object, unconfirmed Result) (Object, Result) {
	current, err := s.Get(ctx, o.Name)
	switch {
	case err != nil:
		return Object{}, unconfirmed
	case current.WriteID == o.WriteID:
		return current, Written
	case current.Version == o.Version:
		return current, unconfirmed
	}
	return current, Conflict
}
