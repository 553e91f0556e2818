package crplacement

import (
	"context"
	"net/netip"
	"slices"
	"sync"
	"time"

	"go.uber.org/zap"

	"crocusrack/core/crlease"
	"crocusrack/core/crorder"
	pb "crocusrack/schema/crcatalogue"
	"crocusrack/schema/crendpoint"
)

// service keeps the placements of one service.
type service struct {
	keeper *Keeper
	name   string

	// Used by the goroutine of run alone. A call of the store may hold it up
	// for seconds.
	lease   crlease.Lease
	looked  time.Time
	reports reports

	mu sync.Mutex
	// shown is the lease as it was after the last call of the store. It lapses
	// like the lease itself.
	shown   crlease.Lease
	planner crorder.Planner
}

// run goes on until the context ends or the service has no placements.
func (s *service) run(ctx context.Context) {
	t := time.NewTicker(stepInterval)
	defer t.Stop()
	for {
		p := s.placed()
		s.keepLease(ctx, p != nil)
		if p == nil {
			return
		}
		s.keepPlacements(ctx, p)
		select {
		case <-ctx.Done():
			return
		case <-t.C:
		}
	}
}

// placed returns the service of the catalogue in force if it has placements.
func (s *service) placed() *pb.Service {
	set := s.keeper.Catalogue()
	if set == nil {
		return nil
	}
	p, ok := set.Service(s.name)
	if !ok || len(p.Placements) == 0 {
		return nil
	}
	return p
}

// keepLease renews a lease that is held, also when others have become the
// candidates: a takeover holds loads up. A candidate looks at one that isn't
// held now and then.
func (s *service) keepLease(ctx context.Context, wanted bool) {
	ctx, cancel := context.WithTimeout(ctx, leaseTimeout)
	defer cancel()
	now := time.Now()
	if _, held := s.lease.Check(now); held {
		if wanted && slices.Contains(s.keeper.Instances(), s.keeper.Instance) {
			s.lease.Tick(ctx, now)
		} else {
			s.lease.Release(ctx, now)
		}
	} else if wanted && now.Sub(s.looked) >= lookInterval {
		s.looked = now
		if crlease.IsCandidate(s.lease.Name, s.keeper.Instance, s.keeper.Instances(), candidates) {
			s.lease.Tick(ctx, now)
		}
	}
	s.show()
}

// show tells the lease to those who send orders.
func (s *service) show() {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	before, _ := s.shown.Check(now)
	s.shown = s.lease
	if after, held := s.shown.Check(now); held && after != before {
		s.keeper.Log.Info("placement: holds the lease", zap.String("service", s.name), zap.Uint64("token", after))
	}
}

// keepPlacements reads reports and sends the orders that follow from them,
// while the lease is held.
func (s *service) keepPlacements(ctx context.Context, p *pb.Service) {
	set := s.keeper.Catalogue()
	if _, held := s.lease.Check(time.Now()); !held {
		s.reports = reports{}
		return
	}
	list := set.Endpoints(s.name)
	s.reports.ask(ctx, s.keeper.Report, list)
	if !s.reports.complete(list) {
		return
	}
	endpoints := make([]crorder.Endpoint, len(list))
	addresses := make(map[string]netip.AddrPort)
	for i, e := range list {
		endpoints[i] = s.reports.endpoint(e, set.EndpointOut(e))
		addresses[e.Name] = address(e)
	}
	for _, o := range s.plan(p, endpoints) {
		s.keeper.tasks.Go(func() { s.send(ctx, o, addresses[o.Endpoint]) })
	}
}

func (s *service) plan(p *pb.Service, endpoints []crorder.Endpoint) []crorder.Order {
	placements := make([]crorder.Placement, len(p.Placements))
	for i, w := range p.Placements {
		placements[i] = crorder.Placement{Role: w.Role, Count: int(w.Count), Version: w.Version, Adapter: w.Adapter}
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	token, held := s.shown.Check(now)
	if !held {
		return nil
	}
	s.planner.Model = p.Model
	return s.planner.Plan(now, token, placements, endpoints)
}

// send sends an order if it may still be sent, and takes the answer in. Its
// deadline counts from the time at which the lease was looked at.
func (s *service) send(ctx context.Context, o crorder.Order, at netip.AddrPort) {
	deadline, ok := s.mayStart(o)
	if !ok {
		return
	}
	ctx, cancel := context.WithDeadline(ctx, deadline)
	defer cancel()
	response, err := s.keeper.Order(ctx, at, &crendpoint.OrderRequest{
		OrderId:      o.ID,
		FencingToken: o.Token,
		Kind:         o.Kind,
		Model:        o.Model,
		Value:        o.Value,
	})
	result := NoAnswer
	if err == nil {
		result = resultOf(response.Result)
		s.answered(o, response.Result)
	}
	s.keeper.Ordered(result)
	s.keeper.Log.Info("placement: sent an order", zap.String("endpoint", o.Endpoint), zap.Stringer("kind", o.Kind),
		zap.String("value", o.Value), zap.String("result", string(result)), zap.Error(err))
}

func (s *service) mayStart(o crorder.Order) (deadline time.Time, ok bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	return now.Add(orderTimeout), s.planner.MayStart(now, o, &s.shown)
}

func (s *service) answered(o crorder.Order, result crendpoint.OrderResult) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.planner.HandleAnswer(time.Now(), o, result)
}

// state returns the lease, if it is held at the time.
func (s *service) state(now time.Time) (Lease, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	token, held := s.shown.Check(now)
	if !held {
		return Lease{}, false
	}
	return Lease{Service: s.name, Token: token, Orders: s.planner.Outstanding()}, true
}
