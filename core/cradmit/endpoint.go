package cradmit

import (
	"net/netip"
	"time"

	"crocusrack/core/crshard"
)

const (
	// A time to first token per uncached token above slowFactor times its moving
	// average is slow. After slowBeforeReset slow answers in a row the warm-up limit is
	// reset.
	slowFactor      = 4
	slowBeforeReset = 3
	// fixedCostTokens is the part of the time to first token that doesn't depend on the
	// prompt, expressed in prompt tokens.
	fixedCostTokens = 256
	// averageShift gives a new sample a weight of 1/8 in moving averages.
	averageShift = 3
	// If fewer than 1/cacheMissDivisor of the prompt tokens were cached, the endpoint
	// didn't hold the chat.
	cacheMissDivisor = 8
	// reportTimeout is the time without a report after which an endpoint is assumed not
	// to send any.
	reportTimeout = 15 * time.Second
	// leavingRetryDelay is the delay after which a leaving endpoint that sends no
	// reports is tried again.
	leavingRetryDelay = 5 * time.Second
	// maxArrivalDelay is the longest assumed time from a grant to the arrival of the
	// request at the endpoint. It allows for one retransmitted packet, which is usually
	// sent after 200 ms.
	maxArrivalDelay = 200 * time.Millisecond
)

// endpoint is the state of one endpoint. It is kept after the endpoint leaves its shard
// while requests are in flight.
type endpoint struct {
	name         string
	address      netip.AddrPort
	capacity     int
	coldCapacity int
	// shard is nil while the endpoint drains. key is the key of its current or last
	// shard.
	shard *shard
	key   crshard.Key
	// contestedUntil is the time at which the ownership of the last shard of a draining
	// endpoint stops being contested.
	contestedUntil time.Time

	epoch    uint64
	inFlight int
	// foreign is the number of requests in flight that another owner granted, counted
	// until foreignUntil at the latest. handedOverAt is when an earlier owner handed
	// over that number.
	foreign      int
	foreignUntil time.Time
	handedOverAt time.Time
	// waiting is the number of waiters that prefer the endpoint.
	waiting int

	// leaving reports that the endpoint announced at leavingAt that it is shutting
	// down.
	leaving   bool
	leavingAt time.Time

	// failedAt is when a failure last lowered the warm-up limit.
	failedAt time.Time
	// warmUpLimit is the maximum number of requests in flight until the endpoint has
	// proved to be warm. successes counts the successes since it last changed.
	warmUpLimit int
	successes   int
	// addedAt is when the endpoint was added on this instance. reportAt is the time of
	// its newest report, and reportedCold whether that report said that it is cold.
	addedAt time.Time
	// contestedSince is when the shard's ownership became contested. It is zero once an
	// earlier owner has told this one what runs at the endpoint.
	contestedSince time.Time
	// reportFailed is set if the last attempt to get a report from the endpoint failed.
	reportFailed bool
	// closedUntil is the time until which an endpoint gets no requests after it has
	// become reachable again, unless it is known to be warm.
	closedUntil  time.Time
	reportAt     time.Time
	reportedCold bool
	// reportedWarm is set if the endpoint has reported to be warm since its warm-up
	// limit was last reset. warmInEpoch is set if it has done so in the current epoch
	// and not reported to be cold since. fastGrowth makes every success raise the
	// warm-up limit; it is cleared by a failure, an overload or a reset of the limit.
	reportedWarm, warmInEpoch, fastGrowth bool

	// tokenCost is the moving average of the time to first token per prompt token that
	// wasn't cached. Zero means that there is no sample yet.
	tokenCost   time.Duration
	slowAnswers int
	// serviceTime is the moving average of the time from grant to success.
	serviceTime time.Duration

	chats    lruSet
	prefixes lruSet
}

func (e *endpoint) load() int { return e.inFlight + e.foreign }

// lessLoadedThan reports whether e has less load per unit of capacity than f.
func (e *endpoint) lessLoadedThan(f *endpoint) bool {
	return e.load()*f.capacity < f.load()*e.capacity
}

// configure applies the settings of the endpoint in the layout. A changed address means
// a different process, which is cold and whose epoch is unknown.
func (e *endpoint) configure(c *crshard.Endpoint) {
	if e.address != c.Address && e.address.IsValid() {
		e.resetWarmUp()
		e.clearCache()
		e.epoch = 0
		e.warmInEpoch = false
		e.reportAt = time.Time{}
	}
	e.address = c.Address
	e.capacity = max(c.Capacity, 1)
	e.coldCapacity = min(max(c.ColdCapacity, 1), e.capacity)
	e.warmUpLimit = min(e.warmUpLimit, e.capacity)
}

// resetWarmUp lowers the warm-up limit to the capacity of the cold endpoint.
func (e *endpoint) resetWarmUp() {
	e.warmUpLimit = min(e.warmUpLimit, e.coldCapacity)
	e.successes = 0
	e.slowAnswers = 0
	e.reportedWarm = false
	e.fastGrowth = false
}

func (e *endpoint) clearCache() {
	e.chats.clear()
	e.prefixes.clear()
}

// observeEpoch records an epoch that was received. Epochs only grow, so a lower one is
// outdated and ignored.
func (e *endpoint) observeEpoch(epoch uint64) {
	if epoch > e.epoch {
		e.setEpoch(epoch)
	}
}

// setEpoch starts a new epoch. The endpoint is cold, and its cache from an earlier
// known epoch is lost.
func (e *endpoint) setEpoch(epoch uint64) {
	if e.epoch != 0 {
		e.clearCache()
	}
	e.epoch = epoch
	e.reportedCold = false
	e.warmInEpoch = false
	e.leaving = false
	e.resetWarmUp()
	// Failures in the earlier epoch say nothing about this one.
	e.warmUpLimit = e.coldCapacity
}

// raiseLimit counts a success and raises the warm-up limit by one after as many
// successes as the limit, or after each success while fastGrowth is set. If the
// endpoint sends reports, successes count only after one has reported it warm since the
// last reset: an endpoint may answer some requests and still fail under load.
func (e *endpoint) raiseLimit(now time.Time) {
	if !e.reportedWarm && (e.reportedCold || e.sendsReports(now)) {
		return
	}
	e.successes++
	if e.successes < e.warmUpLimit && !e.fastGrowth || e.warmUpLimit >= e.capacity {
		return
	}
	e.warmUpLimit++
	e.successes = 0
}

// unobserved reports whether no report has shown yet what an earlier owner left
// running at the endpoint.
func (e *endpoint) unobserved() bool { return !e.reportAt.After(e.contestedSince) }

// closed reports whether an endpoint that may be cold gets no requests because requests
// that this owner doesn't know about may be running there.
func (e *endpoint) closed(now time.Time, contested bool) bool {
	if e.reportedWarm {
		return false
	}
	return e.unobserved() && (contested || e.reportFailed) || now.Before(e.closedUntil)
}

// observeReachable handles the arrival of a report. If it is the first one since the
// shard came to this instance, and the contested time has passed, a network partition
// has just ended. The endpoint may get requests from the other side of the partition
// for as long as the contested time lasted, so it stays closed for that time.
func (e *endpoint) observeReachable(now time.Time) {
	if e.shard == nil || e.contestedSince.IsZero() || !e.unobserved() || e.shard.contested(now) {
		return
	}
	e.closedUntil = now.Add(e.shard.contestedUntil.Sub(e.contestedSince))
}

// sendsReports reports whether the endpoint sends reports, or is too new for a report
// to be overdue.
func (e *endpoint) sendsReports(now time.Time) bool {
	lastSeen := e.addedAt
	if e.reportAt.After(lastSeen) {
		lastSeen = e.reportAt
	}
	return now.Sub(lastSeen) < reportTimeout
}

// observeWarm handles a report in the current epoch that the endpoint is warm. The
// epoch changes with every cold start, so the age of the report doesn't matter. The
// limit rises to half the capacity only once per epoch, so that failures since then
// aren't undone; observed successes have to raise it further.
func (e *endpoint) observeWarm() {
	if e.reportedWarm {
		return
	}
	e.reportedWarm = true
	if e.warmInEpoch {
		return
	}
	e.warmInEpoch = true
	e.fastGrowth = true
	e.warmUpLimit = max(e.warmUpLimit, e.capacity/2)
}

// halveLimit halves the warm-up limit after a failure. Requests that were in flight
// together count as one failure.
func (e *endpoint) halveLimit(now time.Time, g *grant) {
	if g.start.Before(e.failedAt) {
		return
	}
	e.failedAt = now
	e.warmUpLimit = max(e.warmUpLimit/2, 1)
	e.successes = 0
	e.fastGrowth = false
}

// setLeaving stops new requests to the endpoint. Requests that it refuses while leaving
// are no sign of overload.
func (e *endpoint) setLeaving(now time.Time) {
	e.leaving = true
	e.leavingAt = now
}

// retryLeaving allows requests to a leaving endpoint again if it sends no reports that
// could tell that it is back.
func (e *endpoint) retryLeaving(now time.Time) {
	if e.leaving && now.Sub(e.leavingAt) >= leavingRetryDelay && !e.sendsReports(now) {
		e.leaving = false
	}
}

// lowerLimit lowers the warm-up limit to the number of requests that were in flight
// besides the refused one.
func (e *endpoint) lowerLimit() {
	e.warmUpLimit = max(min(e.warmUpLimit, e.load()), 1)
	e.successes = 0
	e.fastGrowth = false
}

// observeFirstToken updates the moving average of the cost of a token, and resets the
// warm-up limit after several slow answers in a row.
func (e *endpoint) observeFirstToken(o *Observation) {
	if o.FirstToken <= 0 {
		return
	}
	uncached := max(o.PromptTokens-o.CachedTokens, 0)
	cost := o.FirstToken / time.Duration(uncached+fixedCostTokens)
	if e.tokenCost == 0 || cost <= slowFactor*e.tokenCost {
		e.tokenCost = average(e.tokenCost, cost)
		e.slowAnswers = 0
		return
	}
	e.slowAnswers++
	if e.slowAnswers < slowBeforeReset {
		return
	}
	e.resetWarmUp()
	e.tokenCost = cost
}

// average adds a sample to a moving average and returns the new average. An old average
// of 0 means that there is no sample yet.
func average(old, sample time.Duration) time.Duration {
	if old == 0 {
		return sample
	}
	return old + (sample-old)>>averageShift
}

// dropEvicted drops chats and prefixes from the state if the engine found too few
// cached tokens. Engines evict the least recently used entries first, so those used
// less recently are gone too.
func (e *endpoint) dropEvicted(g *grant, o *Observation) {
	if o.PromptTokens <= 0 || o.CachedTokens*cacheMissDivisor >= o.PromptTokens {
		return
	}
	if g.prevChatTouch > 0 {
		e.chats.removeUntil(g.prevChatTouch)
	}
	if g.prevPrefixTouch > 0 {
		e.prefixes.removeUntil(g.prevPrefixTouch)
	}
}

// expireForeign stops counting the requests of other owners after foreignUntil.
func (e *endpoint) expireForeign(now time.Time) {
	if e.foreign > 0 && !now.Before(e.foreignUntil) {
		e.foreign = 0
	}
}
