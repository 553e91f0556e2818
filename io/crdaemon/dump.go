package crdaemon

import (
	"net/netip"
	"time"

	"crocusrack/core/cradmit"
	"crocusrack/core/crmember"
)

// processState is the state of this process, for people.
type processState struct {
	Instance         string          `json:"instance"`
	FailureDomain    string          `json:"failure-domain"`
	Run              uint64          `json:"run"`
	StartedAt        time.Time       `json:"started-at"`
	Draining         bool            `json:"draining"`
	CatalogueVersion uint64          `json:"catalogue-version"`
	CatalogueHash    uint64          `json:"catalogue-hash"`
	Members          []memberState   `json:"members"`
	Shards           []ownedShard    `json:"shards"`
	Endpoints        []endpointState `json:"endpoints"`
	Leases           []leaseState    `json:"leases"`
	EntryInFlight    int             `json:"entry-in-flight"`
	OwnerInFlight    int             `json:"owner-in-flight"`
	ExecutionTokens  int             `json:"execution-tokens"`
}

// memberState is another instance, or this one, as this one knows it.
type memberState struct {
	Name             string         `json:"name"`
	FailureDomain    string         `json:"failure-domain"`
	State            string         `json:"state"`
	Incarnation      uint64         `json:"incarnation"`
	Run              uint64         `json:"run"`
	CallerAddress    netip.AddrPort `json:"caller-address"`
	PeerAddress      netip.AddrPort `json:"peer-address"`
	OperatorAddress  netip.AddrPort `json:"operator-address"`
	CatalogueVersion uint64         `json:"catalogue-version"`
	// HeardAt is left out for this instance.
	HeardAt *time.Time `json:"heard-at,omitempty"`
}

type ownedShard struct {
	Service       string `json:"service"`
	FailureDomain string `json:"failure-domain"`
	Index         int    `json:"index"`
	Endpoints     int    `json:"endpoints"`
}

// endpointState is an endpoint owned here. Counts are in requests.
type endpointState struct {
	Name          string `json:"name"`
	Service       string `json:"service"`
	FailureDomain string `json:"failure-domain"`
	Shard         int    `json:"shard"`
	InFlight      int    `json:"in-flight"`
	// Foreign is work that an earlier owner has let in.
	Foreign  int    `json:"foreign"`
	Waiting  int    `json:"waiting"`
	Capacity int    `json:"capacity"`
	Limit    int    `json:"limit"`
	Bound    int    `json:"bound"`
	Epoch    uint64 `json:"epoch"`
	Draining bool   `json:"draining"`
}

func (d *Daemon) dump() any {
	version, hash := d.follower.Version()
	return processState{
		Instance:         d.Settings.Instance,
		FailureDomain:    d.Settings.FailureDomain,
		Run:              d.RunNumber,
		StartedAt:        d.started.UTC(),
		Draining:         d.draining.Load(),
		CatalogueVersion: version,
		CatalogueHash:    hash,
		Members:          d.memberStates(),
		Shards:           d.ownedShards(),
		Endpoints:        endpointStates(d.endpointLoads()),
		Leases:           leaseStates(d.placements.Leases(time.Now())),
		EntryInFlight:    d.entry.InFlight(),
		OwnerInFlight:    d.owner.InFlight(),
		ExecutionTokens:  d.entry.Executions.Len(),
	}
}

func (d *Daemon) memberStates() []memberState {
	var list []memberState
	for _, m := range d.fleet.All() {
		s := memberStateOf(m)
		if at, ok := d.fleet.LastHeard(m.Name); ok {
			at = at.UTC()
			s.HeardAt = &at
		}
		list = append(list, s)
	}
	return list
}

func memberStateOf(m crmember.Member) memberState {
	return memberState{
		Name:             m.Name,
		FailureDomain:    m.FailureDomain,
		State:            m.State.String(),
		Incarnation:      m.Incarnation,
		Run:              m.Run,
		CallerAddress:    m.Caller,
		PeerAddress:      m.Peer,
		OperatorAddress:  m.Operator,
		CatalogueVersion: m.CatalogueVersion,
	}
}

func (d *Daemon) ownedShards() []ownedShard {
	var list []ownedShard
	for _, s := range d.view.layout.Load().Owned(d.Settings.Instance) {
		list = append(list, ownedShard{Service: s.Service, FailureDomain: s.FailureDomain, Index: s.Index, Endpoints: len(s.Endpoints)})
	}
	return list
}

func endpointStates(loads []cradmit.EndpointLoad) []endpointState {
	list := make([]endpointState, len(loads))
	for i, l := range loads {
		list[i] = endpointState{
			Name:          l.Endpoint,
			Service:       l.Shard.Service,
			FailureDomain: l.Shard.FailureDomain,
			Shard:         l.Shard.Index,
			InFlight:      l.InFlight,
			Foreign:       l.OtherOwners,
			Waiting:       l.Waiting,
			Capacity:      l.Capacity,
			Limit:         l.WarmUpLimit,
			Bound:         l.Bound,
			Epoch:         l.Epoch,
			Draining:      l.Draining,
		}
	}
	return list
}
