// Package crfollower keeps this instance at the newest version of the
// catalogue that it has heard of: from peers, who tell it their version and
// hand over what changed; from a watch on the store, if this instance is one
// of the few that hold one; and from a slow read of the store, against a cut.
// A version never goes back.
package crfollower

import (
	"context"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"crocusrack/core/crbackoff"
	"crocusrack/core/crcatalogue"
	"crocusrack/core/crmember"
	pb "crocusrack/schema/crpeer"
)

const (
	pullTimeout = 3 * time.Second
	// peersFirst is how long a new instance waits for the catalogue from a peer
	// before it reads all of it from the store, and peersPoll how often it looks.
	peersFirst = time.Second
	peersPoll  = 50 * time.Millisecond
	// loadRetry is the pause between reads while there is no catalogue.
	loadRetry = time.Second
	// watchRetry is the longest pause before a broken watch is set up again.
	watchRetry = 2 * time.Second
	// roleInterval is how often an instance asks whether it is to watch.
	roleInterval = time.Second
)

// Follower holds the version in force here. Set the fields before Run.
type Follower struct {
	// Load reads the store; it returns have when that is as new.
	Load func(ctx context.Context, have *crcatalogue.Set) (*crcatalogue.Set, error)
	// Watch calls changed after each change of the store's head until the
	// context ends or the watch breaks.
	Watch func(ctx context.Context, changed func()) error
	// Pull asks a peer for what changed after a version.
	Pull func(ctx context.Context, peer crmember.Member, after uint64) (crcatalogue.Delta, error)
	// Members returns the names of the usable instances.
	Members func() []string
	// Adopted is called after each change of the version in force.
	Adopted func(*crcatalogue.Set)
	Self    string
	Log     *zap.Logger

	current atomic.Pointer[crcatalogue.Set]
	// confirmed is when the version in force was last heard to be current, in
	// nanoseconds of Unix time.
	confirmed atomic.Int64
	// adopting orders the changes of current.
	adopting sync.Mutex
	pulling  atomic.Bool
	// read is signalled when the store should be read now.
	read chan struct{}
	once sync.Once
}

// Current returns the version in force, or nil before there is one.
func (f *Follower) Current() *crcatalogue.Set { return f.current.Load() }

// Version returns the version and hash in force, zeros before there is one.
func (f *Follower) Version() (version, hash uint64) {
	set := f.Current()
	if set == nil {
		return 0, 0
	}
	return set.Version(), set.Hash()
}

// Adopt makes a set current unless one as new is. It reports whether it did.
func (f *Follower) Adopt(set *crcatalogue.Set) bool {
	f.adopting.Lock()
	defer f.adopting.Unlock()
	if current := f.Current(); set.Version() == 0 || current != nil && current.Version() >= set.Version() {
		return false
	}
	f.current.Store(set)
	f.confirm()
	f.Log.Info("catalogue: version in force", zap.Uint64("version", set.Version()))
	f.Adopted(set)
	return true
}

func (f *Follower) confirm() { f.confirmed.Store(time.Now().UnixNano()) }

// Age returns the time since a peer or the store has last had the version in
// force here as its own. It is false before there is one.
func (f *Follower) Age(now time.Time) (age time.Duration, ok bool) {
	at := f.confirmed.Load()
	return now.Sub(time.Unix(0, at)), at != 0
}

// Serve answers a peer's pull.
func (f *Follower) Serve(r *pb.PullCatalogueRequest) *pb.PullCatalogueResponse {
	set := f.Current()
	if set == nil {
		return &pb.PullCatalogueResponse{}
	}
	return set.Since(r.AfterVersion).Proto()
}

// Told takes note of a peer's version, and pulls what is newer there.
func (f *Follower) Told(ctx context.Context, peer crmember.Member, version, hash uint64) {
	have, own := f.Version()
	if have != 0 && version == have && hash == own {
		f.confirm()
	}
	if version <= have || !f.pulling.CompareAndSwap(false, true) {
		return
	}
	go func() {
		defer f.pulling.Store(false)
		f.pull(ctx, peer)
	}()
}

func (f *Follower) pull(ctx context.Context, peer crmember.Member) {
	ctx, cancel := context.WithTimeout(ctx, pullTimeout)
	defer cancel()
	set := f.Current()
	if set == nil {
		set = crcatalogue.Empty()
	}
	next, outcome, err := f.apply(ctx, peer, set, set.Version())
	if err == nil && outcome == crcatalogue.Mismatch {
		// Records are missing between the two versions: take the whole.
		next, outcome, err = f.apply(ctx, peer, set, 0)
	}
	if err != nil {
		f.Log.Debug("catalogue: a pull failed", zap.String("instance", peer.Name), zap.Error(err))
		return
	}
	if outcome == crcatalogue.Applied {
		f.Adopt(next)
	}
}

func (f *Follower) apply(ctx context.Context, peer crmember.Member, set *crcatalogue.Set, after uint64) (*crcatalogue.Set, crcatalogue.ApplyOutcome, error) {
	delta, err := f.Pull(ctx, peer, after)
	if err != nil {
		return nil, 0, err
	}
	next, outcome := set.Apply(delta)
	return next, outcome, nil
}

// Run follows the store until the context ends.
func (f *Follower) Run(ctx context.Context) {
	f.init()
	var tasks sync.WaitGroup
	defer tasks.Wait()
	tasks.Go(func() { f.watch(ctx) })
	random := rand.New(rand.NewPCG(uint64(time.Now().UnixNano()), 0))
	f.awaitPeer(ctx)
	for ctx.Err() == nil {
		f.load(ctx)
		delay := loadRetry
		if f.Current() != nil {
			delay = crcatalogue.ReadDelay(len(f.Members()), random)
		}
		f.wait(ctx, delay)
	}
}

// awaitPeer gives peers the time to hand the catalogue over: the store would
// take a read for each part of it, from each instance of a mass restart.
func (f *Follower) awaitPeer(ctx context.Context) {
	for end := time.Now().Add(peersFirst); f.Current() == nil && time.Now().Before(end); {
		if crbackoff.Sleep(ctx, peersPoll) != nil {
			return
		}
	}
}

func (f *Follower) init() {
	f.once.Do(func() { f.read = make(chan struct{}, 1) })
}

// ReadNow reads the store soon.
func (f *Follower) ReadNow() {
	f.init()
	select {
	case f.read <- struct{}{}:
	default:
	}
}

func (f *Follower) wait(ctx context.Context, d time.Duration) {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-ctx.Done():
	case <-t.C:
	case <-f.read:
	}
}

func (f *Follower) load(ctx context.Context) {
	set, err := f.Load(ctx, f.Current())
	if err != nil {
		f.Log.Debug("catalogue: the store can't be read", zap.Error(err))
		return
	}
	if set == nil || set.Version() == 0 {
		return
	}
	if current := f.Current(); current != nil && current.Version() == set.Version() {
		f.confirm()
	}
	f.Adopt(set)
}

// watch holds a watch on the store while this instance is chosen to.
func (f *Follower) watch(ctx context.Context) {
	for ctx.Err() == nil {
		if !f.chosen() {
			_ = crbackoff.Sleep(ctx, roleInterval)
			continue
		}
		f.watchOnce(ctx)
		_ = crbackoff.Sleep(ctx, rand.N(watchRetry))
	}
}

func (f *Follower) chosen() bool {
	return crcatalogue.IsWatcher(f.Self, f.Members(), crcatalogue.DefaultWatchers)
}

// watchOnce watches until the watch breaks or this instance isn't chosen any
// more.
func (f *Follower) watchOnce(ctx context.Context) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	go func() {
		for ctx.Err() == nil {
			if !f.chosen() {
				cancel()
			}
			_ = crbackoff.Sleep(ctx, roleInterval)
		}
	}()
	err := f.Watch(ctx, f.ReadNow)
	if err != nil && ctx.Err() == nil {
		f.Log.Debug("catalogue: the watch broke", zap.Error(err))
	}
}
