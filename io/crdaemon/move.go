package crdaemon

import (
	"context"
	"sync"
	"time"

	"go.uber.org/zap"

	"crocusrack/core/cradmit"
	"crocusrack/core/crshard"
	"crocusrack/io/crowner"
	"crocusrack/io/crpeer"
	pb "crocusrack/schema/crpeer"
)

const (
	// moveLimit bounds the contexts that one change of the layout moves.
	moveLimit = 2000
	// movesAtOnce bounds the transfers that one instance has in progress.
	movesAtOnce = 4
	moveTimeout = 2 * time.Second
	// moveTime is how long contexts are moved after a change: a chat that
	// hasn't returned by then pays for its prefill.
	moveTime = 20 * time.Second
)

// moveContexts moves the cached contexts of chats whose first choice was here
// and now is elsewhere, latest used first, so that the chats find them when
// they return. It ends early when the layout changes again.
func (d *Daemon) moveContexts(ctx context.Context, before, after *crshard.Layout) {
	ctx, cancel := context.WithTimeout(ctx, moveTime)
	defer cancel()
	list := d.owner.Contexts(func(c crowner.Context) bool {
		return firstIs(before, c, c.Shard) && !firstIs(after, c, c.Shard)
	})
	if len(list) == 0 {
		return
	}
	d.Log.Info("owner: moving cached contexts", zap.Int("chats", len(list)))
	slots := make(chan struct{}, movesAtOnce)
	var moves sync.WaitGroup
	defer moves.Wait()
	for _, c := range list[:min(len(list), moveLimit)] {
		if d.view.layout.Load() != after {
			return
		}
		select {
		case slots <- struct{}{}:
		case <-ctx.Done():
			return
		}
		moves.Go(func() {
			defer func() { <-slots }()
			d.moveContext(ctx, after, c)
		})
	}
}

// moveLate moves the context of a chat that was still running when its endpoint
// left the layout.
func (d *Daemon) moveLate(c crowner.Context) {
	l := d.view.layout.Load()
	if s := l.Shard(c.Shard); s != nil && s.Contains(c.Endpoint) {
		return
	}
	d.tasks.Go(func() { d.moveContext(d.context, l, c) })
}

// firstIs reports whether a shard is the chat's first choice.
func firstIs(l *crshard.Layout, c crowner.Context, k crshard.Key) bool {
	walk := l.AppendRanked(c.Service, c.Chat, nil)
	return len(walk) > 0 && walk[0].Key == k
}

func (d *Daemon) moveContext(ctx context.Context, l *crshard.Layout, c crowner.Context) {
	walk := l.AppendRanked(c.Service, c.Chat, nil)
	if len(walk) == 0 {
		return
	}
	first, _ := walk[0].TopTwo(c.Chat)
	to := walk[0].Endpoints[first]
	ctx, cancel := context.WithTimeout(ctx, moveTimeout)
	defer cancel()
	moved, err := d.owner.Endpoints.MoveCache(ctx, c.Address, to.Address, c.Prefix)
	if err != nil {
		d.Log.Debug("owner: a cached context could not be moved", zap.Error(err))
		return
	}
	if moved {
		d.tellCached(ctx, walk[0].Owner, to.Name, c.Prefix)
	}
}

// tellCached tells the owner of an endpoint what was imported there.
func (d *Daemon) tellCached(ctx context.Context, owner, endpoint string, prefix uint64) {
	r := &pb.NoteCachedRequest{Endpoint: endpoint, Prefixes: []uint64{prefix}}
	if owner == d.Settings.Instance {
		d.noteCached(r)
		return
	}
	m, ok := d.fleet.Member(owner)
	if !ok {
		return
	}
	client, err := d.peers.Client(m.Peer, crpeer.Control)
	if err != nil {
		return
	}
	if _, err := client.NoteCached(ctx, r); err != nil {
		d.Log.Debug("owner: a peer was not told of a moved context", zap.String("instance", owner), zap.Error(err))
	}
}

// noteCached takes in what was imported at an endpoint of this instance.
func (d *Daemon) noteCached(r *pb.NoteCachedRequest) {
	d.owner.WithAdmitter(func(a *cradmit.Admitter) { a.UpdatePrefixes(r.Endpoint, r.Prefixes, nil) })
}
