package crengine

import (
	"context"
	"slices"
	"strings"
	"time"

	"crocusrack/schema/crendpoint"

	"connectrpc.com/connect"
)

// orders is what the engine serves and has been ordered to serve.
type orders struct {
	models  []string // sorted: model, model@version, model+adapter
	role    string
	fencing uint64 // highest token accepted
	loading map[string]bool
}

func (o *orders) init(model, role string) {
	o.loading = make(map[string]bool)
	o.role = role
	if model != "" {
		o.models = []string{model}
	}
}

func (o *orders) has(model string) bool {
	_, found := slices.BinarySearch(o.models, model)
	return found
}

func (o *orders) add(loaded string) {
	i, found := slices.BinarySearch(o.models, loaded)
	if !found {
		o.models = slices.Insert(slices.Clone(o.models), i, loaded)
	}
}

func (o *orders) dropVersions(model string) {
	o.models = slices.DeleteFunc(slices.Clone(o.models), func(m string) bool {
		return strings.HasPrefix(m, model+"@")
	})
}

// result returns the name under which an order's result is reported, or "" if
// the order names none.
func result(m *crendpoint.OrderRequest) string {
	switch m.GetKind() {
	case crendpoint.OrderKind_ORDER_KIND_LOAD_MODEL:
		return m.GetModel()
	case crendpoint.OrderKind_ORDER_KIND_LOAD_VERSION:
		return m.GetModel() + "@" + m.GetValue()
	case crendpoint.OrderKind_ORDER_KIND_LOAD_ADAPTER:
		return m.GetModel() + "+" + m.GetValue()
	default:
		return ""
	}
}

// Order begins what the order wants, or tells how far it is. Loading goes on
// after the answer: the sender repeats the order or reads the report.
func (h handler) Order(ctx context.Context, r *connect.Request[crendpoint.OrderRequest]) (*connect.Response[crendpoint.OrderResponse], error) {
	e := h.engine
	if err := e.faults.Pause(ctx); err != nil {
		return nil, err
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	response := &crendpoint.OrderResponse{Result: e.order(r.Msg)}
	response.FencingToken = e.orders.fencing
	e.putReport()
	return connect.NewResponse(response), nil
}

func (e *Engine) order(m *crendpoint.OrderRequest) crendpoint.OrderResult {
	stale := m.GetFencingToken() < e.orders.fencing
	if stale && e.CheckOrders {
		return crendpoint.OrderResult_ORDER_RESULT_STALE_TOKEN
	}
	if m.GetKind() == crendpoint.OrderKind_ORDER_KIND_CHANGE_ROLE {
		e.obey(m, stale)
		e.orders.role = m.GetValue()
		return crendpoint.OrderResult_ORDER_RESULT_DONE
	}
	wanted := result(m)
	if m.GetModel() == "" || wanted == "" {
		return crendpoint.OrderResult_ORDER_RESULT_INVALID
	}
	e.obey(m, stale)
	return e.load(m, wanted)
}

func (e *Engine) obey(m *crendpoint.OrderRequest, stale bool) {
	e.orders.fencing = max(e.orders.fencing, m.GetFencingToken())
	if stale {
		e.counters.staleOrders++
	}
}

func (e *Engine) load(m *crendpoint.OrderRequest, wanted string) crendpoint.OrderResult {
	if e.orders.has(wanted) {
		return crendpoint.OrderResult_ORDER_RESULT_DONE
	}
	if !e.orders.loading[wanted] {
		e.orders.loading[wanted] = true
		time.AfterFunc(e.LoadTime, func() { e.loaded(m, wanted) })
	}
	return crendpoint.OrderResult_ORDER_RESULT_IN_PROGRESS
}

// loaded ends a load. A new version starts with an empty cache.
func (e *Engine) loaded(m *crendpoint.OrderRequest, wanted string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	delete(e.orders.loading, wanted)
	if m.GetKind() == crendpoint.OrderKind_ORDER_KIND_LOAD_VERSION {
		e.orders.dropVersions(m.GetModel())
		e.loseCache()
	}
	e.orders.add(m.GetModel())
	e.orders.add(wanted)
	e.putReport()
}

// Serving is what an engine serves now.
type Serving struct {
	Role   string
	Models []string // sorted
	// Loading is the count of loads in progress.
	Loading int
}

// Serving returns what the engine serves now, without the lag of a report.
func (e *Engine) Serving() Serving {
	e.setup()
	e.mu.Lock()
	defer e.mu.Unlock()
	return Serving{Role: e.orders.role, Models: e.orders.models, Loading: len(e.orders.loading)}
}
