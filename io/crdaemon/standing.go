package crdaemon

import (
	"sync/atomic"
	"time"

	"crocusrack/core/crcatalogue"
	"crocusrack/core/crmember"
)

const (
	// aloneAfter is how long a new instance that knows of no other waits before
	// it takes itself for the first.
	aloneAfter = 2 * time.Second
	// strangerAfter is how long a new instance waits that knows of others and
	// has reached none. They may own every shard.
	strangerAfter = 15 * time.Second
)

// standing is how a new instance stands in the fleet. It owns no shard and
// serves no caller before it has settled.
type standing struct {
	// expects tells that the settings or the platform's list name others.
	expects atomic.Bool
	// met tells that another member has been usable since the start.
	met     atomic.Bool
	settled atomic.Bool
}

// ready returns the catalogue once this instance may serve, and nil before.
func (d *Daemon) ready() *crcatalogue.Set {
	if !d.standing.settled.Load() {
		return nil
	}
	return d.follower.Current()
}

// settle lets this instance own shards once it has met a peer, or has waited
// for one long enough.
func (d *Daemon) settle(now time.Time) {
	s := &d.standing
	if s.settled.Load() || !s.met.Load() && now.Sub(d.started) < d.patience() {
		return
	}
	s.settled.Store(true)
	d.relayout(func(v *view) { v.unsettled = false })
	if !s.met.Load() {
		d.Log.Info("daemon: serving without a peer")
	}
}

func (d *Daemon) patience() time.Duration {
	if d.standing.expects.Load() {
		return strangerAfter
	}
	return aloneAfter
}

// stranger reports whether others are known and none has been reached, so that
// they may own the same shards.
func (d *Daemon) stranger() bool {
	return d.standing.expects.Load() && !d.standing.met.Load()
}

// membersChanged follows a change of the usable members.
func (d *Daemon) membersChanged(usable []crmember.Member) {
	d.usable.Store(int64(len(usable)))
	for _, m := range usable {
		if m.Name != d.Settings.Instance {
			d.standing.met.Store(true)
		}
	}
	d.relayout(func(v *view) { v.usable = usable })
	d.quotas.setInstances(d.view.names())
	d.settle(time.Now())
}
