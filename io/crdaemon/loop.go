package crdaemon

import (
	"context"
	"crypto/rand"
	"net/netip"
	"time"

	"go.uber.org/zap"

	"crocusrack/core/cradmit"
	"crocusrack/core/crexecution"
	"crocusrack/core/crshard"
	"crocusrack/io/crendpoint"
	"crocusrack/schema/crcaller"
	"crocusrack/schema/crcatalogue"
	"crocusrack/schema/crplatform"
)

type (
	outcome = crcaller.Outcome
	object  = crplatform.Object
)

const (
	// pushCount is how many neighbours hear of a new catalogue version at once.
	pushCount = 3
	// executionGrace is how long after the addresses have expired an execution
	// token may still start.
	executionGrace = 5 * time.Minute
	maxExecutions  = 200_000
	// outcomeBodies bounds the bytes of the bodies that are kept for retries
	// and questions, and largestOutcomeBody those of each.
	outcomeBodies      = 16 << 20
	largestOutcomeBody = 256 << 10
	leaveInterval      = 50 * time.Millisecond
	shutdownTimeout    = 5 * time.Second
	shutdownIdleTime   = 100 * time.Millisecond

	// Every reportTicks-th look at cold endpoints is one at all.
	coldReportInterval = 400 * time.Millisecond
	reportTicks        = 5
	reportTimeout      = time.Second
	hintInterval       = 20 * time.Second
	hintRetry          = 2 * time.Second
	housekeeping       = time.Second
)

func randomKey() (key [crexecution.KeyBytes]byte) {
	// Read never fails: the runtime ends the process first.
	_, _ = rand.Read(key[:])
	return key
}

func unknownService(name string) *outcome {
	return &outcome{
		Kind:   crcaller.OutcomeKind_OUTCOME_KIND_NOT_RUN,
		Reason: crcaller.Reason_REASON_UNKNOWN_SERVICE,
		Detail: "the owner's catalogue has no service " + name,
	}
}

// reports asks the owned endpoints for their own view of their load: all of
// them now and then, and those that may be cold more often, since they get
// little work until they say that they are warm.
func (d *Daemon) reports(ctx context.Context) {
	t := time.NewTicker(coldReportInterval)
	defer t.Stop()
	for tick := 0; ; tick++ {
		select {
		case <-ctx.Done():
			return
		case <-t.C:
		}
		all := tick%reportTicks == 0
		limited := d.limitedEndpoints()
		for _, s := range d.view.layout.Load().Owned(d.Settings.Instance) {
			engine := d.service(s.Service).GetKind() == crcatalogue.ServiceKind_SERVICE_KIND_MODEL
			for _, e := range s.Endpoints {
				if all || limited[e.Name] {
					d.tasks.Go(func() { d.report(ctx, e, engine) })
				}
			}
		}
	}
}

// limitedEndpoints returns the endpoints that are leaving, or whose warm-up
// limit is below half of their capacity.
func (d *Daemon) limitedEndpoints() map[string]bool {
	limited := make(map[string]bool)
	for _, l := range d.endpointLoads() {
		if l.Leaving || l.WarmUpLimit < l.Capacity/2 {
			limited[l.Endpoint] = true
		}
	}
	return limited
}

func (d *Daemon) report(ctx context.Context, e crshard.Endpoint, engine bool) {
	ctx, cancel := context.WithTimeout(ctx, reportTimeout)
	defer cancel()
	r, err := d.probes.Report(ctx, e.Address, engine)
	if err != nil {
		d.Log.Debug("owner: an endpoint gives no report", zap.String("endpoint", e.Name), zap.Error(err))
		if crendpoint.Unreached(err) {
			d.owner.WithAdmitter(func(a *cradmit.Admitter) { a.ReportFailed(e.Name) })
		}
		return
	}
	d.owner.WithAdmitter(func(a *cradmit.Admitter) {
		a.Observe(time.Now(), cradmit.Report{
			Endpoint: e.Name,
			At:       r.At.AsTime(),
			Epoch:    r.Epoch,
			InFlight: int(r.InFlight + r.Queued),
			Cold:     r.Cold,
			Leaving:  r.Leaving,
		})
	})
}

// hints tells the member table of instances that the settings and the
// platform's list name.
func (d *Daemon) hints(ctx context.Context) {
	for _, a := range d.Settings.Seeds {
		if a != d.Settings.Peer.Advertise {
			d.standing.expects.Store(true)
			d.fleet.Hint("", a, "", false)
		}
	}
	for {
		wait := hintInterval
		list, _, err := d.store.Instances(ctx)
		if err != nil {
			d.Log.Debug("fleet: the platform's list of instances can't be read", zap.Error(err))
			wait = hintRetry
		}
		for _, i := range list {
			peer, err := netip.ParseAddrPort(i.PeerAddress)
			if err != nil || i.Name == d.Settings.Instance {
				continue
			}
			if !i.Leaving {
				d.standing.expects.Store(true)
			}
			d.fleet.Hint(i.Name, peer, i.FailureDomain, i.Leaving)
		}
		t := time.NewTimer(wait)
		select {
		case <-ctx.Done():
			t.Stop()
			return
		case <-t.C:
		}
	}
}

// housekeep forgets what has expired, and halves the bounds of an instance
// that may be cut off or has reached no peer yet.
func (d *Daemon) housekeep(ctx context.Context) {
	t := time.NewTicker(housekeeping)
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case now := <-t.C:
			d.entry.Executions.Tick(now)
			d.peers.Retain(d.knownPeer())
			d.retryRelease()
			d.settle(now)
			if d.fleet.Isolated() || d.stranger() {
				d.contestAll(now)
			}
		}
	}
}

// knownPeer tells whether an address is a member's.
func (d *Daemon) knownPeer() func(netip.AddrPort) bool {
	known := make(map[netip.AddrPort]bool)
	for _, m := range d.fleet.All() {
		known[m.Peer] = true
	}
	for _, a := range d.Settings.Seeds {
		known[a] = true
	}
	return func(a netip.AddrPort) bool { return known[a] }
}

// retryRelease takes shards back whose release has run out.
func (d *Daemon) retryRelease() {
	d.rebalancing.Lock()
	defer d.rebalancing.Unlock()
	now := time.Now()
	for _, until := range d.released {
		if now.After(until) {
			layout := d.view.layout.Load()
			d.rebalance(layout, layout)
			return
		}
	}
}

func (d *Daemon) contestAll(now time.Time) {
	shards := d.view.layout.Load().Owned(d.Settings.Instance)
	d.owner.WithAdmitter(func(a *cradmit.Admitter) {
		for _, s := range shards {
			a.MarkContested(now, s.Key, now.Add(contestedTime))
		}
	})
}
