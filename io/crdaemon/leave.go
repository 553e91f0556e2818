package crdaemon

import (
	"context"
	"errors"
	"time"

	"go.uber.org/zap"
)

// noteAddressed notes that an address answer names this instance until a time.
func (d *Daemon) noteAddressed(until time.Time) {
	d.Metrics.AddressAnswers.Add(1)
	for {
		old := d.addressed.Load()
		if until.UnixNano() <= old || d.addressed.CompareAndSwap(old, until.UnixNano()) {
			return
		}
	}
}

// leave waits until no caller needs this instance any more.
func (d *Daemon) leave(ctx context.Context) {
	d.draining.Store(true)
	d.Log.Info("daemon: leaving")
	ctx, cancel := context.WithTimeout(ctx, d.Settings.DrainTimeout)
	defer cancel()
	d.fleet.Leave(ctx)
	t := time.NewTicker(leaveInterval)
	defer t.Stop()
	for !d.idle() {
		select {
		case <-ctx.Done():
			d.cut(ctx)
			return
		case <-t.C:
		}
	}
}

// cut logs what a drain ends that wasn't complete.
func (d *Daemon) cut(ctx context.Context) {
	requests := zap.Int("requests", d.inFlight())
	switch {
	case !errors.Is(ctx.Err(), context.DeadlineExceeded):
		d.Log.Warn("daemon: stopped before the drain was complete", requests)
	case requests.Integer > 0:
		d.Log.Warn("daemon: the drain timeout ended requests", requests)
	default:
		d.Log.Info("daemon: the drain timeout passed before the last address answer expired")
	}
}

// endRequests ends the requests that outlive their connections, and waits for
// them a little.
func (d *Daemon) endRequests() {
	d.entry.CancelAll()
	for end := time.Now().Add(shutdownTimeout); time.Now().Before(end); time.Sleep(leaveInterval) {
		if d.inFlight() == 0 {
			return
		}
	}
}

// idle reports whether no caller needs this instance any more, and its leases
// are released or have lapsed.
func (d *Daemon) idle() bool {
	now := time.Now()
	return now.UnixNano() > d.addressed.Load() && d.inFlight() == 0 && len(d.placements.Leases(now)) == 0
}

// inFlight returns the number of requests in progress. A request that is both taken from a
// caller and run here counts twice.
func (d *Daemon) inFlight() int { return d.entry.InFlight() + d.owner.InFlight() }
