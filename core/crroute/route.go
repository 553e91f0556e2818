// Package crroute finds the route, the service and the client account of a
// request in one version of what operators edit. A Table is immutable and safe
// for concurrent use.
package crroute

import (
	"cmp"
	"slices"
	"strings"
	"time"

	"crocusrack/core/crhash"
	pb "crocusrack/schema/crrouter"
)

// Kind tells what may be repeated.
type Kind uint8

// The kinds. A stream runs at most once unless its route lets it be resumed.
const (
	Idempotent Kind = iota
	Once
	Stream
)

var kindNames = [...]string{Idempotent: "idempotent", Once: "once", Stream: "stream"}

// String returns the kind in lower case.
func (k Kind) String() string {
	if int(k) < len(kindNames) {
		return kindNames[k]
	}
	return "unknown"
}

// Route says where the requests below a path of a host go, and how.
type Route struct {
	Name   string
	Host   string
	Prefix string
	Kind   Kind
	// Timeout is the longest time a request is kept; zero is no limit.
	Timeout time.Duration
	// Target is the time within which an answer is worth its full credit.
	Target time.Duration
	// Gap is the longest pause between two events that is in time.
	Gap         time.Duration
	MaxAttempts int
	// Priority is the rank; 0 is the highest.
	Priority  int
	Anonymous bool
	Resumable bool

	shares []share
	total  uint64
}

type share struct {
	service string
	weight  uint64
}

// Repeatable reports whether a request of the route may be sent again after an
// endpoint may have run it.
func (r *Route) Repeatable() bool {
	return r.Kind == Idempotent || r.Kind == Stream && r.Resumable
}

// Service returns the service of a request, by its id and the weights of the
// route. It is empty when the route has none.
func (r *Route) Service(request string) string {
	if r.total == 0 {
		return ""
	}
	point := crhash.Mix(crhash.Of(request), crhash.Of(r.Name)) % r.total
	for _, s := range r.shares {
		if point < s.weight {
			return s.service
		}
		point -= s.weight
	}
	return r.shares[len(r.shares)-1].service
}

// Service is one service.
type Service struct {
	Name string
	// MaxConnections bounds the connections of all instances to one endpoint;
	// zero is no bound.
	MaxConnections int
	// ColdPerSecond is the rate of requests that a cold endpoint bears; zero
	// is no bound.
	ColdPerSecond float64
	// Engine is true for model engines.
	Engine bool
}

// Account is a client account.
type Account struct {
	Name string
	// Priority goes before that of the route when HasPriority is true.
	Priority    int
	HasPriority bool
}

// Limits bound what a caller may send; zero is no limit. Both are in bytes.
type Limits struct {
	HeaderBytes int64
	BodyBytes   int64
}

// Table is one version, indexed.
type Table struct {
	Version uint64
	Limits  Limits

	hosts    map[string][]*Route
	services map[string]Service
	keys     map[string]*Account
}

// New indexes a version.
func New(m *pb.Routing) *Table {
	t := &Table{
		Version: m.GetVersion(),
		Limits: Limits{
			HeaderBytes: int64(m.GetLimits().GetHeaderBytes()),
			BodyBytes:   int64(m.GetLimits().GetBodyBytes()),
		},
		hosts:    make(map[string][]*Route),
		services: make(map[string]Service),
		keys:     make(map[string]*Account),
	}
	for _, s := range m.GetServices() {
		t.services[s.GetName()] = Service{
			Name:           s.GetName(),
			MaxConnections: int(s.GetMaxConnections()),
			ColdPerSecond:  s.GetColdPerSecond(),
			Engine:         s.GetEngine(),
		}
	}
	for _, r := range m.GetRoutes() {
		route := newRoute(r)
		t.hosts[route.Host] = append(t.hosts[route.Host], route)
	}
	for _, routes := range t.hosts {
		slices.SortStableFunc(routes, func(a, b *Route) int { return cmp.Compare(len(b.Prefix), len(a.Prefix)) })
	}
	for _, a := range m.GetAccounts() {
		account := &Account{Name: a.GetName(), Priority: int(a.GetPriority()), HasPriority: a.Priority != nil}
		for _, k := range a.GetKeys() {
			t.keys[k] = account
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
		Gap:         m.GetGap().AsDuration(),
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
		r.total += uint64(s.GetWeight())
	}
	return r
}

// kindOf returns Once for what this release doesn't know: the kind that may be
// repeated least.
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

// Route returns the route with the longest prefix of the path, among those of
// the host, or nil.
func (t *Table) Route(host, path string) *Route {
	for _, r := range t.hosts[hostname(host)] {
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

// Service returns a service by name.
func (t *Table) Service(name string) Service { return t.services[name] }

// Account returns the client account that holds a key, or nil.
func (t *Table) Account(key string) *Account { return t.keys[key] }

// HasAccounts reports whether requests need a key at all.
func (t *Table) HasAccounts() bool { return len(t.keys) > 0 }
