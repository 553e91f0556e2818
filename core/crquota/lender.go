package crquota

import (
	"cmp"
	"time"
)

// Default values of the exported fields of Lender.
const (
	DefaultLease    = 2 * time.Second
	DefaultTakeover = 5 * time.Second
	DefaultHold     = 30 * time.Second
)

// maxDebtTime limits how far use that is reported late can reduce later grants: to what
// the account's rate admits in this time, plus the burst.
const maxDebtTime = 60 * time.Second

// Lender grants tokens of the accounts whose quota owner is this instance. Set the
// exported fields and call SetInstances before first use. Zero fields get the default
// values. A Lender isn't safe for concurrent use: the calling code must hold a lock.
type Lender struct {
	// Instance is the name of this instance.
	Instance string
	// Limits returns the limits of a client account.
	Limits func(account string) Limits
	// Lease is how long granted tokens are valid.
	Lease time.Duration
	// Takeover is how long a new quota owner grants nothing. By then the earlier owner
	// must have learned of the change and its grants must have expired, so it has to be
	// at least the time in which a membership change reaches all instances, and at least
	// Lease.
	Takeover time.Duration
	// Hold is how long the concurrency granted to an instance stays reserved after its
	// last message.
	Hold time.Duration

	started   time.Time
	accounts  map[string]*lenderAccount
	views     []view
	lastSweep time.Duration
}

// view is a set of instances and the time at which another set replaced it.
type view struct {
	instances
	until time.Duration
}

// lenderAccount is the state of one account at its quota owner: the bucket of the tokens
// that can be granted to all instances together, and the concurrency reserved for each. The
// tokens are negative if instances have reported more use than there were tokens.
type lenderAccount struct {
	bucket
	// allotments holds the concurrency reserved for each instance, by its name.
	allotments map[string]allotment
}

// allotment is the concurrency reserved for one instance.
type allotment struct {
	concurrency uint32
	updated     time.Duration
}

// elapsed returns the time since the first call. That call applies the default values.
func (n *Lender) elapsed(now time.Time) time.Duration {
	if n.accounts == nil {
		n.started = now
		n.accounts = map[string]*lenderAccount{}
		n.Lease = cmp.Or(n.Lease, DefaultLease)
		n.Takeover = max(cmp.Or(n.Takeover, DefaultTakeover), n.Lease)
		n.Hold = cmp.Or(n.Hold, DefaultHold)
		// Before its start this instance was no quota owner.
		n.views = []view{{}}
	}
	return now.Sub(n.started)
}

// SetInstances sets the names of the usable instances, including this one. The state
// of accounts whose quota owner is now another instance is dropped.
func (n *Lender) SetInstances(now time.Time, names []string) {
	at := n.elapsed(now)
	n.dropOldViews(at)
	n.views[len(n.views)-1].until = at
	n.views = append(n.views, view{instances: newInstances(names)})
	for name := range n.accounts {
		if !n.owns(name) {
			delete(n.accounts, name)
		}
	}
}

func (n *Lender) current() view { return n.views[len(n.views)-1] }

func (n *Lender) owns(account string) bool { return n.current().owner(account) == n.Instance }

// dropOldViews drops the views that were replaced at least Takeover ago.
func (n *Lender) dropOldViews(now time.Duration) {
	for len(n.views) > 1 && n.views[0].until+n.Takeover <= now {
		n.views = n.views[1:]
	}
}

// soleLenderSince returns the time from which no earlier quota owner's grants of the
// account can be valid: Takeover after the last view with another quota owner was replaced.
// The second result is true if no remembered view had another quota owner.
func (n *Lender) soleLenderSince(account string) (since time.Duration, always bool) {
	always = true
	for _, v := range n.views[:len(n.views)-1] {
		if v.owner(account) != n.Instance {
			since = v.until + n.Takeover
			always = false
		}
	}
	return since, always
}

// Lend answers a message from the instance named from. The answer leaves out accounts
// whose quota owner is another instance.
func (n *Lender) Lend(now time.Time, from string, uses []AccountUse) []AccountGrant {
	at := n.elapsed(now)
	n.dropOldViews(at)
	n.sweep(at)
	grants := make([]AccountGrant, 0, len(uses))
	for _, u := range uses {
		if !n.owns(u.Account) {
			continue
		}
		l := n.Limits(u.Account)
		o := n.account(u.Account, l, at)
		o.update(at, l, n.Lease, n.Hold)
		o.tokens = max(o.tokens-float64(u.Used), -l.Rate*maxDebtTime.Seconds()-float64(l.Burst))
		g := AccountGrant{Account: u.Account, ValidFor: n.Lease}
		if at >= o.updated {
			g.Granted = o.takeUpTo(u.Wanted)
			g.Concurrency = o.allot(from, u.InFlight, l, at)
		}
		grants = append(grants, g)
	}
	return grants
}

// account returns the state of an account and creates it if there is none. If this
// instance has been the quota owner for at least Takeover, the bucket starts full, because
// no instance has reported use that has to be deducted. Otherwise it starts empty when the
// takeover time ends.
func (n *Lender) account(account string, l Limits, now time.Duration) *lenderAccount {
	o := n.accounts[account]
	if o != nil {
		return o
	}
	o = &lenderAccount{allotments: map[string]allotment{}}
	since, always := n.soleLenderSince(account)
	if always {
		o.bucket = bucket{tokens: capacity(l, n.Lease), updated: now}
	} else {
		o.bucket = bucket{updated: max(since, now)}
	}
	n.accounts[account] = o
	return o
}

// capacity returns the maximum number of tokens that can be granted at once: the
// burst, or the tokens added in one lease if they are more, so that grants in batches
// can reach the rate.
func capacity(l Limits, lease time.Duration) float64 {
	return max(1, float64(l.Burst), l.Rate*lease.Seconds())
}

// update refills the bucket and releases the concurrency of instances that sent no
// message for the hold time.
func (o *lenderAccount) update(now time.Duration, l Limits, lease, hold time.Duration) {
	o.fill(now, l.Rate, capacity(l, lease))
	for from, a := range o.allotments {
		if now-a.updated > hold {
			delete(o.allotments, from)
		}
	}
}

// takeUpTo takes up to the wanted number of tokens from the bucket.
func (o *lenderAccount) takeUpTo(wanted uint32) uint32 {
	if o.tokens < 1 || wanted == 0 {
		return 0
	}
	granted := min(wanted, uint32(o.tokens))
	o.tokens -= float64(granted)
	return granted
}

// allot sets and returns the number of requests that an instance may have in flight:
// one more than twice its current number, at most what the other instances leave of
// the limit.
func (o *lenderAccount) allot(from string, inFlight uint32, l Limits, now time.Duration) uint32 {
	if l.Concurrency == 0 {
		return 0
	}
	others := uint32(0)
	for name, a := range o.allotments {
		if name != from {
			others += a.concurrency
		}
	}
	left := l.Concurrency - min(others, l.Concurrency)
	allotted := min(2*inFlight+1, left)
	// Requests in flight count even if they exceed the grant.
	o.allotments[from] = allotment{concurrency: max(allotted, inFlight), updated: now}
	return allotted
}

// sweep drops accounts with a full bucket and no reserved concurrency: their state
// equals that of a new account.
func (n *Lender) sweep(now time.Duration) {
	if now-n.lastSweep < sweepInterval {
		return
	}
	n.lastSweep = now
	for name, o := range n.accounts {
		l := n.Limits(name)
		o.update(now, l, n.Lease, n.Hold)
		if o.tokens >= capacity(l, n.Lease) && len(o.allotments) == 0 {
			delete(n.accounts, name)
		}
	}
}

// Len returns the number of accounts that have state.
func (n *Lender) Len() int { return len(n.accounts) }
