package crquota

import (
	"cmp"
	"math"
	"slices"
	"time"
)

// DueMessages returns the messages to send now: at most one for each quota owner, and no
// more than MessagesPerSecond allows. The calling code ends each with HandleAnswer or
// HandleNoAnswer. One that isn't answered within AskTimeout is abandoned.
func (b *Borrower) DueMessages(now time.Time) []BorrowRequest {
	at := b.elapsed(now)
	b.expireAsks(at)
	b.sweep(at)
	b.messages.fill(at, b.MessagesPerSecond, max(1, b.MessagesPerSecond))
	var asks []BorrowRequest
	for _, name := range b.dueOwners(at) {
		if !b.messages.take() {
			break
		}
		asks = append(asks, b.newAsk(name, at))
	}
	return asks
}

// priority is the urgency of an account's message. Lower values are sent first.
type priority uint8

const (
	// firstNeed is for an account that needs tokens or concurrency and hasn't asked for any in the last
	// ReportEvery.
	firstNeed priority = iota
	// repeatedNeed is for an account that needs tokens or concurrency and has asked for
	// some in that time.
	repeatedNeed
	// reportDue is for use of the safe share that has stayed unreported for ReportEvery.
	reportDue
	// notDue means that no message is due yet.
	notDue
)

// priority returns the priority of an account that waits for a message.
func (b *Borrower) priority(a *account, now time.Duration) priority {
	switch {
	case a.urgent && now >= a.reportAllUntil:
		return firstNeed
	case a.urgent:
		return repeatedNeed
	case now-a.queuedAt >= b.ReportEvery:
		return reportDue
	}
	return notDue
}

// dueOwners returns the names of the quota owners to send a message to, ordered by the
// highest priority among their accounts, then by the longest wait. Accounts in a surge
// thus can't use up the messages that quiet accounts need.
func (b *Borrower) dueOwners(now time.Duration) []string {
	type candidate struct {
		name string
		priority
		since time.Duration
	}
	var candidates []candidate
	for name, o := range b.owners {
		if o.outstanding != nil || now < o.nextAsk || len(o.queue) == 0 || name == "" {
			continue
		}
		c := candidate{name: name, priority: notDue, since: o.queue[0].queuedAt}
		for _, a := range o.queue {
			c.priority = min(c.priority, b.priority(a, now))
		}
		if c.priority < notDue {
			candidates = append(candidates, c)
		}
	}
	slices.SortFunc(candidates, func(x, y candidate) int {
		return cmp.Or(
			cmp.Compare(x.priority, y.priority),
			cmp.Compare(x.since, y.since),
			cmp.Compare(x.name, y.name),
		)
	})
	names := make([]string, len(candidates))
	for i, c := range candidates {
		names[i] = c.name
	}
	return names
}

// newAsk builds one message from the queue of a quota owner, the accounts with the
// highest priority first.
func (b *Borrower) newAsk(name string, now time.Duration) BorrowRequest {
	o := b.owners[name]
	slices.SortStableFunc(o.queue, func(x, y *account) int {
		return cmp.Compare(b.priority(x, now), b.priority(y, now))
	})
	n := min(len(o.queue), b.UsesPerMessage)
	b.sequence++
	ask := BorrowRequest{Owner: name, sequence: b.sequence, at: now}
	for _, a := range o.queue[:n] {
		ask.Uses = append(ask.Uses, b.newUse(a, now))
	}
	o.queue = slices.Delete(o.queue, 0, n)
	o.outstanding = &ask
	o.nextAsk = now + b.AskEvery
	return ask
}

// newUse returns the report on one account and resets its counters.
func (b *Borrower) newUse(a *account, now time.Duration) AccountUse {
	u := AccountUse{Account: a.name, Used: a.unreported, InFlight: a.inFlight}
	if a.urgent {
		u.Wanted = b.wanted(a, now)
		a.reportAllUntil = now + b.ReportEvery
	}
	a.unreported = 0
	a.requests = 0
	a.lastAsk = now
	a.queued = false
	a.urgent = false
	return u
}

// wanted returns the number of tokens to request. They should last for AskTimeout at the
// request rate since the last message. AskTimeout stands for the time until the answer to
// the message after the next one. The tokens that are available already and those that the
// safe share adds in that time are subtracted.
func (b *Borrower) wanted(a *account, now time.Duration) uint32 {
	l := b.Limits(a.name)
	if l.Rate == 0 {
		return 0
	}
	horizon := b.AskTimeout.Seconds()
	available := a.safeShare.tokens + float64(a.granted)
	want := math.Ceil((b.requestRate(a, now)-b.share(l.Rate))*horizon - available)
	if available < 1 {
		want = max(want, 1)
	}
	return uint32(min(max(want, 0), l.Rate*horizon+float64(l.Burst)))
}

// HandleAnswer takes the answer to a BorrowRequest. An answer that arrives after
// AskTimeout is dropped and its tokens are lost.
func (b *Borrower) HandleAnswer(now time.Time, ask BorrowRequest, grants []AccountGrant) {
	at := b.elapsed(now)
	o := b.owners[ask.Owner]
	if o == nil || o.outstanding == nil || o.outstanding.sequence != ask.sequence {
		return
	}
	o.outstanding = nil
	o.unreachable = false
	for _, g := range grants {
		a := b.accounts[g.Account]
		if a == nil || ask.at+g.ValidFor <= at {
			continue
		}
		if a.grantedUntil <= at {
			a.granted = 0
		}
		a.granted += g.Granted
		a.grantedUntil = ask.at + g.ValidFor
		a.grantedConcurrency = g.Concurrency
		a.concurrencyUntil = ask.at + g.ValidFor
	}
}

// HandleNoAnswer ends a BorrowRequest that got no answer. Its use is reported again,
// since the message may not have arrived. If it did arrive, the quota owner counts the
// use twice and grants too little for a while.
func (b *Borrower) HandleNoAnswer(now time.Time, ask BorrowRequest) {
	at := b.elapsed(now)
	o := b.owners[ask.Owner]
	if o == nil || o.outstanding == nil || o.outstanding.sequence != ask.sequence {
		return
	}
	o.outstanding = nil
	o.unreachable = true
	o.nextAsk = at + b.AskTimeout
	b.restoreUnreported(ask)
	for _, u := range ask.Uses {
		if a := b.accounts[u.Account]; a != nil && (u.Used > 0 || u.Wanted > 0) {
			b.enqueue(a, at, false)
		}
	}
}

// restoreUnreported marks the use in an unanswered BorrowRequest as unreported again.
func (b *Borrower) restoreUnreported(ask BorrowRequest) {
	for _, u := range ask.Uses {
		if a := b.accounts[u.Account]; a != nil {
			a.unreported += u.Used
		}
	}
}

// expireAsks ends the messages that weren't answered within AskTimeout.
func (b *Borrower) expireAsks(now time.Duration) {
	for _, o := range b.owners {
		if o.outstanding != nil && now-o.outstanding.at >= b.AskTimeout {
			b.HandleNoAnswer(b.started.Add(now), *o.outstanding)
		}
	}
}

// sweep drops accounts whose state equals that of a new account.
func (b *Borrower) sweep(now time.Duration) {
	if now-b.lastSweep < sweepInterval {
		return
	}
	b.lastSweep = now
	for name, a := range b.accounts {
		l := b.Limits(name)
		b.account(name, l, now)
		full := a.safeShare.tokens >= b.safeBurst(l) && a.freePart.tokens >= b.freeBurst(l)
		if full && a.inFlight == 0 && a.granted == 0 && a.unreported == 0 && !a.queued {
			delete(b.accounts, name)
		}
	}
}

// Len returns the number of accounts that have state.
func (b *Borrower) Len() int { return len(b.accounts) }
