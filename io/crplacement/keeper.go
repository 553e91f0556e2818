// Package crplacement keeps the catalogue's placements: for each model service
// that has any, one instance of the fleet holds a lease in the platform's
// store, reads the endpoints' reports and gives them orders until the wanted
// count of ready endpoints has each role, version and adapter. What is ordered
// is decided in crorder, and who may order in crlease.
package crplacement

import (
	"context"
	"net/netip"
	"slices"
	"strings"
	"sync"
	"time"

	"go.uber.org/zap"

	"crocusrack/core/crcatalogue"
	"crocusrack/core/crlease"
	"crocusrack/core/crorder"
	"crocusrack/core/crstore"
	pb "crocusrack/schema/crcatalogue"
	"crocusrack/schema/crendpoint"
)

const (
	// DefaultMaxLoads and DefaultLoadTime are the LoadLimits of a Keeper that
	// sets none.
	DefaultMaxLoads = 2
	DefaultLoadTime = 5 * time.Minute

	leasePrefix = "lease/"
	// candidates is how many instances try for the lease of a service.
	candidates    = 3
	leaseDuration = 10 * time.Second
	leaseMargin   = time.Second
	leaseTimeout  = 4 * time.Second
	// lookInterval is how often a candidate looks at a lease that it doesn't
	// hold.
	lookInterval = 3 * time.Second
	stepInterval = time.Second
	// orderTimeout bounds the call of an order, and orderFlight is how long
	// after its start an order may take effect.
	orderTimeout = 3 * time.Second
	orderFlight  = 10 * time.Second
	retryRefused = 30 * time.Second
)

// LoadLimits bound the loads of one service, for the sake of the weight store.
type LoadLimits struct {
	// MaxLoads bounds the loads in progress; 0 is DefaultMaxLoads.
	MaxLoads int
	// LoadTime is how long a load lasts at most; 0 is DefaultLoadTime.
	LoadTime time.Duration
}

// Keeper keeps the placements of all services. Set the exported fields before
// Run.
type Keeper struct {
	Instance string
	// Holder names this run of this instance; no other run has the same.
	Holder string
	LoadLimits
	Store   crstore.Store
	WriteID func() string
	// Catalogue returns the one in force, or nil.
	Catalogue func() *crcatalogue.Set
	// Instances returns the names of those that may hold leases. This one gives
	// its leases up when it isn't among them.
	Instances func() []string
	// Report and Order call an endpoint. An order whose context has ended must
	// not reach the endpoint later.
	Report func(context.Context, netip.AddrPort) (*crendpoint.ReportResponse, error)
	Order  func(context.Context, netip.AddrPort, *crendpoint.OrderRequest) (*crendpoint.OrderResponse, error)
	// Ordered is told of the end of each order that was sent.
	Ordered func(Result)
	Log     *zap.Logger

	tasks    sync.WaitGroup
	mu       sync.Mutex
	services map[string]*service
}

// Result is the end of an order that was sent: the endpoint's answer, such as
// in-progress, or NoAnswer.
type Result string

// NoAnswer is the result of an order that may or may not have taken effect.
const NoAnswer Result = "no-answer"

func resultOf(r crendpoint.OrderResult) Result {
	return Result(kebab(r.String(), "ORDER_RESULT_"))
}

// Kind returns the name of a kind of order, such as load-version.
func Kind(k crendpoint.OrderKind) string { return kebab(k.String(), "ORDER_KIND_") }

func kebab(name, prefix string) string {
	return strings.ReplaceAll(strings.ToLower(strings.TrimPrefix(name, prefix)), "_", "-")
}

// Run keeps the placements until the context ends. The leases that are held
// then lapse by themselves.
func (k *Keeper) Run(ctx context.Context) {
	defer k.tasks.Wait()
	t := time.NewTicker(stepInterval)
	defer t.Stop()
	for {
		k.start(ctx)
		select {
		case <-ctx.Done():
			return
		case <-t.C:
		}
	}
}

// start begins to keep the placements of services that are new.
func (k *Keeper) start(ctx context.Context) {
	set := k.Catalogue()
	if set == nil {
		return
	}
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.services == nil {
		k.services = make(map[string]*service)
	}
	for _, p := range set.Services() {
		if len(p.Placements) == 0 || k.services[p.Name] != nil {
			continue
		}
		s := k.newService(p)
		k.services[p.Name] = s
		k.tasks.Go(func() {
			s.run(ctx)
			k.mu.Lock()
			defer k.mu.Unlock()
			delete(k.services, s.name)
		})
	}
}

func (k *Keeper) newService(p *pb.Service) *service {
	limits := k.LoadLimits
	if limits.MaxLoads == 0 {
		limits.MaxLoads = DefaultMaxLoads
	}
	if limits.LoadTime == 0 {
		limits.LoadTime = DefaultLoadTime
	}
	return &service{
		keeper: k,
		name:   p.Name,
		lease: crlease.Lease{
			Store:    k.Store,
			Name:     leasePrefix + p.Name,
			Holder:   k.Holder,
			Duration: leaseDuration,
			Margin:   leaseMargin,
			WriteID:  k.WriteID,
		},
		planner: crorder.Planner{
			Service:         p.Name,
			Model:           p.Model,
			MaxLoads:        limits.MaxLoads,
			MaxDeliveryTime: orderFlight,
			MaxLoadTime:     limits.LoadTime,
			RetryDelay:      retryRefused,
		},
	}
}

// Lease is a lease that is held here, with the orders in progress under it.
type Lease struct {
	Service string
	// Token is the fencing token of the orders.
	Token  uint64
	Orders []crorder.Order
}

// Leases returns the leases held at the time, sorted by service.
func (k *Keeper) Leases(now time.Time) []Lease {
	k.mu.Lock()
	defer k.mu.Unlock()
	var list []Lease
	for _, s := range k.services {
		if l, held := s.state(now); held {
			list = append(list, l)
		}
	}
	slices.SortFunc(list, func(a, b Lease) int { return strings.Compare(a.Service, b.Service) })
	return list
}
