package crcatalogue

import (
	"context"
	"errors"
	"fmt"

	"crocusrack/core/crstore"
	pb "crocusrack/schema/crcatalogue"
)

// Store keeps the catalogue in the platform's store. It calls the functions of
// crstore.Store one at a time. It tolerates a store that is slow or unavailable,
// returns stale reads, or applies a write whose response is lost.
type Store struct {
	crstore.Store
	// NewWriteID returns an id that is unique among all writes.
	NewWriteID func() string
	// Pause waits before a retry; attempt is 1 for the first retry. It returns
	// an error to stop retrying. Nil means retry without waiting.
	Pause func(ctx context.Context, attempt int) error
}

// maxAttempts is the number of times that retry calls a step.
const maxAttempts = 6

// errNoCurrentData is returned when every attempt read stale or changing data.
var errNoCurrentData = errors.New("the store gave no current answer")

// retry calls step until it reports done, at most attempts times, and returns
// the error of that call. If no call reports done, it returns the last error of
// step, or errNoCurrentData if step returned none.
func (s *Store) retry(ctx context.Context, step func() (done bool, err error)) error {
	last := errNoCurrentData
	for attempt := range maxAttempts {
		if attempt > 0 {
			if err := s.pause(ctx, attempt); err != nil {
				return fmt.Errorf("%w; last: %w", err, last)
			}
		}
		done, err := step()
		if done {
			return err
		}
		if err != nil {
			last = err
		}
	}
	return last
}

func (s *Store) pause(ctx context.Context, attempt int) error {
	if err := ctx.Err(); err != nil {
		return err
	}
	if s.Pause == nil {
		return nil
	}
	return s.Pause(ctx, attempt)
}

// currentHead is the head as read from the store. Head is nil if there is none.
type currentHead struct {
	*pb.Head
	// objectVersion is the version of the head object in the store. Zero means
	// that the object does not exist.
	objectVersion uint64
}

// head reads the head. If the store has none, it returns a zero currentHead and
// no error.
func (s *Store) head(ctx context.Context) (currentHead, error) {
	o, err := s.Get(ctx, HeadName)
	if errors.Is(err, crstore.ErrNotFound) {
		return currentHead{}, nil
	}
	if err != nil {
		return currentHead{}, fmt.Errorf("get %s: %w", HeadName, err)
	}
	h, err := DecodeHead(o.Value)
	if err != nil {
		return currentHead{}, err
	}
	return currentHead{Head: h, objectVersion: o.Version}, nil
}

// Load returns the newer of have and the catalogue in the store. If the head in
// the store is not newer than have, Load returns have after a single read. If
// the store has no catalogue, Load returns have. A nil have means the empty set.
func (s *Store) Load(ctx context.Context, have *Set) (*Set, error) {
	set, _, err := s.load(ctx, have)
	return set, err
}

// load is Load and also returns the head that it read, which may be older than
// have.
func (s *Store) load(ctx context.Context, have *Set) (*Set, currentHead, error) {
	if have == nil {
		have = Empty()
	}
	set, head := have, currentHead{}
	err := s.retry(ctx, func() (bool, error) {
		var err error
		if head, err = s.head(ctx); err != nil {
			return true, err
		}
		if head.GetVersion() <= have.version {
			return true, nil
		}
		set, err = s.read(ctx, head.Head)
		// A missing chunk may mean that a newer head no longer names it and the
		// collector has deleted it: read the head again.
		return !errors.Is(err, crstore.ErrNotFound), err
	})
	if err != nil {
		return nil, currentHead{}, err
	}
	return set, head, nil
}

// read reads the chunks that h names and returns their set.
func (s *Store) read(ctx context.Context, h *pb.Head) (*Set, error) {
	var list []*pb.Record
	for _, name := range h.GetChunks() {
		o, err := s.Get(ctx, name)
		if err != nil {
			return nil, fmt.Errorf("get %s: %w", name, err)
		}
		part, err := DecodeChunk(name, o.Value)
		if err != nil {
			return nil, err
		}
		list = append(list, part...)
	}
	return assemble(h, list)
}

// History returns at most limit accepted changes, newest first. It stops at the
// first version whose change is not stored.
func (s *Store) History(ctx context.Context, limit int) ([]*pb.Change, error) {
	set, head, err := s.load(ctx, nil)
	if err != nil {
		return nil, err
	}
	if set.version == 0 {
		return nil, nil
	}
	// The stored change of the newest version may have been written by a commit
	// that lost the race for this version.
	if err := s.ensureChange(ctx, set.changeOf(head.Head), head.GetWriteId()); err != nil {
		return nil, err
	}
	var list []*pb.Change
	for version := set.version; version > 0 && len(list) < limit; version-- {
		o, err := s.Get(ctx, ChangeName(version))
		if errors.Is(err, crstore.ErrNotFound) {
			break
		}
		if err != nil {
			return nil, fmt.Errorf("get %s: %w", ChangeName(version), err)
		}
		c, err := DecodeChange(o.Value)
		if err != nil {
			return nil, err
		}
		list = append(list, c)
	}
	return list, nil
}
