package crdaemon

import (
	"context"
	"net/netip"
	"sync"
	"time"

	"go.uber.org/zap"

	"crocusrack/core/cradmit"
	"crocusrack/core/crshard"
	"crocusrack/io/crpeer"
	pb "crocusrack/schema/crpeer"
)

const (
	takeOverTimeout = time.Second
	// contestedTime is how long the earlier owner of a shard that can't be
	// asked may still let work in.
	contestedTime = 4 * time.Second
	// releaseTime is how long a shard that was handed over stays with its new
	// owner while this instance's own view still says otherwise.
	releaseTime = 10 * time.Second
)

// rebalance follows a change of the layout: shards that this instance has lost
// let nothing in any more, and those that it has gained are taken over.
func (d *Daemon) rebalance(before, after *crshard.Layout) {
	now := time.Now()
	owned := d.unreleased(now, after)
	var gained []*crshard.Shard
	for _, s := range owned {
		if d.owned[s.Key] {
			continue
		}
		gained = append(gained, s)
		delete(d.takers, s.Key)
	}
	d.owned = make(map[crshard.Key]bool, len(owned))
	for _, s := range owned {
		d.owned[s.Key] = true
	}
	d.owner.WithAdmitter(func(a *cradmit.Admitter) {
		a.SetShards(now, owned)
		for _, s := range gained {
			a.MarkContested(now, s.Key, now.Add(contestedTime))
		}
	})
	without := sync.OnceValue(func() *crshard.Layout { return d.view.without(d.Settings.Instance) })
	for _, s := range gained {
		previous := d.previousOwner(before, without, s)
		d.tasks.Go(func() { d.takeOver(d.context, s.Key, previous) })
	}
}

// unreleased returns the shards of this instance but for those that it has
// handed over.
func (d *Daemon) unreleased(now time.Time, l *crshard.Layout) []*crshard.Shard {
	var owned []*crshard.Shard
	for _, s := range l.Owned(d.Settings.Instance) {
		if until, ok := d.released[s.Key]; ok && now.Before(until) {
			continue
		}
		delete(d.released, s.Key)
		owned = append(owned, s)
	}
	for k := range d.released {
		if s := l.Shard(k); s == nil || s.Owner != d.Settings.Instance {
			delete(d.released, k)
		}
	}
	return owned
}

// previousOwner returns who owned a shard before this instance, or who would
// if this instance weren't there: that one owned it while this one started.
func (d *Daemon) previousOwner(before *crshard.Layout, without func() *crshard.Layout, s *crshard.Shard) string {
	if before != nil {
		if old := before.Shard(s.Key); old != nil && old.Owner != d.Settings.Instance {
			return old.Owner
		}
	}
	if old := without().Shard(s.Key); old != nil {
		return old.Owner
	}
	return ""
}

// takeOver asks the earlier owner for a shard's state. The contested time ends
// when it has answered, unless its own ownership is contested.
func (d *Daemon) takeOver(ctx context.Context, k crshard.Key, previous string) {
	m, ok := d.fleet.Member(previous)
	if !ok || m.Peer == (netip.AddrPort{}) {
		return
	}
	client, err := d.peers.Client(m.Peer, crpeer.Control)
	if err != nil {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, takeOverTimeout)
	defer cancel()
	answer, err := client.TakeOver(ctx, &pb.TakeOverRequest{
		Service:       k.Service,
		FailureDomain: k.FailureDomain,
		Shard:         int32(k.Index),
		From:          d.Settings.Instance,
	})
	if err != nil {
		d.Log.Info("owner: the earlier owner of a shard can't be asked", zap.String("instance", previous), zap.Any("shard", k))
		return
	}
	handover := cradmit.Handover{Endpoints: make([]cradmit.EndpointState, len(answer.Endpoints)), Contested: answer.Contested}
	for i, e := range answer.Endpoints {
		handover.Endpoints[i] = cradmit.EndpointState{
			Endpoint: e.Endpoint,
			Epoch:    e.Epoch,
			InFlight: int(e.InFlight),
			Limit:    int(e.Limit),
			Chats:    e.Chats,
			Prefixes: e.Prefixes,
		}
	}
	if !answer.Known {
		// It wasn't the owner: who was is not known, so the time stays contested.
		return
	}
	d.owner.WithAdmitter(func(a *cradmit.Admitter) { a.Import(time.Now(), k, handover) })
}

// taker is the instance that a shard was handed over to, until its ownership
// is settled.
type taker struct {
	name  string
	until time.Time
}

// handOver ends this instance's ownership of a shard and returns its state.
func (d *Daemon) handOver(r *pb.TakeOverRequest) *pb.TakeOverResponse {
	k := crshard.Key{Service: r.Service, FailureDomain: r.FailureDomain, Index: int(r.Shard)}
	answer := &pb.TakeOverResponse{}
	if _, known := d.fleet.Member(r.From); !known {
		// One that isn't a member yet would own nothing in anybody's view.
		return answer
	}
	d.rebalancing.Lock()
	defer d.rebalancing.Unlock()
	now := time.Now()
	d.owner.WithAdmitter(func(a *cradmit.Admitter) {
		h := a.Export(now, k)
		answer.Contested = h.Contested
		for _, e := range h.Endpoints {
			answer.Endpoints = append(answer.Endpoints, &pb.EndpointState{
				Endpoint: e.Endpoint,
				Epoch:    e.Epoch,
				InFlight: uint32(e.InFlight),
				Limit:    uint32(e.Limit),
				Chats:    e.Chats,
				Prefixes: e.Prefixes,
			})
		}
		// A second taker isn't the only one to hold what was handed over.
		other := d.takers[k]
		answer.Known = len(answer.Endpoints) > 0 && (other.name == r.From || now.After(other.until))
		d.takers[k] = taker{r.From, now.Add(releaseTime)}
		d.released[k] = now.Add(releaseTime)
		delete(d.owned, k)
		a.SetShards(now, d.unreleased(now, d.view.layout.Load()))
	})
	return answer
}
