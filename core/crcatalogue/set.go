package crcatalogue

import (
	"cmp"
	"slices"

	"google.golang.org/protobuf/proto"

	pb "crocusrack/schema/crcatalogue"
)

// Set is one version of the catalogue. It is immutable. Callers must not modify
// the messages that it returns, except those of Catalogue, which are copies.
type Set struct {
	version   uint64
	hash      uint64
	records   table
	endpoints map[string][]*pb.Endpoint
	services  []*pb.Service
	domains   []*pb.FailureDomain
	accounts  int
}

// Empty returns the set of version 0, which has no records.
func Empty() *Set { return &Set{records: newTable()} }

// Version returns the version of the set. Zero means the empty set.
func (s *Set) Version() uint64 { return s.version }

// Hash returns the hash over all records, tombstones included.
func (s *Set) Hash() uint64 { return s.hash }

// Service returns the service with that name and whether it exists.
func (s *Set) Service(name string) (*pb.Service, bool) {
	v := s.records.get(key{KindService, name}).GetService()
	return v, v != nil
}

// Services returns all services, sorted by name.
func (s *Set) Services() []*pb.Service { return s.services }

// Endpoint returns the endpoint with that name and whether it exists.
func (s *Set) Endpoint(name string) (*pb.Endpoint, bool) {
	v := s.records.get(key{KindEndpoint, name}).GetEndpoint()
	return v, v != nil
}

// Endpoints returns all endpoints of a service, sorted by name, including those
// that are out of service.
func (s *Set) Endpoints(service string) []*pb.Endpoint { return s.endpoints[service] }

// ClientAccount returns the client account with that name and whether it exists.
func (s *Set) ClientAccount(name string) (*pb.ClientAccount, bool) {
	v := s.records.get(key{KindClientAccount, name}).GetClientAccount()
	return v, v != nil
}

// MayUse reports whether the client account exists and may use a service. An account with an
// empty list of services may use all.
func (s *Set) MayUse(account, service string) bool {
	a, ok := s.ClientAccount(account)
	return ok && (len(a.GetServices()) == 0 || slices.Contains(a.GetServices(), service))
}

// ClientAccountCount returns the number of client accounts.
func (s *Set) ClientAccountCount() int { return s.accounts }

// FailureDomain returns the failure domain with that name and whether it exists.
func (s *Set) FailureDomain(name string) (*pb.FailureDomain, bool) {
	v := s.records.get(key{KindFailureDomain, name}).GetFailureDomain()
	return v, v != nil
}

// FailureDomains returns all failure domains, sorted by name.
func (s *Set) FailureDomains() []*pb.FailureDomain { return s.domains }

// FailureDomainOut reports whether operators have taken the failure domain out of
// service. An unknown failure domain is in service, because settings may name it
// before the catalogue does.
func (s *Set) FailureDomainOut(name string) bool {
	return s.records.get(key{KindFailureDomain, name}).GetFailureDomain().GetOut()
}

// InstanceOut reports whether operators have taken the instance out of service.
func (s *Set) InstanceOut(name string) bool {
	return s.records.get(key{KindInstance, name}).GetInstance().GetOut()
}

// EndpointOut reports whether the endpoint or its failure domain is out of
// service.
func (s *Set) EndpointOut(e *pb.Endpoint) bool {
	return e.GetOut() || s.FailureDomainOut(e.GetFailureDomain())
}

// Catalogue returns a copy of the whole catalogue, with each list sorted by name.
func (s *Set) Catalogue() *pb.Catalogue {
	c := &pb.Catalogue{}
	for _, r := range s.sorted() {
		switch v := proto.CloneOf(r).GetValue().(type) {
		case *pb.Record_FailureDomain:
			c.FailureDomains = append(c.FailureDomains, v.FailureDomain)
		case *pb.Record_Service:
			c.Services = append(c.Services, v.Service)
		case *pb.Record_Endpoint:
			c.Endpoints = append(c.Endpoints, v.Endpoint)
		case *pb.Record_ClientAccount:
			c.ClientAccounts = append(c.ClientAccounts, v.ClientAccount)
		case *pb.Record_Instance:
			c.Instances = append(c.Instances, v.Instance)
		}
	}
	return c
}

// sorted returns all records in the order of their keys.
func (s *Set) sorted() []*pb.Record {
	list := make([]*pb.Record, 0, s.records.size)
	for _, r := range s.records.all() {
		list = append(list, r)
	}
	slices.SortFunc(list, byKey)
	return list
}

func byKey(a, b *pb.Record) int { return cmp.Compare(a.GetKey(), b.GetKey()) }

// FromCatalogue returns a set with the contents of c, in which every record has
// the given version. The catalogue must be valid. The set keeps a copy of it.
func FromCatalogue(c *pb.Catalogue, version uint64) *Set {
	list := records(proto.CloneOf(c))
	for _, r := range list {
		r.Version = version
	}
	return Empty().with(list, version)
}

// with returns a copy of the set at a higher version in which the changed records
// are added or replaced. The records must have passed checkRecord. Tombstones
// below purgeBelow(version) are removed, so that a set and its hash do not depend
// on the intermediate versions through which it was reached.
func (s *Set) with(changed []*pb.Record, version uint64) *Set {
	next := &Set{version: version, hash: s.hash, endpoints: s.endpoints, services: s.services, domains: s.domains, accounts: s.accounts}
	e := s.records.edit()
	for _, r := range changed {
		k, _ := parseKey(r.GetKey())
		if old := e.get(k); old != nil {
			next.hash -= hashRecord(old)
		}
		next.hash += hashRecord(r)
		e.put(k, r)
	}
	if purgeBelow(version) > purgeBelow(s.version) {
		next.hash -= purge(e, purgeBelow(version))
	}
	next.records = e.table
	next.index(s, changed)
	return next
}

const (
	// tombstoneVersions is the minimum number of versions for which a tombstone
	// is kept. A peer that is further behind gets a hash mismatch from a delta
	// and pulls the whole set.
	tombstoneVersions = 20000
	// purgeInterval is the number of versions between two purges of tombstones.
	purgeInterval = 1000
)

// purgeBelow returns the version below which a set of the given version keeps no
// tombstones.
func purgeBelow(version uint64) uint64 {
	edge := version - version%purgeInterval
	return edge - min(edge, tombstoneVersions)
}

// purge removes old tombstones and returns the sum of their hashes.
func purge(e *editor, below uint64) (hash uint64) {
	var old []key
	for k, r := range e.all() {
		if r.GetDeleted() && r.GetVersion() < below {
			old = append(old, k)
			hash += hashRecord(r)
		}
	}
	for _, k := range old {
		e.remove(k)
	}
	return hash
}

// index updates the sorted lists and the count of client accounts for the changed
// records. The receiver holds the new records, old is the set before the change.
func (s *Set) index(old *Set, changed []*pb.Record) {
	var services, domains, endpoints bool
	for _, r := range changed {
		k, _ := parseKey(r.GetKey())
		switch k.kind {
		case KindEndpoint:
			endpoints = true
		case KindClientAccount:
			s.accounts += liveCount(r) - liveCount(old.records.get(k))
		case KindService:
			services = true
		case KindFailureDomain:
			domains = true
		}
	}
	if endpoints {
		s.indexEndpoints(old, changed)
	}
	if services {
		s.services = valuesOf(s, (*pb.Record).GetService)
	}
	if domains {
		s.domains = valuesOf(s, (*pb.Record).GetFailureDomain)
	}
}

// liveCount returns 1 if the record exists and is not a tombstone, else 0.
func liveCount(r *pb.Record) int {
	if r == nil || r.GetDeleted() {
		return 0
	}
	return 1
}

// indexEndpoints rebuilds the endpoint lists of the services that a changed
// endpoint leaves or joins. The other lists are shared with the old set.
func (s *Set) indexEndpoints(old *Set, changed []*pb.Record) {
	removed := make(map[string]bool)
	affected := make(map[string]bool)
	for _, r := range changed {
		k, _ := parseKey(r.GetKey())
		if was, known := old.Endpoint(k.name); k.kind == KindEndpoint && known {
			removed[k.name] = true
			affected[was.GetService()] = true
		}
	}
	s.endpoints = make(map[string][]*pb.Endpoint, len(old.endpoints))
	for service, list := range old.endpoints {
		if affected[service] {
			list = slices.DeleteFunc(slices.Clone(list), func(e *pb.Endpoint) bool { return removed[e.GetName()] })
		}
		s.endpoints[service] = list
	}
	for _, r := range changed {
		if e := r.GetEndpoint(); e != nil {
			list := s.endpoints[e.GetService()]
			if !affected[e.GetService()] {
				list = slices.Clone(list)
			}
			affected[e.GetService()] = true
			s.endpoints[e.GetService()] = append(list, e)
		}
	}
	for service := range affected {
		slices.SortFunc(s.endpoints[service], byName)
	}
}

func byName[V named](a, b V) int { return cmp.Compare(a.GetName(), b.GetName()) }

// named is the value of a record, such as a service or an endpoint.
type named interface {
	comparable
	GetName() string
}

// valuesOf returns the values of one kind, sorted by name. The function get returns
// the zero value for records of other kinds.
func valuesOf[V named](s *Set, get func(*pb.Record) V) []V {
	var list []V
	var none V
	for _, r := range s.records.all() {
		if v := get(r); v != none {
			list = append(list, v)
		}
	}
	slices.SortFunc(list, byName)
	return list
}
