// Package crshard partitions the endpoints of each service into shards, assigns an owning
// instance to each shard, and ranks the shards for a chat.
//
// Every instance computes the same layout from the same endpoints and instances, so
// instances agree on owners without exchanging messages. A Layout is immutable and safe
// for concurrent use.
package crshard

import (
	"cmp"
	"math"
	"net/netip"
	"slices"

	"crocusrack/core/crhash"
)

// EndpointsPerShard is the mean number of endpoints in a full shard. Rendezvous hashing
// distributes endpoints unevenly, so a shard may hold more.
const EndpointsPerShard = 16

// Endpoint is a usable endpoint.
type Endpoint struct {
	Name          string
	Service       string
	FailureDomain string
	Address       netip.AddrPort
	// Capacity is the number of concurrent requests that the endpoint can serve when warm.
	Capacity int
	// ColdCapacity is the number of concurrent requests that it can serve when cold.
	ColdCapacity int
}

// Instance is a usable instance.
type Instance struct {
	Name          string
	FailureDomain string
}

// Key identifies a shard.
type Key struct {
	Service       string
	FailureDomain string
	// Index counts from 0 within the service and failure domain.
	Index int
}

// Shard is a part of a service's endpoints in one failure domain. All requests to its
// endpoints go through its owner. Shards are made by New and must not be modified.
type Shard struct {
	Key
	// Endpoints are sorted by name.
	Endpoints []Endpoint
	// Owner is the name of the owning instance. It is empty if no instance is usable.
	Owner string

	// groups hold the hashes of the endpoints' names, grouped by capacity.
	groups []capacityGroup
	// hashes are the hashes of the endpoints' names, in the order of Endpoints.
	hashes []uint64
}

// capacityGroup holds the hashes of endpoints of the same capacity. weight is that
// capacity, as the weight of rendezvous hashing.
type capacityGroup struct {
	weight float64
	hashes []uint64
}

// Layout is the partition of all endpoints into shards, with the shards' owners.
type Layout struct {
	// services, shards and owned index the shards by service, by key and by owner.
	services map[string]*service
	shards   map[Key]*Shard
	owned    map[string][]*Shard
}

// service holds the shards of one service and their distinct owners.
type service struct {
	shards []*Shard
	owners []string
	// mixedCapacities means that the capacities of the endpoints differ.
	mixedCapacities bool
}

// New returns the layout of the usable endpoints over the usable instances. The result
// doesn't depend on the order of the arguments' elements.
func New(endpoints []Endpoint, instances []Instance) *Layout {
	l := &Layout{
		services: make(map[string]*service),
		shards:   make(map[Key]*Shard),
		owned:    make(map[string][]*Shard),
	}
	l.partition(endpoints)
	sorted := l.sortedShards()
	o := newOwnerAssigner(instances, sorted)
	for _, s := range sorted {
		s.computeHashes()
		s.Owner = o.assign(s.Key)
		l.add(s)
	}
	return l
}

// partition puts each endpoint into its shard.
func (l *Layout) partition(endpoints []Endpoint) {
	counts := make(map[Key]int)
	for _, e := range endpoints {
		counts[Key{Service: e.Service, FailureDomain: e.FailureDomain}]++
	}
	for _, e := range endpoints {
		k := Key{Service: e.Service, FailureDomain: e.FailureDomain}
		k.Index = shardIndex(e.Name, shardCount(counts[k]))
		s := l.shards[k]
		if s == nil {
			s = &Shard{Key: k}
			l.shards[k] = s
		}
		s.Endpoints = append(s.Endpoints, e)
	}
}

func shardCount(endpoints int) int {
	return (endpoints + EndpointsPerShard - 1) / EndpointsPerShard
}

// shardIndex returns the index of the endpoint's shard by rendezvous hashing, so that a
// change of the number of shards from n-1 to n moves one endpoint in n.
func shardIndex(endpoint string, count int) int {
	h := crhash.Of(endpoint)
	best := 0
	for i := 1; i < count; i++ {
		if crhash.Mix(h, uint64(i)) > crhash.Mix(h, uint64(best)) {
			best = i
		}
	}
	return best
}

// sortedShards returns all shards, sorted by key.
func (l *Layout) sortedShards() []*Shard {
	all := make([]*Shard, 0, len(l.shards))
	for _, s := range l.shards {
		all = append(all, s)
	}
	slices.SortFunc(all, func(a, b *Shard) int { return compareKeys(a.Key, b.Key) })
	return all
}

func compareKeys(a, b Key) int {
	return cmp.Or(
		cmp.Compare(a.Service, b.Service),
		cmp.Compare(a.FailureDomain, b.FailureDomain),
		cmp.Compare(a.Index, b.Index),
	)
}

// add registers a shard with its service and its owner. The shard's hashes must have been
// computed.
func (l *Layout) add(s *Shard) {
	v := l.services[s.Service]
	if v == nil {
		v = &service{}
		l.services[s.Service] = v
	}
	v.mixedCapacities = v.mixedCapacities || len(s.groups) > 1 || len(v.shards) > 0 && v.shards[0].groups[0].weight != s.groups[0].weight
	v.shards = append(v.shards, s)
	if s.Owner == "" {
		return
	}
	l.owned[s.Owner] = append(l.owned[s.Owner], s)
	if i, found := slices.BinarySearch(v.owners, s.Owner); !found {
		v.owners = slices.Insert(v.owners, i, s.Owner)
	}
}

// computeHashes sorts the endpoints and computes their hashes.
func (s *Shard) computeHashes() {
	slices.SortFunc(s.Endpoints, func(a, b Endpoint) int { return cmp.Compare(a.Name, b.Name) })
	for _, e := range s.Endpoints {
		h := crhash.Of(e.Name)
		s.hashes = append(s.hashes, h)
		w := float64(e.Capacity)
		i := slices.IndexFunc(s.groups, func(g capacityGroup) bool { return g.weight == w })
		if i < 0 {
			i = len(s.groups)
			s.groups = append(s.groups, capacityGroup{weight: w})
		}
		s.groups[i].hashes = append(s.groups[i].hashes, h)
	}
}

// bestScore returns the highest rendezvous score of the chat over the shard's endpoints.
// Among endpoints of the same capacity, the highest hash has the highest score, so the
// logarithm is computed once per capacity instead of once per endpoint.
func (s *Shard) bestScore(chat uint64) float64 {
	score := math.Inf(-1)
	for i := range s.groups {
		g := &s.groups[i]
		score = max(score, crhash.ScoreHash(g.highestHash(chat), g.weight))
	}
	return score
}

// highestHash returns the highest combined hash of the chat and an endpoint of the group.
func (g *capacityGroup) highestHash(chat uint64) uint64 {
	var highest uint64
	for _, n := range g.hashes {
		highest = max(highest, crhash.Mix(chat, n))
	}
	return highest
}

// Contains reports whether the shard contains the named endpoint.
func (s *Shard) Contains(endpoint string) bool {
	_, found := slices.BinarySearchFunc(s.Endpoints, endpoint, func(e Endpoint, name string) int {
		return cmp.Compare(e.Name, name)
	})
	return found
}

// TopTwo returns the indexes in Endpoints of the chat's two highest ranked endpoints.
// second is -1 if the shard has a single endpoint.
func (s *Shard) TopTwo(chat uint64) (first, second int) {
	if len(s.groups) > 1 {
		return highestTwo(s.hashes, func(i int) float64 {
			return crhash.Score(chat, s.hashes[i], float64(s.Endpoints[i].Capacity))
		})
	}
	return highestTwo(s.hashes, func(i int) uint64 { return crhash.Mix(chat, s.hashes[i]) })
}

// highestTwo returns the indexes of the two hashes with the highest ranks, or -1 if there
// are fewer.
func highestTwo[R cmp.Ordered](hashes []uint64, rank func(int) R) (first, second int) {
	first, second = -1, -1
	var firstRank, secondRank R
	for i := range hashes {
		r := rank(i)
		switch {
		case first < 0 || r > firstRank:
			second, secondRank = first, firstRank
			first, firstRank = i, r
		case second < 0 || r > secondRank:
			second, secondRank = i, r
		}
	}
	return first, second
}

// AppendRanked appends the service's shards to dst, ordered by their highest ranked
// endpoint for the chat, and returns the extended slice. The first shard is the chat's
// first choice; a request that it refuses goes to the next. AppendRanked doesn't allocate
// if dst has capacity for all shards of the service and there are at most 128.
func (l *Layout) AppendRanked(service string, chat uint64, dst []*Shard) []*Shard {
	v := l.services[service]
	if v == nil {
		return dst
	}
	if v.mixedCapacities {
		return appendRanked(v.shards, chat, dst, (*Shard).bestScore)
	}
	return appendRanked(v.shards, chat, dst, (*Shard).highestHash)
}

// highestHash returns the highest combined hash of the chat and an endpoint of the shard,
// whose endpoints must all have the same capacity.
func (s *Shard) highestHash(chat uint64) uint64 { return s.groups[0].highestHash(chat) }

// stackShards is the number of shards that appendRanked orders without allocating.
const stackShards = 128

// ranked is a shard's index and its rank for a chat.
type ranked[R cmp.Ordered] struct {
	rank  R
	index int
}

// appendRanked appends the shards to dst in descending order of rank.
func appendRanked[R cmp.Ordered](shards []*Shard, chat uint64, dst []*Shard, rank func(*Shard, uint64) R) []*Shard {
	var buffer [stackShards]ranked[R]
	order := buffer[:0]
	for i, s := range shards {
		r := ranked[R]{rank(s, chat), i}
		k := len(order)
		order = append(order, r)
		for ; k > 0 && order[k-1].rank < r.rank; k-- {
			order[k] = order[k-1]
		}
		order[k] = r
	}
	for _, r := range order {
		dst = append(dst, shards[r.index])
	}
	return dst
}

// Owned returns the shards that the instance owns, sorted by key. The caller must not
// modify the slice.
func (l *Layout) Owned(instance string) []*Shard { return l.owned[instance] }

// Shard returns the shard with the key, or nil.
func (l *Layout) Shard(k Key) *Shard { return l.shards[k] }

// Owners returns the distinct owners of the service's shards, sorted. The caller must not
// modify the slice.
func (l *Layout) Owners(service string) []string {
	v := l.services[service]
	if v == nil {
		return nil
	}
	return v.owners
}

// maxOwnedFactor bounds the number of shards that an instance owns to this multiple of the
// mean in its failure domain, unless all instances of the domain have reached the bound.
const maxOwnedFactor = 1.25

// ownerAssigner assigns shards to the usable instances by rendezvous hashing with bounded
// loads (Mirrokni, Thorup, Zadimoghaddam 2018): an instance that has reached the bound gets
// more shards only if all other candidates have reached it too. Shards must be assigned in
// the order of their keys, so that all instances compute the same owners.
type ownerAssigner struct {
	allInstances *candidates
	byDomain     map[string]*candidates
}

// candidates are the instances of one failure domain, or all instances.
type candidates struct {
	list []*candidate
	// shards is the number of shards to be distributed among the candidates.
	shards int
}

// candidate is an instance with the number of shards that it owns so far.
type candidate struct {
	name  string
	hash  uint64
	owned int
}

func newOwnerAssigner(instances []Instance, shards []*Shard) *ownerAssigner {
	o := &ownerAssigner{allInstances: &candidates{}, byDomain: make(map[string]*candidates)}
	for _, i := range instances {
		c := &candidate{name: i.Name, hash: crhash.Of(i.Name)}
		o.allInstances.list = append(o.allInstances.list, c)
		if o.byDomain[i.FailureDomain] == nil {
			o.byDomain[i.FailureDomain] = &candidates{}
		}
		o.byDomain[i.FailureDomain].list = append(o.byDomain[i.FailureDomain].list, c)
	}
	for _, s := range shards {
		o.allInstances.shards++
		if d := o.byDomain[s.FailureDomain]; d != nil {
			d.shards++
		}
	}
	return o
}

// assign returns the owner of a shard and counts the shard as owned by it. The owner is an
// instance of the shard's failure domain, or any instance if that domain has none. It is
// "" if there are no instances.
func (o *ownerAssigner) assign(k Key) string {
	pool := o.byDomain[k.FailureDomain]
	if pool == nil {
		pool = o.allInstances
	}
	h := crhash.Mix(crhash.Mix(crhash.Of(k.Service), crhash.Of(k.FailureDomain)), uint64(k.Index))
	c := pool.best(h, pool.bound())
	if c == nil {
		// All candidates may be at the bound, because they may also own shards of other
		// failure domains.
		c = pool.best(h, math.MaxInt)
	}
	if c == nil {
		return ""
	}
	c.owned++
	return c.name
}

// bound returns the maximum number of shards that one candidate may own.
func (c *candidates) bound() int {
	return int(math.Ceil(maxOwnedFactor * float64(c.shards) / float64(max(len(c.list), 1))))
}

// best returns the candidate with the highest rendezvous score among those that own fewer
// shards than the bound, or nil.
func (c *candidates) best(shard uint64, bound int) *candidate {
	var best *candidate
	var highest uint64
	for _, n := range c.list {
		if n.owned >= bound {
			continue
		}
		score := crhash.Mix(shard, n.hash)
		if best == nil || score > highest || score == highest && n.name < best.name {
			best, highest = n, score
		}
	}
	return best
}
