// Package crroute looks up the route, service and client account of a request in
// one version of the routing configuration that operators edit.
package crroute

import (
	"cmp"
	"slices"
	"strings"
	"time"

	"crocusrack/core/crhash"
	pb "crocusrack/schema/crrouter"
)

// Kind tells whether requests of a route may be repeated.
type Kind uint8

const (
	// Idempotent requests may be repeated.
	Idempotent Kind = iota
	// Once is the kind of requests that run at most once.
	Once
	// Stream requests run at most once, unless the route is resumable.
	Stream
)

var kindNames = [...]string{Idempotent: "idempotent", Once: "once", Stream: "stream"}

// String returns the name of the kind in lower case.
func (k Kind) String() string {
	if int(k) < len(kindNames) {
		return kindNames[k]
	}
	return "unknown"
}

// Route configures the requests to one host whose path begins with Prefix: the
// services that they go to, and how they are handled.
type Route struct {
	Name   string
	Host   string
	Prefix string
	Kind   Kind
	// Timeout bounds the deadline of a request, counted from its arrival. Zero means
	// that the route sets no limit.
	Timeout time.Duration
	// Target is the time within which an answer must begin in order not to count as
	// late. Zero means no target.
	Target time.Duration
	// MaxEventGap is the longest time between two events of a stream that is still in time.
	MaxEventGap time.Duration
	MaxAttempts int
	// Priority is the priority of the requests. Zero is the highest.
	Priority  int
	Anonymous bool
	Resumable bool

	shares      []share
	totalWeight uint64
}

// share is the weight of one service in a route.
type share struct {
	service string
	weight  uint64
}

// Repeatable reports whether a request of the route may be sent again although an
// endpoint may have run it.
func (r *Route) Repeatable() bool {
	return r.Kind == Idempotent || r.Kind == Stream && r.Resumable
}

// Service returns the name of the service for the request with the given id. It is
// chosen by a hash of the id, in proportion to the weights of the route. Service
// returns the empty string if the route has no service.
func (r *Route) Service(request string) string {
	if r.totalWeight == 0 {
		return ""
	}
	remainder := crhash.Mix(crhash.Of(request), crhash.Of(r.Name)) % r.totalWeight
	for _, s := range r.shares {
		if remainder < s.weight {
			return s.service
		}
		remainder -= s.weight
	}
	return r.shares[len(r.shares)-1].service
}

// Service is the configuration of one service.
type Service struct {
	Name string
	// MaxConnections bounds the number of connections of all instances together to
	// one endpoint. Zero means no bound.
	MaxConnections int
	// MaxColdRate is the highest rate of requests to a cold endpoint, in requests
	// per second. Zero means no bound.
	MaxColdRate float64
	// Engine is true if the endpoints are model engines.
	Engine bool
}

// Account is the configuration of one client account.
type Account struct {
	Name string
	// Priority overrides that of the route if HasPriority is true.
	Priority    int
	HasPriority bool
	// Weight is the relative share of the account in a saturated service. Zero means 1.
	Weight float64
}

// Limits bounds what callers send. Zero means no limit.
type Limits struct {
	// HeaderBytes and BodyBytes bound the sizes of requests, in bytes.
	HeaderBytes int64
	BodyBytes   int64
	// HeaderTimeout bounds the time for a header section, and IdleTimeout how long a connection
	// is kept between two requests.
	HeaderTimeout time.Duration
	IdleTimeout   time.Duration
}

// Table is one version of the routing configuration, indexed for lookups. It is
// immutable and safe for concurrent use.
type Table struct {
	Version uint64
	Limits  Limits

	routesByHost  map[string][]*Route
	services      map[string]Service
	accountsByKey map[string]*Account
	requiresKeys  bool
}

// New returns the table of one version of the routing configuration.
func New(m *pb.Routing) *Table {
	t := &Table{
		Version: m.GetVersion(),
		Limits: Limits{
			HeaderBytes: int64(m.GetLimits().GetHeaderBytes()),
			BodyBytes:   int64(m.GetLimits().GetBodyBytes()),

			HeaderTimeout: max(0, m.GetLimits().GetHeaderTimeout().AsDuration()),
			IdleTimeout:   max(0, m.GetLimits().GetIdleTimeout().AsDuration()),
		},
		routesByHost:  make(map[string][]*Route),
		services:      make(map[string]Service),
		accountsByKey: make(map[string]*Account),
		requiresKeys:  m.GetRequiresKeys() || len(m.GetAccounts()) > 0,
	}
	for _, s := range m.GetServices() {
		t.services[s.GetName()] = Service{
			Name:           s.GetName(),
			MaxConnections: int(s.GetMaxConnections()),
			MaxColdRate:    s.GetColdPerSecond(),
			Engine:         s.GetEngine(),
		}
	}
	for _, r := range m.GetRoutes() {
		route := newRoute(r)
		t.routesByHost[route.Host] = append(t.routesByHost[route.Host], route)
	}
	for _, routes := range t.routesByHost {
		slices.SortStableFunc(routes, func(a, b *Route) int { return cmp.Compare(len(b.Prefix), len(a.Prefix)) })
	}
	for _, a := range m.GetAccounts() {
		account := &Account{Name: a.GetName(), Priority: int(a.GetPriority()), HasPriority: a.Priority != nil, Weight: a.GetWeight()}
		if account.Name == "" {
			// Endpoints couldn't tell its requests from those that need no key.
			continue
		}
		for _, k := range a.GetKeys() {
			if k != "" {
				t.accountsByKey[k] = account
			}
		}
	}
	return t
}

func newRoute(m *pb.Route) *Route {
	r := &Route{
		Name:        m.GetName(),
		Host:        strings.ToLower(m.GetHost()),
		Prefix:      m.GetPrefix(),
		Kind:        kindOf(m.GetKind()),
		Timeout:     m.GetTimeout().AsDuration(),
		Target:      m.GetTarget().AsDuration(),
		MaxEventGap: m.GetGap().AsDuration(),
		MaxAttempts: max(1, int(m.GetMaxAttempts())),
		Priority:    int(m.GetPriority()),
		Anonymous:   m.GetAnonymous(),
		Resumable:   m.GetResumable(),
	}
	for _, s := range m.GetShares() {
		if s.GetWeight() == 0 {
			continue
		}
		r.shares = append(r.shares, share{service: s.GetService(), weight: uint64(s.GetWeight())})
		r.totalWeight += uint64(s.GetWeight())
	}
	return r
}

// kindOf converts a kind of the configuration. A kind that this release doesn't know
// becomes Once, the most restrictive one.
func kindOf(k pb.Kind) Kind {
	switch k {
	case pb.Kind_KIND_IDEMPOTENT:
		return Idempotent
	case pb.Kind_KIND_STREAM:
		return Stream
	default:
		return Once
	}
}

// Route returns the route of the host whose prefix is the longest that matches the
// path, or nil if there is none. The host may include a port.
func (t *Table) Route(host, path string) *Route {
	for _, r := range t.routesByHost[hostname(host)] {
		if strings.HasPrefix(path, r.Prefix) {
			return r
		}
	}
	return nil
}

// hostname returns the host in lower case without a port.
func hostname(host string) string {
	if i := strings.LastIndexByte(host, ':'); i >= 0 && !strings.HasSuffix(host, "]") {
		host = host[:i]
	}
	return strings.ToLower(host)
}

// Service returns the service with the given name, or the zero value if there is
// none.
func (t *Table) Service(name string) Service { return t.services[name] }

// Authorize returns the client account of a request for a route with a key, or false if no
// account holds the key. The account is nil if the route is anonymous, or if keys aren't
// required and the key is empty. A key that was taken away with all accounts doesn't become
// valid again.
func (t *Table) Authorize(r *Route, key string) (*Account, bool) {
	if r.Anonymous || !t.requiresKeys && key == "" {
		return nil, true
	}
	a := t.accountsByKey[key]
	return a, a != nil
}

// RequiresKeys reports whether requests need a key, unless their route is anonymous. They
// may need one although no client account holds any.
func (t *Table) RequiresKeys() bool { return t.requiresKeys }
