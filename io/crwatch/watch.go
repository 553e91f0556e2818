// Package crwatch reads the platform's store: the routing, the endpoints, the failure
// domains that are out of service, and the orders to move services to new versions. A few
// instances of a fleet watch the store and inform the others, which read it themselves only
// when their data is stale.
//
// An outage of the store is logged when it begins and when it ends. The last known data
// remains in force in the meantime.
package crwatch

import (
	"context"
	"errors"
	"sync"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"crocusrack/core/crbackoff"
	"crocusrack/core/crfreshness"
	"crocusrack/core/crgrant"
	"crocusrack/core/crliveness"
	"crocusrack/core/crplace"
	"crocusrack/core/crswitch"
	pb "crocusrack/schema/crrouter"
)

const (
	// routingWait is the longest time that a watch of the routing waits for a change. The
	// evidence that the routing is current gets that old.
	routingWait = 700 * time.Millisecond
	// endpointsWait and outsWait are the same for the endpoints and for the failure
	// domains out of service.
	endpointsWait = 800 * time.Millisecond
	outsWait      = 1800 * time.Millisecond
	// endpointsPause is the pause between two watches of the endpoints. Endpoints write
	// often, so their changes are collected during the pause.
	endpointsPause = 500 * time.Millisecond
	// callTimeout bounds a call, in addition to the time that the call waits for changes.
	callTimeout = 1200 * time.Millisecond
	// idlePause is the interval at which an instance that doesn't watch checks whether it
	// must.
	idlePause = 150 * time.Millisecond
	// ownAge is the age of the evidence from which on an instance reads the store itself.
	// outsOwnAge is that age for the failure domains out of service, which must take effect
	// within five seconds.
	ownAge     = 2300 * time.Millisecond
	outsOwnAge = 4200 * time.Millisecond
	// returnGrace is how long the missing entry of an endpoint is kept after an outage of
	// the store. Live endpoints have written their entries again by then.
	returnGrace = 2300 * time.Millisecond
	// retryBase and retryMax are the shortest and the longest delay between failed calls.
	retryBase = 300 * time.Millisecond
	retryMax  = 1200 * time.Millisecond
)

// ErrGone means that the store has discarded the history after a position, so that the
// objects must be listed again.
var ErrGone = errors.New("the history is gone")

// Change is one object that was written or removed. Value is nil if the object was removed
// or can't be decoded.
type Change[T any] struct {
	Name    string
	Removed bool
	Value   *T
}

// Feed reads one kind of objects.
type Feed[T any] struct {
	// List returns all objects and the position in the store's history that they reflect.
	List func(ctx context.Context) ([]Change[T], crgrant.Position, error)
	// Watch waits at most the given time for changes after a position. It returns them with
	// the position to continue from, or ErrGone if the history is no longer available or
	// another era has begun.
	Watch func(ctx context.Context, after crgrant.Position, wait time.Duration) ([]Change[T], crgrant.Position, error)
}

// Watcher reads and watches the store. Set the exported fields before Run.
type Watcher struct {
	State     *crgrant.State
	Routing   Feed[pb.Routing]
	Endpoints Feed[pb.Endpoint]
	Outs      Feed[struct{}]
	Instances Feed[crliveness.Instance]
	Rollouts  Rollouts
	// Register writes this instance to the store, where other instances can find it.
	Register func(ctx context.Context, i crliveness.Instance) error
	// Contexts stores which contexts the endpoints hold.
	Contexts Checkpoint
	// Versions stores at which versions of services streams begin or began lately.
	Versions Record
	// Streams stores which versions began streams lately.
	Streams Streams
	Log     *zap.Logger
	// Changed is called after new data was put in force.
	Changed func()
	// Patience is how long a starting instance waits for data from other instances before
	// it reads the store itself. When a whole fleet starts, only a few have to read it.
	Patience time.Duration

	started time.Time
	outage  outage
	// versionReads joins the reads of the versions of services.
	versionReads versionReads
	// streamsRead is when the versions of streams were read last, in Unix nanoseconds.
	streamsRead atomic.Int64
}

// Run reads and watches the store until the context ends.
func (w *Watcher) Run(ctx context.Context) {
	w.started = time.Now()
	if w.Versions.Read != nil {
		w.State.AwaitVersions()
	}
	var tasks sync.WaitGroup
	tasks.Go(func() { follow(ctx, w, &routingKind{w: w}) })
	tasks.Go(func() { follow(ctx, w, &endpointsKind{w: w}) })
	tasks.Go(func() { follow(ctx, w, &outsKind{w: w, known: make(map[string]bool)}) })
	tasks.Go(func() { w.announce(ctx) })
	if w.State.RolloutsEnabled() {
		tasks.Go(func() { w.followRollouts(ctx) })
		tasks.Go(func() { w.recordRollouts(ctx) })
	}
	if w.Versions.Read != nil {
		tasks.Go(func() { w.keepRecord(ctx) })
	}
	if !w.State.Disabled.Has(crswitch.ContextCheckpoints) {
		tasks.Go(func() { w.keepContexts(ctx) })
	}
	tasks.Wait()
}

// needed reports whether this instance must read a kind of objects now, because it is a
// watcher or because its evidence is older than the given age.
func (w *Watcher) needed(e *crfreshness.Evidence, oldest time.Duration) bool {
	now := time.Now()
	age, ok := e.Age(w.State.Elapsed())
	if !ok && now.Sub(w.started) < w.Patience {
		return false
	}
	return w.State.WatchesStore(now) || !ok || age > oldest
}

// kind holds the parts of reading that differ between the kinds of objects.
type kind[T any] interface {
	feed() Feed[T]
	wait() time.Duration
	pause() time.Duration
	// reset prepares for the result of a list. take applies changes, which lead to the given
	// position.
	reset()
	take(changes []Change[T], at crgrant.Position)
	// evidence tracks how stale the known objects are.
	evidence() *crfreshness.Evidence
	// oldest is the age of the evidence from which on an instance reads the kind itself.
	oldest() time.Duration
	// read reports whether the known objects are those of the position.
	read() bool
	// probes reports whether the kind is read during an outage of the store, to notice its
	// end. The other kinds wait for the end.
	probes() bool
}

// follow lists one kind of objects and then watches it, while this instance has to.
func follow[T any](ctx context.Context, w *Watcher, k kind[T]) {
	retry := crbackoff.Backoff{Base: retryBase, Max: retryMax, Jitter: func(d time.Duration) time.Duration { return d }}
	position, listed, failures := crgrant.Position(0), false, 0
	for ctx.Err() == nil {
		if !k.probes() && w.outage.isLost() {
			// The loop condition checks whether the context has ended.
			_ = crbackoff.Sleep(ctx, idlePause)
			continue
		}
		if !w.needed(k.evidence(), k.oldest()) {
			listed = false
			w.idle()
			// The loop condition checks whether the context has ended.
			_ = crbackoff.Sleep(ctx, idlePause)
			continue
		}
		start := w.State.Elapsed()
		changes, at, err := call(ctx, k, position, listed)
		switch {
		case errors.Is(err, ErrGone):
			w.Log.Info("watch: the store's history is gone, listing again", zap.Uint64("position", position.Revision()))
			listed = false
			continue
		case err != nil:
			failures++
			w.failed(ctx, err)
			_ = retry.Sleep(ctx, failures-1)
			continue
		}
		failures = 0
		w.succeeded()
		at = w.noteEra(at)
		if !listed {
			k.reset()
		}
		k.take(changes, at)
		if k.read() {
			k.evidence().Read(start)
		}
		position, listed = at, true
		_ = crbackoff.Sleep(ctx, k.pause())
	}
}

func call[T any](ctx context.Context, k kind[T], position crgrant.Position, listed bool) ([]Change[T], crgrant.Position, error) {
	if !listed {
		ctx, cancel := context.WithTimeout(ctx, callTimeout)
		defer cancel()
		return k.feed().List(ctx)
	}
	ctx, cancel := context.WithTimeout(ctx, k.wait()+callTimeout)
	defer cancel()
	return k.feed().Watch(ctx, position, k.wait())
}

// announce registers this instance in the store if it is one of those that other instances
// look up there, or if it hears no other instance. In the latter case it also reads the
// registered instances.
func (w *Watcher) announce(ctx context.Context) {
	registered, failures, era := false, 0, uint64(0)
	pause := w.Patience
	for crbackoff.Sleep(ctx, pause) == nil {
		pause = lonelyPause
		if w.cameBack(&era) {
			registered = false
		}
		alone := len(w.State.Alive(time.Now())) == 0
		if !registered && (alone || w.State.RegistersInStore(time.Now())) {
			if registered = w.register(ctx); !registered {
				failures++
				pause = min(retryBase<<min(failures, maxDoublings), lonelyPause)
			}
		}
		if alone {
			w.findOthers(ctx)
		}
	}
}

// maxDoublings bounds how many times the delay between two attempts is doubled.
const maxDoublings = 4

func (w *Watcher) register(ctx context.Context) bool {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	if err := w.Register(ctx, w.State.Self); err != nil {
		w.Log.Warn("watch: this instance can't be registered yet", zap.Error(err))
		return false
	}
	return true
}

// lonelyPause is the interval at which an instance that hears no other one reads the
// registered instances, and at which each instance checks whether it must be registered.
const lonelyPause = 3 * time.Second

func (w *Watcher) findOthers(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	changes, _, err := w.Instances.List(ctx)
	if err != nil {
		w.Log.Warn("watch: no other instance reports, and the store doesn't name any", zap.Error(err))
		return
	}
	for _, c := range changes {
		if c.Value != nil {
			w.State.Add(time.Now(), *c.Value)
		}
	}
}

// apply puts the endpoints of a revision in force.
func (w *Watcher) apply(at crgrant.Position, list []*crplace.Endpoint) {
	if w.State.SetEndpoints(time.Now(), at, list) {
		w.Log.Info("watch: the endpoints changed", zap.Uint64("revision", at.Revision()), zap.Int("endpoints", len(list)))
		w.Changed()
	}
}
