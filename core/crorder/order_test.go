package crorder

import (
	"context"
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"crocusrack/core/crfuzz"
	"crocusrack/core/crlease"
	"crocusrack/schema/crendpoint"

	"pgregory.net/rapid"
)

func TestMain(m *testing.M) { crfuzz.MainWith(m, 300, 100) }

const (
	step        = 500 * time.Millisecond
	maxDelivery = 15 * time.Second
	loadTime    = 20 * time.Second
	maxLoads    = 2
)

// engine simulates an endpoint that executes orders.
type engine struct {
	Endpoint
	highestToken uint64
	loading      *Order
	reports      []Endpoint // one for each step
}

// holder simulates an instance that competes for the lease and sends orders.
type holder struct {
	*crlease.Lease
	*Planner
	unsent []Order
	paused bool
}

// world simulates holders and engines. When an order takes effect, it checks the
// number of loads in progress, the number of endpoints by role, and the fencing
// token, and stores a failed check in violation.
type world struct {
	crfuzz.Clock
	rand       *rand.Rand
	faulty     bool
	store      crfuzz.Store
	holders    []*holder
	engines    []*engine
	placements []Placement
	minCount   map[string]int
	violation  string
}

func newWorld(seed uint64, faulty bool) *world {
	w := &world{Clock: crfuzz.NewTimeline(step), rand: rand.New(rand.NewPCG(seed, 1)), faulty: faulty}
	for i := range 3 {
		writes := 0
		name := fmt.Sprint("run-", i)
		l := &crlease.Lease{Store: w.store.Functions(), Name: "lease", Holder: name, Duration: 8 * time.Second, Margin: time.Second,
			WriteID: func() string { writes++; return fmt.Sprint(name, writes) }}
		p := &Planner{Service: "desk-llm", Model: "m", MaxLoads: maxLoads, MaxDeliveryTime: maxDelivery, MaxLoadTime: loadTime, RetryDelay: 10 * time.Second}
		w.holders = append(w.holders, &holder{Lease: l, Planner: p})
	}
	for i := range 8 {
		e := &engine{Endpoint: Endpoint{Name: fmt.Sprint("engine-", i), FailureDomain: fmt.Sprint("d", i%3), Ready: true, ChecksOrders: i%2 == 0}}
		e.Role = []string{"chat", "chat", "tag", "tag", "chat", "tag", "", ""}[i]
		w.engines = append(w.engines, e)
	}
	return w
}

func (w *world) chance(percent int) bool { return w.faulty && w.rand.IntN(100) < percent }

// deliver delivers an order sent by h to its engine after a random delay. In a
// faulty world the order or its answer may be lost.
func (w *world) deliver(h *holder, o Order) {
	if w.chance(15) {
		return
	}
	w.After(time.Duration(w.rand.Int64N(int64(maxDelivery))), func() {
		i := slices.IndexFunc(w.engines, func(e *engine) bool { return e.Name == o.Endpoint })
		result := w.take(w.engines[i], o)
		if !w.chance(15) {
			w.After(step, func() { h.HandleAnswer(w.Now, o, result) })
		}
	})
}

func (w *world) take(e *engine, o Order) crendpoint.OrderResult {
	switch {
	case e.ChecksOrders && o.Token < e.highestToken:
		return crendpoint.OrderResult_ORDER_RESULT_STALE_TOKEN
	case o.Token < e.highestToken:
		w.violation = fmt.Sprintf("%+v took effect after an order with token %d", o, e.highestToken)
	case !e.ChecksOrders && e.loading != nil:
		w.violation = fmt.Sprintf("%+v overlaps %+v", o, *e.loading)
	}
	e.highestToken = o.Token
	if w.chance(5) {
		return crendpoint.OrderResult_ORDER_RESULT_INVALID
	}
	if o.isDone(e.Endpoint) {
		return crendpoint.OrderResult_ORDER_RESULT_DONE
	}
	if o.isLoad() {
		w.load(e, o)
		return crendpoint.OrderResult_ORDER_RESULT_IN_PROGRESS
	}
	old := e.Role
	e.Role = o.Value
	if n := w.count(old); n < w.minCount[old] {
		w.violation = fmt.Sprintf("%+v leaves %d of %s, want %d", o, n, old, w.minCount[old])
	}
	return crendpoint.OrderResult_ORDER_RESULT_DONE
}

func (w *world) load(e *engine, o Order) {
	e.loading = &o
	loads := 0
	for _, other := range w.engines {
		if other.loading != nil {
			loads++
		}
	}
	if loads > maxLoads {
		w.violation = fmt.Sprintf("%d loads in progress", loads)
	}
	w.After(time.Duration(w.rand.Int64N(int64(loadTime))), func() {
		e.loading = nil
		name := VersionName(o.Model, o.Value)
		if o.Kind == crendpoint.OrderKind_ORDER_KIND_LOAD_ADAPTER {
			name = AdapterName(o.Model, o.Value)
		}
		e.Loaded = append(slices.Clone(e.Loaded), name)
	})
}

func (w *world) count(role string) int {
	n := 0
	for _, e := range w.engines {
		if e.Role == role {
			n++
		}
	}
	return n
}

// advance simulates one step.
func (w *world) advance() {
	w.Advance()
	for _, e := range w.engines {
		e.ReportedAt = w.Now
		e.reports = append(e.reports, e.Endpoint)
	}
	for _, h := range w.holders {
		if h.paused {
			continue
		}
		for _, o := range h.unsent {
			if h.MayStart(w.Now, o, h.Lease) {
				w.deliver(h, o)
			}
		}
		h.unsent = nil
		h.Tick(context.Background(), w.Now)
		if token, held := h.Check(w.Now); held {
			h.unsent = h.Plan(w.Now, token, w.placements, w.reported())
		}
	}
}

// reported returns the endpoints by reports that lag by up to three steps.
func (w *world) reported() []Endpoint {
	var endpoints []Endpoint
	for _, e := range w.engines {
		lag := w.rand.IntN(4)
		endpoints = append(endpoints, e.reports[max(0, len(e.reports)-1-lag)])
	}
	return endpoints
}

var wanted = [][]Placement{
	{{Role: "chat", Count: 3, Version: "v1"}, {Role: "tag", Count: 2, Adapter: "roof"}},
	{{Role: "chat", Count: 2, Version: "v2"}, {Role: "tag", Count: 4}},
	{{Role: "chat", Count: 5}},
}

// wantedDomains holds the number of failure domains in which each placement must
// end: those in which it began, and one more for each added endpoint.
var wantedDomains = [][]int{{2, 2}, {2, 3}, {3}}

func checkOrders(t *rapid.T) {
	w := newWorld(rapid.Uint64().Draw(t, "seed"), true)
	w.placements = wanted[0]
	w.minCount = map[string]int{"chat": 2}
	t.Repeat(map[string]func(*rapid.T){
		"run": func(t *rapid.T) {
			outage := rapid.SampledFrom([]int{0, 0, 0, 10, 100}).Draw(t, "failing calls")
			w.store.Next = func() crfuzz.Fault {
				if w.chance(outage) {
					return crfuzz.Fault(w.rand.IntN(int(crfuzz.FaultCount)))
				}
				return crfuzz.NoFault
			}
			for range rapid.IntRange(1, 60).Draw(t, "steps") {
				w.advance()
				if w.violation != "" {
					t.Fatal(w.violation)
				}
			}
		},
		"pause": func(t *rapid.T) {
			// The lease holder pauses while its orders are being delivered, and the
			// others continue.
			for _, h := range w.holders {
				_, h.paused = h.Check(w.Now)
			}
		},
		"wake": func(t *rapid.T) { rapid.SampledFrom(w.holders).Draw(t, "holder").paused = false },
		"cold": func(t *rapid.T) { rapid.SampledFrom(w.engines).Draw(t, "engine").Loaded = nil },
		"settle": func(t *rapid.T) {
			if len(w.store.Delayed) > 0 {
				w.store.ApplyDelayed(0)
			}
		},
		"edit": func(t *rapid.T) { w.placements = rapid.SampledFrom(wanted).Draw(t, "placements") },
	})
}

func TestOrders(t *testing.T) { rapid.Check(t, checkOrders) }
func FuzzOrders(f *testing.F) { f.Fuzz(rapid.MakeFuzz(checkOrders)) }

// TestPlacementsAreReached checks that the wanted placements are reached within 20
// minutes, without and with faults.
func TestPlacementsAreReached(t *testing.T) {
	for _, faulty := range []bool{false, true} {
		for i, placements := range wanted {
			w := newWorld(uint64(i), faulty)
			w.placements = placements
			for range 20 * time.Minute / step {
				w.advance()
			}
			for j, p := range placements {
				domains := map[string]int{}
				for _, e := range w.engines {
					loaded := (p.Version == "" || slices.Contains(e.Loaded, VersionName("m", p.Version))) &&
						(p.Adapter == "" || slices.Contains(e.Loaded, AdapterName("m", p.Adapter)))
					if e.Role == p.Role && loaded {
						domains[e.FailureDomain]++
					}
				}
				n := 0
				for c := range maps.Values(domains) {
					n += c
				}
				if n < p.Count || len(domains) < wantedDomains[i][j] {
					t.Errorf("faulty %v: %d of %s in %v, want %d", faulty, n, p.Role, domains, p.Count)
				}
			}
			if w.violation != "" {
				t.Error(w.violation)
			}
		}
	}
}

// TestLostEndpoint checks that a load counts towards MaxLoads for as long as its
// endpoint, which is deleted or stops reporting, may still be loading, and no
// longer.
func TestLostEndpoint(t *testing.T) {
	now := time.Unix(1e9, 0)
	for _, deleted := range []bool{false, true} {
		p := &Planner{Service: "s", Model: "m", MaxLoads: 1, MaxDeliveryTime: time.Second, MaxLoadTime: time.Minute}
		placements := []Placement{{Role: "chat", Count: 1, Version: "v2"}}
		lost, other := Endpoint{Name: "a", Ready: true}, Endpoint{Name: "b", Ready: true}
		var got []string
		for second := range 180 {
			at := now.Add(time.Duration(second) * time.Second)
			other.ReportedAt = at
			endpoints := []Endpoint{lost, other}
			if second > 70 {
				lost.Ready = false
				endpoints[0] = lost
				if deleted {
					endpoints = endpoints[1:]
				}
			} else {
				endpoints[0].ReportedAt = at
				lost = endpoints[0]
			}
			for _, o := range p.Plan(at, 1, placements, endpoints) {
				got = append(got, fmt.Sprint(o.Endpoint, " after ", second, " s"))
			}
		}
		if want := []string{"a after 62 s", "b after 124 s"}; !slices.Equal(got, want) {
			t.Errorf("deleted %v: loads of %v, want %v", deleted, got, want)
		}
	}
}

func ExamplePlanner() {
	now := time.Unix(1e9, 0)
	p := &Planner{Service: "taalpers", Model: "m", MaxLoads: 1, MaxDeliveryTime: time.Second, MaxLoadTime: time.Minute}
	placements := []Placement{{Role: "chat", Count: 1, Version: "v2"}}
	endpoints := []Endpoint{{Name: "engine-1", Ready: true, ReportedAt: now}}
	fmt.Println(len(p.Plan(now, 7, placements, endpoints)), "right after taking over")
	later := now.Add(2 * time.Minute)
	endpoints[0].ReportedAt = later
	for _, o := range p.Plan(later, 7, placements, endpoints) {
		fmt.Println(o.Endpoint, o.Kind, o.Value, "under token", o.Token)
	}
	// Output:
	// 0 right after taking over
	// engine-1 ORDER_KIND_LOAD_VERSION v2 under token 7
}

func BenchmarkPlan(b *testing.B) {
	p := &Planner{Service: "s", Model: "m", MaxLoads: 10, MaxDeliveryTime: maxDelivery, MaxLoadTime: loadTime}
	var endpoints []Endpoint
	now := time.Unix(1e9, 0)
	for i := range 360 { // 6,100 servers over 17 services
		endpoints = append(endpoints, Endpoint{Name: fmt.Sprint(i), FailureDomain: fmt.Sprint(i % 13), Ready: true, Role: "chat", ReportedAt: now})
	}
	placements := []Placement{{Role: "chat", Count: 300, Version: "v1"}, {Role: "tag", Count: 40}}
	for i := range b.N {
		p.Plan(now.Add(time.Duration(i)*time.Second), 1, placements, endpoints)
	}
}
