package crcatalogue

import (
	"context"
	"errors"
	"fmt"
	"strconv"
	"strings"
	"time"

	"crocusrack/core/crstore"
)

const (
	// HistoryVersions is the number of changes that the store keeps.
	HistoryVersions = 10000
	// maxStaleness is the maximum age of the data that a read of the store returns.
	maxStaleness = 10 * time.Minute
)

// Collector deletes stored objects that are no longer needed. One instance calls
// Collect periodically; calls by several instances are safe.
type Collector struct {
	Store *Store
	// unreferenced holds the chunks that the head did not name in the last call
	// of Collect, by object name.
	unreferenced map[string]unreferencedChunk
}

// unreferencedChunk is a chunk that was listed but that the head did not name.
type unreferencedChunk struct {
	// objectVersion is the version of the chunk object in the store.
	objectVersion uint64
	// firstListed is the time when this version of the object was first listed.
	firstListed time.Time
	// catalogueVersion is a catalogue version that is not below the one that was
	// current at that time. Zero means that it is not known yet, because a read
	// of the head may be stale.
	catalogueVersion uint64
}

// Collect deletes old changes and the chunks that can't be used again. It returns
// the number of deleted objects.
//
// A commit in progress may need a chunk that no head names yet, because it writes
// its chunks before the head. So Collect deletes a chunk only once the head is
// newer than the version that was current when the chunk was first listed: a
// commit that wrote the chunk before has then failed. A commit that starts later
// updates the chunk, so that the conditional delete fails.
func (c *Collector) Collect(ctx context.Context, now time.Time) (deleted int, err error) {
	chunks, err := c.Store.List(ctx, ChunkPrefix)
	if err != nil {
		return 0, fmt.Errorf("list %s: %w", ChunkPrefix, err)
	}
	head, err := c.Store.head(ctx)
	if err != nil {
		return 0, err
	}
	if head.Head == nil {
		return 0, nil
	}
	for _, o := range c.unusedChunks(now, chunks, head) {
		if err := c.delete(ctx, o); err != nil {
			return deleted, err
		}
		deleted++
	}
	n, err := c.collectChanges(ctx, head.GetVersion())
	return deleted + n, err
}

// unusedChunks updates c.unreferenced and returns the chunks to delete.
func (c *Collector) unusedChunks(now time.Time, chunks []crstore.Object, head currentHead) []crstore.Object {
	named := make(map[string]bool)
	for _, name := range head.GetChunks() {
		named[name] = true
	}
	unreferenced := make(map[string]unreferencedChunk)
	var unused []crstore.Object
	for _, o := range chunks {
		if named[o.Name] {
			continue
		}
		s, known := c.unreferenced[o.Name]
		switch {
		case !known || s.objectVersion != o.Version:
			s = unreferencedChunk{objectVersion: o.Version, firstListed: now}
		case s.catalogueVersion == 0 && now.Sub(s.firstListed) > maxStaleness:
			s.catalogueVersion = head.GetVersion()
		case s.catalogueVersion != 0 && head.GetVersion() > s.catalogueVersion:
			unused = append(unused, o)
		}
		unreferenced[o.Name] = s
	}
	c.unreferenced = unreferenced
	return unused
}

// delete deletes the object. It returns no error if the object has changed or no
// longer exists.
func (c *Collector) delete(ctx context.Context, o crstore.Object) error {
	err := c.Store.Delete(ctx, o.Name, o.Version)
	if errors.Is(err, crstore.ErrConflict) || errors.Is(err, crstore.ErrNotFound) {
		return nil
	}
	return err
}

// collectChanges deletes all but the newest HistoryVersions changes.
func (c *Collector) collectChanges(ctx context.Context, current uint64) (deleted int, err error) {
	if current <= HistoryVersions {
		return 0, nil
	}
	changes, err := c.Store.List(ctx, ChangePrefix)
	if err != nil {
		return 0, fmt.Errorf("list %s: %w", ChangePrefix, err)
	}
	for _, o := range changes {
		version, err := strconv.ParseUint(strings.TrimPrefix(o.Name, ChangePrefix), 10, 64)
		if err != nil || version > current-HistoryVersions {
			continue
		}
		if err := c.delete(ctx, o); err != nil {
			return deleted, err
		}
		deleted++
	}
	return deleted, nil
}
