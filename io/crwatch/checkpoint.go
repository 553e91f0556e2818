package crwatch

import (
	"bytes"
	"context"
	"errors"
	"time"

	"go.uber.org/zap"
	"google.golang.org/protobuf/proto"

	"crocusrack/core/crbackoff"
	pb "crocusrack/schema/crrouter"
)

const (
	// checkpointPause is the pause between two checkpoints of the contexts. After a loss of
	// all instances, the contexts of that time are unknown.
	checkpointPause = 2 * time.Second
	// checkpointRate bounds the checkpoints, in bytes per second.
	checkpointRate = 5000
	// agedCheckpointPause is the pause between two checkpoints that differ only by the age of
	// the evidence of crashes and of the limits of endpoints.
	agedCheckpointPause = time.Minute
	// loadAttempts is the number of attempts of a starting instance to read a checkpoint.
	loadAttempts = 4
)

// Checkpoint saves and loads a checkpoint in the store. Load returns no bytes if there is
// none.
type Checkpoint struct {
	Save func(ctx context.Context, data []byte) error
	Load func(ctx context.Context) ([]byte, error)
}

// keepContexts loads the checkpoint of the endpoints' contexts at the start, and saves new
// ones while this instance is the one that writes to the store. With it, instances that
// start after a loss of all instances know which endpoints hold the contexts of returning
// chats.
func (w *Watcher) keepContexts(ctx context.Context) {
	w.loadContexts(ctx)
	var written []byte
	var writtenAt time.Time
	era := uint64(0)
	pause := checkpointPause
	for crbackoff.Sleep(ctx, pause) == nil {
		pause = checkpointPause
		if w.cameBack(&era) {
			written = nil
		}
		if !w.State.WritesStore(time.Now()) {
			continue
		}
		m := w.State.Contexts(time.Now())
		data, err := proto.MarshalOptions{Deterministic: true}.Marshal(m)
		ageless, agelessErr := proto.MarshalOptions{Deterministic: true}.Marshal(withoutAges(m))
		if err = errors.Join(err, agelessErr); err != nil {
			w.Log.Error("watch: contexts can't be encoded", zap.Error(err))
			continue
		}
		aged := (m.CrashEvidence != nil || m.Limits != nil) && time.Since(writtenAt) >= agedCheckpointPause
		if len(data) == 0 || bytes.Equal(ageless, written) && !aged {
			continue
		}
		callCtx, cancel := context.WithTimeout(ctx, callTimeout)
		err = w.Contexts.Save(callCtx, data)
		cancel()
		if err != nil {
			w.failed(ctx, err)
			continue
		}
		written, writtenAt = ageless, time.Now()
		pause = max(pause, time.Duration(len(data))*time.Second/checkpointRate)
	}
}

// withoutAges returns the message without the ages in it, which change all the time.
func withoutAges(m *pb.Contexts) *pb.Contexts {
	m = proto.CloneOf(m)
	for _, c := range m.GetCrashEvidence().GetCrashes() {
		c.AgeMs = 0
	}
	for _, a := range m.GetCrashEvidence().GetAnswers() {
		a.AgeMs = 0
	}
	if m.Limits != nil {
		m.Limits.AgeMs = nil
	}
	return m
}

// loadContexts loads the checkpoint, unless another instance has sent the contexts by then.
func (w *Watcher) loadContexts(ctx context.Context) {
	if crbackoff.Sleep(ctx, w.Patience) != nil || w.State.HasContexts() {
		return
	}
	retry := crbackoff.Backoff{Base: retryBase, Max: retryMax}
	for attempt := range loadAttempts {
		callCtx, cancel := context.WithTimeout(ctx, callTimeout)
		data, err := w.Contexts.Load(callCtx)
		cancel()
		if err == nil {
			w.takeContexts(data)
			return
		}
		w.Log.Warn("watch: kept contexts can't be read yet", zap.Error(err))
		if retry.Sleep(ctx, attempt) != nil {
			return
		}
	}
}

func (w *Watcher) takeContexts(data []byte) {
	m := &pb.Contexts{}
	if err := proto.Unmarshal(data, m); err != nil {
		w.Log.Warn("watch: kept contexts are not readable", zap.Error(err))
		return
	}
	if len(m.GetContexts()) == 0 && m.CrashEvidence == nil && m.Limits == nil {
		return
	}
	w.State.ApplyContexts(time.Now(), m)
	w.Log.Info("watch: took over kept contexts", zap.Int("contexts", len(m.GetContexts())))
}
