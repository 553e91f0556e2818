package crgrant

import (
	"time"

	pb "crocusrack/schema/crrouter"
)

// Position is a position in the history of the store: the era in the upper bits, then the
// revision, and whether what was read is final in the lowest bit, so that later positions are
// greater. The store may come back from a copy that lacks its last changes, which begins a new
// era, and then gives the revisions of these changes out again.
type Position uint64

const (
	// eraShift is the number of bits of a Position below the era.
	eraShift    = 48
	maxEra      = 1<<(64-eraShift) - 1
	maxRevision = 1<<(eraShift-1) - 1
	finalBit    = Position(1)
)

// NewPosition returns the final position of a revision in an era. The era is zero if the store
// or the sender of a message doesn't say. Greater values than a Position can hold are reduced
// to the greatest.
func NewPosition(era, revision uint64) Position {
	return Position(min(era, maxEra)<<eraShift|min(revision, maxRevision)<<1) | finalBit
}

// Provisional returns the position of the same revision for data that still holds entries which
// are missing in the store. It is before the final one.
func (p Position) Provisional() Position { return p &^ finalBit }

// IsProvisional reports whether the data still holds entries that are missing in the store.
func (p Position) IsProvisional() bool { return p != 0 && p&finalBit == 0 }

// Era returns the era, or zero if it isn't known.
func (p Position) Era() uint64 { return uint64(p) >> eraShift }

// Revision returns the revision within the era.
func (p Position) Revision() uint64 { return uint64(p) & (1<<eraShift - 1) >> 1 }

// inEra returns the same position in another era.
func (p Position) inEra(era uint64) Position {
	return Position(era)<<eraShift | p&(1<<eraShift-1)
}

// PositionOf returns the position that a message names, or zero if the revision is zero, as the
// store's revisions start above that.
func PositionOf(era, revision uint64, provisional bool) Position {
	if revision == 0 {
		return 0
	}
	return listedAt(era, revision, provisional)
}

// listedAt returns the position of data that was read of the store.
func listedAt(era, revision uint64, provisional bool) Position {
	if provisional {
		return NewPosition(era, revision).Provisional()
	}
	return NewPosition(era, revision)
}

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
func (s *State) positionFrom(at, own Position) Position {
	if at != 0 && at.Era() == 0 && s.restoredEra == 0 {
		return at.inEra(own.Era())
	}
	return at
}

// snapshotBase returns the position from which on a receiver lacks data, for a receiver that has
// the given position. It is zero if the order of the receiver's and the own position isn't known.
func (s *State) snapshotBase(have, own Position) Position {
	switch {
	case have.Era() == own.Era() || have.Era() != 0 && own.Era() != 0:
		return have
	case have != 0 && s.restoredEra == 0 && have.Revision() <= own.Revision():
		return have.inEra(own.Era())
	}
	return 0
}

// isEvidence reports whether the age of a sender's data also bounds the age of the own data,
// since the sender's isn't after it. A sender that doesn't know eras may take data for the
// newest that is older.
func (s *State) isEvidence(at, own Position) bool {
	return (at.Era() != 0 || own.Era() == 0) && s.positionFrom(at, own) <= own
}

// listed is a part of a snapshot.
type listed interface {
	GetEra() uint64
	GetRevision() uint64
	GetProvisional() bool
}

// snapshotPosition returns the position of a part of a snapshot, for a caller that doesn't hold
// the mutex. The parameter own is the position of the same part here.
func (s *State) snapshotPosition(m listed, own *Position) Position {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.positionFrom(listedAt(m.GetEra(), m.GetRevision(), m.GetProvisional()), *own)
}

// StoreEra returns the newest known era of the store, or zero, and when this instance learned
// that it had begun. The time is zero if the store didn't come back from a copy meanwhile.
func (s *State) StoreEra() (uint64, time.Time) {
	s.init()
	s.mu.Lock()
	defer s.mu.Unlock()
	return max(s.endpointsPosition, s.outsPosition, s.rolloutsPosition).Era(), s.restoredAt
}

func endpointsPositionOf(m *pb.Report) Position {
	return PositionOf(m.GetEndpointsEra(), m.GetEndpointsRevision(), m.GetEndpointsProvisional())
}

func outsPositionOf(m *pb.Report) Position {
	return PositionOf(m.GetOutsEra(), m.GetOutsRevision(), m.GetOutsProvisional())
}

// Versions are the version of the routing, and the positions of the endpoints, of the
// failure domains out of service and of the roll-outs, that an instance has. Zero means
// none.
type Versions struct {
	Routing                   uint64
	Endpoints, Outs, Rollouts Position
}
