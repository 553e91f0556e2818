// Package crorder plans the orders that the endpoints of one service are sent, so
// that the number of ready endpoints with each role, version and adapter matches
// the catalogue's placements. Only the holder of the service's lease sends orders.
package crorder

import (
	"fmt"
	"slices"
	"time"

	"crocusrack/schema/crendpoint"
)

// Placement is a wanted number of ready endpoints with one role.
type Placement struct {
	Role  string
	Count int
	// Version and Adapter must be loaded at each of them. Empty means any.
	Version string
	Adapter string
}

// Endpoint is the known state of one endpoint of the service.
type Endpoint struct {
	Name          string
	FailureDomain string
	// Role and Loaded are as last reported. Loaded holds names in the form of
	// VersionName and AdapterName.
	Role   string
	Loaded []string
	// ReportedAt is the earliest time from which the reported state may date: when the
	// report was asked for, less the lag of the report.
	ReportedAt time.Time
	// Ready is true if the endpoint takes work: it isn't out of service, leaving or
	// failed.
	Ready bool
	// Load is the utilization of the endpoint: the work in flight divided by the
	// capacity. It has nothing to do with loading a version.
	Load float64
	// ChecksOrders is true if the endpoint refuses orders with an old fencing token.
	ChecksOrders bool
}

// VersionName returns the name under which an endpoint reports a version of a
// model.
func VersionName(model, version string) string { return model + "@" + version }

// AdapterName returns the name under which an endpoint reports an adapter of a
// model.
func AdapterName(model, adapter string) string { return model + "+" + adapter }

// Order tells one endpoint to load something or change its role. Orders are
// idempotent.
type Order struct {
	ID       string
	Endpoint string
	// Token is the fencing token of the lease under which the order is sent.
	Token uint64
	Kind  crendpoint.OrderKind
	Model string
	// Value is the version, adapter or role, according to Kind.
	Value string
}

func (o Order) isLoad() bool { return o.Kind != crendpoint.OrderKind_ORDER_KIND_CHANGE_ROLE }

// isDone reports whether the endpoint's state shows the effect of the order.
func (o Order) isDone(e Endpoint) bool {
	switch o.Kind {
	case crendpoint.OrderKind_ORDER_KIND_CHANGE_ROLE:
		return e.Role == o.Value
	case crendpoint.OrderKind_ORDER_KIND_LOAD_ADAPTER:
		return slices.Contains(e.Loaded, AdapterName(o.Model, o.Value))
	}
	return slices.Contains(e.Loaded, VersionName(o.Model, o.Value))
}

// nextOrder returns the next order that the endpoint needs to match the placement,
// and false if it needs none. Loads come before the change of role.
func (p *Planner) nextOrder(e Endpoint, w Placement) (Order, bool) {
	o := Order{Endpoint: e.Name, Token: p.token, Model: p.Model}
	steps := []struct {
		kind  crendpoint.OrderKind
		value string
	}{
		{crendpoint.OrderKind_ORDER_KIND_LOAD_VERSION, w.Version},
		{crendpoint.OrderKind_ORDER_KIND_LOAD_ADAPTER, w.Adapter},
		{crendpoint.OrderKind_ORDER_KIND_CHANGE_ROLE, w.Role},
	}
	for _, s := range steps {
		o.Kind, o.Value = s.kind, s.value
		if s.value != "" && !o.isDone(e) {
			p.sequence++
			o.ID = fmt.Sprintf("%s-%d-%d", p.Service, p.token, p.sequence)
			return o, true
		}
	}
	return Order{}, false
}
