// Package crdaemon joins the roles of an instance into one process: the entry
// that callers meet, the owner of endpoint shards, and the relay of
// membership, load sums and the catalogue.
//
// It imports all other packages that a daemon needs, and only programs and stand
// import it. Run fails when a part can't be made of the settings or a listener
// can't be opened; all that fails later is logged or becomes an outcome, and the
// daemon goes on.
package crdaemon

import (
	"context"
	"net"
	"net/http"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"crocusrack/core/crcatalogue"
	"crocusrack/core/crsettings"
	"crocusrack/core/crshard"
	"crocusrack/io/crendpoint"
	"crocusrack/io/crentry"
	"crocusrack/io/crfleet"
	"crocusrack/io/crfollower"
	"crocusrack/io/crmetric"
	"crocusrack/io/crowner"
	"crocusrack/io/crpeer"
	"crocusrack/io/crplacement"
	"crocusrack/io/crstore"
	"crocusrack/io/crtransport"
)

// Daemon is one instance. Set the exported fields before Run.
type Daemon struct {
	Settings crsettings.Settings
	Log      *zap.Logger
	// RunNumber is random and tells this run of the process from others.
	RunNumber uint64
	// Listen opens a listener; over the host's network when nil.
	Listen func(netip.AddrPort) (net.Listener, error)
	// Dial opens connections; over the host's network when nil.
	Dial crtransport.DialFunc
	// Loads bounds the loads that endpoints are ordered; defaults where zero.
	Loads crplacement.LoadLimits

	Metrics crmetric.Set

	context context.Context
	tasks   sync.WaitGroup
	clients []*http.Client

	view           view
	standing       standing
	fleet          *crfleet.Fleet
	peers          *crpeer.Pool
	follower       *crfollower.Follower
	owner          *crowner.Owner
	entry          *crentry.Entry
	store          *crstore.Client
	catalogueStore *crcatalogue.Store
	loads          loads
	quotas         quotas
	placements     *crplacement.Keeper
	// probes asks endpoints for reports, over connections of their own.
	probes *crendpoint.Client
	// caches follows the cache events of endpoints. Their bytes are counted apart from those of
	// reports.
	caches *crendpoint.Client

	// rebalancing guards owned, released and takers, and orders changes of ownership.
	rebalancing sync.Mutex
	owned       map[crshard.Key]bool
	released    map[crshard.Key]time.Time
	takers      map[crshard.Key]taker

	started time.Time
	version atomic.Uint64
	// usable is the count of usable instances.
	usable atomic.Int64
	// addressed is when the last address answer that names this instance
	// expires, in nanoseconds of Unix time.
	addressed atomic.Int64
	draining  atomic.Bool
	drain     chan struct{}
	drainOnce sync.Once
	initOnce  sync.Once
}

// Drain makes Run end once no caller needs this instance any more, or after
// the drain timeout.
func (d *Daemon) Drain() {
	d.init()
	d.drainOnce.Do(func() { close(d.drain) })
}

func (d *Daemon) init() {
	d.initOnce.Do(func() { d.drain = make(chan struct{}) })
}

// Run serves until the context ends, which cuts requests, or until a drain is
// complete, which cuts none.
func (d *Daemon) Run(ctx context.Context) error {
	d.init()
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	d.context = ctx
	d.started = time.Now()
	if err := d.build(); err != nil {
		return err
	}
	servers, err := d.serve(ctx)
	if err != nil {
		return err
	}
	d.tasks.Go(func() { d.owner.Run(ctx) })
	d.tasks.Go(func() { d.fleet.Run(ctx) })
	d.tasks.Go(func() { d.follower.Run(ctx) })
	d.tasks.Go(func() { d.exchangeLoads(ctx) })
	d.tasks.Go(func() { d.reports(ctx) })
	d.tasks.Go(func() { d.borrow(ctx) })
	d.tasks.Go(func() { d.placements.Run(ctx) })
	d.tasks.Go(func() { d.hints(ctx) })
	d.tasks.Go(func() { d.housekeep(ctx) })
	d.tasks.Go(func() { d.collect(ctx) })
	if d.Settings.CacheEvents {
		d.tasks.Go(func() { d.followCaches(ctx) })
	}
	d.Log.Info("daemon: started")
	select {
	case <-ctx.Done():
	case <-d.drain:
		d.leave(ctx)
		d.shutdown(ctx, servers)
	}
	cancel()
	servers.close()
	d.endRequests()
	d.tasks.Wait()
	d.peers.Close()
	for _, c := range d.clients {
		c.CloseIdleConnections()
	}
	d.Log.Info("daemon: stopped")
	return nil
}
