package crdaemon

import (
	"context"
	"math"
	"net"
	"net/netip"
	"slices"
	"time"

	"crocusrack/core/cradmit"
	"crocusrack/io/crmetric"
	"crocusrack/io/crstore"
	"crocusrack/io/crtransport"
)

// buildGauges connects the gauges with what they show.
func (d *Daemon) buildGauges() {
	m := &d.Metrics
	m.CatalogueVersion = func() float64 {
		version, _ := d.follower.Version()
		return float64(version)
	}
	m.CatalogueAge = func() float64 {
		age, ok := d.follower.Age(time.Now())
		if !ok {
			// There is no age of nothing: the metric is null.
			return math.NaN()
		}
		return age.Seconds()
	}
	m.RequestsInFlight = func() float64 { return float64(d.entry.InFlight()) }
	m.LeasesHeld = func() float64 { return float64(len(d.placements.Leases(time.Now()))) }
	m.Draining = func() float64 {
		if d.draining.Load() {
			return 1
		}
		return 0
	}
	m.Members = func() map[string]float64 {
		counts := make(map[string]float64)
		for _, n := range d.fleet.All() {
			counts[n.State.String()]++
		}
		return counts
	}
	m.EndpointLoad = d.endpointGauge(func(l cradmit.EndpointLoad) float64 { return float64(l.InFlight + l.OtherOwners) })
	m.EndpointBound = d.endpointGauge(func(l cradmit.EndpointLoad) float64 { return float64(l.Bound) })
	m.EndpointLimit = d.endpointGauge(func(l cradmit.EndpointLoad) float64 { return float64(l.WarmUpLimit) })
	m.QueueLength = func() map[string]float64 {
		counts := make(map[string]float64)
		for _, l := range d.endpointLoads() {
			counts[l.Shard.Service] += float64(l.Waiting)
		}
		return counts
	}
}

func (d *Daemon) endpointGauge(value func(cradmit.EndpointLoad) float64) crmetric.GaugeBy {
	return func() map[string]float64 {
		values := make(map[string]float64)
		for _, l := range d.endpointLoads() {
			values[l.Endpoint] = value(l)
		}
		return values
	}
}

// endpointLoads returns the state of the owned endpoints, sorted by name.
func (d *Daemon) endpointLoads() []cradmit.EndpointLoad {
	var list []cradmit.EndpointLoad
	d.owner.WithAdmitter(func(a *cradmit.Admitter) { list = a.EndpointLoads(time.Now(), nil) })
	slices.SortFunc(list, func(a, b cradmit.EndpointLoad) int {
		if a.Endpoint < b.Endpoint {
			return -1
		}
		return 1
	})
	return list
}

// counted dials connections whose bytes are control traffic.
func (d *Daemon) counted(kind string) crtransport.DialFunc { return d.countedOver(kind, d.Dial) }

func (d *Daemon) countedOver(kind string, dial crtransport.DialFunc) crtransport.DialFunc {
	counter := crmetric.Counter{Set: &d.Metrics}
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		conn, err := dial(ctx, network, address)
		if err != nil {
			return nil, err
		}
		return counter.Conn(conn, kind), nil
	}
}

func (d *Daemon) countedPeer(ctx context.Context, network, address string) (net.Conn, error) {
	conn, err := d.Dial(ctx, network, address)
	if err != nil {
		return nil, err
	}
	return crmetric.Counter{Set: &d.Metrics}.PeerConn(conn), nil
}

// dialRequests dials connections that carry requests of callers.
func (d *Daemon) dialRequests(ctx context.Context, network, address string) (net.Conn, error) {
	conn, err := d.Dial(ctx, network, address)
	if err != nil || !d.crosses(address) {
		return conn, err
	}
	return crmetric.Counter{Set: &d.Metrics}.CrossDomainConn(conn), nil
}

// crosses reports whether the instance or endpoint at an address is in another
// failure domain. One that isn't known is taken to be in this one.
func (d *Daemon) crosses(address string) bool {
	at, err := netip.ParseAddrPort(address)
	if err != nil {
		return false
	}
	for _, m := range d.fleet.All() {
		if m.Peer == at {
			return m.FailureDomain != d.Settings.FailureDomain
		}
	}
	e, ok := d.view.endpointAt(at)
	return ok && e.FailureDomain != d.Settings.FailureDomain
}

func (d *Daemon) storeCalled(kind crstore.Kind, failed bool) {
	d.Metrics.StoreCalls.Add(string(kind), 1)
	if failed {
		d.Metrics.StoreFailures.Add(string(kind), 1)
	}
}
