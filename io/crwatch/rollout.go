package crwatch

import (
	"context"
	"maps"
	"time"

	"go.uber.org/zap"
	"google.golang.org/protobuf/proto"

	"crocusrack/core/crbackoff"
	"crocusrack/core/crgrant"
	"crocusrack/core/crrollout"
	pb "crocusrack/schema/crrouter"
)

const (
	// rolloutsWait is how long a watch of the orders waits. Orders aren't evidence for
	// anything, so that it may be long.
	rolloutsWait = 4 * time.Second
	// rolloutsPeek is how often the orders are read while all services have endpoints of
	// one version, for an order that names a version without endpoints.
	rolloutsPeek = 20 * time.Second
	// recordPause is how often it is looked whether a state of a roll-out is to be
	// recorded.
	recordPause = 150 * time.Millisecond
)

// Rollouts are the operators' orders to move the traffic of services.
type Rollouts struct {
	Feed[pb.Rollout]
	// Peek lists the orders as they were some seconds ago, which costs less than List.
	Peek func(ctx context.Context) ([]Change[pb.Rollout], crgrant.Position, error)
	// Record writes the state of a roll-out, on the condition that its order is that of
	// the record's revision. It returns the revision of the write.
	Record func(ctx context.Context, r crrollout.Record) (uint64, error)
}

// followRollouts reads the orders. New versions are started before or with their order, so
// that orders are looked for while a service has endpoints of several versions; without any
// the store is asked rarely.
func (w *Watcher) followRollouts(ctx context.Context) {
	known := &orders{byService: make(map[string]*pb.Rollout)}
	position, listed, peeked, failures := crgrant.Position(0), false, time.Time{}, 0
	wasActive := false
	retry := crbackoff.Backoff{Base: retryBase, Max: retryMax}
	for ctx.Err() == nil {
		now := time.Now()
		mixed := w.State.MixedServices(now)
		active := len(mixed) > 0
		if active && !wasActive {
			for _, v := range mixed {
				w.Log.Info("watch: a service has endpoints of several versions", zap.String("service", v.Service),
					zap.String("in-force", v.InForce), zap.Strings("versions", v.Listed))
			}
		}
		wasActive = active
		peek := !active && w.State.WritesStore(now) && now.Sub(peeked) >= rolloutsPeek
		if !peek && !(active && w.State.WatchesStore(now)) {
			listed = false
			// An ended context is noticed by the loop.
			_ = crbackoff.Sleep(ctx, idlePause)
			continue
		}
		changes, at, err := w.readRollouts(ctx, active, listed, position)
		if err != nil {
			listed = false
			failures++
			w.Log.Debug("watch: the roll-outs can't be read yet", zap.Error(err))
			_ = retry.Sleep(ctx, failures-1)
			continue
		}
		failures, peeked = 0, now
		if !listed {
			clear(known.byService)
		}
		position, listed = at, active
		w.takeRollouts(known, changes, at, !active)
	}
}

func (w *Watcher) readRollouts(ctx context.Context, active, listed bool, position crgrant.Position) ([]Change[pb.Rollout], crgrant.Position, error) {
	if active && listed {
		ctx, cancel := context.WithTimeout(ctx, rolloutsWait+callTimeout)
		defer cancel()
		return w.Rollouts.Watch(ctx, position, rolloutsWait)
	}
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	if active {
		return w.Rollouts.List(ctx)
	}
	return w.Rollouts.Peek(ctx)
}

// orders are the orders that the store had when it was last read.
type orders struct {
	byService map[string]*pb.Rollout
	// applied holds the orders that were last put in force, or nil before.
	applied map[string]*pb.Rollout
}

// takeRollouts puts orders in force if any of them changed. One that can't be read changes
// nothing. What a peek shows may be old, so that it doesn't end an order that is known.
func (w *Watcher) takeRollouts(o *orders, changes []Change[pb.Rollout], at crgrant.Position, peek bool) {
	known := o.byService
	for _, c := range changes {
		switch {
		case c.Removed:
			delete(known, c.Name)
		case c.Value == nil:
			w.Log.Warn("watch: an order to move a service can't be followed: it has no version or no time", zap.String("service", c.Name))
		default:
			known[c.Name] = c.Value
		}
	}
	unchanged := o.applied != nil && maps.EqualFunc(o.applied, known, func(a, b *pb.Rollout) bool { return proto.Equal(a, b) })
	if unchanged || len(known) == 0 && peek {
		return
	}
	o.applied = maps.Clone(known)
	m := &pb.Rollouts{Revision: at.Revision(), Era: at.Era()}
	for _, r := range known {
		m.Rollouts = append(m.Rollouts, r)
	}
	if w.State.SetRollouts(time.Now(), m) {
		for _, r := range known {
			w.Log.Info("watch: an order to move a service is known", zap.String("service", r.GetService()), zap.String("target", r.GetTarget()),
				zap.Duration("duration-ms", r.GetDuration().AsDuration()), zap.Stringer("state", r.GetState()), zap.Uint64("revision", at.Revision()))
		}
		w.Changed()
	}
}

// recordRollouts writes the states of roll-outs while this instance is the one that writes
// to the store. Whether a state still holds is asked right before each write.
func (w *Watcher) recordRollouts(ctx context.Context) {
	for crbackoff.Sleep(ctx, recordPause) == nil {
		records := w.State.RolloutRecords(time.Now())
		if len(records) == 0 {
			continue
		}
		r := records[0]
		callCtx, cancel := context.WithTimeout(ctx, callTimeout)
		revision, err := w.Rollouts.Record(callCtx, r)
		cancel()
		if err != nil {
			// The watch tells whether it was written all the same.
			w.Log.Warn("watch: the state of a roll-out can't be recorded yet", zap.String("service", r.Service),
				zap.Stringer("state", r.State), zap.Error(err))
			_ = crbackoff.Sleep(ctx, retryBase)
			continue
		}
		w.State.RolloutRecorded(time.Now(), r, revision)
		w.Log.Info("watch: the state of a roll-out is recorded", zap.String("service", r.Service), zap.String("target", r.Target),
			zap.Stringer("state", r.State), zap.Uint64("revision", revision))
	}
}
