package crdaemon

import (
	"context"
	"time"

	"go.uber.org/zap"

	"crocusrack/core/cradmit"
	"crocusrack/core/crbackoff"
	"crocusrack/core/crshard"
	pb "crocusrack/schema/crcatalogue"
	"crocusrack/schema/crendpoint"
)

const (
	// cacheInterval is how often the followed engines are compared with those
	// owned, and the pause before a broken stream is opened again.
	cacheInterval = time.Second
)

// followCaches follows the cache events of the owned engines until the context
// ends. What is missed is corrected by the cached tokens of answers.
func (d *Daemon) followCaches(ctx context.Context) {
	followed := make(map[string]context.CancelFunc)
	for {
		owned := d.ownedEngines()
		for name, stop := range followed {
			if _, ok := owned[name]; !ok {
				stop()
				delete(followed, name)
			}
		}
		for name, e := range owned {
			if _, ok := followed[name]; ok {
				continue
			}
			following, stop := context.WithCancel(ctx)
			followed[name] = stop
			d.tasks.Go(func() { d.followCache(following, e) })
		}
		if crbackoff.Sleep(ctx, cacheInterval) != nil {
			for _, stop := range followed {
				stop()
			}
			return
		}
	}
}

func (d *Daemon) ownedEngines() map[string]crshard.Endpoint {
	engines := make(map[string]crshard.Endpoint)
	for _, s := range d.view.layout.Load().Owned(d.Settings.Instance) {
		if d.service(s.Service).GetKind() != pb.ServiceKind_SERVICE_KIND_MODEL {
			continue
		}
		for _, e := range s.Endpoints {
			engines[e.Name] = e
		}
	}
	return engines
}

func (d *Daemon) followCache(ctx context.Context, e crshard.Endpoint) {
	sequence := uint64(0)
	for {
		err := d.caches.CacheEvents(ctx, e.Address, sequence, func(m *crendpoint.CacheEvent) {
			sequence = m.Sequence
			d.takeCacheEvent(e.Name, m)
		})
		if err != nil && ctx.Err() == nil {
			d.Log.Debug("owner: the cache events of an endpoint broke off", zap.String("endpoint", e.Name), zap.Error(err))
		}
		if crbackoff.Sleep(ctx, cacheInterval) != nil {
			return
		}
	}
}

func (d *Daemon) takeCacheEvent(endpoint string, m *crendpoint.CacheEvent) {
	d.owner.WithAdmitter(func(a *cradmit.Admitter) {
		if m.Cleared {
			a.CacheCleared(time.Now(), endpoint, m.Epoch)
			return
		}
		a.UpdatePrefixes(endpoint, m.Stored, m.Evicted)
	})
}
