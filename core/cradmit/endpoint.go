package cradmit

import (
	"net/netip"
	"time"

	"crocusrack/core/crshard"
)

const (
	// riseFactor is the growth of the first-token time that counts as a rise,
	// and risesToCold how many in a row put the warm-up limit back.
	riseFactor  = 4
	risesToCold = 3
	// baseTokens stands for the part of the first-token time that doesn't
	// depend on the prompt, in prompt tokens.
	baseTokens = 256
	// averageShift makes a new sample count 1/8 in moving averages.
	averageShift = 3
	// missShare: fewer cached tokens than this part of the prompt mean that the
	// endpoint didn't hold the chat.
	missShare = 8
	// reportSilence is the time without a report after which an endpoint is
	// taken for one that gives none.
	reportSilence = 15 * time.Second
	// leavingRetry is when a leaving endpoint that gives no reports is tried
	// again.
	leavingRetry = 5 * time.Second
	// arrivalTime is the longest time from a grant to the request's arrival at
	// the endpoint: one packet may be sent again, after the usual 200 ms.
	arrivalTime = 200 * time.Millisecond
)

// endpoint is the state of one endpoint. It outlives its shard while work is
// in flight.
type endpoint struct {
	name     string
	address  netip.AddrPort
	capacity int
	cold     int
	// shard is nil while the endpoint drains; key is its last shard's.
	shard *shard
	key   crshard.Key
	// contestedUntil is the end of the contested time of the last shard of an
	// endpoint that drains.
	contestedUntil time.Time

	epoch    uint64
	inFlight int
	// foreign is work granted by an earlier owner, until foreignUntil at most.
	// handedOver is when that owner told of it.
	foreign      int
	foreignUntil time.Time
	handedOver   time.Time
	// waiting counts the waiters that prefer the endpoint.
	waiting int

	// leaving tells that the endpoint has said at leavingAt that it leaves.
	leaving   bool
	leavingAt time.Time

	// failedAt is when a failure last lowered the warm-up limit.
	failedAt time.Time
	// limit is the warm-up limit, successes those since it last changed.
	limit     int
	successes int
	// since is when the endpoint came to this instance, and reportAt the time of
	// its newest report, which said reportedCold.
	since time.Time
	// gained is when its contested time began, zero when its owner has been
	// told what runs there.
	gained time.Time
	// unreached tells that the endpoint was last asked for a report in vain.
	unreached bool
	// closedUntil is when an endpoint that may be cold is open to work again that
	// came back into reach.
	closedUntil  time.Time
	reportAt     time.Time
	reportedCold bool
	// reportedWarm tells that a report has said that it isn't cold since the
	// limit was put back, trusted that one of this epoch has, and fast that the
	// limit was never put back in this epoch.
	reportedWarm, trusted, fast bool

	// tokenCost is the moving average of the first-token time for each prompt
	// token that wasn't cached, 0 before the first sample.
	tokenCost time.Duration
	rises     int
	// service is the moving average of the time from grant to success.
	service time.Duration

	chats    held
	prefixes held
}

func (e *endpoint) load() int { return e.inFlight + e.foreign }

// lighter reports whether e has less load per unit of capacity than f.
func (e *endpoint) lighter(f *endpoint) bool {
	return e.load()*f.capacity < f.load()*e.capacity
}

// configure takes the endpoint's settings over from the layout. A change of
// address means another process, which is cold and of unknown epoch.
func (e *endpoint) configure(c *crshard.Endpoint) {
	if e.address != c.Address && e.address.IsValid() {
		e.cool()
		e.forget()
		e.epoch = 0
		e.trusted = false
		e.reportAt = time.Time{}
	}
	e.address = c.Address
	e.capacity = max(c.Capacity, 1)
	e.cold = min(max(c.ColdCapacity, 1), e.capacity)
	e.limit = min(e.limit, e.capacity)
}

// cool puts the warm-up limit back to what the endpoint bears when cold.
func (e *endpoint) cool() {
	e.limit = min(e.limit, e.cold)
	e.successes = 0
	e.rises = 0
	e.reportedWarm = false
	e.fast = false
}

func (e *endpoint) forget() {
	e.chats.clear()
	e.prefixes.clear()
}

// learnEpoch takes in an epoch that was heard of. Epochs grow, so that late
// news of an earlier one is ignored.
func (e *endpoint) learnEpoch(epoch uint64) {
	if epoch > e.epoch {
		e.setEpoch(epoch)
	}
}

// setEpoch starts a new epoch: the endpoint is cold, and what it held under an
// earlier known epoch is lost.
func (e *endpoint) setEpoch(epoch uint64) {
	if e.epoch != 0 {
		e.forget()
	}
	e.epoch = epoch
	e.reportedCold = false
	e.trusted = false
	e.leaving = false
	e.cool()
	// Failures under the earlier epoch say nothing about this one.
	e.limit = e.cold
}

// succeed grows the warm-up limit by one for as many successes as it allows
// requests at once, or by one for each success of an endpoint that reports
// itself warm. An endpoint that gives reports is not trusted to be warm before one of
// its epoch says so: it may answer some requests and still fall over.
func (e *endpoint) succeed(now time.Time) {
	if !e.reportedWarm && (e.reportedCold || e.reports(now)) {
		return
	}
	e.successes++
	if e.successes < e.limit && !e.fast || e.limit >= e.capacity {
		return
	}
	e.limit++
	e.successes = 0
}

// unseen tells whether nothing is known of the work that an earlier owner left
// at the endpoint.
func (e *endpoint) unseen() bool { return !e.reportAt.After(e.gained) }

// closed tells whether an endpoint that may be cold gets nothing, because work
// may go on there that this owner doesn't know of.
func (e *endpoint) closed(now time.Time, contested bool) bool {
	if e.reportedWarm {
		return false
	}
	return e.unseen() && (contested || e.unreached) || now.Before(e.closedUntil)
}

// reach takes in that a report of the endpoint has come. When it is the first
// since the shard came here, and the contested time is over, a cut has ended:
// for as long as that time lasted, the endpoint may still get work from the
// other side.
func (e *endpoint) reach(now time.Time) {
	if e.shard == nil || e.gained.IsZero() || !e.unseen() || e.shard.contested(now) {
		return
	}
	e.closedUntil = now.Add(e.shard.contestedUntil.Sub(e.gained))
}

// reports tells whether the endpoint gives reports, or is so new here that none
// can be missed.
func (e *endpoint) reports(now time.Time) bool {
	heard := e.since
	if e.reportAt.After(heard) {
		heard = e.reportAt
	}
	return now.Sub(heard) < reportSilence
}

// reportWarm takes in a report of the current epoch that the endpoint isn't
// cold. The epoch changes with every cold start, so that a late report is as
// good as a fresh one; the rest of the capacity is left to observed successes,
// once for each epoch, so that failures since aren't forgotten.
func (e *endpoint) reportWarm() {
	if e.reportedWarm {
		return
	}
	e.reportedWarm = true
	if e.trusted {
		return
	}
	e.trusted = true
	e.fast = true
	e.limit = max(e.limit, e.capacity/2)
}

// fail halves the warm-up limit, once for all requests that were in flight
// together.
func (e *endpoint) fail(now time.Time, g *grant) {
	if g.start.Before(e.failedAt) {
		return
	}
	e.failedAt = now
	e.limit = max(e.limit/2, 1)
	e.successes = 0
	e.fast = false
}

// leave closes the endpoint to new work. Requests that it has refused before a
// report says that it is back are no sign of load.
func (e *endpoint) leave(now time.Time) {
	e.leaving = true
	e.leavingAt = now
}

// comeBack opens an endpoint that gives no reports again, to try it.
func (e *endpoint) comeBack(now time.Time) {
	if e.leaving && now.Sub(e.leavingAt) >= leavingRetry && !e.reports(now) {
		e.leaving = false
	}
}

// refuseOverload lowers the warm-up limit to what was in flight beside the
// refused request.
func (e *endpoint) refuseOverload() {
	e.limit = max(min(e.limit, e.load()), 1)
	e.successes = 0
	e.fast = false
}

// observeFirstToken follows the first-token time and puts the warm-up limit
// back after a sudden rise.
func (e *endpoint) observeFirstToken(o *Observation) {
	if o.FirstToken <= 0 {
		return
	}
	uncached := max(o.PromptTokens-o.CachedTokens, 0)
	cost := o.FirstToken / time.Duration(uncached+baseTokens)
	if e.tokenCost == 0 || cost <= riseFactor*e.tokenCost {
		e.tokenCost = average(e.tokenCost, cost)
		e.rises = 0
		return
	}
	e.rises++
	if e.rises < risesToCold {
		return
	}
	e.cool()
	e.tokenCost = cost
}

// average returns the moving average with the sample counted in.
func average(old, sample time.Duration) time.Duration {
	if old == 0 {
		return sample
	}
	return old + (sample-old)>>averageShift
}

// correct compares what the engine found cached with what it was believed to
// hold. An engine that has dropped a chat has dropped those used less recently
// too.
func (e *endpoint) correct(g *grant, o *Observation) {
	if o.PromptTokens <= 0 || o.CachedTokens*missShare >= o.PromptTokens {
		return
	}
	if g.chatSeen > 0 {
		e.chats.dropOlder(g.chatSeen)
	}
	if g.prefixSeen > 0 {
		e.prefixes.dropOlder(g.prefixSeen)
	}
}

// endForeign forgets foreign work whose time is over.
func (e *endpoint) endForeign(now time.Time) {
	if e.foreign > 0 && !now.Before(e.foreignUntil) {
		e.foreign = 0
	}
}
