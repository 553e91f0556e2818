package crrouter

import (
	"expvar"

	"go.uber.org/zap"

	"crocusrack/core/crmemory"
	iomemory "crocusrack/io/crmemory"
)

// heldShare is the part of the process's memory that may be held for callers and endpoints. The
// rest is for the routing, the state of the fleet, the program itself, and what the collector
// hasn't freed yet.
const heldShare = 0.5

// limitMemory derives the budget and the limit of the runtime from the memory of the process.
func (r *Router) limitMemory() {
	bytes := r.Settings.MemoryBytes
	if bytes == 0 {
		bytes = iomemory.Granted()
	}
	if bytes == 0 {
		r.Log.Warn("daemon: the system doesn't tell its memory, so what callers hold has no bound")
		return
	}
	r.budget.Limit = int64(heldShare * float64(bytes))
	r.forwarder.Segments.ProcessBytes = bytes
	r.forwarder.Segments.LimitHeap()
	r.Log.Info("daemon: memory is limited", zap.Int64("bytes", bytes), zap.Int64("held-bytes", r.budget.Limit))
}

// addMemoryMetrics adds the metrics of the budget.
func (r *Router) addMemoryMetrics(vars *expvar.Map) {
	vars.Set("memory-bytes-held", expvar.Func(func() any {
		held := make(map[string]int64)
		for _, k := range crmemory.Kinds() {
			held[k.String()] = r.budget.Used(k)
		}
		return held
	}))
	vars.Set("memory-bytes-limit", expvar.Func(func() any { return r.budget.Limit }))
	vars.Set("memory-bytes-of-segments", expvar.Func(func() any { return r.forwarder.Segments.Mapped() }))
	vars.Set("memory-reservations-refused", expvar.Func(func() any { return r.budget.Refused() }))
	vars.Set("memory-holders-ended", expvar.Func(func() any { return r.budget.Ended() }))
}
