package crslope

import "crocusrack/core/crcatalogue"

// Figure is a number calculated from slopes at the target.
type Figure struct {
	// Name is unique in a report, in kebab case, and not a slope's.
	Name string `json:"figure"`
	// Doc tells how it is calculated.
	Doc    string  `json:"doc"`
	Unit   Unit    `json:"unit"`
	Value  float64 `json:"value"`
	Budget float64 `json:"budget,omitempty"`
}

// Inside tells whether the value is within the budget.
func (f *Figure) Inside() bool { return f.Budget == 0 || f.Value <= f.Budget }

const (
	// loadExchanges is the most exchanges of load sums a second of a daemon that
	// owns shards of one service: four asked for and four answered.
	loadExchanges = 8
	// pacedBytes bounds the load sums that a daemon exchanges a second by its
	// own doing, as the daemon does; others ask it for as many.
	pacedBytes = 1500
	// leaseSeconds and leaseRenewals are of the lease of a service.
	leaseSeconds  = 15.0
	leaseRenewals = 3
	// restartSpan is the time in which 600 daemons restart, in seconds.
	restartSpan = 600.0
	// garbageFactor is the size of the heap in relation to live objects with
	// the runtime's default settings.
	garbageFactor = 2
	// restartRelayouts is the count of changes of the usable members that one
	// restart makes: it leaves or dies, and comes back.
	restartRelayouts = 2
)

// figures calculates what several slopes give together.
func (r *Report) figures() []Figure {
	at := func(name string) float64 { return r.Slope(name).AtTarget }
	domain := float64(targetDaemons / targetDomains)
	start := at("store-reads-restart") + at("catalogue-load-reads")
	relayout := at("layout-build-time") + at("quota-instances-time")
	state := at("heap") + at("catalogue-memory") + at("held-chat-memory") + at("execution-token-memory") +
		at("quota-borrower-memory") + at("quota-lender-memory") + at("layout-memory") + at("load-table-memory")
	exchange := 2 * (at("load-message-bytes") + framingBytes)
	reports := r.Slope("report-control").Line.At(at("owned-endpoints-most"))
	base := at("control-idle-gossip") + at("control-idle-framing") + at("control-idle-store") + at("quota-control")
	exchanges := min(loadExchanges, 2*pacedBytes/(2*at("load-message-bytes")))
	loads := exchanges * exchange
	leases := targetServices * leaseRenewals / leaseSeconds
	return []Figure{
		{"catalogue-changes-commit-writes", "Writes of 6,300 changes a day, spread evenly.", CallsPerSecond, targetChanges * at("catalogue-commit-writes") / secondsPerDay, writesPerSecond},
		{"catalogue-changes-control", "Deltas of 6,300 changes a day to one daemon, received once and passed on once, spread evenly.", BytesPerSecond, 2 * targetChanges * (at("catalogue-delta-bytes") + 2*framingBytes) / secondsPerDay, controlBudget},
		{"catalogue-changes-process-time", "Applying, passing on and laying out anew for 6,300 changes a day, spread evenly.", CorePercent, 100 * targetChanges * (at("catalogue-apply-time") + at("catalogue-since-time") + at("layout-build-time")) / 1e9 / secondsPerDay, coreBudget},
		{"catalogue-changes-reads", "Store reads of 6,300 changes a day, if each of three watchers reads the whole catalogue after each.", CallsPerSecond, crcatalogue.DefaultWatchers * targetChanges * at("catalogue-load-reads") / secondsPerDay, readsPerSecond},
		{"control-peak-other", "A daemon that owns no shard, at the peak: gossip, framing and store as without load, and quota-control.", BytesPerSecond, base, controlBudget},
		{"control-peak-owner", "The daemon that owns the most endpoints, at the peak: control-peak-other, load-control-peak and report-control-most.", BytesPerSecond, base + loads + reports, controlBudget},
		{"lease-reads", "Reads of candidates that look at the leases of 17 services, assumed: two candidates a service look as often as the holder renews.", CallsPerSecond, 2 * leases, readsPerSecond},
		{"lease-writes", "Renewals of the leases of 17 services, assumed: a lease of 15 s that is renewed three times.", CallsPerSecond, leases, writesPerSecond},
		{"load-control-peak", "Load sums of an owner at the peak, framing included, if all sums change all the time.", BytesPerSecond, loads, controlBudget},
		{"memory", "Live bytes: heap, catalogue, layout, chats, tokens, quota and load sums at the target; what heap holds of these is counted twice.", Bytes, state, memoryBudget},
		{"memory-with-garbage", "Twice memory, as the runtime lets the heap grow before it collects.", Bytes, garbageFactor * state, memoryBudget},
		{"report-control-most", "Reports of the daemon that owns the most endpoints.", BytesPerSecond, reports, controlBudget},
		{"restart-domain-reads", "Store reads when a failure domain's 60 daemons start.", Calls, domain * start, 0},
		{"restart-domain-seconds", "The time that these take at the store's 2,000 reads a second.", Seconds, domain * start / readsPerSecond, 0},
		{"restart-mass-fetch-bytes", "Member table and whole catalogue that one daemon fetches from peers at its start.", Bytes, at("member-fetch-bytes") + at("catalogue-whole-bytes"), 0},
		{"restart-mass-process-time", "Layouts and quotas of one daemon while 600 others restart within ten minutes.", CorePercent, 100 * targetRestarts * restartRelayouts * relayout / 1e9 / restartSpan, coreBudget},
		{"restart-mass-reads", "Store reads when 600 daemons start.", Calls, targetRestarts * start, 0},
		{"restart-mass-seconds", "The time that these take at the store's 2,000 reads a second.", Seconds, targetRestarts * start / readsPerSecond, 0},
	}
}
