package crdaemon

import (
	"context"
	"crypto/rand"
	"fmt"
	"net/netip"

	"crocusrack/io/crendpoint"
	"crocusrack/io/crplacement"
	"crocusrack/io/crtransport"
	endpointpb "crocusrack/schema/crendpoint"
)

func (d *Daemon) buildPlacements() {
	orders := &crendpoint.Orders{Dial: d.countedOver("order", crtransport.DiscardUnsent(d.Dial))}
	d.placements = &crplacement.Keeper{
		Instance:   d.Settings.Instance,
		Holder:     fmt.Sprintf("%s/%d", d.Settings.Instance, d.RunNumber),
		LoadLimits: d.Loads,
		Store:      d.store.Store(),
		WriteID:    rand.Text,
		Catalogue:  d.ready,
		Instances:  d.leaseInstances,
		Report: func(ctx context.Context, at netip.AddrPort) (*endpointpb.ReportResponse, error) {
			return d.probes.Report(ctx, at, true)
		},
		Order:   orders.Order,
		Ordered: func(r crplacement.Result) { d.Metrics.Orders.Add(string(r), 1) },
		Log:     d.Log,
	}
}

// leaseInstances returns the names of the instances that may hold leases: those
// in service, without this one while it leaves.
func (d *Daemon) leaseInstances() []string {
	var names []string
	for _, h := range *d.view.inService.Load() {
		if h.name != d.Settings.Instance || !d.draining.Load() {
			names = append(names, h.name)
		}
	}
	return names
}

// leaseState is a lease held here.
type leaseState struct {
	Service string       `json:"service"`
	Token   uint64       `json:"token"`
	Orders  []orderState `json:"orders"`
}

// orderState is an order in progress.
type orderState struct {
	ID       string `json:"id"`
	Endpoint string `json:"endpoint"`
	Kind     string `json:"kind"`
	Model    string `json:"model"`
	Value    string `json:"value"`
}

func leaseStates(leases []crplacement.Lease) []leaseState {
	list := make([]leaseState, len(leases))
	for i, l := range leases {
		list[i] = leaseState{Service: l.Service, Token: l.Token}
		for _, o := range l.Orders {
			list[i].Orders = append(list[i].Orders, orderState{
				ID:       o.ID,
				Endpoint: o.Endpoint,
				Kind:     crplacement.Kind(o.Kind),
				Model:    o.Model,
				Value:    o.Value,
			})
		}
	}
	return list
}
