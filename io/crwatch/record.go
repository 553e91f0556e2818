package crwatch

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"slices"
	"sync"
	"time"

	"go.uber.org/zap"
	"google.golang.org/protobuf/proto"

	"crocusrack/core/crbackoff"
	"crocusrack/core/crgrant"
	"crocusrack/core/crversion"
	pb "crocusrack/schema/crrouter"
)

const (
	// versionsPause is the time between two checks whether the record of versions has changed.
	versionsPause = 250 * time.Millisecond
	// recordReadPause is the time between two reads of the record while there are newcomers. Behind a
	// cut, another instance may write it, too.
	recordReadPause = 500 * time.Millisecond
	// versionsTimeout bounds a read of the versions of services. Callers wait for it.
	versionsTimeout = 400 * time.Millisecond
	// versionsWait is how long that read waits for changes.
	versionsWait = time.Millisecond
	// changesTime is the time since the last read up to which the changes since then are read instead
	// of all endpoints. Each endpoint writes about once a second.
	changesTime = 5 * time.Second
)

// Record keeps in the store at which versions of services streams begin, or began lately.
type Record struct {
	// Read returns the record, or the zero value if there is none. It must not return one from before
	// the call.
	Read func(ctx context.Context) (Kept, error)
	// Save replaces the record of the given revision, or creates it if the revision is zero. It returns
	// the new revision. If the record has another revision, the error is a *Conflict.
	Save func(ctx context.Context, revision uint64, data []byte) (uint64, error)
}

// recordKeeper writes the record of versions while this instance is the one that writes to the store.
type recordKeeper struct {
	*Watcher
	// kept is the record that this instance knows. read is false before it is known what the store
	// holds.
	kept   Kept
	read   bool
	readAt time.Time
}

// keepRecord reads the record of the versions at which streams begin, and saves it when it changes while
// this instance is the one that writes to the store. Streams begin at a version once that is done. An
// instance that starts after a loss of all instances sees only the versions that are listed.
func (w *Watcher) keepRecord(ctx context.Context) {
	kept, err := w.loadRecord(ctx)
	if err != nil {
		return
	}
	var tasks sync.WaitGroup
	defer tasks.Wait()
	tasks.Go(func() { w.keepStreams(ctx) })
	k := &recordKeeper{Watcher: w, kept: kept, read: true}
	era := uint64(0)
	for crbackoff.Sleep(ctx, versionsPause) == nil {
		if w.cameBack(&era) {
			k.read = false
		}
		if !w.State.KeepsRecord(time.Now()) {
			continue
		}
		callCtx, cancel := context.WithTimeout(ctx, callTimeout)
		err := k.save(callCtx)
		cancel()
		if err != nil {
			// The write may have been done.
			k.read = false
			w.failed(ctx, err)
		}
	}
}

// save writes the record if it has changed. What another instance has written meanwhile is taken over.
func (k *recordKeeper) save(ctx context.Context) error {
	if !k.read || k.State.HasNewcomers(time.Now()) && time.Since(k.readAt) >= recordReadPause {
		kept, err := k.Versions.Read(ctx)
		if err != nil {
			return err
		}
		k.takeOver(kept)
	}
	record := k.State.VersionRecord(time.Now())
	data, err := proto.MarshalOptions{Deterministic: true}.Marshal(record)
	if err != nil {
		k.Log.Error("watch: versions can't be encoded", zap.Error(err))
		return nil
	}
	if bytes.Equal(data, k.kept.Data) {
		return nil
	}
	revision, err := k.Versions.Save(ctx, k.kept.Revision, data)
	var conflict *Conflict
	switch {
	case errors.As(err, &conflict):
		k.takeOver(conflict.Kept)
		return nil
	case err != nil:
		return err
	}
	k.kept = Kept{Revision: revision, Data: data}
	k.State.AddVersions(time.Now(), record)
	k.Log.Info("watch: the record of versions changed", zap.Uint64("revision", revision), zap.Int("services", len(record.GetServices())))
	return nil
}

func (k *recordKeeper) takeOver(kept Kept) {
	k.kept, k.read, k.readAt = kept, true, time.Now()
	k.State.AddVersions(time.Now(), k.decodeRecord(kept.Data))
}

// loadRecord reads the record of the versions at which streams begin and, if a service has several, the
// versions that began streams. It returns an error once the context has ended.
func (w *Watcher) loadRecord(ctx context.Context) (Kept, error) {
	retry := crbackoff.Backoff{Base: retryBase, Max: retryMax}
	for attempt := 0; ; attempt++ {
		callCtx, cancel := context.WithTimeout(ctx, callTimeout)
		kept, err := w.Versions.Read(callCtx)
		m := w.decodeRecord(kept.Data)
		if err == nil && slices.ContainsFunc(m.GetServices(), func(s *pb.ServiceVersions) bool { return len(s.GetVersions()) > 1 }) {
			w.streamsRead.Store(time.Now().UnixNano())
			err = w.loadStreams(callCtx)
		}
		cancel()
		if err == nil {
			w.State.AddVersions(time.Now(), m)
			return kept, nil
		}
		w.Log.Debug("watch: kept versions can't be read yet", zap.Error(err))
		if err := retry.Sleep(ctx, attempt); err != nil {
			return Kept{}, err
		}
	}
}

// decodeRecord decodes the record of the versions at which streams begin. It is empty if it can't be
// read.
func (w *Watcher) decodeRecord(data []byte) *pb.VersionHistory {
	m := &pb.VersionHistory{}
	if err := proto.Unmarshal(data, m); err != nil {
		w.Log.Warn("watch: kept versions are not readable", zap.Error(err))
		return &pb.VersionHistory{}
	}
	return m
}

// errStoreLost means that the store wasn't asked, because earlier calls have failed.
var errStoreLost = errors.New("the store is out of reach")

// versionReads is the state of reads of the versions of services.
type versionReads struct {
	mu sync.Mutex
	// failedAt is when the last read failed, by the clock of State.Elapsed, and err its error.
	failedAt time.Duration
	err      error
	// at is the position of the last read, and readAt its start.
	at     crgrant.Position
	readAt time.Duration
}

// ReadVersions brings what is known of the versions of services up to date, for a stream that a caller
// takes up while the list of endpoints is too old to tell whether there are others. It leaves the list
// in force as it is. Calls that come together share a read. It fails at once while the store is out of
// reach.
func (w *Watcher) ReadVersions(ctx context.Context) error {
	called := w.State.Elapsed()
	r := &w.versionReads
	r.mu.Lock()
	defer r.mu.Unlock()
	if age, ok := w.State.VersionsAge(time.Now()); ok && age <= crversion.RecentList {
		return nil
	}
	if r.err != nil && r.failedAt >= called {
		return r.err
	}
	if w.outage.isLost() {
		return errStoreLost
	}
	start := w.State.Elapsed()
	ctx, cancel := context.WithTimeout(ctx, versionsTimeout)
	defer cancel()
	changes, at, err := w.readChanges(ctx, start)
	if err != nil {
		r.err, r.failedAt = fmt.Errorf("versions of services: %w", err), w.State.Elapsed()
		return r.err
	}
	r.at, r.readAt = at, start
	// The list is read first: no stream begins at a version that the record lacked after it was listed.
	record, err := w.Versions.Read(ctx)
	if err != nil {
		r.err, r.failedAt = fmt.Errorf("record of versions: %w", err), w.State.Elapsed()
		return r.err
	}
	r.err = nil
	var list []*pb.Endpoint
	for _, c := range changes {
		if c.Value != nil && !c.Removed {
			list = append(list, c.Value)
		}
	}
	w.State.SeeVersions(time.Now(), start, list, w.decodeRecord(record.Data))
	return nil
}

// readChanges returns the endpoints that changed since the last read, or all if that was long ago or
// the store doesn't have its history any more. The caller holds the mutex of versionReads.
func (w *Watcher) readChanges(ctx context.Context, start time.Duration) ([]Change[pb.Endpoint], crgrant.Position, error) {
	if r := &w.versionReads; r.at > 0 && start-r.readAt < changesTime {
		changes, at, err := w.Endpoints.Watch(ctx, r.at, versionsWait)
		if !errors.Is(err, ErrGone) {
			return changes, at, err
		}
	}
	return w.Endpoints.List(ctx)
}
