package crdaemon

import (
	"context"
	"time"

	"go.uber.org/zap"

	"crocusrack/core/crcatalogue"
	"crocusrack/core/crmember"
	"crocusrack/core/crshard"
	"crocusrack/io/crpeer"
	"crocusrack/io/crstore"
	pb "crocusrack/schema/crcatalogue"
	peerpb "crocusrack/schema/crpeer"
)

const (
	// storeRetryBase and storeRetryMax bound the pauses within one commit.
	storeRetryBase = 50 * time.Millisecond
	storeRetryMax  = time.Second
	// collectInterval is how often a watcher deletes what no version of the
	// catalogue needs any more.
	collectInterval = 15 * time.Minute
	collectTimeout  = time.Minute
)

func (d *Daemon) loadMultiple(service string) float64 {
	s := d.service(service)
	return s.GetLoadMultiple()
}

// service returns a service of the catalogue in force, or nil.
func (d *Daemon) service(name string) *pb.Service {
	set := d.follower.Current()
	if set == nil {
		return nil
	}
	s, _ := set.Service(name)
	return s
}

// adopted follows a change of the catalogue in force.
func (d *Daemon) adopted(set *crcatalogue.Set) {
	d.version.Store(set.Version())
	before, after := d.relayout(func(v *view) { v.set = set })
	d.tasks.Go(func() { d.moveContexts(d.context, before, after) })
	d.fleet.SetCatalogueVersion(set.Version())
	d.tasks.Go(func() { d.fleet.Push(d.context, pushCount) })
}

func (d *Daemon) relayout(f func(*view)) (before, after *crshard.Layout) {
	d.rebalancing.Lock()
	defer d.rebalancing.Unlock()
	before, after = d.view.update(f)
	d.rebalance(before, after)
	return before, after
}

// watchHead calls changed after each change of the catalogue's head object.
func (d *Daemon) watchHead(ctx context.Context, changed func()) error {
	w := crstore.Watch{
		Client:   d.store,
		Prefix:   crcatalogue.HeadName,
		OnList:   func([]*object) { changed() },
		OnChange: func(*object, bool) { changed() },
	}
	return w.Run(ctx)
}

func (d *Daemon) pullCatalogue(ctx context.Context, m crmember.Member, after uint64) (crcatalogue.Delta, error) {
	client, err := d.peers.Client(m.Peer, crpeer.Control)
	if err != nil {
		return crcatalogue.Delta{}, err
	}
	answer, err := client.PullCatalogue(ctx, &peerpb.PullCatalogueRequest{AfterVersion: after})
	if err != nil {
		return crcatalogue.Delta{}, err
	}
	return crcatalogue.DeltaFromProto(answer), nil
}

// collect deletes stored chunks and changes that nothing needs any more, while
// this instance is one of those that watch the store. Several may do it at no
// risk.
func (d *Daemon) collect(ctx context.Context) {
	collector := crcatalogue.Collector{Store: d.catalogueStore}
	t := time.NewTicker(collectInterval)
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case now := <-t.C:
			if crcatalogue.IsWatcher(d.Settings.Instance, d.view.names(), crcatalogue.DefaultWatchers) {
				d.collectOnce(ctx, &collector, now)
			}
		}
	}
}

func (d *Daemon) collectOnce(ctx context.Context, c *crcatalogue.Collector, now time.Time) {
	ctx, cancel := context.WithTimeout(ctx, collectTimeout)
	defer cancel()
	if _, err := c.Collect(ctx, now); err != nil {
		d.Log.Debug("catalogue: old objects could not be deleted", zap.Error(err))
	}
}
