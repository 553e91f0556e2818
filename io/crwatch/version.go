package crwatch

import (
	"bytes"
	"context"
	"errors"
	"fmt"
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
	// versionsPause is the time between two checks whether the versions of services have changed.
	versionsPause = 500 * time.Millisecond
	// streamsPause is the time between two checkpoints of the versions that began streams. After a
	// loss of all instances, streams that began in that time can't be taken up.
	streamsPause = 100 * time.Millisecond
	// streamsRate bounds these checkpoints, in bytes per second.
	streamsRate = 256 << 10
	// keeperSettling is the time after a start in which an instance writes no checkpoint. It may take
	// itself for the keeper before it knows the others.
	keeperSettling = 2 * time.Second
	// streamsReadPause is the time between two reads of these checkpoints.
	streamsReadPause = 5 * time.Second
	// versionsTimeout bounds a read of the versions of services. Callers wait for it.
	versionsTimeout = 400 * time.Millisecond
	// versionsWait is how long that read waits for changes.
	versionsWait = time.Millisecond
	// changesTime is the time since the last read up to which the changes since then are read instead
	// of all endpoints. Each endpoint writes about once a second.
	changesTime = 5 * time.Second
)

// Streams keeps the versions that began streams in the store, in an object for each keeper's name.
type Streams struct {
	// Read returns the object with a name, or the zero value if there is none.
	Read func(ctx context.Context, name string) (KeptStreams, error)
	// Save replaces the object with a name that has the given revision, or creates it if the revision
	// is zero. It returns the new revision. If the object has another revision, the error is a
	// *StreamsConflict.
	Save func(ctx context.Context, name string, revision uint64, data []byte) (uint64, error)
	// Load returns the data of all objects.
	Load func(ctx context.Context) ([][]byte, error)
}

// KeptStreams is an object of Streams.
type KeptStreams struct {
	Revision uint64
	Data     []byte
}

// StreamsConflict is the error of a write of streams beside that of another instance. Kept is what
// that one wrote.
type StreamsConflict struct{ Kept KeptStreams }

func (e *StreamsConflict) Error() string {
	return fmt.Sprintf("versions of streams: another instance has written revision %d", e.Kept.Revision)
}

// streamsKeeper writes the versions that began streams while this instance is a keeper.
type streamsKeeper struct {
	*Watcher
	// name is that of the object, and revision the one that this instance knows, or zero. read is
	// false before it is known what the object holds.
	name     string
	revision uint64
	read     bool
	written  []byte
}

// keepStreams saves the versions that began streams while this instance is the one that does. The
// streams that an earlier keeper has written, or another one writes meanwhile, are kept.
func (w *Watcher) keepStreams(ctx context.Context) {
	k := &streamsKeeper{Watcher: w}
	pause := keeperSettling
	for crbackoff.Sleep(ctx, pause) == nil {
		pause = streamsPause
		callCtx, cancel := context.WithTimeout(ctx, callTimeout)
		size, err := k.save(callCtx)
		cancel()
		var conflict *StreamsConflict
		switch {
		case errors.As(err, &conflict):
			pause = 0
		case err != nil:
			// The write may have been done.
			k.read = false
			w.failed(ctx, err)
		default:
			pause = max(pause, time.Duration(size)*time.Second/streamsRate)
		}
	}
}

// save writes the streams if that is this instance's duty and they have changed. It returns the number
// of bytes.
func (k *streamsKeeper) save(ctx context.Context) (int, error) {
	m, name := k.State.KeptStreams(time.Now())
	if name == "" {
		return 0, nil
	}
	if !k.read || name != k.name {
		kept, err := k.Streams.Read(ctx, name)
		if err != nil {
			return 0, err
		}
		k.name, k.read, k.revision, k.written = name, true, kept.Revision, kept.Data
		k.addStreams(kept.Data)
		if m, name = k.State.KeptStreams(time.Now()); name == "" {
			return 0, nil
		}
	}
	data, err := proto.Marshal(m)
	if err != nil {
		k.Log.Error("watch: versions of streams can't be encoded", zap.Error(err))
		return 0, nil
	}
	if bytes.Equal(data, k.written) {
		return 0, nil
	}
	revision, err := k.Streams.Save(ctx, name, k.revision, data)
	var conflict *StreamsConflict
	if errors.As(err, &conflict) {
		k.revision, k.written = conflict.Kept.Revision, conflict.Kept.Data
		k.addStreams(conflict.Kept.Data)
		return 0, err
	}
	if err != nil {
		return 0, err
	}
	k.revision, k.written = revision, data
	return len(data), nil
}

// addStreams adds the streams that were read, and returns their number.
func (w *Watcher) addStreams(data []byte) int {
	m := &pb.KeptStreams{}
	if err := proto.Unmarshal(data, m); err != nil {
		w.Log.Warn("watch: kept versions of streams are not readable", zap.Error(err))
		return 0
	}
	w.State.AddStreams(time.Now(), m)
	return len(m.GetStreams())
}

// keepVersions loads the versions that mixed services had lately, and saves them when they change
// while this instance is the one that writes to the store. An instance that starts after a loss of
// all instances sees only the versions that are left.
func (w *Watcher) keepVersions(ctx context.Context) {
	written, err := w.loadVersions(ctx)
	if err != nil {
		return
	}
	var tasks sync.WaitGroup
	defer tasks.Wait()
	tasks.Go(func() { w.keepStreams(ctx) })
	era := uint64(0)
	for crbackoff.Sleep(ctx, versionsPause) == nil {
		if w.cameBack(&era) {
			written = nil
		}
		if !w.State.WritesStore(time.Now()) {
			continue
		}
		data, err := proto.MarshalOptions{Deterministic: true}.Marshal(w.State.VersionHistory(time.Now()))
		if err != nil {
			w.Log.Error("watch: versions can't be encoded", zap.Error(err))
			continue
		}
		if bytes.Equal(data, written) {
			continue
		}
		callCtx, cancel := context.WithTimeout(ctx, callTimeout)
		err = w.Versions.Save(callCtx, data)
		cancel()
		if err != nil {
			w.failed(ctx, err)
			continue
		}
		written = data
	}
}

// loadVersions loads the versions that mixed services had lately and, if there are any, those that
// began streams. It returns the former as they are stored, or an error once the context has ended.
func (w *Watcher) loadVersions(ctx context.Context) ([]byte, error) {
	retry := crbackoff.Backoff{Base: retryBase, Max: retryMax}
	for attempt := 0; ; attempt++ {
		callCtx, cancel := context.WithTimeout(ctx, callTimeout)
		data, err := w.Versions.Load(callCtx)
		if err == nil && len(data) > 0 {
			w.streamsRead.Store(time.Now().UnixNano())
			err = w.loadStreams(callCtx)
		}
		cancel()
		if err == nil {
			m := &pb.VersionHistory{}
			if err := proto.Unmarshal(data, m); err != nil {
				w.Log.Warn("watch: kept versions are not readable", zap.Error(err))
			}
			w.State.AddVersions(time.Now(), m)
			return data, nil
		}
		w.Log.Debug("watch: kept versions can't be read yet", zap.Error(err))
		if err := retry.Sleep(ctx, attempt); err != nil {
			return nil, err
		}
	}
}

// FindStreams loads the versions that began streams lately, for one that no live instance knows. It
// does nothing if that was done a moment ago.
func (w *Watcher) FindStreams(ctx context.Context) {
	now := time.Now().UnixNano()
	last := w.streamsRead.Load()
	if w.Streams.Load == nil || now-last < int64(streamsReadPause) || !w.streamsRead.CompareAndSwap(last, now) {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	if err := w.loadStreams(ctx); err != nil {
		w.Log.Debug("watch: kept versions of streams can't be read", zap.Error(err))
	}
}

// loadStreams loads the versions that began streams lately.
func (w *Watcher) loadStreams(ctx context.Context) error {
	list, err := w.Streams.Load(ctx)
	if err != nil {
		return err
	}
	count := 0
	for _, data := range list {
		count += w.addStreams(data)
	}
	w.Log.Info("watch: took over the versions of streams", zap.Int("streams", count))
	return nil
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
	r.err, r.at, r.readAt = nil, at, start
	var list []*pb.Endpoint
	for _, c := range changes {
		if c.Value != nil && !c.Removed {
			list = append(list, c.Value)
		}
	}
	w.State.SeeVersions(time.Now(), start, list)
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
