package crdaemon

import (
	"net/netip"
	"slices"
	"sync"
	"sync/atomic"

	"crocusrack/core/crcatalogue"
	"crocusrack/core/crhash"
	"crocusrack/core/crmember"
	"crocusrack/core/crshard"
	pb "crocusrack/schema/crcatalogue"
)

// view is what the catalogue and the member table together say.
type view struct {
	mu     sync.Mutex
	usable []crmember.Member
	set    *crcatalogue.Set
	// unsettled tells that this instance may not own shards yet: the layout is
	// empty.
	unsettled bool
	layout    atomic.Pointer[crshard.Layout]
	// inService are the instances that may own shards, with the hashes of their
	// names.
	inService atomic.Pointer[[]hashed]
	// endpoints are those of endpointsIn that may get work; a change of the
	// members leaves them as they are.
	endpoints   []crshard.Endpoint
	endpointsIn *crcatalogue.Set
}

// hashed is an instance's name and its hash.
type hashed struct {
	name string
	hash uint64
}

// update replaces what f changes and returns the layouts before and after.
func (v *view) update(f func(v *view)) (before, after *crshard.Layout) {
	v.mu.Lock()
	defer v.mu.Unlock()
	f(v)
	before = v.layout.Load()
	in := instances(v.set, v.usable, "")
	if v.unsettled {
		after = crshard.New(nil, nil)
	} else {
		after = crshard.New(v.usableEndpoints(), in)
	}
	v.layout.Store(after)
	v.inService.Store(hashes(in))
	return before, after
}

func hashes(in []crshard.Instance) *[]hashed {
	list := make([]hashed, len(in))
	for i, n := range in {
		list[i] = hashed{n.Name, crhash.Of(n.Name)}
	}
	return &list
}

// usableEndpoints returns the endpoints that may get work. The caller holds
// the lock and must not change the slice.
func (v *view) usableEndpoints() []crshard.Endpoint {
	if v.endpointsIn != v.set {
		v.endpoints = endpoints(v.set)
		v.endpointsIn = v.set
	}
	return v.endpoints
}

// without returns the layout that the fleet has if an instance isn't in it.
func (v *view) without(instance string) *crshard.Layout {
	v.mu.Lock()
	defer v.mu.Unlock()
	return crshard.New(v.usableEndpoints(), instances(v.set, v.usable, instance))
}

// names returns the usable instances.
func (v *view) names() []string {
	v.mu.Lock()
	defer v.mu.Unlock()
	names := make([]string, len(v.usable))
	for i, m := range v.usable {
		names[i] = m.Name
	}
	return names
}

// endpoints returns those that may get work.
func endpoints(set *crcatalogue.Set) []crshard.Endpoint {
	if set == nil {
		return nil
	}
	out := make(map[string]bool)
	for _, f := range set.FailureDomains() {
		out[f.Name] = f.Out
	}
	var list []crshard.Endpoint
	for _, s := range set.Services() {
		for _, e := range set.Endpoints(s.Name) {
			if !e.Out && !out[e.FailureDomain] {
				list = append(list, shardEndpoint(e))
			}
		}
	}
	return list
}

func shardEndpoint(e *pb.Endpoint) crshard.Endpoint {
	// The catalogue's addresses are checked before they are accepted; one that
	// can't be parsed gets a zero address and fails when it is dialled.
	address, _ := netip.ParseAddrPort(e.Address)
	return crshard.Endpoint{
		Name:          e.Name,
		Service:       e.Service,
		FailureDomain: e.FailureDomain,
		Address:       address,
		Capacity:      int(e.Capacity),
		ColdCapacity:  int(e.ColdCapacity),
	}
}

// instances returns those that may own shards: usable ones that operators
// have not taken out, alone or with their failure domain. When all are out,
// all stay, since somebody has to decide.
func instances(set *crcatalogue.Set, usable []crmember.Member, except string) []crshard.Instance {
	var in, all []crshard.Instance
	for _, m := range usable {
		if m.Name == except {
			continue
		}
		i := crshard.Instance{Name: m.Name, FailureDomain: m.FailureDomain}
		all = append(all, i)
		if set == nil || !set.InstanceOut(m.Name) && !set.FailureDomainOut(m.FailureDomain) {
			in = append(in, i)
		}
	}
	if len(in) == 0 {
		return all
	}
	return in
}

// endpointAt finds an endpoint of the catalogue by its address.
func (v *view) endpointAt(at netip.AddrPort) (crshard.Endpoint, bool) {
	v.mu.Lock()
	defer v.mu.Unlock()
	list := endpoints(v.set)
	i := slices.IndexFunc(list, func(e crshard.Endpoint) bool { return e.Address == at })
	if i < 0 {
		return crshard.Endpoint{}, false
	}
	return list[i], true
}
