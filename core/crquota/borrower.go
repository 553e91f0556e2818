package crquota

import (
	"cmp"
	"math"
	"slices"
	"time"
)

// Default values of the exported fields of Borrower.
const (
	DefaultFreeShare         = 0.5
	DefaultReportEvery       = 30 * time.Second
	DefaultMessageInterval   = 100 * time.Millisecond
	DefaultAskTimeout        = time.Second
	DefaultMessagesPerSecond = 5
	DefaultUsesPerMessage    = 50
)

// Lower bounds of the safe share. They keep random bursts of an account with little
// traffic from causing requests to its quota owner.
const (
	// minSafeBurst is the number of requests that may arrive at once.
	minSafeBurst = 4
	// minSafeConcurrency is the number of requests in flight.
	minSafeConcurrency = 2
)

// sweepInterval is the interval at which the state of idle accounts is dropped.
const sweepInterval = 10 * time.Second

// Borrower decides whether requests that arrive at one instance are admitted. Set the
// exported fields and call SetInstances before first use. Zero fields get the default
// values. A Borrower isn't safe for concurrent use: the calling code must hold a lock.
type Borrower struct {
	// Instance is the name of this instance.
	Instance string
	// Limits returns the limits of a client account.
	Limits func(account string) Limits
	// FreeShare is the fraction of the safe share that may be spent without a report to
	// the quota owner while the account requests no tokens.
	FreeShare float64
	// ReportEvery is the longest time that use of the safe share stays unreported.
	ReportEvery time.Duration
	// AskEvery is the minimum interval between two messages to one quota owner.
	AskEvery time.Duration
	// AskTimeout is the time after which an unanswered BorrowRequest is abandoned. It is
	// also the pause before a quota owner that couldn't be reached is asked again.
	AskTimeout time.Duration
	// MessagesPerSecond limits the rate of messages to all quota owners together.
	MessagesPerSecond float64
	// UsesPerMessage limits the number of accounts in one message.
	UsesPerMessage int

	started   time.Time
	instances instances
	accounts  map[string]*account
	owners    map[string]*owner
	messages  bucket
	sequence  uint64
	lastSweep time.Duration
}

// Verdict is the decision on one request.
type Verdict struct {
	Allowed bool
	// RetryAfter is set when the request is refused: the time after which to try again.
	RetryAfter time.Duration
	// Pending is true when tokens have been requested from the quota owner. The request
	// may be held for RetryAfter and then decided again with Poll.
	Pending bool
}

// BorrowRequest is one message to a quota owner. DueMessages returns it.
type BorrowRequest struct {
	Owner string
	Uses  []AccountUse

	sequence uint64
	at       time.Duration
}

// account is the state of one client account at this instance.
type account struct {
	name string
	// safeShare is the token bucket of the safe share, freePart that of the part of it
	// that may be spent without a report.
	safeShare bucket
	freePart  bucket
	// granted is the number of unspent tokens that the quota owner has granted.
	granted      uint32
	grantedUntil time.Duration
	inFlight     uint32
	// grantedConcurrency is the number of requests in flight that the quota owner has
	// granted.
	grantedConcurrency uint32
	concurrencyUntil   time.Duration
	// reportAllUntil is ReportEvery after the last message that requested tokens or
	// concurrency. Until then, all use of the safe share is reported, including the free
	// part.
	reportAllUntil time.Duration
	// unreported counts requests admitted on the safe share beyond the free part that
	// haven't been reported yet.
	unreported uint32
	// requests counts requests, including refused ones, since the last message.
	requests uint32
	lastAsk  time.Duration
	// owner was chosen among the current instances, unless owner.replaced is set.
	owner *owner
	// urgent and queuedAt are set while the account waits for a message. An account is
	// urgent when it needs more tokens or concurrency.
	queued   bool
	urgent   bool
	queuedAt time.Duration
}

// owner is the state of the message exchange with one quota owner.
type owner struct {
	queue       []*account
	outstanding *BorrowRequest
	// nextAsk is the earliest time of the next message.
	nextAsk time.Duration
	// unreachable is true when the last message wasn't answered.
	unreachable bool
	// replaced is true when SetInstances has replaced this state since.
	replaced bool
}

// elapsed returns the time since the first call. That call applies the default values.
func (b *Borrower) elapsed(now time.Time) time.Duration {
	if b.accounts == nil {
		b.started = now
		b.accounts = map[string]*account{}
		b.owners = map[string]*owner{}
		b.FreeShare = cmp.Or(b.FreeShare, DefaultFreeShare)
		b.ReportEvery = cmp.Or(b.ReportEvery, DefaultReportEvery)
		b.AskEvery = cmp.Or(b.AskEvery, DefaultMessageInterval)
		b.AskTimeout = cmp.Or(b.AskTimeout, DefaultAskTimeout)
		b.MessagesPerSecond = cmp.Or(b.MessagesPerSecond, DefaultMessagesPerSecond)
		b.UsesPerMessage = cmp.Or(b.UsesPerMessage, DefaultUsesPerMessage)
		b.messages.tokens = 1
	}
	return now.Sub(b.started)
}

// SetInstances sets the names of the usable instances, including this one.
func (b *Borrower) SetInstances(now time.Time, names []string) {
	b.elapsed(now)
	b.instances = newInstances(names)
	old := b.owners
	b.owners = map[string]*owner{}
	for name, o := range old {
		o.replaced = true
		if slices.Contains(b.instances.names, name) {
			b.owners[name] = &owner{outstanding: o.outstanding, nextAsk: o.nextAsk, unreachable: o.unreachable}
		} else if o.outstanding != nil {
			b.restoreUnreported(*o.outstanding)
		}
	}
	for _, o := range old {
		for _, a := range o.queue {
			b.ownerOf(a).queue = append(b.ownerOf(a).queue, a)
		}
	}
}

// share returns the part of a fleet-wide value that falls to this instance.
func (b *Borrower) share(total float64) float64 {
	return total / float64(max(1, len(b.instances.names)))
}

// safeBurst returns the number of requests that the safe share admits at once.
func (b *Borrower) safeBurst(l Limits) float64 {
	return max(minSafeBurst, b.share(float64(l.Burst)))
}

// freeBurst returns the number of requests at once that need no report.
func (b *Borrower) freeBurst(l Limits) float64 { return max(1, b.safeBurst(l)*b.FreeShare) }

// ownerOf returns the exchange with the quota owner of the account.
func (b *Borrower) ownerOf(a *account) *owner {
	if a.owner != nil && !a.owner.replaced {
		return a.owner
	}
	name := b.instances.owner(a.name)
	o := b.owners[name]
	if o == nil {
		o = &owner{}
		b.owners[name] = o
	}
	a.owner = o
	return o
}

// account returns the state of the account with its token buckets refilled.
func (b *Borrower) account(name string, l Limits, now time.Duration) *account {
	a := b.accounts[name]
	if a == nil {
		a = &account{name: name, lastAsk: now}
		a.safeShare = bucket{tokens: b.safeBurst(l), updated: now}
		a.freePart = bucket{tokens: b.freeBurst(l), updated: now}
		b.accounts[name] = a
	}
	a.safeShare.fill(now, b.share(l.Rate), b.safeBurst(l))
	a.freePart.fill(now, b.share(l.Rate)*b.FreeShare, b.freeBurst(l))
	if a.grantedUntil <= now {
		a.granted = 0
	}
	return a
}

// Admit decides on one request. The calling code must call Done when an allowed
// request ends.
func (b *Borrower) Admit(now time.Time, name string) Verdict {
	at := b.elapsed(now)
	l := b.Limits(name)
	a := b.account(name, l, at)
	a.requests++
	return b.decide(a, l, at)
}

// Poll decides again on a held request that was refused as pending. Unlike Admit it
// doesn't count as a new request.
func (b *Borrower) Poll(now time.Time, name string) Verdict {
	at := b.elapsed(now)
	l := b.Limits(name)
	return b.decide(b.account(name, l, at), l, at)
}

func (b *Borrower) decide(a *account, l Limits, at time.Duration) Verdict {
	if l.Concurrency > 0 && a.inFlight >= b.concurrency(a, l, at) {
		return b.refuse(a, l, at)
	}
	if l.Rate > 0 && !b.takeToken(a, l, at) {
		return b.refuse(a, l, at)
	}
	a.inFlight++
	if b.needsTokens(a, l, at) {
		b.enqueue(a, at, true)
	}
	return Verdict{Allowed: true}
}

// Done records the end of an allowed request.
func (b *Borrower) Done(now time.Time, name string) {
	b.elapsed(now)
	if a := b.accounts[name]; a != nil && a.inFlight > 0 {
		a.inFlight--
	}
}

// takeToken takes one token from the safe share or, if that is empty, from the granted
// tokens.
func (b *Borrower) takeToken(a *account, l Limits, now time.Duration) bool {
	if !a.safeShare.take() {
		if a.granted == 0 {
			return false
		}
		a.granted--
		return true
	}
	if now < a.reportAllUntil || !a.freePart.take() {
		a.unreported++
		b.enqueue(a, now, false)
	}
	return true
}

// concurrency returns the number of requests that the account may have in flight at
// this instance.
func (b *Borrower) concurrency(a *account, l Limits, now time.Duration) uint32 {
	share := b.share(float64(l.Concurrency))
	if !b.ownerOf(a).unreachable {
		share *= b.FreeShare
	}
	own := uint32(max(minSafeConcurrency, share))
	if now < a.concurrencyUntil {
		return max(own, a.grantedConcurrency)
	}
	return own
}

// needsTokens reports whether to request tokens although the current request is
// admitted, because what is available may run out before an answer arrives.
func (b *Borrower) needsTokens(a *account, l Limits, now time.Duration) bool {
	ahead := 2 * b.AskEvery
	expected := b.requestRate(a, now) * ahead.Seconds()
	if l.Rate > 0 && expected >= 1 && a.safeShare.tokens+float64(a.grantedAt(now+ahead)) < expected {
		return true
	}
	return l.Concurrency > 0 && a.inFlight > minSafeConcurrency && a.inFlight >= b.concurrency(a, l, now+ahead)
}

// grantedAt returns the number of granted tokens that are still valid at the given time.
func (a *account) grantedAt(at time.Duration) uint32 {
	if a.grantedUntil <= at {
		return 0
	}
	return a.granted
}

// requestRate returns the average request rate since the last message, per second.
func (b *Borrower) requestRate(a *account, now time.Duration) float64 {
	since := max(now-a.lastAsk, b.AskEvery)
	// An average over a long idle time would hide a sudden rise.
	return float64(a.requests) / min(since, 2*b.AskTimeout).Seconds()
}

// refuse returns the verdict for a refused request, and requests tokens for the
// account.
func (b *Borrower) refuse(a *account, l Limits, now time.Duration) Verdict {
	b.enqueue(a, now, true)
	wait := b.AskTimeout
	if l.Rate > 0 && a.safeShare.tokens < 1 {
		wait = time.Duration(math.Ceil((1 - a.safeShare.tokens) / b.share(l.Rate) * float64(time.Second)))
	}
	if b.ownerOf(a).unreachable {
		return Verdict{RetryAfter: wait}
	}
	return Verdict{RetryAfter: min(wait, b.AskEvery), Pending: true}
}

// enqueue adds the account to the next message to its quota owner.
func (b *Borrower) enqueue(a *account, now time.Duration, urgent bool) {
	a.urgent = a.urgent || urgent
	if a.queued {
		return
	}
	a.queued = true
	a.queuedAt = now
	o := b.ownerOf(a)
	o.queue = append(o.queue, a)
}
