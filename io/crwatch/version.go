package crwatch

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"time"

	"go.uber.org/zap"
	"google.golang.org/protobuf/proto"

	"crocusrack/core/crbackoff"
	pb "crocusrack/schema/crrouter"
)

const (
	// streamsPause is the time between two checkpoints of the versions that began streams. After a
	// loss of all instances, streams that began in that time can't be taken up.
	streamsPause = 100 * time.Millisecond
	// streamsRate bounds these checkpoints, in bytes per second.
	streamsRate = 256 << 10
	// maxConflictPause bounds the pause of a keeper that finds again and again what another one has
	// written.
	maxConflictPause = 1600 * time.Millisecond
	// streamsReadPause is the time between two reads of these checkpoints.
	streamsReadPause = 5 * time.Second
)

// Streams keeps the versions that began streams in the store, in an object for each keeper's name.
type Streams struct {
	// Read returns the object with a name, or the zero value if there is none.
	Read func(ctx context.Context, name string) (Kept, error)
	// Save replaces the object with a name that has the given revision, or creates it if the revision
	// is zero. It returns the new revision. If the object has another revision, the error is a
	// *Conflict.
	Save func(ctx context.Context, name string, revision uint64, data []byte) (uint64, error)
	// Load returns the data of all objects.
	Load func(ctx context.Context) ([][]byte, error)
}

// Kept is an object of Streams or Record.
type Kept struct {
	Revision uint64
	Data     []byte
}

// Conflict is the error of a write beside that of another instance. Kept is what that one wrote.
type Conflict struct{ Kept Kept }

func (e *Conflict) Error() string {
	return fmt.Sprintf("kept versions: another instance has written revision %d", e.Kept.Revision)
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
	conflicts, retry := 0, crbackoff.Backoff{Base: 2 * streamsPause, Max: maxConflictPause}
	pause := streamsPause
	for crbackoff.Sleep(ctx, pause) == nil {
		pause = streamsPause
		callCtx, cancel := context.WithTimeout(ctx, callTimeout)
		size, err := k.save(callCtx)
		cancel()
		var conflict *Conflict
		switch {
		case errors.As(err, &conflict):
			pause = 0
			if conflicts > 0 {
				pause = retry.Wait(conflicts)
			}
			conflicts++
		case err != nil:
			// The write may have been done.
			k.read = false
			w.failed(ctx, err)
		default:
			conflicts = max(0, conflicts-1)
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
	var conflict *Conflict
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
