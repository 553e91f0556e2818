package crdaemon

import (
	"cmp"
	"context"
	"math/rand/v2"
	"net/netip"
	"slices"
	"sync"
	"time"

	"golang.org/x/time/rate"
	"google.golang.org/protobuf/proto"

	"crocusrack/core/cradmit"
	"crocusrack/core/crload"
	"crocusrack/io/crpeer"
	pb "crocusrack/schema/crpeer"
)

const (
	loadInterval = 100 * time.Millisecond
	loadTimeout  = time.Second
	// maxSums bounds the sums in one message.
	maxSums = 16
	// loadShare is the part of the control budget that the exchanges take which
	// this instance begins, both directions together. It is asked for as many by
	// others.
	loadShare = 0.3
	// exchangeOverhead is what one exchange takes beside its two messages, in
	// bytes.
	exchangeOverhead = 60
	// defaultControlBudget is in bytes per second.
	defaultControlBudget = 5000
)

// loads keeps the load sums of the services whose shards this instance owns.
type loads struct {
	mu    sync.Mutex
	table crload.Table
	pace  *rate.Limiter
}

// loadPace returns the limiter of the bytes of exchanges.
func loadPace(controlBytesPerSecond int) *rate.Limiter {
	perSecond := loadShare * float64(cmp.Or(controlBytesPerSecond, defaultControlBudget))
	return rate.NewLimiter(rate.Limit(perSecond), int(perSecond))
}

// pay takes the bytes of an exchange from the pace.
func (l *loads) pay(now time.Time, bytes int) {
	l.pace.ReserveN(now, min(bytes+exchangeOverhead, l.pace.Burst()))
}

// mean is called with the owner's lock held; the lock of loads is only ever
// taken inside it or alone.
func (l *loads) mean(service string, now time.Time) (float64, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.table.Mean(service, now)
}

func (l *loads) export(now time.Time, domain string, services []string) []*pb.LoadSum {
	l.mu.Lock()
	defer l.mu.Unlock()
	var sums []*pb.LoadSum
	for _, s := range l.table.Export(now, domain, services, nil, maxSums) {
		sums = append(sums, &pb.LoadSum{
			Service:       s.Service,
			FailureDomain: s.FailureDomain,
			Shard:         int32(s.Shard),
			InFlight:      uint32(s.InFlight),
			Waiting:       uint32(s.Waiting),
			Capacity:      uint32(s.Capacity),
			Stamp:         s.Stamp,
		})
	}
	return sums
}

func (l *loads) merge(now time.Time, sums []*pb.LoadSum) {
	list := make([]crload.Sum, len(sums))
	for i, s := range sums {
		list[i] = crload.Sum{
			Service:       s.Service,
			FailureDomain: s.FailureDomain,
			Shard:         int(s.Shard),
			InFlight:      int(s.InFlight),
			Waiting:       int(s.Waiting),
			Capacity:      int(s.Capacity),
			Stamp:         s.Stamp,
		}
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.table.Merge(now, list)
}

// measure records the loads of the owned shards.
func (d *Daemon) measure(now time.Time) {
	var sums []cradmit.ShardLoad
	d.owner.WithAdmitter(func(a *cradmit.Admitter) { sums = a.ShardLoads(nil) })
	d.loads.mu.Lock()
	defer d.loads.mu.Unlock()
	for _, s := range sums {
		d.loads.table.Set(now, s.Shard.Service, s.Shard.Index, s.InFlight, s.Waiting, s.Capacity)
	}
}

// exchangeLoads tells another owner of each service what has changed.
func (d *Daemon) exchangeLoads(ctx context.Context) {
	t := time.NewTicker(loadInterval)
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case now := <-t.C:
			d.measure(now)
			for service, name := range d.loadPeers() {
				if d.loads.pace.TokensAt(now) <= 0 {
					break
				}
				d.tasks.Go(func() { d.exchangeWith(ctx, service, name) })
			}
		}
	}
}

// loadPeers returns one other owner of each service that this instance owns a
// shard of, by service.
func (d *Daemon) loadPeers() map[string]string {
	layout := d.view.layout.Load()
	services := make(map[string]bool)
	for _, s := range layout.Owned(d.Settings.Instance) {
		services[s.Service] = true
	}
	names := make(map[string]string)
	for service := range services {
		peers := layout.Owners(service)
		if len(peers) < 2 {
			continue
		}
		n := rand.IntN(len(peers))
		if peers[n] == d.Settings.Instance {
			n = (n + 1) % len(peers)
		}
		names[service] = peers[n]
	}
	return names
}

// exchangeWith tells another owner of a service its sums. The sums of services
// that the other doesn't own are of no use there.
func (d *Daemon) exchangeWith(ctx context.Context, service, name string) {
	m, ok := d.fleet.Member(name)
	if !ok || m.Peer == (netip.AddrPort{}) {
		return
	}
	sums := d.loads.export(time.Now(), m.FailureDomain, []string{service})
	if len(sums) == 0 {
		return
	}
	client, err := d.peers.Client(m.Peer, crpeer.Control)
	if err != nil {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, loadTimeout)
	defer cancel()
	request := &pb.LoadsMessage{Loads: sums, FailureDomain: d.Settings.FailureDomain}
	answer, err := client.ExchangeLoads(ctx, request)
	d.loads.pay(time.Now(), proto.Size(request)+proto.Size(answer))
	if err != nil {
		return
	}
	d.loads.merge(time.Now(), answer.Loads)
}

// answerLoads answers another owner's load sums with ours of the same services.
func (d *Daemon) answerLoads(m *pb.LoadsMessage) *pb.LoadsMessage {
	now := time.Now()
	d.loads.merge(now, m.Loads)
	var services []string
	for _, s := range m.Loads {
		if !slices.Contains(services, s.Service) {
			services = append(services, s.Service)
		}
	}
	return &pb.LoadsMessage{Loads: d.loads.export(now, m.FailureDomain, services)}
}
