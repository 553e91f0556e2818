// Package crengine is a stand-in for a model engine. It batches continuously,
// caches prompt prefixes, bears little while it is cold and falls over beyond
// that, resumes and cancels streams, and reports late.
package crengine

import (
	"net/http"
	"sync"
	"time"

	"crocusrack/schema/crendpoint/crendpointconnect"
	"crocusrack/schema/crstand"
	"crocusrack/stand/crfault"
	"crocusrack/stand/crlag"

	"connectrpc.com/connect"
)

// Engine is one endpoint. Its exported fields are set before the first use.
type Engine struct {
	Name string
	// Model is loaded from the start.
	Model string
	// Role is what the engine reports until an order changes it.
	Role string
	// Capacity is the number of requests that run at once. More wait by
	// priority.
	Capacity int
	// ColdCapacity is the number of requests in flight that a cold engine
	// bears. One more, and all fail.
	ColdCapacity int
	// WarmAfter is the number of requests that a cold engine has to answer to
	// become warm. An engine with 0 is always warm.
	WarmAfter int
	// TokenTime is the time per token of the answer when one request runs.
	TokenTime time.Duration
	// PrefillTime is the time per prompt token that isn't cached.
	PrefillTime time.Duration
	// CacheTokens bounds the prefix cache.
	CacheTokens int
	// Grace is how long a request runs on without a client. 0 is DefaultGrace.
	Grace time.Duration
	// KeepAnswers is how long an answer can be resumed after its end. 0 is
	// DefaultKeepAnswers.
	KeepAnswers time.Duration
	// ReportLag is the age of the reported load, EventLag that of the cache
	// events.
	ReportLag, EventLag time.Duration
	// EventGap, if not 0, drops every event whose sequence it divides.
	EventGap uint64
	// LoadTime is how long an order to load something takes.
	LoadTime time.Duration
	// CheckOrders makes the engine refuse orders with an old fencing token.
	CheckOrders bool
	// OnStart, if set, is called when the engine takes up a request.
	OnStart func(requestID string)

	faults crfault.Set
	once   sync.Once

	mu       sync.Mutex
	epoch    uint64
	served   int // answers in this epoch
	running  int
	queue    queue
	inFlight int // running and waiting
	arrivals uint64
	runs     map[string]*run
	cache    cache
	events   eventLog
	orders   orders
	reports  crlag.History[report]
	counters counters
}

const (
	// DefaultGrace and DefaultKeepAnswers are the times of an Engine that sets
	// none.
	DefaultGrace       = 5 * time.Second
	DefaultKeepAnswers = 10 * time.Second
	// batchSlowdown is the share by which a full batch lengthens the time per
	// token.
	batchSlowdown = 0.5
	// compressMinBytes is the size from which messages are compressed.
	compressMinBytes = 1 << 10
)

// counters are the counts since the start of the process.
type counters struct {
	started        uint64
	promptTokens   uint64
	cachedTokens   uint64
	overloadedCold uint32
	staleOrders    uint32
}

func (e *Engine) setup() {
	e.once.Do(func() {
		if e.Grace == 0 {
			e.Grace = DefaultGrace
		}
		if e.KeepAnswers == 0 {
			e.KeepAnswers = DefaultKeepAnswers
		}
		e.runs = make(map[string]*run)
		e.events.init()
		e.cache.init(e.CacheTokens)
		e.orders.init(e.Model, e.Role)
		e.reports.Lag = e.ReportLag
		e.nextEpoch()
		// The first state counts as old, so that every report has one.
		e.putReportAt(time.Now().Add(-e.ReportLag))
	})
}

// Handler returns the handler of EngineService and FaultService.
func (e *Engine) Handler() http.Handler {
	e.setup()
	mux := http.NewServeMux()
	mux.Handle(crendpointconnect.NewEngineServiceHandler(handler{e}, connect.WithCompressMinBytes(compressMinBytes)))
	host := crfault.Host{SetFaults: e.SetFaults, Counters: e.Counters}
	host.Register(mux)
	return mux
}

// SetFaults puts faults in force in place of the earlier ones. Turning cold
// happens once, when it is set.
func (e *Engine) SetFaults(faults *crstand.Faults) {
	e.setup()
	e.faults.Replace(faults)
	if faults.GetTurnCold() {
		e.TurnCold()
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	e.putReport()
}

// TurnCold makes the engine cold, with an empty cache and a new epoch. What
// runs goes on.
func (e *Engine) TurnCold() {
	e.setup()
	e.mu.Lock()
	defer e.mu.Unlock()
	e.loseCache()
	e.putReport()
}

// Restart fails all requests, forgets all answers and turns the engine cold.
func (e *Engine) Restart() {
	e.setup()
	e.mu.Lock()
	defer e.mu.Unlock()
	e.failAll(errRestart)
	clear(e.runs)
	e.loseCache()
	e.putReport()
}

// Close fails all requests, so that nothing of the engine goes on. It is called
// after the last use.
func (e *Engine) Close() { e.Restart() }

// Counters returns the counts since the start of the process.
func (e *Engine) Counters() *crstand.CountersResponse {
	e.mu.Lock()
	defer e.mu.Unlock()
	return &crstand.CountersResponse{
		Started:         e.counters.started,
		PromptTokens:    e.counters.promptTokens,
		CachedTokens:    e.counters.cachedTokens,
		OverloadedCold:  e.counters.overloadedCold,
		StaleOrdersDone: e.counters.staleOrders,
	}
}

// Load returns the requests in flight, running and waiting, and the capacity.
func (e *Engine) Load() (inFlight, capacity int) {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.inFlight, e.Capacity
}

// Cold reports whether the engine is cold.
func (e *Engine) Cold() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.cold()
}

// Epoch returns the number that changes whenever the engine turns cold.
func (e *Engine) Epoch() uint64 {
	e.setup()
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.epoch
}

func (e *Engine) cold() bool { return e.served < e.WarmAfter }

// loseCache and the functions below need the lock.
func (e *Engine) loseCache() {
	e.served = 0
	e.nextEpoch()
	e.cache.init(e.CacheTokens)
	e.events.clear(e.epoch)
}

// nextEpoch follows the clock, so that a new process has a new epoch too.
func (e *Engine) nextEpoch() {
	e.epoch = max(e.epoch+1, uint64(time.Now().UnixNano()))
}
