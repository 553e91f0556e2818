package crgrant

import "time"

// Position is a position in the history of the store: the era in the upper bits and the
// revision in the lower ones, so that later positions are greater. The store may come back from
// a copy that lacks its last changes, which begins a new era, and then gives the revisions of
// these changes out again.
type Position uint64

const (
	// revisionBits is the number of bits of a Position that hold the revision.
	revisionBits = 48
	maxRevision  = 1<<revisionBits - 1
	maxEra       = 1<<(64-revisionBits) - 1
)

// NewPosition returns the position of a revision in an era. The era is zero if the store or the
// sender of a message doesn't say. Greater values than a Position can hold are reduced to the
// greatest.
func NewPosition(era, revision uint64) Position {
	return Position(min(era, maxEra)<<revisionBits | min(revision, maxRevision))
}

// Era returns the era, or zero if it isn't known.
func (p Position) Era() uint64 { return uint64(p) >> revisionBits }

// Revision returns the revision within the era.
func (p Position) Revision() uint64 { return uint64(p) & maxRevision }

// entersEra reports whether the step from one position to another begins an era, because the
// store came back from a copy, and remembers that. The caller holds the mutex.
func (s *State) entersEra(now time.Time, from, to Position) bool {
	if from.Era() == 0 || to.Era() <= from.Era() {
		return false
	}
	if to.Era() > s.restoredEra {
		s.restoredEra, s.restoredAt = to.Era(), now
	}
	return true
}

// positionFrom returns the position that a message names. A sender that names no era is assumed
// to be in that of the own position until the store came back from a copy. From then on it isn't
// known which of its revisions were given out again, and its positions count as before all
// others.
func (s *State) positionFrom(era, revision uint64, own Position) Position {
	if era == 0 && revision > 0 && s.restoredEra == 0 {
		era = own.Era()
	}
	return NewPosition(era, revision)
}

// snapshotBase returns the position from which on a receiver lacks data, for a receiver that has
// the given position. It is zero if the order of the receiver's and the own position isn't known.
func (s *State) snapshotBase(have, own Position) Position {
	switch {
	case have.Era() == own.Era() || have.Era() != 0 && own.Era() != 0:
		return have
	case s.restoredEra == 0 && have.Revision() <= own.Revision():
		return NewPosition(own.Era(), have.Revision())
	}
	return 0
}

// isEvidence reports whether the age of a sender's data also bounds the age of the own data,
// since the sender's isn't after it. A sender that doesn't know eras may take data for the
// newest that is older.
func (s *State) isEvidence(era, revision uint64, own Position) bool {
	return (era != 0 || own.Era() == 0) && s.positionFrom(era, revision, own) <= own
}

// snapshotPosition returns the position that a snapshot names, for a caller that doesn't hold
// the mutex.
func (s *State) snapshotPosition(era, revision uint64, own *Position) Position {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.positionFrom(era, revision, *own)
}

// StoreEra returns the newest known era of the store, or zero, and when this instance learned
// that it had begun. The time is zero if the store didn't come back from a copy meanwhile.
func (s *State) StoreEra() (uint64, time.Time) {
	s.init()
	s.mu.Lock()
	defer s.mu.Unlock()
	return max(s.endpointsPosition, s.outsPosition, s.rolloutsPosition).Era(), s.restoredAt
}
