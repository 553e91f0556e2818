package crcatalogue

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"time"

	"google.golang.org/protobuf/types/known/timestamppb"

	"crocusrack/core/crstore"
	pb "crocusrack/schema/crcatalogue"
)

// Proposal is a complete catalogue that an operator wants to make current.
type Proposal struct {
	// Base is the version that Wanted was derived from.
	Base   uint64
	Wanted *pb.Catalogue
	// Author, Note and At are stored with the change in the history.
	Author string
	Note   string
	At     time.Time
	// Have is a set that the code that calls Commit has already loaded. It saves
	// reads and may be nil.
	Have *Set
}

// CommitOutcome is the result of a commit.
type CommitOutcome uint8

// The outcomes of a commit.
const (
	// Accepted means that the update of the head took effect, or that the
	// wanted catalogue equals the current one.
	Accepted CommitOutcome = iota
	// Conflict means that the base is not the current version. The catalogue
	// was not changed.
	Conflict
	// Invalid means that the wanted catalogue failed validation. The catalogue
	// was not changed.
	Invalid
	// Unknown means that the update of the head may have taken effect or may
	// still do so. Store.Resolve determines the outcome later.
	Unknown
	// Unavailable means that the store failed before the head could be updated.
	// The catalogue was not changed.
	Unavailable
)

var commitOutcomeNames = [...]string{
	Accepted: "accepted", Conflict: "conflict", Invalid: "invalid", Unknown: "unknown", Unavailable: "unavailable",
}

// String returns the name of the outcome in lower case.
func (o CommitOutcome) String() string {
	if int(o) < len(commitOutcomeNames) {
		return commitOutcomeNames[o]
	}
	return "undefined"
}

// CommitResult describes the outcome of a commit.
type CommitResult struct {
	Outcome CommitOutcome
	// Version is the accepted or possibly accepted version. On a conflict it is
	// the current version, or the base version if the current one could not be
	// read.
	Version uint64
	// Set is the accepted set. On a conflict it is the current set, or nil if
	// that could not be read.
	Set *Set
	// Changed lists the keys of the changed records.
	Changed []string
	// Differences, on a conflict, are those from the current catalogue to the
	// wanted one. Set.Since(Base) returns what others have changed.
	Differences []Difference
	// Problems lists what is wrong if the outcome is Invalid.
	Problems []Problem
	// WriteID identifies the write of the head. Store.Resolve needs it.
	WriteID string
	// Err is the reason why the outcome is Unknown or Unavailable, why the
	// current set could not be read on a conflict, or why the change of an
	// accepted version is not in the history yet.
	Err error
}

// Commit makes the wanted catalogue current if its base is still the current
// version. It writes the changed chunks, then the change for the history, and
// then the head. Only the conditional update of the head decides whether the
// commit takes effect. If the response of that update is lost, Commit reads the
// head back and compares the write id.
func (s *Store) Commit(ctx context.Context, p Proposal) CommitResult {
	if problems := Validate(p.Wanted); len(problems) > 0 {
		return CommitResult{Outcome: Invalid, Problems: problems}
	}
	c := commit{Store: s, proposal: p, writeID: s.NewWriteID()}
	if err := c.loadBase(ctx); err != nil {
		return CommitResult{Outcome: Unavailable, Err: err}
	}
	if c.base.version != p.Base {
		return c.conflictResult(c.base)
	}
	if problems := ValidateChange(c.base, p.Wanted); len(problems) > 0 {
		return CommitResult{Outcome: Invalid, Problems: problems}
	}
	c.next, c.change = c.base.Next(p.Author, p.Note, p.Wanted)
	c.change.At = timestamppb.New(p.At)
	if len(c.change.GetRecords()) == 0 {
		return CommitResult{Outcome: Accepted, Version: c.base.version, Set: c.base}
	}
	if err := c.prepare(ctx); err != nil {
		return CommitResult{Outcome: Unavailable, Err: err}
	}
	return c.commitHead(ctx)
}

// commit is the state of a commit in progress.
type commit struct {
	*Store
	proposal Proposal
	writeID  string
	base     *Set
	head     currentHead
	next     *Set
	change   *pb.Change
	chunks   []storedChunk
}

// loadBase reads the current set. It rejects a head that is older than the base
// or the known set of the proposal, as such a read is stale.
func (c *commit) loadBase(ctx context.Context) error {
	known := c.proposal.Have
	if known == nil {
		known = Empty()
	}
	minVersion := max(c.proposal.Base, known.version)
	err := c.retry(ctx, func() (bool, error) {
		var err error
		if c.base, c.head, err = c.load(ctx, known); err != nil {
			return true, err
		}
		if c.head.GetVersion() < known.version {
			return false, fmt.Errorf("%s: read version %d after %d", HeadName, c.head.GetVersion(), known.version)
		}
		return c.head.GetVersion() >= minVersion, nil
	})
	if errors.Is(err, errNoCurrentData) && c.base != nil {
		// The proposal's base is a version that doesn't exist, which Commit
		// reports as a conflict.
		return nil
	}
	return err
}

// prepare writes all objects that the new head refers to. They have no effect
// until the head is updated.
func (c *commit) prepare(ctx context.Context) error {
	c.chunks = c.next.split(len(c.head.GetChunks()))
	named := make(map[string]bool)
	for _, name := range c.head.GetChunks() {
		named[name] = true
	}
	for _, chunk := range c.chunks {
		if named[chunk.name] {
			continue
		}
		if err := c.writeChunk(ctx, chunk); err != nil {
			return err
		}
	}
	if c.base.version > 0 {
		// If the store's response to the commit of the base version was lost, that
		// commit looks at the head to learn whether it was accepted. Once the head
		// is replaced, only the stored change of the base version shows it.
		if err := c.ensureChange(ctx, c.base.changeOf(c.head.Head), c.head.GetWriteId()); err != nil {
			return err
		}
	}
	return c.createChange(ctx)
}

// writeChunk creates a chunk. If the chunk exists already, it is updated with the
// same content, which gives it a new object version. A collector that saw the old
// version then can't delete the chunk, because its delete is conditional on that
// version.
func (s *Store) writeChunk(ctx context.Context, chunk storedChunk) error {
	return s.retry(ctx, func() (bool, error) {
		_, err := s.Create(ctx, crstore.Object{Name: chunk.name, Value: chunk.value})
		if !errors.Is(err, crstore.ErrExists) {
			return err == nil, err
		}
		o, err := s.Get(ctx, chunk.name)
		if err != nil {
			return false, err
		}
		if !bytes.Equal(o.Value, chunk.value) {
			return true, fmt.Errorf("%s: the stored content doesn't fit the name", chunk.name)
		}
		_, err = s.Update(ctx, o)
		return err == nil, err
	})
}

// createChange writes the change, unless a concurrent commit of the same version
// has already written its own. The commit that is accepted overwrites a change that
// isn't its own; see ensureChange.
func (c *commit) createChange(ctx context.Context) error {
	o := crstore.Object{Name: ChangeName(c.change.GetVersion()), Value: encode(c.change), WriteID: c.writeID}
	return c.retry(ctx, func() (bool, error) {
		_, err := c.Create(ctx, o)
		if errors.Is(err, crstore.ErrExists) {
			return true, nil
		}
		return err == nil, err
	})
}

// ensureChange makes sure that the stored change of a version is that of the
// accepted write, which has the given write id. It creates or overwrites the
// object if necessary.
func (s *Store) ensureChange(ctx context.Context, change *pb.Change, writeID string) error {
	want := crstore.Object{Name: ChangeName(change.GetVersion()), Value: encode(change), WriteID: writeID}
	return s.retry(ctx, func() (bool, error) {
		o, err := s.Get(ctx, want.Name)
		switch {
		case errors.Is(err, crstore.ErrNotFound):
			_, err = s.Create(ctx, want)
		case err == nil && o.WriteID == writeID:
			return true, nil
		case err == nil:
			want.Version = o.Version
			_, err = s.Update(ctx, want)
		}
		return err == nil, err
	})
}

// writeStatus is what is known about the effect of a write of the head.
type writeStatus uint8

const (
	undecided writeStatus = iota
	tookEffect
	lostRace
)

// commitHead updates the head and returns the result of the commit. The update is
// conditional on the object version, so that repeating it is safe.
func (c *commit) commitHead(ctx context.Context) CommitResult {
	write := crstore.Object{
		Name:    HeadName,
		Version: c.head.objectVersion,
		Value:   encode(c.next.headOf(c.chunks, c.change, c.writeID)),
		WriteID: c.writeID,
	}
	// unanswered is true once a write got no response, so that it may have taken
	// effect.
	var unanswered bool
	var result writeStatus
	err := c.retry(ctx, func() (bool, error) {
		err := c.writeHead(ctx, write)
		switch {
		case err == nil:
			result = tookEffect
		case errors.Is(err, crstore.ErrConflict), errors.Is(err, crstore.ErrExists), errors.Is(err, crstore.ErrNotFound):
			result, err = c.statusAfterConflict(ctx, unanswered)
		case !errors.Is(err, crstore.ErrRefused):
			unanswered = true
		}
		return result != undecided, err
	})
	switch {
	case result == tookEffect:
		return c.acceptedResult(ctx)
	case result == lostRace:
		return c.lostRaceResult(ctx)
	case unanswered:
		return CommitResult{Outcome: Unknown, Version: c.next.version, Changed: c.changedKeys(), WriteID: c.writeID, Err: err}
	}
	return CommitResult{Outcome: Unavailable, Err: err}
}

func (c *commit) writeHead(ctx context.Context, o crstore.Object) error {
	var err error
	if o.Version == 0 {
		_, err = c.Create(ctx, o)
	} else {
		_, err = c.Update(ctx, o)
	}
	return err
}

// statusAfterConflict returns the status of the write after the store reported a version
// conflict. If every earlier write of this commit got a response, none of them
// took effect and another commit has won. Otherwise the conflict may stem from
// this commit's own write, and the head is read back.
func (c *commit) statusAfterConflict(ctx context.Context, unanswered bool) (writeStatus, error) {
	if !unanswered {
		return lostRace, nil
	}
	return c.readBack(ctx, c.next.version, c.writeID)
}

// readBack determines whether the write of the head with this version and write
// id took effect. If the head is newer by now, the stored change of the version
// decides: before the next commit wrote its head, it made sure that this change is
// that of the accepted write.
func (s *Store) readBack(ctx context.Context, version uint64, writeID string) (writeStatus, error) {
	head, err := s.head(ctx)
	if err != nil {
		return undecided, err
	}
	switch {
	case head.GetVersion() < version:
		return undecided, nil
	case head.GetVersion() == version:
		return statusOf(head.GetWriteId() == writeID), nil
	}
	o, err := s.Get(ctx, ChangeName(version))
	if err != nil {
		return undecided, err
	}
	// A conditional update with the same content proves that the read was not
	// stale.
	if _, err := s.Update(ctx, o); err != nil {
		return undecided, err
	}
	return statusOf(o.WriteID == writeID), nil
}

func statusOf(own bool) writeStatus {
	if own {
		return tookEffect
	}
	return lostRace
}

// Resolve determines the outcome of a commit whose outcome was Unknown, from the
// version and the write id in its result. It returns Accepted, Conflict (the
// commit was not accepted and never will be), or Unknown with the reason.
func (s *Store) Resolve(ctx context.Context, version uint64, writeID string) (CommitOutcome, error) {
	var result writeStatus
	err := s.retry(ctx, func() (bool, error) {
		var err error
		result, err = s.readBack(ctx, version, writeID)
		return result != undecided, err
	})
	switch result {
	case tookEffect:
		return Accepted, nil
	case lostRace:
		return Conflict, nil
	}
	return Unknown, err
}

func (c *commit) changedKeys() []string {
	var keys []string
	for _, r := range c.change.GetRecords() {
		keys = append(keys, r.GetKey())
	}
	return keys
}

func (c *commit) acceptedResult(ctx context.Context) CommitResult {
	result := CommitResult{Outcome: Accepted, Version: c.next.version, Set: c.next, Changed: c.changedKeys(), WriteID: c.writeID}
	// If this fails, the next commit or call of History corrects the change.
	result.Err = c.ensureChange(ctx, c.change, c.writeID)
	return result
}

// lostRaceResult reads the set that is current after another commit has won the race, and
// returns the conflict.
func (c *commit) lostRaceResult(ctx context.Context) CommitResult {
	var current *Set
	err := c.retry(ctx, func() (bool, error) {
		var err error
		current, err = c.Load(ctx, c.base)
		return err == nil && current.version > c.base.version, err
	})
	if err != nil {
		// The base is no longer current, but the current set can't be read.
		return CommitResult{Outcome: Conflict, Version: c.base.version, Err: err}
	}
	return c.conflictResult(current)
}

func (c *commit) conflictResult(current *Set) CommitResult {
	return CommitResult{
		Outcome:     Conflict,
		Version:     current.version,
		Set:         current,
		Differences: current.differences(c.proposal.Wanted),
	}
}
